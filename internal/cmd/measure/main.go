// Command measure compares routing policies in the queueing model of the engines
// and writes docs/MEASUREMENTS.md with its plots. Run it from the root of the
// repository.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/enginemodel"
)

const (
	outputFile = "docs/MEASUREMENTS.md"
	plotFolder = "docs/measurements"
	// seedCount is the number of runs, each with its own seed, that are pooled
	// for every figure.
	seedCount = 5
	// maxParallelRuns limits the concurrent runs, because the machine is
	// shared with other work.
	maxParallelRuns = 4
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	if err := os.MkdirAll(plotFolder, 0o755); err != nil {
		return err
	}
	var out strings.Builder
	out.WriteString(preface)
	deployments := enginemodel.Deployments(1)
	results := make([][]*enginemodel.Result, len(deployments))
	for i, d := range deployments {
		results[i] = runPooled(d, enginemodel.Policies)
		fmt.Fprintf(&out, "## %s\n\n", d.Name)
		writeTable(&out, enginemodel.Policies, results[i])
		writeGoals(&out, results[i])
	}
	writeAblations(&out, deployments[0])
	writeVariants(&out, deployments[0])
	if err := writePlots(&out, deployments, results); err != nil {
		return err
	}
	if err := writeDecisionTimes(&out); err != nil {
		return err
	}
	return os.WriteFile(outputFile, []byte(out.String()), 0o644)
}

const preface = `# Measurements of routing

This page is written by ` + "`go run ./internal/cmd/measure`" + ` from fixed seeds: 5 runs of
300 s of modelled time for each row, pooled. Only the decision times at the end
depend on the machine.

The figures come from the queue model in internal/enginemodel, not from real
engines: one group of engines in two zones of one region, 9 VMs, serial prefill
at 20,000 tokens/s, 32 batch slots, blocks of 1,000 tokens in an LRU cache, load
reports every second that lag 200 ms, cache events that lag 100 ms and of which
1% are lost, engines that crash and start with empty caches (three crashes at 90
and 200 s, one in the small group), 5 workspaces whose hot sets shift once a
minute, and bursts of requests for one document. The two regions, KV stores and
fair queueing are not modelled.

- Hit rate: reused tokens over prompt tokens.
- Waste: tokens computed although a live engine held them when the request was
  placed, over prompt tokens. Replication of a hot prefix counts as waste.
- Worst workspace: p99 of the worst workspace over that of the median workspace.
- Refused: no first token within the stall limit of 10 s.
- The oracle knows every cache and queue at the moment of the choice and takes
  the least time to first token plus a quarter of the prefill work.
- Prefix hash: rendezvous hashing of the first 6 blocks.

`

// runPooled runs every policy with every seed and merges the results of each
// policy.
func runPooled(c enginemodel.Config, policies []enginemodel.Policy) []*enginemodel.Result {
	runs := make([][seedCount]*enginemodel.Result, len(policies))
	slots := make(chan struct{}, maxParallelRuns)
	var wg sync.WaitGroup
	for i, p := range policies {
		for seed := range seedCount {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				seeded := c
				seeded.Seed = uint64(seed + 1)
				runs[i][seed] = enginemodel.Run(seeded, p)
			})
		}
	}
	wg.Wait()
	pooled := make([]*enginemodel.Result, len(policies))
	for i := range runs {
		pooled[i] = runs[i][0]
		for _, r := range runs[i][1:] {
			pooled[i].Merge(r)
		}
	}
	return pooled
}

