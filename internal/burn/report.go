package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminwing/cuminwing/internal/config"
	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

// Windows are the time spans over which burn rates are computed. alertLevel
// refers to them by index.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, retention}

// Burn rates above which an alert is raised. A page and a ticket each need two
// windows above their rate; the slow ticket needs only the longest window. A
// rate of 14.4 uses 2% of a 30-day budget in an hour, a rate of 6 uses 5% in
// six hours.
const (
	pageBurnRate       = 14.4
	ticketBurnRate     = 6
	slowTicketBurnRate = 1
)

const minutesPerHour = 60

// Report merges the counters of several VMs and evaluates the objectives.
func Report(now time.Time, objectives map[string]config.Objective, summaries []*burnv1.Summary) *burnv1.ReportResponse {
	out := &burnv1.ReportResponse{Time: now.Unix()}
	merged := mergeSeries(summaries)
	for key, buckets := range merged {
		o, ok := objectives[key.objective]
		if !ok {
			continue
		}
		out.Rows = append(out.Rows, evaluateObjective(now, key, o, buckets))
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

func evaluateObjective(now time.Time, key seriesKey, o config.Objective, buckets []*burnv1.Bucket) *burnv1.Row {
	row := &burnv1.Row{
		Objective: key.objective,
		Route:     o.Route,
		Workspace: key.workspace,
		Kind:      o.Kind,
		Target:    o.Target,
	}
	for _, w := range Windows {
		row.Windows = append(row.Windows, evaluateWindow(now, w, o.Target, buckets))
	}
	row.BudgetLeft = 1 - row.Windows[len(row.Windows)-1].Burn
	row.Alert = alertLevel(row.Windows)
	row.Cause = mostFrequentCause(now, buckets)
	row.LastHour = badFractionsLastHour(now, buckets)
	return row
}

func evaluateWindow(now time.Time, span time.Duration, target float64, buckets []*burnv1.Bucket) *burnv1.Window {
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

func alertLevel(w []*burnv1.Window) string {
	burnRate := func(i int) float64 { return w[i].Burn }
	switch {
	case burnRate(0) > pageBurnRate && burnRate(2) > pageBurnRate:
		return "page"
	case burnRate(1) > ticketBurnRate && burnRate(3) > ticketBurnRate:
		return "ticket"
	case burnRate(4) > slowTicketBurnRate:
		return "ticket"
	}
	return ""
}

func mostFrequentCause(now time.Time, buckets []*burnv1.Bucket) string {
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
	mostFrequent := ""
	for cause, n := range counts {
		if mostFrequent == "" || n > counts[mostFrequent] || (n == counts[mostFrequent] && cause < mostFrequent) {
			mostFrequent = cause
		}
	}
	return mostFrequent
}

func badFractionsLastHour(now time.Time, buckets []*burnv1.Bucket) []float64 {
	var good, bad [minutesPerHour]uint64
	first := minuteOf(now) - minutesPerHour + 1
	for _, b := range buckets {
		if i := b.GetMinute() - first; i >= 0 && i < minutesPerHour {
			good[i] += b.GetGood()
			bad[i] += b.GetBad()
		}
	}
	out := make([]float64, minutesPerHour)
	for i := range out {
		out[i] = -1
		if total := good[i] + bad[i]; total > 0 {
			out[i] = float64(bad[i]) / float64(total)
		}
	}
	return out
}

// markWorst marks the workspace with the highest 3-day burn rate of each
// objective.
func markWorst(rows []*burnv1.Row) {
	worst := make(map[string]*burnv1.Row)
	for _, r := range rows {
		burnRate := r.Windows[len(r.Windows)-1].Burn
		if w, ok := worst[r.Objective]; burnRate > 0 && (!ok || burnRate > w.Windows[len(w.Windows)-1].Burn) {
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
			if existing, ok := merged[key]; ok {
				existing.Merge(h)
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
			P50Ms: percentileMS(h, 50),
			P95Ms: percentileMS(h, 95),
			P99Ms: percentileMS(h, 99),
		})
	}
	slices.SortFunc(out, func(a, b *burnv1.Percentiles) int {
		return strings.Compare(a.Route+"/"+a.Kind, b.Route+"/"+b.Kind)
	})
	return out
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
