// Package rollout decides which engines are updated to new weights and when. The
// package does no I/O; the holder of the order lease executes the actions that it
// returns.
package rollout

import (
	"sort"
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
)

const (
	// minConcurrentUpdates and concurrencyDivisor limit how many engines of a
	// service drain or load at the same time: one third of them, but at least
	// two. Most of an update is spent on draining the running requests, so more
	// engines may be updated at once than can load at full speed. The other two
	// thirds keep serving.
	minConcurrentUpdates = 2
	concurrencyDivisor   = 3
	// PropagationDelay is the time until the fronts know that an engine is
	// marked as updating and send their requests elsewhere.
	PropagationDelay = 120 * time.Millisecond
	// DrainTimeout is how long an engine may drain before it is ordered to load.
	// Requests that run longer continue under the new weights, which wastes the
	// output that they produce from then on. Waiting for all requests would
	// take seconds.
	DrainTimeout = 700 * time.Millisecond
	// reportLag is the maximum age of the state that an engine reports.
	reportLag = 200 * time.Millisecond
	// retryDelay is the time until an engine that has not executed an order is
	// ordered again, and between two calls to an unresponsive engine.
	retryDelay = 700 * time.Millisecond
	// unresponsiveTimeout is the time after which an engine that does not
	// respond no longer counts towards the limit of concurrent updates.
	unresponsiveTimeout = 800 * time.Millisecond
)

// Step is the type of an action on an engine.
type Step uint8

// Steps of an update.
const (
	// MarkUpdating marks the engine as updating, so that the fronts send it no
	// new requests.
	MarkUpdating Step = iota + 1
	// OrderLoad orders the engine to load the weights.
	OrderLoad
	// RequestReport requests a status report from the engine.
	RequestReport
	// ClearUpdating clears the updating mark.
	ClearUpdating
)

// Action is a step to execute for one engine.
type Action struct {
	Step    Step
	Target  fleet.Target
	Weights uint64
}

// progress is the state of the update of one engine.
type progress struct {
	// updatingSince is when this planner first found the engine marked.
	updatingSince time.Duration
	// lastOrder is when the engine was last ordered to load or reported that it
	// executes an order.
	lastOrder time.Duration
	// lastCall is the time of the last call to the engine.
	lastCall time.Duration
	// callInFlight is true while a call to the engine is in flight.
	callInFlight bool
	// reported is true once the engine has reported the number of orders that
	// it has accepted.
	reported bool
	// idle is true if the engine's last report shows no requests and is recent
	// enough to reflect the updating mark.
	idle bool
	// reportedWeights is the newest weights version that the engine has
	// reported.
	reportedWeights uint64
	// unresponsiveSince is the time of the first unanswered call since the last
	// response; 0 if it responded to the last call.
	unresponsiveSince time.Duration
}

// Planner tracks the updates of all engines. It is not safe for concurrent use.
type Planner struct {
	engines    map[string]*progress
	ordersFrom time.Duration
}

// New returns a planner without updates in progress.
func New() *Planner { return &Planner{engines: make(map[string]*progress)} }

// reportInterval is the time between two status reports requested from an engine
// that is being updated. Each report has a cost, and a load takes about 0.4 s.
const reportInterval = 150 * time.Millisecond

// Plan returns the actions that are due at now. It returns no orders before
// ordersFrom, when the lease of the previous holder has expired.
func (p *Planner) Plan(now, ordersFrom time.Duration, state *fleet.State) []Action {
	p.ordersFrom = ordersFrom
	p.dropMissing(state)
	var actions []Action
	for _, engines := range groupByService(state) {
		actions = append(actions, p.planService(now, state, engines)...)
	}
	return actions
}

// dropMissing removes the progress of engines that are not in the state.
func (p *Planner) dropMissing(state *fleet.State) {
	for id := range p.engines {
		if _, ok := state.Targets[id]; !ok {
			delete(p.engines, id)
		}
	}
}

// groupByService returns the engines that are not draining by service, those
// with the oldest weights first.
func groupByService(state *fleet.State) map[string][]fleet.Target {
	byService := make(map[string][]fleet.Target)
	for _, t := range state.Targets {
		if t.Model != "" && !t.Draining {
			byService[t.Service] = append(byService[t.Service], t)
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(i, j int) bool { return updatesBefore(&list[i], &list[j]) })
	}
	return byService
}

// updatesBefore reports whether a is updated before b. Engines with the oldest
// weights come first, so that none is starved when versions follow each other
// quickly.
func updatesBefore(a, b *fleet.Target) bool {
	if a.Weights != b.Weights {
		return a.Weights < b.Weights
	}
	return a.ID < b.ID
}

func (p *Planner) planService(now time.Duration, state *fleet.State, engines []fleet.Target) []Action {
	var actions []Action
	inProgress := 0
	for _, t := range engines {
		if !t.Updating {
			continue
		}
		action, ok := p.advance(now, t, state.Weights[t.Model])
		if ok {
			actions = append(actions, action)
		}
		if !p.isUnresponsive(now, t.ID) {
			inProgress++
		}
	}
	available := max(minConcurrentUpdates, len(engines)/concurrencyDivisor) - inProgress
	for _, t := range engines {
		if available <= 0 {
			break
		}
		if t.Updating || t.Weights >= state.Weights[t.Model] {
			continue
		}
		p.engines[t.ID] = &progress{}
		actions = append(actions, Action{Step: MarkUpdating, Target: t, Weights: state.Weights[t.Model]})
		available--
	}
	return actions
}

// isUnresponsive reports whether an engine has not responded for longer than
// unresponsiveTimeout, so that the updates of others need not wait for it.
func (p *Planner) isUnresponsive(now time.Duration, id string) bool {
	e := p.engines[id]
	return e != nil && e.unresponsiveSince > 0 && now-e.unresponsiveSince > unresponsiveTimeout
}

// advance returns the next action for an engine that is marked as updating. It
// reports false if no action is due.
func (p *Planner) advance(now time.Duration, t fleet.Target, wanted uint64) (Action, bool) {
	e := p.engines[t.ID]
	if e == nil {
		// A previous lease holder marked this engine.
		e = &progress{updatingSince: now}
		p.engines[t.ID] = e
	}
	if e.updatingSince == 0 {
		e.updatingSince = now
	}
	current := max(e.reportedWeights, t.Weights)
	switch {
	case current >= wanted:
		return Action{Step: ClearUpdating, Target: t, Weights: current}, true
	case e.callInFlight:
		return Action{}, false
	case now >= p.ordersFrom && e.orderDue(now):
		e.lastOrder, e.lastCall, e.callInFlight = now, now, true
		return Action{Step: OrderLoad, Target: t, Weights: wanted}, true
	case e.reportDue(now):
		e.lastCall, e.callInFlight = now, true
		return Action{Step: RequestReport, Target: t, Weights: wanted}, true
	}
	return Action{}, false
}

func (e *progress) orderDue(now time.Duration) bool {
	drained := e.idle || now-e.updatingSince >= DrainTimeout
	return e.reported && e.unresponsiveSince == 0 && drained && (e.lastOrder == 0 || now-e.lastOrder >= retryDelay)
}

// reportDue reports whether a status report should be requested. One is needed
// before the first order, because the order contains the number of orders that
// the engine has accepted.
func (e *progress) reportDue(now time.Duration) bool {
	switch {
	case e.unresponsiveSince > 0:
		return now-e.lastCall >= retryDelay
	case !e.reported:
		return true
	}
	return now-e.lastCall >= reportInterval
}

// EngineState is the state that an engine has reported.
type EngineState struct {
	Weights uint64
	// Busy is true while the engine executes an order, so that no other is due.
	Busy bool
	// Requests is the number of running and waiting requests.
	Requests int
}

// RecordReport records the state that an engine has reported.
func (p *Planner) RecordReport(now time.Duration, id string, state EngineState) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.callInFlight, e.reported, e.unresponsiveSince = false, true, 0
	e.reportedWeights = max(e.reportedWeights, state.Weights)
	e.idle = state.Requests == 0 && now-e.updatingSince >= PropagationDelay+reportLag
	if state.Busy {
		e.lastOrder = now
	}
}

// RecordNoResponse records that an engine did not respond to a call.
func (p *Planner) RecordNoResponse(now time.Duration, id string) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.callInFlight = false
	if e.unresponsiveSince == 0 {
		e.unresponsiveSince = now
	}
}

// RemoveEngine removes the progress of an engine whose updating mark was
// cleared.
func (p *Planner) RemoveEngine(id string) { delete(p.engines, id) }
