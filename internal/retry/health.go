package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// dialFailures in a row open a breaker: nothing listens there.
	dialFailures = 2
	// failuresInRow open a breaker; single failures are left to the retries.
	failuresInRow = 5
	// firstOpen and maxOpen bound how long a breaker stays open.
	firstOpen = time.Second
	maxOpen   = 30 * time.Second
	// slowReturn is how long a target that came back gets less work, so that
	// its empty cache is not flooded.
	slowReturn = 10 * time.Second
	// returnPenalty is added to the expected time to first token at the start
	// of the slow return and shrinks to zero.
	returnPenalty = 500 * time.Millisecond
	// outlierFactor times the median of its peers makes a target an outlier.
	outlierFactor = 3
	// minOutlier keeps differences below human notice from counting.
	minOutlier = 100 * time.Millisecond
	// minSamples and minPeers are needed before a target is judged by speed.
	minSamples = 10
	minPeers   = 3
	// medianAge bounds how old the median of the peers may be.
	medianAge = time.Second
	// smoothing is the weight of a new sample in the moving average.
	smoothing = 0.1
	// forgetAfter drops targets that got no work for long.
	forgetAfter = 10 * time.Minute
)

// Health follows the targets as this VM sees them: one circuit breaker for
// each, and the moving average of its time to first token. It is safe for
// concurrent use.
type Health struct {
	clock serving.Clock

	mu      sync.Mutex
	targets map[string]*state
	swept   time.Time
	// medians of the time to first token by group, as of mediansAt.
	medians   map[string]time.Duration
	mediansAt time.Time
}

// state is what is known of one target.
type state struct {
	incarnation uint64
	group       string
	failures    int
	dialErrors  int
	openFor     time.Duration
	openUntil   time.Time
	probing     bool
	returned    time.Time
	samples     int
	average     time.Duration
	used        time.Time
}

// NewHealth returns a Health that takes every target for good.
func NewHealth(clock serving.Clock) *Health {
	return &Health{clock: clock, targets: make(map[string]*state)}
}

// Usable reports whether a request may be sent to ref. After the breaker's
// time one request at a time may probe it.
func (h *Health) Usable(ref target.Ref) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[ref.ID]
	if !ok || s.incarnation != ref.Incarnation || s.openFor == 0 {
		return true
	}
	return !s.probing && !h.clock().Before(s.openUntil)
}

// Penalty returns what to add to the expected time to first token at ref.
func (h *Health) Penalty(ref target.Ref) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[ref.ID]
	if !ok || s.incarnation != ref.Incarnation {
		return 0
	}
	penalty := h.slow(s)
	if since := h.clock().Sub(s.returned); !s.returned.IsZero() && since < slowReturn {
		penalty += time.Duration(float64(returnPenalty) * (1 - float64(since)/float64(slowReturn)))
	}
	return penalty
}

// slow returns how much longer an outlier takes than its peers.
func (h *Health) slow(s *state) time.Duration {
	if s.samples < minSamples {
		return 0
	}
	h.refreshMedians()
	median, known := h.medians[s.group]
	if !known || s.average < outlierFactor*median || s.average-median < minOutlier {
		return 0
	}
	return s.average - median
}

// refreshMedians computes the median of each group once in a while: routing
// asks for the penalty of every target many times a second.
func (h *Health) refreshMedians() {
	now := h.clock()
	if h.medians != nil && now.Sub(h.mediansAt) < medianAge {
		return
	}
	h.mediansAt = now
	averages := make(map[string][]time.Duration)
	for _, s := range h.targets {
		if s.samples >= minSamples {
			averages[s.group] = append(averages[s.group], s.average)
		}
	}
	h.medians = make(map[string]time.Duration)
	for group, list := range averages {
		if len(list) <= minPeers {
			continue
		}
		slices.Sort(list)
		h.medians[group] = list[len(list)/2]
	}
}

// Begin notes that a request goes to t.
func (h *Health) Begin(t *target.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.get(t)
	s.used = h.clock()
	if s.openFor > 0 {
		s.probing = true
	}
}

// End notes the result of a request that Begin announced.
func (h *Health) End(t *target.Target, result serving.AttemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[t.ID]
	if !ok || s.incarnation != t.Incarnation {
		return
	}
	s.probing = false
	switch judge(result.Err) {
	case good:
		h.succeeded(s, result.FirstToken)
	case bad:
		h.failed(s, result.Err)
	}
}

func (h *Health) get(t *target.Target) *state {
	h.sweep()
	s, ok := h.targets[t.ID]
	if ok && s.incarnation == t.Incarnation {
		return s
	}
	s = &state{incarnation: t.Incarnation, group: t.Model + t.Service}
	if ok {
		// A new incarnation of a known target has an empty cache.
		s.returned = h.clock()
	}
	h.targets[t.ID] = s
	return s
}

func (h *Health) sweep() {
	now := h.clock()
	if now.Sub(h.swept) < forgetAfter {
		return
	}
	h.swept = now
	for id, s := range h.targets {
		if now.Sub(s.used) >= forgetAfter {
			delete(h.targets, id)
		}
	}
}

func (h *Health) succeeded(s *state, first time.Duration) {
	if s.openFor > 0 {
		s.returned = h.clock()
	}
	s.failures, s.dialErrors, s.openFor = 0, 0, 0
	if first <= 0 {
		return
	}
	s.samples++
	if s.samples == 1 {
		s.average = first
		return
	}
	s.average += time.Duration(smoothing * float64(first-s.average))
}

func (h *Health) failed(s *state, err error) {
	s.failures++
	var dial *serving.DialError
	if errors.As(err, &dial) {
		s.dialErrors++
	}
	if s.openFor == 0 && s.failures < failuresInRow && s.dialErrors < dialFailures {
		return
	}
	s.openFor = min(max(2*s.openFor, firstOpen), maxOpen)
	s.openUntil = h.clock().Add(s.openFor)
}

// verdict is what a result says about its target.
type verdict int

const (
	good verdict = iota
	bad
	nothing
)

func judge(err error) verdict {
	var status *serving.StatusError
	var refusal *serving.Refusal
	switch {
	case err == nil:
		return good
	case errors.As(err, &refusal):
		// The body of the caller was at fault.
		return nothing
	case errors.Is(err, serving.ErrAbandoned), errors.Is(err, context.Canceled):
		return nothing
	case errors.Is(err, serving.ErrCallerGone), errors.Is(err, context.DeadlineExceeded):
		return nothing
	case errors.As(err, &status) && status.Status < 500:
		// The target works: it refuses this request, or new work for now.
		return nothing
	}
	return bad
}
