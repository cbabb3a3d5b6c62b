package forward

import (
	"sync"
	"time"
)

// budgetSlots divides the window of a budget.
const budgetSlots = 10

// budgetFraction is the part of the promised budget that is used: the windows of
// the promise slide, and those here move in steps.
const budgetFraction = 0.7

// Budget bounds the extra sends to each service by the share of one front.
type Budget struct {
	// Ratio and Slack bound the extra sends of all fronts within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slots [budgetSlots]struct {
		tick          int64
		first, extras float64
	}
}

func (b *Budget) slot(service string, now time.Time) (*budgetWindow, int64) {
	if b.services == nil {
		b.services = make(map[string]*budgetWindow)
	}
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	tick := now.UnixNano() / int64(b.Window/budgetSlots)
	s := &w.slots[tick%budgetSlots]
	if s.tick != tick {
		s.tick, s.first, s.extras = tick, 0, 0
	}
	return w, tick
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, tick := b.slot(service, now)
	w.slots[tick%budgetSlots].first++
}

// TakeRetry takes one extra send and reports false if the budget is spent.
func (b *Budget) TakeRetry(service string, now time.Time, fronts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, tick := b.slot(service, now)
	first, extras := 0.0, 0.0
	for i := range w.slots {
		if s := &w.slots[i]; tick-s.tick < budgetSlots {
			first += s.first
			extras += s.extras
		}
	}
	allowed := budgetFraction * (b.Ratio*first + b.Slack/float64(max(fronts, 1)))
	if extras+1 > allowed {
		return false
	}
	w.slots[tick%budgetSlots].extras++
	return true
}
