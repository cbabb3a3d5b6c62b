// Package burn counts good and bad events against the service-level objectives
// and computes how fast the error budget is used up. It does no I/O.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

// Values of config.Objective.Kind.
const (
	KindFirstToken      = "first_token"
	KindTokenGap        = "token_gap"
	KindInRateRefusals  = "in_rate_refusals"
	KindCompleteAnswers = "complete_answers"
)

const (
	// retention is how long events are kept: the span of the longest window.
	retention = 3 * 24 * time.Hour
	// fineRetention is how long one-minute buckets are kept. Older events are
	// merged into buckets of coarseBucketMinutes.
	fineRetention       = 6 * time.Hour
	coarseBucketMinutes = 30
	// maxSeries limits memory to about 40 MB: a busy series has up to 500
	// buckets. Events of further series are counted under otherWorkspace.
	maxSeries = 1024
	// otherWorkspace stands for the workspaces beyond maxSeries.
	otherWorkspace = "(other)"
	// Histograms cover 1 us to 10 min with two significant digits and take
	// about 30 KB each.
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
	causeRefusal    = "refusal"
)

type seriesKey struct{ objective, workspace string }

type latencyKey struct{ route, kind string }

// Tracker holds the counters of one VM. It is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	vm           string
	coveredSince time.Time
	series       map[seriesKey]*series
	latencies    map[latencyKey]*hdrhistogram.Histogram
}

// series holds one bucket per minute with events, oldest first. Old buckets are
// merged by compact.
type series struct {
	buckets []*burnv1.Bucket
}

// NewTracker returns the empty counters of a VM whose coverage starts at now.
func NewTracker(vm string, now time.Time) *Tracker {
	return &Tracker{
		vm:           vm,
		coveredSince: now,
		series:       make(map[seriesKey]*series),
		latencies:    make(map[latencyKey]*hdrhistogram.Histogram),
	}
}

// Observe counts one request against every objective that applies to it.
func (t *Tracker) Observe(now time.Time, objectives map[string]config.Objective, s serving.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLatency(s.Route, KindFirstToken, s.FirstToken)
	t.recordLatency(s.Route, KindTokenGap, s.MaxTokenGap)
	for name, o := range objectives {
		if o.Route != s.Route || (o.Workspace != "" && o.Workspace != s.Workspace) {
			continue
		}
		good, counts := classify(o, s)
		if !counts {
			continue
		}
		t.count(now, seriesKey{name, s.Workspace}, good, badEventCause(s))
	}
}

// classify reports whether a request counts for an objective and whether it was
// a good event.
func classify(o config.Objective, s serving.Sample) (good, counts bool) {
	if isCallerFault(s.Refusal) {
		return false, false
	}
	threshold := time.Duration(o.ThresholdMS) * time.Millisecond
	switch o.Kind {
	case KindFirstToken:
		return s.FirstToken > 0 && s.FirstToken <= threshold, true
	case KindTokenGap:
		return s.MaxTokenGap <= threshold, s.MaxTokenGap > 0
	case KindInRateRefusals:
		return s.Refusal == "" || s.Attempts > 0, true
	case KindCompleteAnswers:
		return s.Complete, s.Attempts > 0
	}
	return false, false
}

// isCallerFault reports whether a refusal code says nothing about the service:
// the caller exceeded its rate, disconnected, or sent a request that cannot
// run.
func isCallerFault(code string) bool {
	switch code {
	case "rate_limit_exceeded", "request_exceeds_burst", "caller_gone", "bad_request",
		"request_refused", "key_withdrawn", "idempotency_mismatch":
		return true
	}
	return false
}

func badEventCause(s serving.Sample) string {
	if s.Refusal != "" && s.Attempts == 0 {
		return causeRefusal
	}
	return s.FirstTokenCause
}

func (t *Tracker) count(now time.Time, key seriesKey, good bool, cause string) {
	s, ok := t.series[key]
	if !ok {
		if len(t.series) >= maxSeries {
			key.workspace = otherWorkspace
			s = t.series[key]
		}
		if s == nil {
			s = &series{}
			t.series[key] = s
		}
	}
	b := s.bucketAt(now)
	if good {
		b.Good++
		return
	}
	b.Bad++
	if b.Causes == nil {
		b.Causes = make(map[string]uint64)
	}
	b.Causes[cause]++
}

func (s *series) bucketAt(now time.Time) *burnv1.Bucket {
	minute := minuteOf(now)
	if n := len(s.buckets); n > 0 && s.buckets[n-1].Minute >= minute {
		return s.buckets[n-1]
	}
	s.compact(now)
	b := &burnv1.Bucket{Minute: minute}
	s.buckets = append(s.buckets, b)
	return b
}

// compact removes the buckets that are older than every window and merges those
// that only the longest window covers.
func (s *series) compact(now time.Time) {
	oldest := minuteOf(now.Add(-retention))
	oldestFine := minuteOf(now.Add(-fineRetention))
	kept := s.buckets[:0]
	for _, b := range s.buckets {
		if b.Minute < oldest {
			continue
		}
		if b.Minute < oldestFine {
			// Uses the last minute of the merged bucket, so that no event
			// leaves a window too early.
			b.Minute = b.Minute/coarseBucketMinutes*coarseBucketMinutes + coarseBucketMinutes - 1
		}
		if n := len(kept); n > 0 && kept[n-1].Minute >= b.Minute {
			mergeBucket(kept[n-1], b)
			continue
		}
		kept = append(kept, b)
	}
	clear(s.buckets[len(kept):])
	s.buckets = kept
}

func mergeBucket(to, from *burnv1.Bucket) {
	to.Good += from.Good
	to.Bad += from.Bad
	for cause, n := range from.Causes {
		if to.Causes == nil {
			to.Causes = make(map[string]uint64, len(from.Causes))
		}
		to.Causes[cause] += n
	}
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (t *Tracker) recordLatency(route, kind string, d time.Duration) {
	if d <= 0 {
		return
	}
	key := latencyKey{route, kind}
	h, ok := t.latencies[key]
	if !ok {
		h = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		t.latencies[key] = h
	}
	_ = h.RecordValue(min(d.Microseconds(), histogramMax))
}

// Summary returns a copy of the counters.
func (t *Tracker) Summary(now time.Time) *burnv1.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &burnv1.Summary{Vm: t.vm, Minute: minuteOf(now) * 60, CoveredSeconds: int64(now.Sub(t.coveredSince).Seconds())}
	for key, s := range t.series {
		s.compact(now)
		out.Series = append(out.Series, s.toProto(key))
	}
	for key, h := range t.latencies {
		data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			continue
		}
		out.Latencies = append(out.Latencies, &burnv1.Latency{Route: key.route, Kind: key.kind, Histogram: data})
	}
	return out
}

func (s *series) toProto(key seriesKey) *burnv1.Series {
	out := &burnv1.Series{Objective: key.objective, Workspace: key.workspace}
	for _, b := range s.buckets {
		c := &burnv1.Bucket{Minute: b.Minute, Good: b.Good, Bad: b.Bad}
		for cause, n := range b.Causes {
			if c.Causes == nil {
				c.Causes = make(map[string]uint64, len(b.Causes))
			}
			c.Causes[cause] = n
		}
		out.Buckets = append(out.Buckets, c)
	}
	return out
}

// Restore continues from the counters in s, which an earlier process of this VM
// stored. The time between the two processes counts as not covered.
func (t *Tracker) Restore(s *burnv1.Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coveredSince = t.coveredSince.Add(-time.Duration(s.GetCoveredSeconds()) * time.Second)
	for _, stored := range s.GetSeries() {
		t.series[seriesKey{stored.GetObjective(), stored.GetWorkspace()}] = &series{buckets: stored.GetBuckets()}
	}
	for _, l := range s.GetLatencies() {
		if h, err := hdrhistogram.Decode(l.GetHistogram()); err == nil {
			t.latencies[latencyKey{l.GetRoute(), l.GetKind()}] = h
		}
	}
}
