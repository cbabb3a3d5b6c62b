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

// Summary holds the five measures of a run, the counts behind them, and the
// violated guarantees.
type Summary struct {
	// Requests, Complete, Refused and Failed count model requests.
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// HitRate is the fraction of the prompt tokens that engines had cached.
	HitRate float64 `json:"prefix_hit_rate"`
	// FirstToken is the time to first token in milliseconds.
	FirstToken Quantiles `json:"first_token_ms"`
	// Recomputed is the fraction of the prompt tokens that engines computed
	// although the same block had been computed before.
	Recomputed float64 `json:"recomputed_fraction"`
	// Wasted is the ratio of tokens spent on failed attempts to prompt tokens.
	Wasted float64 `json:"wasted_fraction"`
	// WorstRatio is the highest p99 time to first token of any workspace
	// divided by that of the median workspace. Only workspaces whose load
	// stays within their rate are compared.
	WorstRatio     float64 `json:"worst_workspace_ratio"`
	WorstWorkspace string  `json:"worst_workspace"`
	// InRate counts the requests sent while the workspace was within its rate
	// and burst, RefusedInRate those of them that were refused for the rate.
	// Only workspaces whose overall load stays within their rate are included.
	// In a workspace that exceeds its rate, the requests compete with each
	// other for the same tokens; its own row has the counts.
	InRate        int `json:"in_rate_requests"`
	RefusedInRate int `json:"refused_in_rate"`
	// ExcessTokens is the highest number of tokens that a workspace received
	// above rate x T + burst, for any period T. The rate guarantee holds if it
	// is zero or less.
	ExcessTokens float64 `json:"tokens_over_rate_and_burst"`
	// Orders is the number of at-most-once orders.
	Orders int `json:"orders"`
	// Codes counts refusals and failures by error code.
	Codes map[string]int `json:"codes,omitempty"`
	// Workspaces has a row per workspace.
	Workspaces []WorkspaceSummary `json:"workspaces"`
	// Violations lists the violated guarantees.
	Violations []string `json:"broken_promises,omitempty"`
}

// WorkspaceSummary holds the measures of one workspace.
type WorkspaceSummary struct {
	Name       string    `json:"name"`
	Requests   int       `json:"requests"`
	Complete   int       `json:"complete"`
	Refused    int       `json:"refused"`
	FirstToken Quantiles `json:"first_token_ms"`
	// InRate and RefusedInRate are defined as in Summary, but counted for
	// every workspace.
	InRate        int `json:"in_rate_requests"`
	RefusedInRate int `json:"refused_in_rate"`
}

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Counters holds token counters summed over all VMs. They are read at the end of
// the warm-up and at the end of the run.
type Counters struct {
	PromptTokens int64
	CachedTokens int64
	WastedTokens int64
}

// Since returns the increase of the counters since earlier.
func (c Counters) Since(earlier Counters) Counters {
	return Counters{
		PromptTokens: c.PromptTokens - earlier.PromptTokens,
		CachedTokens: c.CachedTokens - earlier.CachedTokens,
		WastedTokens: c.WastedTokens - earlier.WastedTokens,
	}
}

