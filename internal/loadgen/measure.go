package loadgen

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/config"
)

// Measures are the five measures of a run, and what they are made of.
type Measures struct {
	// Requests, Complete, Refused and Failed count model requests.
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// HitRate is the part of the prompt tokens that engines had cached.
	HitRate float64 `json:"prefix_hit_rate"`
	// FirstToken is the time to first token in milliseconds.
	FirstToken Quantiles `json:"first_token_ms"`
	// Recomputed is the part of the prompt tokens that was computed although
	// the same block had been computed before.
	Recomputed float64 `json:"recomputed_fraction"`
	// Wasted is the part of the prompt tokens spent on attempts that failed.
	Wasted float64 `json:"wasted_fraction"`
	// WorstRatio is the p99 time to first token of the worst-served
	// workspace over the median workspace's, among those inside their rate.
	WorstRatio     float64 `json:"worst_workspace_ratio"`
	WorstWorkspace string  `json:"worst_workspace"`
	// InRate and RefusedInRate count requests that came while the workspace
	// was inside its rate and burst, over the workspaces that stay inside on
	// the whole. A workspace that exceeds its rate competes with itself for
	// the same tokens; its own row has the count.
	InRate        int `json:"in_rate_requests"`
	RefusedInRate int `json:"refused_in_rate"`
	// OverRate is the highest number of tokens that a workspace got above
	// rate x T + burst; zero or less keeps the promise.
	OverRate float64 `json:"tokens_over_rate_and_burst"`
	// Orders is the number of at-most-once orders.
	Orders int `json:"orders"`
	// Codes counts refusals and failures by code.
	Codes map[string]int `json:"codes,omitempty"`
	// Workspaces has a row per workspace.
	Workspaces []WorkspaceMeasures `json:"workspaces"`
	// Broken lists broken promises.
	Broken []string `json:"broken_promises,omitempty"`
}

// WorkspaceMeasures is the part of one workspace.
type WorkspaceMeasures struct {
	Name       string    `json:"name"`
	Requests   int       `json:"requests"`
	Complete   int       `json:"complete"`
	Refused    int       `json:"refused"`
	FirstToken Quantiles `json:"first_token_ms"`
	// InRate and RefusedInRate are as in Measures.
	InRate        int `json:"in_rate_requests"`
	RefusedInRate int `json:"refused_in_rate"`
}

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Counters are sums over all VMs, read before and after a run.
type Counters struct {
	PromptTokens int64
	CachedTokens int64
	WastedTokens int64
}

// Since returns what was counted after earlier.
func (c Counters) Since(earlier Counters) Counters {
	return Counters{
		PromptTokens: c.PromptTokens - earlier.PromptTokens,
		CachedTokens: c.CachedTokens - earlier.CachedTokens,
		WastedTokens: c.WastedTokens - earlier.WastedTokens,
	}
}

