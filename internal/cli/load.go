package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/loadgen"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	// loadWarmup is not measured: caches start empty.
	loadWarmup = 8 * time.Second
	// loadFill is how long the service idles before the load, so that rate
	// buckets, which start empty, are full as they are in steady use.
	loadFill = 11 * time.Second
	// loadGrace is how long after the last arrival answers are awaited.
	loadGrace        = 60 * time.Second
	maxIdleCallers   = 256
	progressInterval = 50
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	profile string
	seconds int
	rate    float64
	seed    uint64
	kill    bool
	// baseline routes by least outstanding requests.
	baseline bool
}

func addLoad(r *registry) {
	c := r.app.Command("load", "Runs a deployment on loopback under load and checks its promises.")
	example(c, "Starts the VMs and stand-in targets of a deployment inside this process and sends open-loop load. Exit code 5 means that a promise was broken.",
		"cuminwing load --profile verband --seconds 60 --seed 1")
	f := &loadFlags{}
	c.Flag("profile", "Deployment to run.").Default("verband").EnumVar(&f.profile, "verband", "zielnik")
	c.Flag("seconds", "Length of the load, the warm-up of 8 s included.").Default("30").IntVar(&f.seconds)
	c.Flag("rate", "Model requests per second; 0 takes the profile's.").Default("0").Float64Var(&f.rate)
	c.Flag("seed", "Seed of arrivals and prompts.").Default("1").Uint64Var(&f.seed)
	c.Flag("kill-engine", "Kill an engine in the middle of the run.").BoolVar(&f.kill)
	c.Flag("baseline", "Route by least outstanding requests instead of by prefix, for comparison.").BoolVar(&f.baseline)
	r.add(c, func(out, errOut io.Writer) int {
		m, err := runLoad(f, errOut)
		if err != nil {
			fmt.Fprintln(errOut, "cuminwing load:", err)
			return ExitFailed
		}
		return printLoad(m, r.connection.output, out)
	})
}

func runLoad(f *loadFlags, progress io.Writer) (*loadgen.Measures, error) {
	p := loadgen.Profiles()[f.profile]
	if f.rate > 0 {
		p.RequestsPerSecond = f.rate
	}
	if time.Duration(f.seconds)*time.Second <= loadWarmup {
		return nil, fmt.Errorf("--seconds must be more than the warm-up of %v", loadWarmup)
	}
	if err := p.MakeKeys(); err != nil {
		return nil, err
	}
	document := p.Document()
	fleet, err := startFleet(document, loadEngines(&p), daemon.Options{LeastOutstanding: f.baseline})
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	service, err := fleet.startService(p.OrderService)
	if err != nil {
		return nil, err
	}
	defer service.Close()
	return loadFleet(f, &p, document, fleet, service, progress)
}

func loadFleet(f *loadFlags, p *loadgen.Profile, document config.Document, fleet *localFleet, service *standin.Service, progress io.Writer) (*loadgen.Measures, error) {
	duration := time.Duration(f.seconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), loadFill+duration+loadGrace)
	defer cancel()
	caller := &loadgen.Caller{
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCallers}},
		URLs:   fleet.callerURLs(),
		Expect: standin.Answer,
	}
	if err := fleet.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(loadFill)
	orders := make(chan []*loadgen.Order, 1)
	go func() { orders <- caller.RunOrders(ctx, p, f.seed, duration) }()
	warm := make(chan loadgen.Counters, 1)
	time.AfterFunc(loadWarmup, func() { warm <- fleet.counters() })
	if f.kill {
		time.AfterFunc((duration+loadWarmup)/2, fleet.engines[0].Close)
	}
	results := caller.Run(ctx, p, loadgen.Plan(p, f.seed, duration), progressLine(progress, duration))
	used := fleet.counters().Since(<-warm)
	m := loadgen.Measure(p, document, results, used, loadWarmup)
	sent := <-orders
	m.Orders = len(sent)
	m.Broken = append(m.Broken, loadgen.CheckOrders(sent, service.Executions)...)
	if m.OverRate > 0 {
		m.Broken = append(m.Broken, fmt.Sprintf("a workspace got %.0f tokens above its rate and burst", m.OverRate))
	}
	if m.Requests == 0 {
		return nil, errors.New("no request was measured")
	}
	return &m, nil
}

