package proxy

import (
	"sync"
	"time"
)

// budgetSlots is the number of slots into which the window of a budget is
// divided.
const budgetSlots = 10

// budgetFraction is the fraction of the guaranteed budget that is used. The
// margin is needed because the guarantee holds for a sliding window, while the
// window here advances slot by slot.
const budgetFraction = 0.7

// Budget limits the retries to each service. Each front may make retries up to
// Ratio times the number of its own requests, plus an equal share of Slack.
type Budget struct {
	// Ratio and Slack limit the retries of all fronts within Window: to Ratio
	// times the number of requests, plus Slack. Without a Window there is no limit.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slots [budgetSlots]struct {
		tick              int64
		requests, retries float64
	}
}

// windowAt returns the window of a service and the tick of now. It clears the
// slot of that tick if the slot still has the counts of an earlier one.
func (b *Budget) windowAt(service string, now time.Time) (*budgetWindow, int64) {
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
		s.tick, s.requests, s.retries = tick, 0, 0
	}
	return w, tick
}

// limited reports whether there is a limit, which needs a window that can be divided.
func (b *Budget) limited() bool { return b.Window >= budgetSlots }

// RecordRequest counts a request, which raises the limit of retries.
func (b *Budget) RecordRequest(service string, now time.Time) {
	if !b.limited() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, tick := b.windowAt(service, now)
	w.slots[tick%budgetSlots].requests++
}

// TakeRetry takes one retry from the budget. It reports false if the budget is
// exhausted.
func (b *Budget) TakeRetry(service string, now time.Time, fronts int) bool {
	if !b.limited() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, tick := b.windowAt(service, now)
	requests, retries := 0.0, 0.0
	for i := range w.slots {
		if s := &w.slots[i]; tick-s.tick < budgetSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	allowed := budgetFraction * (b.Ratio*requests + b.Slack/float64(max(fronts, 1)))
	if retries+1 > allowed {
		return false
	}
	w.slots[tick%budgetSlots].retries++
	return true
}
