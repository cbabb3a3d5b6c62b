package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
)

// simulation simulates engines that execute the actions of a planner.
type simulation struct {
	now     time.Duration
	planner *Planner
	state   *fleet.State
	// loadedAt is when an engine finishes loading, orders is the number of
	// orders that it received.
	loadedAt     map[string]time.Duration
	orders       map[string]int
	unresponsive map[string]bool
	// maxUpdating is the highest number of engines that were updating at once.
	maxUpdating int
}

const loadTime = 400 * time.Millisecond

func newSimulation(engines int) *simulation {
	s := &simulation{
		planner: New(), state: fleet.NewState(), loadedAt: make(map[string]time.Duration),
		orders: make(map[string]int), unresponsive: make(map[string]bool),
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		s.state.Targets[id] = fleet.Target{ID: id, Service: "s", Model: "m", Weights: 1, Started: 1}
	}
	return s
}

func (s *simulation) step(ordersFrom time.Duration) {
	s.now += 50 * time.Millisecond
	for id, at := range s.loadedAt {
		if s.now >= at {
			delete(s.loadedAt, id)
			t := s.state.Targets[id]
			t.Weights = s.state.Weights["m"]
			s.state.Targets[id] = t
		}
	}
	for _, a := range s.planner.Plan(s.now, ordersFrom, s.state) {
		s.execute(a)
	}
	updating := 0
	for _, t := range s.state.Targets {
		if t.Updating {
			updating++
		}
	}
	s.maxUpdating = max(s.maxUpdating, updating)
}

func (s *simulation) execute(a Action) {
	t := s.state.Targets[a.Target.ID]
	switch a.Step {
	case MarkUpdating:
		t.Updating = true
	case ClearUpdating:
		t.Updating = false
		s.planner.RemoveEngine(t.ID)
	case OrderLoad, RequestReport:
		if s.unresponsive[t.ID] {
			s.planner.RecordNoResponse(s.now, t.ID)
			return
		}
		if a.Step == OrderLoad {
			s.orders[t.ID]++
			s.loadedAt[t.ID] = s.now + loadTime
		}
		_, busy := s.loadedAt[t.ID]
		s.planner.RecordReport(s.now, t.ID, EngineState{Weights: t.Weights, Busy: busy})
	}
	s.state.Targets[t.ID] = t
}

func (s *simulation) outdated() int {
	n := 0
	for _, t := range s.state.Targets {
		if t.Weights < s.state.Weights["m"] {
			n++
		}
	}
	return n
}

// Guards against a rollout that leaves a service without serving engines, and
// against one that takes longer than 8 s, the guaranteed limit for old weights.
func TestRolloutKeepsTwoThirdsServing(t *testing.T) {
	for _, engines := range []int{1, 2, 9, 18, 60} {
		s := newSimulation(engines)
		s.state.Weights["m"] = 2
		for s.outdated() > 0 && s.now < 20*time.Second {
			s.step(0)
		}
		if s.now > 8*time.Second {
			t.Errorf("update of %d engines took %v", engines, s.now)
		}
		if s.maxUpdating > max(minConcurrentUpdates, engines/concurrencyDivisor) {
			t.Errorf("%d of %d engines were updating at once", s.maxUpdating, engines)
		}
	}
}

// Guards against engines that are never updated because versions follow each
// other quickly and each rollout starts with the same engines.
func TestFrequentVersionsStarveNoEngine(t *testing.T) {
	s := newSimulation(9)
	for version := uint64(2); version <= 6; version++ {
		s.state.Weights["m"] = version
		for range 64 {
			s.step(0)
		}
		for id, target := range s.state.Targets {
			if target.Weights+2 < version {
				t.Errorf("version %d: engine %s still runs version %d", version, id, target.Weights)
			}
		}
	}
}

// Guards against unresponsive engines that block the update of the others.
func TestUnresponsiveEnginesDoNotBlockOthers(t *testing.T) {
	s := newSimulation(9)
	s.unresponsive["e0"], s.unresponsive["e1"], s.unresponsive["e2"] = true, true, true
	s.state.Weights["m"] = 2
	for s.outdated() > 3 && s.now < 20*time.Second {
		s.step(0)
	}
	if s.now > 8*time.Second {
		t.Errorf("update of six of nine engines took %v", s.now)
	}
	s.unresponsive = map[string]bool{}
	recoveredAt := s.now
	for s.outdated() > 0 && s.now < recoveredAt+20*time.Second {
		s.step(0)
	}
	if s.now-recoveredAt > 4*time.Second {
		t.Errorf("update of the recovered engines took %v", s.now-recoveredAt)
	}
}

// Guards against an order that overlaps with an order of the previous lease
// holder.
func TestNoOrderBeforePreviousLeaseExpires(t *testing.T) {
	s := newSimulation(9)
	s.state.Weights["m"] = 2
	const ordersFrom = 3 * time.Second
	for s.now < ordersFrom-50*time.Millisecond {
		s.step(ordersFrom)
	}
	if len(s.orders) > 0 {
		t.Fatalf("orders were issued before the previous lease ended: %v", s.orders)
	}
	s.step(ordersFrom)
	if len(s.orders) != 3 {
		t.Errorf("%d engines were ordered when the previous lease ended, want the 3 that have drained", len(s.orders))
	}
}
