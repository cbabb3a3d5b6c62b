package enginemodel

import (
	"slices"
	"time"
)

// Result collects the samples of one or more runs.
type Result struct {
	warmup           time.Duration
	firstTokens      [][]time.Duration
	refused          int
	promptTokens     int
	reusedTokens     int
	recomputedTokens int
	evictions        int
	evictionAgeSum   time.Duration
}

func newResult(c Config) *Result {
	return &Result{warmup: c.Warmup, firstTokens: make([][]time.Duration, len(c.Workload.Shares))}
}

func (r *Result) recordFirstToken(q *request, first time.Duration) {
	if q.arrived < r.warmup {
		return
	}
	if first > firstTokenTimeout {
		r.recordRefusal(q)
	}
	r.firstTokens[q.workspace] = append(r.firstTokens[q.workspace], first)
	r.promptTokens += q.promptTokens
	r.reusedTokens += q.cachedTokens
	r.recomputedTokens += max(0, q.reusableTokens-q.cachedTokens)
}

func (r *Result) recordEvictions(blocks int, age time.Duration) {
	r.evictions += blocks
	r.evictionAgeSum += time.Duration(blocks) * age
}

func (r *Result) recordRefusal(q *request) {
	if q.arrived >= r.warmup {
		r.refused++
	}
}

// Merge adds the samples of another run of the same configuration.
func (r *Result) Merge(other *Result) {
	for i := range r.firstTokens {
		r.firstTokens[i] = append(r.firstTokens[i], other.firstTokens[i]...)
	}
	r.refused += other.refused
	r.promptTokens += other.promptTokens
	r.reusedTokens += other.reusedTokens
	r.recomputedTokens += other.recomputedTokens
	r.evictions += other.evictions
	r.evictionAgeSum += other.evictionAgeSum
}

// Summary holds the five metrics of the design page.
type Summary struct {
	// Requests is the number of samples.
	Requests int
	// HitRate is the fraction of the prompt tokens that were reused.
	HitRate float64
	// P50 and P99 are percentiles of the time to first token.
	P50, P99 time.Duration
	// RecomputedFraction is the fraction of the prompt tokens that were
	// computed although a live engine held them when the request was placed.
	RecomputedFraction float64
	// WorstWorkspaceRatio is the p99 of the worst workspace divided by that of
	// the median workspace.
	WorstWorkspaceRatio float64
	// EvictionAge is the mean time between the last use of a block and its
	// eviction.
	EvictionAge time.Duration
	// Refused is the fraction of requests that got no first token in time.
	Refused float64
}

// Summarize computes the metrics from the samples.
func (r *Result) Summarize() Summary {
	all := slices.Concat(r.firstTokens...)
	m := Summary{Requests: len(all), P50: quantile(all, 0.5), P99: quantile(all, 0.99)}
	m.HitRate = float64(r.reusedTokens) / float64(max(1, r.promptTokens))
	m.RecomputedFraction = float64(r.recomputedTokens) / float64(max(1, r.promptTokens))
	m.Refused = float64(r.refused) / float64(max(1, len(all)))
	m.EvictionAge = r.evictionAgeSum / time.Duration(max(1, r.evictions))
	var tails []time.Duration
	for _, samples := range r.firstTokens {
		tails = append(tails, quantile(samples, 0.99))
	}
	m.WorstWorkspaceRatio = float64(slices.Max(tails)) / float64(max(1, quantile(tails, 0.5)))
	return m
}

// FirstTokens returns all times to first token in ascending order.
func (r *Result) FirstTokens() []time.Duration {
	all := slices.Concat(r.firstTokens...)
	slices.Sort(all)
	return all
}

func quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
