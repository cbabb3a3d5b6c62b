package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/quarantine"
)

const (
	// stalledPauses is the number of the route's longest pauses without progress
	// after which a stream counts as stalled, and minStallTime the shortest such
	// time.
	stalledPauses = 4
	minStallTime  = time.Second
)

// stallTimer ends an attempt that makes no progress, so that another target can serve the
// request. Only a request that may run more than once has one, and only while another target
// is available: the silence of a target is no reason to end an answer early. Until the first
// event the limit allows for the time that the request is expected to wait at its target.
type stallTimer struct {
	limit time.Duration
	// laterLimit replaces limit after the first event; without one the timer ends then.
	laterLimit time.Duration
	// reserve returns the choice of a target for the next attempt, given whether the
	// response has begun; nil if there is none.
	reserve func(begun bool) *placement.Choice
	// cut ends the attempt.
	cut func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// begun is set once the caller gets a response.
	begun bool
	// reserved is set once the attempt has stalled and was ended.
	reserved *placement.Choice
}

// newStallTimer returns a timer that calls cut when the attempt has stalled and another
// target is reserved for the request.
func (s *exchange) newStallTimer(cut func()) *stallTimer {
	t := &stallTimer{limit: s.silenceLimit(), begun: s.headersSent, reserve: s.reserveRetry, cut: cut}
	if s.route.MaxPause > 0 {
		t.laterLimit = max(stalledPauses*s.route.MaxPause, minStallTime)
	}
	if s.lastEventID >= 0 {
		t.limit = t.laterLimit
	}
	if !s.route.Retryable() || s.possibleRuns+1 >= s.route.MaxAttempts || s.attempts >= maxAttempts {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.limit, t.expire)
	if t.limit <= 0 {
		t.timer.Stop()
	}
	return t
}

// silenceLimit returns how long the target may be silent before another one is tried; 0 if
// none is.
func (s *exchange) silenceLimit() time.Duration {
	if s.Overload == nil {
		return 0
	}
	return s.Overload.SilenceLimit(s.overloadRequest(), s.choice.Expected, time.Until(s.firstEventBy()))
}

// expire ends the attempt if another target can serve the request. Otherwise it starts the
// time again.
func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.limit <= 0 {
		return
	}
	if t.reserved = t.reserve(t.begun); t.reserved == nil {
		t.timer.Reset(t.limit)
		return
	}
	t.cut()
}

// recordProgress restarts the time after an event.
func (t *stallTimer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.begun = t.laterLimit, true
	switch {
	case t.timer == nil || t.reserved != nil:
	case t.limit > 0:
		t.timer.Reset(t.limit)
	default:
		t.timer.Stop()
	}
}

// stop ends the timer. It returns the choice that is reserved for the next attempt, if this
// one has stalled.
func (t *stallTimer) stop() *placement.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.reserved
}

// reserveRetry chooses a target for the next attempt and takes the retry from the budget.
// It returns nil if the request must not be tried again at present. It is called while the
// attempt runs: it changes nothing of the call, and reads nothing that an attempt changes.
func (s *exchange) reserveRetry(begun bool) *placement.Choice {
	if s.decide().Verdict != quarantine.Admitted || !begun && s.Shutdown.Rejects(s.deadline) {
		return nil
	}
	request := s.placementRequest
	request.Exclude = append(slices.Clone(request.Exclude), s.choice.Target.ID)
	if !begun {
		left := time.Until(s.firstEventBy())
		request.Bounds.First = max(left, 1)
		request.Accept = func(choice *placement.Choice) bool { return choice.Expected < left }
	}
	choice, _ := s.Placer.Choose(request)
	if choice == nil || choice.Refused {
		return nil
	}
	if !s.Budget.TakeRetry(s.service, time.Now(), s.state.FrontCount) {
		s.Placer.Done(choice, placement.Unused)
		return nil
	}
	return choice
}