// loadEngines makes the engines of a profile. A tenth of the real block size
// and prefill speed keeps the proportions.
func loadEngines(p *loadgen.Profile) []standin.EngineOptions {
	var out []standin.EngineOptions
	for _, m := range p.Models {
		for _, zone := range sortedKeys(m.Engines) {
			for i := range m.Engines[zone] {
				out = append(out, standin.EngineOptions{
					ID:   fmt.Sprintf("%s-%s-%d", m.Name, zone, i),
					Zone: zone, Region: p.Zones[zone].Region, Model: m.Name, Version: "v1",
					TokenInterval: loadTokenInterval, BatchSlots: loadBatchSlots,
					Cache: standin.CacheOptions{
						Blocks:                 m.PromptBlocks * loadCachePrompts,
						BlockTokens:            loadgen.BlockTokens,
						PrefillTokensPerSecond: loadgen.EngineRate,
						EventLag:               200 * time.Millisecond,
						EventLoss:              0.01,
						LoadLag:                500 * time.Millisecond,
					},
				})
			}
		}
	}
	return out
}

const (
	loadTokenInterval = 20 * time.Millisecond
	loadBatchSlots    = 8
	// loadCachePrompts is how many whole prompts fit into a cache.
	loadCachePrompts = 20
)

// progressLine writes one line that is rewritten in place, on terminals only.
func progressLine(w io.Writer, duration time.Duration) func(done, sent int) {
	file, ok := w.(*os.File)
	if !ok || !isTerminal(file) {
		return func(int, int) {}
	}
	start := time.Now()
	return func(done, sent int) {
		if sent%progressInterval == 0 {
			fmt.Fprintf(w, "\r%3.0f of %.0f s, %d sent, %d answered ", time.Since(start).Seconds(), duration.Seconds(), sent, done)
		}
	}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printLoad(m *loadgen.Measures, output string, out io.Writer) int {
	code := ExitOK
	if len(m.Broken) > 0 {
		code = ExitPromiseBroken
	}
	if output == outputJSON {
		_ = printJSON(out, m)
		return code
	}
	t := newTable(out, "MEASURE", "VALUE")
	t.row("requests", fmt.Sprintf("%d (%d complete, %d refused, %d failed)", m.Requests, m.Complete, m.Refused, m.Failed))
	t.row("prefix hit rate", percent(m.HitRate))
	t.row("first token p50 / p95 / p99", fmt.Sprintf("%.0f / %.0f / %.0f ms", m.FirstToken.P50, m.FirstToken.P95, m.FirstToken.P99))
	t.row("recomputed / wasted", percent(m.Recomputed)+" / "+percent(m.Wasted))
	t.row("worst workspace", fmt.Sprintf("%s, %.2f times the median p99", m.WorstWorkspace, m.WorstRatio))
	t.row("refused inside rate", fmt.Sprintf("%d of %d", m.RefusedInRate, m.InRate))
	t.row("tokens over rate and burst", fmt.Sprintf("%.0f", m.OverRate))
	t.row("at-most-once orders", fmt.Sprint(m.Orders))
	for _, c := range sortedKeys(m.Codes) {
		t.row("refusals and failures: "+c, fmt.Sprint(m.Codes[c]))
	}
	t.flush()
	fmt.Fprintln(out)
	w := newTable(out, "WORKSPACE", "REQUESTS", "COMPLETE", "REFUSED", "REFUSED IN RATE", "P50", "P99")
	for _, row := range m.Workspaces {
		w.row(row.Name, fmt.Sprint(row.Requests), fmt.Sprint(row.Complete), fmt.Sprint(row.Refused), fmt.Sprintf("%d of %d", row.RefusedInRate, row.InRate),
			fmt.Sprintf("%.0f ms", row.FirstToken.P50), fmt.Sprintf("%.0f ms", row.FirstToken.P99))
	}
	w.flush()
	if len(m.Broken) > 0 {
		fmt.Fprintln(out, "\nbroken promises:\n  "+strings.Join(m.Broken, "\n  "))
	}
	return code
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }
