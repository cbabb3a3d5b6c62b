package burn

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

var objectives = map[string]config.Objective{
	"grade-fast":  {Route: "grade", Kind: KindFirstToken, ThresholdMS: 840, Target: 0.95},
	"grade-whole": {Route: "grade", Kind: KindCompleteAnswers, Target: 0.99},
}

func observe(t *Tracker, now time.Time, workspace string, good, bad int) {
	for i := range good + bad {
		s := serving.Sample{Route: "grade", Workspace: workspace, FirstToken: 100 * time.Millisecond, Complete: true, Attempts: 1, FirstTokenCause: "prefill"}
		if i < bad {
			s.FirstToken = 2 * time.Second
		}
		t.Observe(now, objectives, s)
	}
}

func row(r *burnv1.ReportResponse, objective, workspace string) *burnv1.Row {
	for _, row := range r.Rows {
		if row.Objective == objective && row.Workspace == workspace {
			return row
		}
	}
	return nil
}

// Guards against burn rates over wrong windows, and against VMs whose rates are
// averaged instead of their counters being added.
func TestBurnRatesAreMergedOverVMs(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	now := start.Add(2 * time.Hour)
	a := NewTracker("a", start)
	b := NewTracker("b", start)
	observe(a, start.Add(time.Minute), "yards", 0, 100)
	observe(a, now, "yards", 90, 10)
	observe(b, now, "yards", 300, 0)
	observe(b, now, "lorries", 100, 0)
	report := Report(now, objectives, []*burnv1.Summary{a.Summary(now), b.Summary(now)})
	yards := row(report, "grade-fast", "yards")
	for i, want := range []float64{10.0 / 400 / 0.05, 0.5, 0.5, 110.0 / 500 / 0.05, 110.0 / 500 / 0.05} {
		if got := yards.Windows[i].Burn; math.Abs(got-want) > 1e-9 {
			t.Errorf("burn rate over %v is %v, want %v", Windows[i], got, want)
		}
	}
	if !yards.Worst || yards.Cause != "prefill" || yards.Alert != "ticket" {
		t.Errorf("yards: worst %v, cause %q, alert %q; want true, \"prefill\" and \"ticket\"", yards.Worst, yards.Cause, yards.Alert)
	}
	if lorries := row(report, "grade-fast", "lorries"); lorries.BudgetLeft != 1 || lorries.Worst {
		t.Errorf("lorries: budget left %v, worst %v; want 1 and false", lorries.BudgetLeft, lorries.Worst)
	}
}

// Guards against rate-limit refusals that consume the error budget, and against
// overload refusals that do not.
func TestOnlyServiceFaultsConsumeErrorBudget(t *testing.T) {
	for _, c := range []struct {
		desc   string
		sample serving.Sample
		bad    uint64
	}{
		{"over its rate", serving.Sample{Refusal: "rate_limit_exceeded"}, 0},
		{"overload", serving.Sample{Refusal: "queue_full"}, 1},
		{"target failed before the first token", serving.Sample{Refusal: "target_failed", Attempts: 3}, 1},
	} {
		now := time.Unix(1_800_000_000, 0)
		tracker := NewTracker("a", now)
		c.sample.Route, c.sample.Workspace = "grade", "yards"
		tracker.Observe(now, objectives, c.sample)
		report := Report(now, objectives, []*burnv1.Summary{tracker.Summary(now)})
		got := uint64(0)
		if r := row(report, "grade-fast", "yards"); r != nil {
			got = r.Windows[0].Bad
		}
		if got != c.bad {
			t.Errorf("%s: %d bad events, want %d", c.desc, got, c.bad)
		}
	}
}

// Guards against memory that grows without limit with the number of workspaces.
func TestSeriesAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tracker := NewTracker("a", now)
	for i := range 3 * maxSeries {
		observe(tracker, now, fmt.Sprint("w", i), 1, 0)
	}
	if n := len(tracker.Summary(now).GetSeries()); n > maxSeries+len(objectives) {
		t.Fatalf("%d series, maxSeries is %d", n, maxSeries)
	}
}

// Guards against counters that a restart loses or counts twice.
func TestCountersSurviveARestart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	before := NewTracker("a", start)
	observe(before, start.Add(time.Minute), "yards", 8, 2)
	stored := before.Summary(start.Add(2 * time.Minute))
	now := start.Add(5 * time.Minute)
	after := NewTracker("a", now)
	after.Restore(stored)
	observe(after, now, "yards", 10, 0)
	summary := after.Summary(now)
	report := Report(now, objectives, []*burnv1.Summary{summary})
	w := row(report, "grade-fast", "yards").Windows[2]
	if w.Good != 18 || w.Bad != 2 {
		t.Errorf("good %d, bad %d, want 18 and 2", w.Good, w.Bad)
	}
	if summary.GetCoveredSeconds() != 120 {
		t.Errorf("covered %d s, want 120 because the VM was down for 180 s", summary.GetCoveredSeconds())
	}
}

// Guards against memory that grows with every minute of the longest window, and
// against events that are lost when the buckets of single minutes are merged.
func TestOldMinutesAreMerged(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tracker := NewTracker("a", start)
	now := start
	for range 48 * 60 {
		observe(tracker, now, "yards", 1, 0)
		now = now.Add(time.Minute)
	}
	summary := tracker.Summary(now)
	if n := len(summary.GetSeries()[0].GetBuckets()); n > 500 {
		t.Errorf("%d buckets after two days, want at most 500", n)
	}
	w := row(Report(now, objectives, []*burnv1.Summary{summary}), "grade-fast", "yards").Windows
	if w[3].Good < 359 || w[3].Good > 390 || w[4].Good != 48*60 {
		t.Errorf("%d events in 6 h and %d in 3 days, want 360 to 390 and 2880", w[3].Good, w[4].Good)
	}
}
