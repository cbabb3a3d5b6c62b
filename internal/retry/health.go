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
	// dialFailureThreshold is the number of consecutive failed dials that opens
	// a breaker. Two are enough, because a failed dial means that nothing
	// listens there.
	dialFailureThreshold = 2
	// failureThreshold is the number of consecutive failures that opens a
	// breaker. Retries handle single failures.
	failureThreshold = 5
	// initialOpenTime and maxOpenTime limit how long a breaker stays open.
	initialOpenTime = time.Second
	maxOpenTime     = 30 * time.Second
	// slowStartTime is how long a recovered target gets less work, so that it is
	// not overloaded while its cache is empty.
	slowStartTime = 10 * time.Second
	// slowStartPenalty is added to the expected time to first token at the
	// beginning of the slow start. It decreases to zero over slowStartTime.
	slowStartPenalty = 500 * time.Millisecond
	// outlierFactor is the multiple of the median of its peers from which a
	// target counts as an outlier.
	outlierFactor = 3
	// minOutlierDelay excludes differences that people do not notice.
	minOutlierDelay = 100 * time.Millisecond
	// minSamples and minPeers are required before a target is judged by its
	// speed.
	minSamples = 10
	minPeers   = 3
	// medianRefreshInterval limits the age of the median of the peers.
	medianRefreshInterval = time.Second
	// averageWeight is the weight of a new sample in the moving average.
	averageWeight = 0.1
	// idleTargetTimeout is how long a target gets no requests before its state
	// is deleted.
	idleTargetTimeout = 10 * time.Minute
)

// Health tracks the targets as this VM sees them: a circuit breaker and the
// moving average of the time to first token for each target. It is safe for
// concurrent use.
type Health struct {
	clock serving.Clock

	mu        sync.Mutex
	targets   map[string]*targetState
	lastSweep time.Time
	// medians are the medians of the time to first token by group, computed at
	// mediansUpdated.
	medians        map[string]time.Duration
	mediansUpdated time.Time
}

// targetState is what is known about one target.
type targetState struct {
	incarnation         uint64
	group               string
	consecutiveFailures int
	dialFailures        int
	openTime            time.Duration
	openUntil           time.Time
	probing             bool
	recovered           time.Time
	samples             int
	averageFirstToken   time.Duration
	lastUsed            time.Time
}

// NewHealth returns a Health that considers every target healthy.
func NewHealth(clock serving.Clock) *Health {
	return &Health{clock: clock, targets: make(map[string]*targetState)}
}

// Usable reports whether a request may be sent to ref. When the open time of a
// breaker has passed, one request at a time may probe the target.
func (h *Health) Usable(ref target.Ref) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[ref.ID]
	if !ok || s.incarnation != ref.Incarnation || s.openTime == 0 {
		return true
	}
	return !s.probing && !h.clock().Before(s.openUntil)
}

// Penalty returns the time to add to the expected time to first token at ref.
func (h *Health) Penalty(ref target.Ref) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[ref.ID]
	if !ok || s.incarnation != ref.Incarnation {
		return 0
	}
	penalty := h.outlierDelay(s)
	if since := h.clock().Sub(s.recovered); !s.recovered.IsZero() && since < slowStartTime {
		penalty += time.Duration(float64(slowStartPenalty) * (1 - float64(since)/float64(slowStartTime)))
	}
	return penalty
}

// outlierDelay returns how much longer an outlier takes than the median of its
// peers. It is zero for other targets.
func (h *Health) outlierDelay(s *targetState) time.Duration {
	if s.samples < minSamples {
		return 0
	}
	h.refreshMedians()
	median, known := h.medians[s.group]
	if !known || s.averageFirstToken < outlierFactor*median || s.averageFirstToken-median < minOutlierDelay {
		return 0
	}
	return s.averageFirstToken - median
}

