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

// stallTimer ends an attempt whose stream makes no progress. Only a stream that can
// continue at another engine has one: the silence of an engine is no reason to end
// an answer early. The time runs from the first event, because before it a request
// may wait in the queue of its engine.
type stallTimer struct {
	limit time.Duration
	// reserve returns the choice of an engine that can continue the stream; nil if there
	// is none.
	reserve func() *placement.Choice
	// cut ends the attempt.
	cut func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// reserved is set once the stream has stalled and the attempt was ended.
	reserved *placement.Choice
}

// newStallTimer returns a timer that calls cut when a stream has stalled and another
// engine is reserved for it.
func (s *exchange) newStallTimer(cut func()) *stallTimer {
	t := &stallTimer{limit: max(stalledPauses*s.route.MaxPause, minStallTime), reserve: s.reserveRetry, cut: cut}
	if s.route.MaxPause <= 0 || !s.route.Retryable() || s.possibleRuns+1 >= s.route.MaxAttempts || s.attempts >= maxAttempts {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.limit, t.expire)
	if s.lastEventID < 0 {
		t.timer.Stop()
	}
	return t
}

// expire ends the attempt if another engine can continue the stream. Otherwise it starts
// the time again.
func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.reserved = t.reserve(); t.reserved == nil {
		t.timer.Reset(t.limit)
		return
	}
	t.cut()
}

// recordProgress restarts the time.
func (t *stallTimer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && t.reserved == nil {
		t.timer.Reset(t.limit)
	}
}

// stop ends the timer. It returns the choice that is reserved for the next attempt, if the
// stream has stalled.
func (t *stallTimer) stop() *placement.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.reserved
}

// reserveRetry chooses an engine for the next attempt and takes the retry from the budget.
// It returns nil if the request must not be tried again at present. It is called while the
// attempt runs, and changes nothing of the call.
func (s *exchange) reserveRetry() *placement.Choice {
	if s.decide().Verdict != quarantine.Admitted {
		return nil
	}
	request := s.placementRequest
	request.Exclude = append(slices.Clone(request.Exclude), s.choice.Target.ID)
	choice, _ := s.Placer.Choose(request)
	if choice == nil {
		return nil
	}
	if !s.Budget.TakeRetry(s.service, time.Now(), s.state.FrontCount) {
		s.Placer.Done(choice, placement.Unused)
		return nil
	}
	return choice
}
