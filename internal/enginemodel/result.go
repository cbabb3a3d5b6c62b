package enginemodel

import (
	"slices"
	"time"
)

// Result collects the measures of runs.
type Result struct {
	warmup     time.Duration
	workspaces [][]time.Duration
	refused    int
	prompt     int
	reused     int
	wasted     int
	evictions  int
	ageSum     time.Duration
}

func newResult(c Config) *Result {
	return &Result{warmup: c.Warmup, workspaces: make([][]time.Duration, len(c.Workload.Shares))}
}

func (r *Result) add(q *request, first time.Duration) {
	if q.arrived < r.warmup {
		return
	}
	if first > stallLimit {
		r.refuse(q)
	}
	r.workspaces[q.workspace] = append(r.workspaces[q.workspace], first)
	r.prompt += q.tokens
	r.reused += q.cached
	r.wasted += max(0, q.known-q.cached)
}

func (r *Result) evicted(blocks int, age time.Duration) {
	r.evictions += blocks
	r.ageSum += time.Duration(blocks) * age
}

func (r *Result) refuse(q *request) {
	if q.arrived >= r.warmup {
		r.refused++
	}
}

// Merge adds the samples of another run of the same configuration.
func (r *Result) Merge(other *Result) {
	for i := range r.workspaces {
		r.workspaces[i] = append(r.workspaces[i], other.workspaces[i]...)
	}
	r.refused += other.refused
	r.prompt += other.prompt
	r.reused += other.reused
	r.wasted += other.wasted
	r.evictions += other.evictions
	r.ageSum += other.ageSum
}

// Measures are the five measures of the design page.
type Measures struct {
	// Requests counts the samples.
	Requests int
	// HitRate is the part of the prompt tokens that was reused.
	HitRate float64
	// P50 and P99 are the time to first token.
	P50, P99 time.Duration
	// Waste is the part of the prompt tokens that was computed although a
	// live engine held it when the request was placed.
	Waste float64
	// WorstWorkspace is the p99 of the worst workspace over that of the
	// median workspace.
	WorstWorkspace float64
	// EvictionAge is how long evicted blocks were unused on average.
	EvictionAge time.Duration
	// Refused is the part of requests without a first token in time.
	Refused float64
}

// Measures computes the measures.
func (r *Result) Measures() Measures {
	all := slices.Concat(r.workspaces...)
	m := Measures{Requests: len(all), P50: quantile(all, 0.5), P99: quantile(all, 0.99)}
	m.HitRate = float64(r.reused) / float64(max(1, r.prompt))
	m.Waste = float64(r.wasted) / float64(max(1, r.prompt))
	m.Refused = float64(r.refused) / float64(max(1, len(all)))
	m.EvictionAge = r.ageSum / time.Duration(max(1, r.evictions))
	var tails []time.Duration
	for _, samples := range r.workspaces {
		tails = append(tails, quantile(samples, 0.99))
	}
	m.WorstWorkspace = float64(slices.Max(tails)) / float64(max(1, quantile(tails, 0.5)))
	return m
}

// FirstTokens returns all samples in order.
func (r *Result) FirstTokens() []time.Duration {
	all := slices.Concat(r.workspaces...)
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
