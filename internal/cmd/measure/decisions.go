package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/routing"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	promptBlocks      = 100
	decisionRounds    = 21
	decisionsPerRound = 2000
)

// writeDecisionTimes measures how the time of a routing decision grows with the
// number of engines, and writes a table and a plot.
func writeDecisionTimes(out *strings.Builder) error {
	fmt.Fprintf(out, "## Time of a decision\n\nPrompts of %d blocks, hot on all engines, without hashing and network; median of %d rounds of %d decisions (%s, %d cores, shared with other work).\n\n",
		promptBlocks, decisionRounds, decisionsPerRound, runtime.Version(), runtime.NumCPU())
	out.WriteString("| engines | us per decision | bytes allocated |\n|---|---|---|\n")
	var points plotter.XYs
	for _, n := range []int{10, 60, 150, 300, 600} {
		took, bytes := measureDecisions(n)
		fmt.Fprintf(out, "| %d | %.1f | %d |\n", n, took, bytes)
		points = append(points, plotter.XY{X: float64(n), Y: took})
	}
	out.WriteString("\n![Time of a decision](measurements/decisions.svg)\n")
	p := plot.New()
	p.Title.Text = "Time of a decision"
	p.X.Label.Text, p.Y.Label.Text = "engines", "us"
	p.Y.Min = 0
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	p.Add(line, dots)
	return p.Save(plotWidth, plotHeight, plotFile("decisions"))
}

func measureDecisions(engines int) (microseconds float64, bytes uint64) {
	picker, req := newPicker(engines)
	chains := make([][]prefix.Hash, 8)
	for i := range chains {
		rng := rand.New(rand.NewPCG(uint64(i), 0))
		for range promptBlocks {
			chains[i] = append(chains[i], prefix.Hash(rng.Uint64()))
		}
		for e := range engines {
			picker.Index.Predict(target.Ref{ID: fmt.Sprint(e), Incarnation: 1}, chains[i][:1+e%promptBlocks], 0)
		}
	}
	var rounds []float64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range decisionRounds {
		start := time.Now()
		for i := range decisionsPerRound {
			pick, _ := picker.PickChain(context.Background(), req, serving.PrefixHint{Blocks: chains[i%len(chains)]})
			pick.Done(serving.AttemptResult{})
		}
		rounds = append(rounds, float64(time.Since(start).Nanoseconds())/1000/decisionsPerRound)
	}
	runtime.ReadMemStats(&after)
	slices.Sort(rounds)
	return rounds[decisionRounds/2], (after.TotalAlloc - before.TotalAlloc) / (decisionRounds * decisionsPerRound)
}

func newPicker(engines int) (*routing.Picker, serving.PickRequest) {
	picker := &routing.Picker{
		Registry: target.NewRegistry(), Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
		Index: prefix.NewIndex(time.Now), Zone: "a", Region: "r",
	}
	// Heartbeats dated in the future keep the engines live during the run.
	const runTime = time.Minute
	for e := range engines {
		picker.Registry.MergeAnnouncement(target.Announcement{
			ID: fmt.Sprint(e), Incarnation: 1, Sequence: 1, Kind: target.KindEngine,
			Zone: "a", Region: "r", Model: "m", Version: "v1", BatchSlots: 64,
		}, time.Now().Add(runTime))
	}
	document := config.Document{Models: map[string]config.Model{"m": {ServingVersion: "v1"}}}
	call := &serving.Call{Model: "m", Version: "v1", Snapshot: config.NewSnapshot(document, 1), PromptTokens: 1 + promptBlocks*config.DefaultBlockTokens}
	return picker, serving.PickRequest{Call: call}
}
