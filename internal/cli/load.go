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
	// warmupDuration is the part of the load that the figures leave out,
	// because caches start empty.
	warmupDuration = 8 * time.Second
	// bucketFillDuration is how long the service idles before the load, so
	// that the rate buckets, which start empty, are full as in steady
	// operation.
	bucketFillDuration = 11 * time.Second
	// responseGrace is how long after the last arrival the run still waits for
	// responses.
	responseGrace = 60 * time.Second
	maxIdleConns  = 256
	// progressEvery is the number of requests sent between two updates of the
	// progress line.
	progressEvery = 50
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	profile string
	seconds int
	rate    float64
	seed    uint64
	kill    bool
	// baseline routes by least outstanding requests instead of by prefix.
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
		summary, err := runLoad(f, errOut)
		if err != nil {
			fmt.Fprintln(errOut, "cuminwing load:", err)
			return ExitFailed
		}
		return printLoad(summary, r.flags.output, out)
	})
}

func runLoad(f *loadFlags, progress io.Writer) (*loadgen.Summary, error) {
	p := loadgen.Profiles()[f.profile]
	if f.rate > 0 {
		p.RequestsPerSecond = f.rate
	}
	if time.Duration(f.seconds)*time.Second <= warmupDuration {
		return nil, fmt.Errorf("--seconds must be more than the warm-up of %v", warmupDuration)
	}
	if err := p.MakeKeys(); err != nil {
		return nil, err
	}
	document := p.Document()
	cluster, err := startCluster(document, profileEngines(&p), daemon.Options{LeastOutstanding: f.baseline})
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	service, err := cluster.startService(p.OrderService)
	if err != nil {
		return nil, err
	}
	defer service.Close()
	return driveLoad(f, &p, document, cluster, service, progress)
}

func driveLoad(f *loadFlags, p *loadgen.Profile, document config.Document, cluster *localCluster, service *standin.Service, progress io.Writer) (*loadgen.Summary, error) {
	duration := time.Duration(f.seconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), bucketFillDuration+duration+responseGrace)
	defer cancel()
	caller := &loadgen.Caller{
		Client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		URLs:         cluster.callerURLs(),
		ExpectedText: standin.ExpectedResponse,
	}
	if err := cluster.waitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(bucketFillDuration)
	orders := make(chan []*loadgen.Order, 1)
	go func() { orders <- caller.RunOrders(ctx, p, f.seed, duration) }()
	countersAfterWarmup := make(chan loadgen.Counters, 1)
	time.AfterFunc(warmupDuration, func() { countersAfterWarmup <- cluster.counters() })
	if f.kill {
		time.AfterFunc((duration+warmupDuration)/2, cluster.engines[0].Close)
	}
	results := caller.Run(ctx, p, loadgen.Plan(p, f.seed, duration), progressLine(progress, duration))
	measured := cluster.counters().Since(<-countersAfterWarmup)
	summary := loadgen.Summarize(p, document, results, measured, warmupDuration)
	sentOrders := <-orders
	summary.Orders = len(sentOrders)
	summary.Violations = append(summary.Violations, loadgen.CheckOrders(sentOrders, service.Executions)...)
	if summary.ExcessTokens > 0 {
		summary.Violations = append(summary.Violations, fmt.Sprintf("a workspace got %.0f tokens above its rate and burst", summary.ExcessTokens))
	}
	if summary.Requests == 0 {
		return nil, errors.New("no request was sent after the warm-up")
	}
	return &summary, nil
}

// profileEngines returns the options of a profile's simulated engines. Block
// size and prefill speed are both a tenth of the real ones, which keeps their
// ratio.
func profileEngines(p *loadgen.Profile) []standin.EngineOptions {
	var out []standin.EngineOptions
	for _, m := range p.Models {
		for _, zone := range sortedKeys(m.Engines) {
			for i := range m.Engines[zone] {
				out = append(out, standin.EngineOptions{
					ID:   fmt.Sprintf("%s-%s-%d", m.Name, zone, i),
					Zone: zone, Region: p.Zones[zone].Region, Model: m.Name, Version: "v1",
					TokenInterval: loadEngineTokenInterval, BatchSlots: engineBatchSlots,
					Cache: standin.CacheOptions{
						CapacityBlocks:         m.PromptBlocks * cachePrompts,
						BlockTokens:            loadgen.BlockTokens,
						PrefillTokensPerSecond: loadgen.PrefillRate,
						EventLag:               200 * time.Millisecond,
						EventLossRate:          0.01,
						LoadLag:                500 * time.Millisecond,
					},
				})
			}
		}
	}
	return out
}

const (
	loadEngineTokenInterval = 20 * time.Millisecond
	engineBatchSlots        = 8
	// cachePrompts is the cache capacity of an engine in full-length prompts.
	cachePrompts = 20
)

// progressLine returns a function that reports progress on a line rewritten in
// place. The function does nothing if w is not a terminal.
func progressLine(w io.Writer, duration time.Duration) func(done, sent int) {
	file, ok := w.(*os.File)
	if !ok || !isTerminal(file) {
		return func(int, int) {}
	}
	start := time.Now()
	return func(done, sent int) {
		if sent%progressEvery == 0 {
			fmt.Fprintf(w, "\r%3.0f of %.0f s, %d sent, %d answered ", time.Since(start).Seconds(), duration.Seconds(), sent, done)
		}
	}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printLoad(summary *loadgen.Summary, output string, out io.Writer) int {
	code := ExitOK
	if len(summary.Violations) > 0 {
		code = ExitCheckFailed
	}
	if output == outputJSON {
		_ = printJSON(out, summary)
		return code
	}
	t := newTable(out, "MEASURE", "VALUE")
	t.row("requests", fmt.Sprintf("%d (%d complete, %d refused, %d failed)", summary.Requests, summary.Complete, summary.Refused, summary.Failed))
	t.row("prefix hit rate", percent(summary.HitRate))
	t.row("first token p50 / p95 / p99", fmt.Sprintf("%.0f / %.0f / %.0f ms", summary.FirstToken.P50, summary.FirstToken.P95, summary.FirstToken.P99))
	t.row("recomputed / wasted", percent(summary.Recomputed)+" / "+percent(summary.Wasted))
	t.row("worst workspace", fmt.Sprintf("%s, %.2f times the median p99", summary.WorstWorkspace, summary.WorstRatio))
	t.row("refused inside rate", fmt.Sprintf("%d of %d", summary.RefusedInRate, summary.InRate))
	t.row("tokens over rate and burst", fmt.Sprintf("%.0f", summary.ExcessTokens))
	t.row("at-most-once orders", fmt.Sprint(summary.Orders))
	for _, c := range sortedKeys(summary.Codes) {
		t.row("refusals and failures: "+c, fmt.Sprint(summary.Codes[c]))
	}
	t.flush()
	fmt.Fprintln(out)
	w := newTable(out, "WORKSPACE", "REQUESTS", "COMPLETE", "REFUSED", "REFUSED IN RATE", "P50", "P99")
	for _, row := range summary.Workspaces {
		w.row(row.Name, fmt.Sprint(row.Requests), fmt.Sprint(row.Complete), fmt.Sprint(row.Refused), fmt.Sprintf("%d of %d", row.RefusedInRate, row.InRate),
			fmt.Sprintf("%.0f ms", row.FirstToken.P50), fmt.Sprintf("%.0f ms", row.FirstToken.P99))
	}
	w.flush()
	if len(summary.Violations) > 0 {
		fmt.Fprintln(out, "\nbroken promises:\n  "+strings.Join(summary.Violations, "\n  "))
	}
	return code
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }
