package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminwing/cuminwing/internal/config"
	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

// Windows are the spans over which burn rates are computed.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, retention}

// Burn rates that raise an alert if both windows exceed them. A rate of 14.4
// uses 2% of a 30-day budget in an hour, a rate of 6 uses 5% in six hours.
const (
	pageBurn   = 14.4
	ticketBurn = 6
	slowBurn   = 1
)

const hourMinutes = 60

// Report merges the counters of several VMs and evaluates the objectives.
func Report(now time.Time, objectives map[string]config.Objective, summaries []*burnv1.Summary) *burnv1.ReportResponse {
	out := &burnv1.ReportResponse{Time: now.Unix()}
	merged := mergeSeries(summaries)
	for key, buckets := range merged {
		o, ok := objectives[key.objective]
		if !ok {
			continue
		}
		out.Rows = append(out.Rows, evaluate(now, key, o, buckets))
	}
	slices.SortFunc(out.Rows, func(a, b *burnv1.Row) int {
		if c := strings.Compare(a.Objective, b.Objective); c != 0 {
			return c
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
	markWorst(out.Rows)
	out.Latencies = mergeLatencies(summaries)
	for _, s := range summaries {
		out.Coverage = append(out.Coverage, &burnv1.Coverage{Vm: s.GetVm(), CoveredSeconds: s.GetCoveredSeconds()})
	}
	slices.SortFunc(out.Coverage, func(a, b *burnv1.Coverage) int { return strings.Compare(a.Vm, b.Vm) })
	return out
}

func mergeSeries(summaries []*burnv1.Summary) map[seriesKey][]*burnv1.Bucket {
	merged := make(map[seriesKey][]*burnv1.Bucket)
	for _, summary := range summaries {
		for _, s := range summary.GetSeries() {
			key := seriesKey{s.GetObjective(), s.GetWorkspace()}
			merged[key] = append(merged[key], s.GetBuckets()...)
		}
	}
	return merged
}

func evaluate(now time.Time, key seriesKey, o config.Objective, buckets []*burnv1.Bucket) *burnv1.Row {
	row := &burnv1.Row{
		Objective: key.objective,
		Route:     o.Route,
		Workspace: key.workspace,
		Kind:      o.Kind,
		Target:    o.Target,
	}
	for _, w := range Windows {
		row.Windows = append(row.Windows, window(now, w, o.Target, buckets))
	}
	row.BudgetLeft = 1 - row.Windows[len(row.Windows)-1].Burn
	row.Alert = alert(row.Windows)
	row.Cause = mainCause(now, buckets)
	row.LastHour = lastHour(now, buckets)
	return row
}

func window(now time.Time, span time.Duration, target float64, buckets []*burnv1.Bucket) *burnv1.Window {
	w := &burnv1.Window{Seconds: int64(span.Seconds())}
	oldest := minuteOf(now.Add(-span))
	for _, b := range buckets {
		if b.GetMinute() > oldest {
			w.Good += b.GetGood()
			w.Bad += b.GetBad()
		}
	}
	if total := w.Good + w.Bad; total > 0 {
		w.Burn = float64(w.Bad) / float64(total) / (1 - target)
	}
	return w
}

func alert(w []*burnv1.Window) string {
	burn := func(i int) float64 { return w[i].Burn }
	switch {
	case burn(0) > pageBurn && burn(2) > pageBurn:
		return "page"
	case burn(1) > ticketBurn && burn(3) > ticketBurn:
		return "ticket"
	case burn(4) > slowBurn:
		return "ticket"
	}
	return ""
}

func mainCause(now time.Time, buckets []*burnv1.Bucket) string {
	counts := make(map[string]uint64)
	oldest := minuteOf(now.Add(-retention))
	for _, b := range buckets {
		if b.GetMinute() <= oldest {
			continue
		}
		for cause, n := range b.GetCauses() {
			counts[cause] += n
		}
	}
	best := ""
	for cause, n := range counts {
		if best == "" || n > counts[best] || (n == counts[best] && cause < best) {
			best = cause
		}
	}
	return best
}

func lastHour(now time.Time, buckets []*burnv1.Bucket) []float64 {
	var good, bad [hourMinutes]uint64
	first := minuteOf(now) - hourMinutes + 1
	for _, b := range buckets {
		if i := b.GetMinute() - first; i >= 0 && i < hourMinutes {
			good[i] += b.GetGood()
			bad[i] += b.GetBad()
		}
	}
	out := make([]float64, hourMinutes)
	for i := range out {
		out[i] = -1
		if total := good[i] + bad[i]; total > 0 {
			out[i] = float64(bad[i]) / float64(total)
		}
	}
	return out
}

// markWorst marks the workspace with the highest 3-day burn of each objective.
func markWorst(rows []*burnv1.Row) {
	worst := make(map[string]*burnv1.Row)
	for _, r := range rows {
		burn := r.Windows[len(r.Windows)-1].Burn
		if w, ok := worst[r.Objective]; burn > 0 && (!ok || burn > w.Windows[len(w.Windows)-1].Burn) {
			worst[r.Objective] = r
		}
	}
	for _, r := range worst {
		r.Worst = true
	}
}

func mergeLatencies(summaries []*burnv1.Summary) []*burnv1.Percentiles {
	merged := make(map[latencyKey]*hdrhistogram.Histogram)
	for _, summary := range summaries {
		for _, l := range summary.GetLatencies() {
			h, err := hdrhistogram.Decode(l.GetHistogram())
			if err != nil {
				continue
			}
			key := latencyKey{l.GetRoute(), l.GetKind()}
			if known, ok := merged[key]; ok {
				known.Merge(h)
			} else {
				merged[key] = h
			}
		}
	}
	var out []*burnv1.Percentiles
	for key, h := range merged {
		out = append(out, &burnv1.Percentiles{
			Route: key.route,
			Kind:  key.kind,
			Count: uint64(h.TotalCount()),
			P50Ms: milliseconds(h, 50),
			P95Ms: milliseconds(h, 95),
			P99Ms: milliseconds(h, 99),
		})
	}
	slices.SortFunc(out, func(a, b *burnv1.Percentiles) int {
		return strings.Compare(a.Route+"/"+a.Kind, b.Route+"/"+b.Kind)
	})
	return out
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