func writeTable(out *strings.Builder, policies []enginemodel.Policy, results []*enginemodel.Result) {
	out.WriteString("| policy | requests | hit rate | p50 first token | p99 first token | waste | worst workspace | refused |\n|---|---|---|---|---|---|---|---|\n")
	for i, p := range policies {
		m := results[i].Summarize()
		fmt.Fprintf(out, "| %s | %d | %.1f%% | %s | %s | %.2f%% | %.2f | %.2f%% |\n", p.Name, m.Requests,
			100*m.HitRate, milliseconds(m.P50), milliseconds(m.P99), 100*m.RecomputedFraction, m.WorstWorkspaceRatio, 100*m.Refused)
	}
	out.WriteString("\n")
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// Indexes of policies in enginemodel.Policies.
const (
	leastOutstandingIndex = 1
	oracleIndex           = 3
	cuminwingIndex        = 4
)

// writeGoals compares the results with the values that the design page requires.
func writeGoals(out *strings.Builder, results []*enginemodel.Result) {
	least, best, ours := results[leastOutstandingIndex].Summarize(), results[oracleIndex].Summarize(), results[cuminwingIndex].Summarize()
	writeGoal := func(name string, value, limit float64, met bool) {
		verdict := "met"
		if !met {
			verdict = "**not met**"
		}
		fmt.Fprintf(out, "| %s | %.3f | %.2f | %s |\n", name, value, limit, verdict)
	}
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	out.WriteString("| goal | cuminwing | required | |\n|---|---|---|---|\n")
	writeGoal("hit rate over the oracle's, at least", ours.HitRate/best.HitRate, 0.95, ours.HitRate >= 0.95*best.HitRate)
	writeGoal("p99 over least outstanding, at most", ratio(ours.P99, least.P99), 0.5, 2*ours.P99 <= least.P99)
	writeGoal("p99 over the oracle's, at most", ratio(ours.P99, best.P99), 1.2, ratio(ours.P99, best.P99) <= 1.2)
	writeGoal("waste, under", ours.RecomputedFraction, 0.05, ours.RecomputedFraction < 0.05)
	writeGoal("worst workspace over median, at most", ours.WorstWorkspaceRatio, 1.15, ours.WorstWorkspaceRatio <= 1.15)
	fmt.Fprintf(out, "\nThe oracle's p99 is %.2f of that of least outstanding, its worst workspace %.2f. Blocks are evicted after %.1f s without use.\n\n",
		ratio(best.P99, least.P99), best.WorstWorkspaceRatio, ours.EvictionAge.Seconds())
}

func writeAblations(out *strings.Builder, c enginemodel.Config) {
	fmt.Fprintf(out, "## Parts of the picker (%s)\n\n", c.Name)
	writeTable(out, enginemodel.Ablations, runPooled(c, enginemodel.Ablations))
}

// writeVariants compares the policies under changed conditions, most of them
// worse than those of base.
func writeVariants(out *strings.Builder, base enginemodel.Config) {
	fmt.Fprintf(out, "## Conditions (%s)\n\n", base.Name)
	for _, v := range []struct {
		name   string
		change func(*enginemodel.Config)
	}{
		{"20% of the cache events lost", func(c *enginemodel.Config) { c.EventLoss = 0.2 }},
		{"Cache events 1 s late", func(c *enginemodel.Config) { c.EventLag = time.Second }},
		{"Caches of 400 blocks instead of 60", func(c *enginemodel.Config) { c.CacheBlocks = 400 }},
		{"Load reports 1 s late", func(c *enginemodel.Config) { c.LoadLag = time.Second }},
		{"Load reports without lag", func(c *enginemodel.Config) { c.LoadLag = 0 }},
		{"Messages between VMs 50 ms late", func(c *enginemodel.Config) { c.PublishLag = 50 * time.Millisecond }},
		{"Hot set shifts every 15 s", func(c *enginemodel.Config) { c.Workload.HotSetLifetime = 15 * time.Second }},
		{"30% more load", func(c *enginemodel.Config) { c.Workload.RequestsPerSecond *= 1.3 }},
		{"Half the load", func(c *enginemodel.Config) { c.Workload.RequestsPerSecond /= 2 }},
	} {
		changed := base
		v.change(&changed)
		policies := []enginemodel.Policy{enginemodel.Policies[leastOutstandingIndex], enginemodel.Policies[oracleIndex], enginemodel.Policies[cuminwingIndex]}
		fmt.Fprintf(out, "%s:\n\n", v.name)
		writeTable(out, policies, runPooled(changed, policies))
	}
}

func plotFile(name string) string { return filepath.Join(plotFolder, name+".svg") }