// Run sends the planned requests as an open loop: each at its planned time,
// without waiting for earlier responses. It returns the results in the order of
// the plan.
func (c *Caller) Run(ctx context.Context, p *Profile, plan []Request, progress func(done, sent int)) []Result {
	results := make([]Result, len(plan))
	start := time.Now()
	var mu sync.Mutex
	done := 0
	var sends sync.WaitGroup
	for i, r := range plan {
		if !sleepUntil(ctx, start.Add(r.SendOffset)) {
			results = results[:i]
			break
		}
		sends.Go(func() {
			sentOffset := time.Since(start)
			result := c.SendRequest(ctx, p, r)
			result.SentOffset = sentOffset
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

// Summarize evaluates the results. Requests sent before the end of the warm-up
// count only for the violated guarantees, the token buckets of checkRates and
// uniqueTokens. counters must not include the warm-up.
func Summarize(p *Profile, d config.Document, results []Result, counters Counters, warmup time.Duration) Summary {
	s := Summary{Codes: make(map[string]int)}
	var latencies []time.Duration
	perWorkspace := make([][]time.Duration, len(p.Workspaces))
	s.Workspaces = make([]WorkspaceSummary, len(p.Workspaces))
	for i, w := range p.Workspaces {
		s.Workspaces[i].Name = w.Name
	}
	for _, r := range results {
		if r.Violation != "" {
			s.Violations = append(s.Violations, r.Violation)
		}
		if r.SentOffset < warmup {
			continue
		}
		row := &s.Workspaces[r.Request.Workspace]
		s.countResult(r, row)
		if r.FirstToken > 0 {
			latencies = append(latencies, r.FirstToken)
			perWorkspace[r.Request.Workspace] = append(perWorkspace[r.Request.Workspace], r.FirstToken)
		}
	}
	s.FirstToken = quantiles(latencies)
	for i := range s.Workspaces {
		s.Workspaces[i].FirstToken = quantiles(perWorkspace[i])
	}
	s.setWorstWorkspace(p)
	s.checkRates(p, d, results, warmup)
	if counters.PromptTokens > 0 {
		s.HitRate = float64(counters.CachedTokens) / float64(counters.PromptTokens)
		s.Wasted = float64(counters.WastedTokens) / float64(counters.PromptTokens)
		s.Recomputed = max(0, float64(counters.PromptTokens-counters.CachedTokens-uniqueTokens(p, results))/float64(counters.PromptTokens))
	}
	return s
}

func (s *Summary) countResult(r Result, row *WorkspaceSummary) {
	s.Requests++
	row.Requests++
	switch {
	case r.Status == 200 && r.Code == "":
		s.Complete++
		row.Complete++
	case r.RunState == "not-run":
		s.Refused++
		row.Refused++
		s.Codes[r.Code]++
	default:
		s.Failed++
		s.Codes[r.Code]++
	}
}

// setWorstWorkspace compares the workspaces whose load stays within their rate.
func (s *Summary) setWorstWorkspace(p *Profile) {
	var inRate []WorkspaceSummary
	for i, w := range s.Workspaces {
		if p.Workspaces[i].RateFactor >= 1 && w.Complete > 0 {
			inRate = append(inRate, w)
		}
	}
	if len(inRate) == 0 {
		return
	}
	slices.SortFunc(inRate, func(a, b WorkspaceSummary) int { return cmp.Compare(a.FirstToken.P99, b.FirstToken.P99) })
	worst := inRate[len(inRate)-1]
	s.WorstWorkspace = worst.Name
	s.WorstRatio = worst.FirstToken.P99 / inRate[len(inRate)/2].FirstToken.P99
}

// checkRates simulates one token bucket per workspace for the whole service. A
// refusal counts as in rate if the bucket had enough tokens for the request. The
// tokens of complete responses are compared with rate and burst over all periods.
func (s *Summary) checkRates(p *Profile, d config.Document, results []Result, warmup time.Duration) {
	for i, w := range p.Workspaces {
		rate := d.Rates[w.Name]
		tokensAvailable, last := rate.BurstTokens, time.Duration(0)
		sum, lowest := 0.0, 0.0
		for _, r := range sortedBySendTime(results, i) {
			tokensAvailable = min(rate.BurstTokens, tokensAvailable+rate.RateTokensPerSecond*(r.SentOffset-last).Seconds())
			last = r.SentOffset
			tokens := chargedTokens(p, r)
			inRate := tokensAvailable >= tokens
			if inRate {
				tokensAvailable -= tokens
			}
			if inRate && r.SentOffset >= warmup {
				s.Workspaces[i].InRate++
				if r.Code == "rate_limit_exceeded" {
					s.Workspaces[i].RefusedInRate++
				}
			}
			if r.Status == 200 && r.Code == "" {
				refill := rate.RateTokensPerSecond * r.SentOffset.Seconds()
				lowest = min(lowest, sum-refill)
				sum += tokens
				s.ExcessTokens = max(s.ExcessTokens, sum-refill-lowest-rate.BurstTokens)
			}
		}
		if w.RateFactor >= 1 {
			s.InRate += s.Workspaces[i].InRate
			s.RefusedInRate += s.Workspaces[i].RefusedInRate
		}
	}
}

func sortedBySendTime(results []Result, workspace int) []Result {
	var out []Result
	for _, r := range results {
		if r.Request.Workspace == workspace {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Result) int { return cmp.Compare(a.SentOffset, b.SentOffset) })
	return out
}

// chargedTokens returns the tokens charged for the request: its prompt and the
// maximum length of its response.
func chargedTokens(p *Profile, r Result) float64 {
	return float64(len(r.Request.Prompt)/bytesPerToken + p.Models[r.Request.Model].AnswerTokens)
}

// uniqueTokens returns the number of prompt tokens that must be computed even
// with a perfect cache: every block once per workspace and model, and the
// incomplete last block of every prompt.
func uniqueTokens(p *Profile, results []Result) int64 {
	seen := make(map[uint64]struct{})
	var sum int64
	for _, r := range results {
		if r.Status != 200 {
			continue
		}
		prompt := r.Request.Prompt
		scope := p.Workspaces[r.Request.Workspace].Name + "/" + p.Models[r.Request.Model].Name + "/"
		fullBlockBytes := len(prompt) / blockBytes * blockBytes
		sum += int64((len(prompt) - fullBlockBytes) / bytesPerToken)
		for end := blockBytes; end <= fullBlockBytes; end += blockBytes {
			key := xxhash.Sum64String(scope + prompt[:end])
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