// Run sends the planned requests at their times, whether or not earlier ones
// have been answered, and returns the results in order of planning.
func (c *Caller) Run(ctx context.Context, p *Profile, plan []Request, progress func(done, sent int)) []Result {
	results := make([]Result, len(plan))
	start := time.Now()
	var mu sync.Mutex
	done := 0
	var sends sync.WaitGroup
	for i, r := range plan {
		if !sleepUntil(ctx, start.Add(r.At)) {
			results = results[:i]
			break
		}
		sends.Go(func() {
			started := time.Since(start)
			result := c.Complete(ctx, p, r)
			result.Started = started
			mu.Lock()
			defer mu.Unlock()
			results[i] = result
			done++
		})
		mu.Lock()
		progress(done, i+1)
		mu.Unlock()
	}
	sends.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// Measure evaluates the results. Results that started before warmup count
// only for the checks of promises.
func Measure(p *Profile, d config.Document, results []Result, used Counters, warmup time.Duration) Measures {
	m := Measures{Codes: make(map[string]int)}
	var latencies []time.Duration
	perWorkspace := make([][]time.Duration, len(p.Workspaces))
	m.Workspaces = make([]WorkspaceMeasures, len(p.Workspaces))
	for i, w := range p.Workspaces {
		m.Workspaces[i].Name = w.Name
	}
	for _, r := range results {
		if r.Broken != "" {
			m.Broken = append(m.Broken, r.Broken)
		}
		if r.Started < warmup {
			continue
		}
		row := &m.Workspaces[r.Request.Workspace]
		m.count(r, row)
		if r.FirstToken > 0 {
			latencies = append(latencies, r.FirstToken)
			perWorkspace[r.Request.Workspace] = append(perWorkspace[r.Request.Workspace], r.FirstToken)
		}
	}
	m.FirstToken = quantiles(latencies)
	for i := range m.Workspaces {
		m.Workspaces[i].FirstToken = quantiles(perWorkspace[i])
	}
	m.worst(p)
	m.rates(p, d, results, warmup)
	if used.PromptTokens > 0 {
		m.HitRate = float64(used.CachedTokens) / float64(used.PromptTokens)
		m.Wasted = float64(used.WastedTokens) / float64(used.PromptTokens)
		m.Recomputed = max(0, float64(used.PromptTokens-used.CachedTokens-uniqueTokens(p, results))/float64(used.PromptTokens))
	}
	return m
}

func (m *Measures) count(r Result, row *WorkspaceMeasures) {
	m.Requests++
	row.Requests++
	switch {
	case r.Status == 200 && r.Code == "":
		m.Complete++
		row.Complete++
	case r.Run == "not-run":
		m.Refused++
		row.Refused++
		m.Codes[r.Code]++
	default:
		m.Failed++
		m.Codes[r.Code]++
	}
}

// worst compares the workspaces that stay inside their rate.
func (m *Measures) worst(p *Profile) {
	var inRate []WorkspaceMeasures
	for i, w := range m.Workspaces {
		if p.Workspaces[i].RateFactor >= 1 && w.Complete > 0 {
			inRate = append(inRate, w)
		}
	}
	if len(inRate) == 0 {
		return
	}
	slices.SortFunc(inRate, func(a, b WorkspaceMeasures) int { return cmp.Compare(a.FirstToken.P99, b.FirstToken.P99) })
	worst := inRate[len(inRate)-1]
	m.WorstWorkspace = worst.Name
	m.WorstRatio = worst.FirstToken.P99 / inRate[len(inRate)/2].FirstToken.P99
}

// rates follows each workspace's bucket as if it were one: a refusal counts as
// in rate if the bucket had the tokens, and admitted tokens must fit into it.
func (m *Measures) rates(p *Profile, d config.Document, results []Result, warmup time.Duration) {
	for i, w := range p.Workspaces {
		rate := d.Rates[w.Name]
		level, last := rate.BurstTokens, time.Duration(0)
		sum, lowest := 0.0, 0.0
		for _, r := range byStart(results, i) {
			level = min(rate.BurstTokens, level+rate.RateTokensPerSecond*(r.Started-last).Seconds())
			last = r.Started
			tokens := chargedTokens(p, r)
			inside := level >= tokens
			if inside {
				level -= tokens
			}
			if inside && r.Started >= warmup {
				m.Workspaces[i].InRate++
				if r.Code == "rate_limit_exceeded" {
					m.Workspaces[i].RefusedInRate++
				}
			}
			if r.Status == 200 && r.Code == "" {
				refill := rate.RateTokensPerSecond * r.Started.Seconds()
				lowest = min(lowest, sum-refill)
				sum += tokens
				m.OverRate = max(m.OverRate, sum-refill-lowest-rate.BurstTokens)
			}
		}
		if w.RateFactor >= 1 {
			m.InRate += m.Workspaces[i].InRate
			m.RefusedInRate += m.Workspaces[i].RefusedInRate
		}
	}
}

func byStart(results []Result, workspace int) []Result {
	var out []Result
	for _, r := range results {
		if r.Request.Workspace == workspace {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Result) int { return cmp.Compare(a.Started, b.Started) })
	return out
}

// chargedTokens is what the request costs: its prompt and its answer.
func chargedTokens(p *Profile, r Result) float64 {
	return float64(len(r.Request.Prompt)/bytesPerToken + p.Models[r.Request.Model].AnswerTokens)
}

// uniqueTokens is the prefill that no cache can save: every block once per
// workspace and model.
func uniqueTokens(p *Profile, results []Result) int64 {
	seen := make(map[uint64]struct{})
	var sum int64
	for _, r := range results {
		if r.Status != 200 {
			continue
		}
		text := r.Request.Prompt
		scope := p.Workspaces[r.Request.Workspace].Name + "/" + p.Models[r.Request.Model].Name + "/"
		whole := len(text) / blockBytes * blockBytes
		sum += int64((len(text) - whole) / bytesPerToken)
		for end := blockBytes; end <= whole; end += blockBytes {
			key := xxhash.Sum64String(scope + text[:end])
			if _, ok := seen[key]; !ok {
				seen[key] = struct{}{}
				sum += BlockTokens
			}
		}
	}
	return sum
}

func quantiles(d []time.Duration) Quantiles {
	if len(d) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(d))
	at := func(q float64) float64 {
		return float64(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Microseconds()) / 1000
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}