// refreshMedians computes the median of each group at most once per
// medianRefreshInterval, because routing asks for the penalty of every target
// many times per second.
func (h *Health) refreshMedians() {
	now := h.clock()
	if h.medians != nil && now.Sub(h.mediansUpdated) < medianRefreshInterval {
		return
	}
	h.mediansUpdated = now
	averages := make(map[string][]time.Duration)
	for _, s := range h.targets {
		if s.samples >= minSamples {
			averages[s.group] = append(averages[s.group], s.averageFirstToken)
		}
	}
	h.medians = make(map[string]time.Duration)
	for group, sorted := range averages {
		if len(sorted) <= minPeers {
			continue
		}
		slices.Sort(sorted)
		h.medians[group] = sorted[len(sorted)/2]
	}
}

// Begin records that a request is sent to t.
func (h *Health) Begin(t *target.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateOf(t)
	s.lastUsed = h.clock()
	if s.openTime > 0 {
		s.probing = true
	}
}

// End records the result of a request for which Begin was called.
func (h *Health) End(t *target.Target, result serving.AttemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.targets[t.ID]
	if !ok || s.incarnation != t.Incarnation {
		return
	}
	s.probing = false
	switch classify(result.Err) {
	case outcomeSuccess:
		h.recordSuccess(s, result.FirstToken)
	case outcomeFailure:
		h.recordFailure(s, result.Err)
	}
}

func (h *Health) stateOf(t *target.Target) *targetState {
	h.dropIdleTargets()
	s, ok := h.targets[t.ID]
	if ok && s.incarnation == t.Incarnation {
		return s
	}
	s = &targetState{incarnation: t.Incarnation, group: t.Model + t.Service}
	if ok {
		// A new incarnation of a known target has an empty cache.
		s.recovered = h.clock()
	}
	h.targets[t.ID] = s
	return s
}

func (h *Health) dropIdleTargets() {
	now := h.clock()
	if now.Sub(h.lastSweep) < idleTargetTimeout {
		return
	}
	h.lastSweep = now
	for id, s := range h.targets {
		if now.Sub(s.lastUsed) >= idleTargetTimeout {
			delete(h.targets, id)
		}
	}
}

func (h *Health) recordSuccess(s *targetState, firstToken time.Duration) {
	if s.openTime > 0 {
		s.recovered = h.clock()
	}
	s.consecutiveFailures, s.dialFailures, s.openTime = 0, 0, 0
	if firstToken <= 0 {
		return
	}
	s.samples++
	if s.samples == 1 {
		s.averageFirstToken = firstToken
		return
	}
	s.averageFirstToken += time.Duration(averageWeight * float64(firstToken-s.averageFirstToken))
}

func (h *Health) recordFailure(s *targetState, err error) {
	s.consecutiveFailures++
	var dial *serving.DialError
	if errors.As(err, &dial) {
		s.dialFailures++
	}
	if s.openTime == 0 && s.consecutiveFailures < failureThreshold && s.dialFailures < dialFailureThreshold {
		return
	}
	s.openTime = min(max(2*s.openTime, initialOpenTime), maxOpenTime)
	s.openUntil = h.clock().Add(s.openTime)
}

// outcome is what the result of an attempt says about its target.
type outcome int

const (
	outcomeSuccess outcome = iota
	outcomeFailure
	outcomeNeutral
)

func classify(err error) outcome {
	var status *serving.StatusError
	var refusal *serving.Refusal
	switch {
	case err == nil:
		return outcomeSuccess
	case errors.As(err, &refusal):
		// The caller's request body was at fault.
		return outcomeNeutral
	case errors.Is(err, serving.ErrAbandoned), errors.Is(err, context.Canceled):
		return outcomeNeutral
	case errors.Is(err, serving.ErrCallerDisconnected), errors.Is(err, context.DeadlineExceeded):
		return outcomeNeutral
	case errors.As(err, &status) && status.Status < 500:
		// The target works: it rejects this request, or new requests for now.
		return outcomeNeutral
	}
	return outcomeFailure
}
