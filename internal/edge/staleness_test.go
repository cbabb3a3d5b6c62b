package edge

import (
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
)

// registryWith returns a registry in which the model m has to run at the given
// version.
func registryWith(weights uint64, targets ...fleet.Target) *fleet.State {
	s := fleet.NewState()
	s.Weights["m"] = weights
	for _, t := range targets {
		s.Targets[t.ID] = t
	}
	return s
}

// testStaleLimit is below the 8 s that a deployment guarantees for old weights.
const testStaleLimit = 6500 * time.Millisecond

// Guards against requests that start on weights replaced more than 8 s earlier:
// engines that restarted with old weights after a crash got requests at once.
func TestEngineWithOldWeightsGetsNoRequestsAfterTheLimit(t *testing.T) {
	s := newStaleWeightsFilter(testStaleLimit)
	old := fleet.Target{ID: "a", Model: "m", Weights: 1}
	s.update(0, leaderInfo{address: "l1"}, registryWith(1, old))
	updatedAt := time.Minute
	s.update(updatedAt, leaderInfo{address: "l1"}, registryWith(2, old))
	if s.excludes(updatedAt+testStaleLimit/2, &old) {
		t.Error("engine with old weights is excluded before it could be updated")
	}
	returned := fleet.Target{ID: "b", Model: "m", Weights: 1}
	s.update(updatedAt+2*testStaleLimit, leaderInfo{address: "l1"}, registryWith(2, old, returned))
	if !s.excludes(updatedAt+2*testStaleLimit, &returned) {
		t.Error("engine that restarted with old weights gets requests")
	}
	returned.Weights = 2
	if s.excludes(updatedAt+2*testStaleLimit, &returned) {
		t.Error("engine with the new weights is excluded")
	}
}

// Guards against a fleet without any usable target after a power loss of all VMs:
// a front that had just started excluded every engine until the new leader could
// give orders, 5 s later.
func TestRestartedFrontUsesOldWeightsUntilOrdersCanBeGiven(t *testing.T) {
	s := newStaleWeightsFilter(testStaleLimit)
	old := fleet.Target{ID: "a", Model: "m", Weights: 1}
	start := time.Minute
	s.update(start, leaderInfo{address: "l1"}, registryWith(2, old))
	if s.excludes(start+time.Second, &old) {
		t.Error("front that has just started excludes the engine at once")
	}
	if !s.excludes(start+unknownAgeLimit, &old) {
		t.Error("engine with weights of unknown age is used beyond the limit")
	}
	s.update(start+3*time.Second, leaderInfo{address: "l2"}, registryWith(2, old))
	if s.excludes(start+unknownAgeLimit, &old) {
		t.Error("engine is excluded before the new leader can give orders")
	}
}

// Guards against a fleet without any usable target after all processes were
// killed: the leader is as new as the front, and gives its first orders after
// 3.6 s, which is longer than unknownAgeLimit.
func TestRestartedFrontWaitsForTheOrdersOfANewLeader(t *testing.T) {
	s := newStaleWeightsFilter(testStaleLimit)
	old := fleet.Target{ID: "a", Model: "m", Weights: 1}
	electedAt := time.Minute
	s.update(electedAt+200*time.Millisecond, leaderInfo{"l1", electedAt}, registryWith(2, old))
	if s.excludes(electedAt+testStaleLimit-time.Millisecond, &old) {
		t.Error("engine is excluded before the new leader could update it")
	}
	if !s.excludes(electedAt+testStaleLimit, &old) {
		t.Error("engine is used beyond the limit")
	}
}

// Guards against engines that stay excluded for five seconds because the leader
// that has marked them is frozen.
func TestUpdateMarkOfFailedLeaderExpires(t *testing.T) {
	s := newStaleWeightsFilter(testStaleLimit)
	marked := fleet.Target{ID: "a", Model: "m", Weights: 1, Updating: true}
	s.update(0, leaderInfo{address: "l1"}, registryWith(1, marked))
	if !s.excludes(updateMarkTimeout-time.Millisecond, &marked) {
		t.Error("engine that is being updated gets requests")
	}
	s.update(updateMarkTimeout, leaderInfo{address: "l1"}, registryWith(1, marked))
	if s.excludes(updateMarkTimeout, &marked) {
		t.Error("engine is excluded although its update mark has expired")
	}
	released := marked
	released.Updating = false
	s.update(2*updateMarkTimeout, leaderInfo{address: "l2"}, registryWith(1, released))
	s.update(3*updateMarkTimeout, leaderInfo{address: "l2"}, registryWith(1, marked))
	if !s.excludes(3*updateMarkTimeout, &marked) {
		t.Error("a new mark has no effect")
	}
}

// Guards against versions in quick succession that put off the limit of an engine's
// weights again and again: requests began on weights whose successor had been
// required 12.2 s before, where 12 s are allowed.
func TestNewerVersionsDoNotExtendTheLimitOfOlderWeights(t *testing.T) {
	filter := newStaleWeightsFilter(10 * time.Second)
	leader := leaderInfo{address: "a"}
	state := fleet.NewState()
	state.Targets["e"] = fleet.Target{ID: "e", Model: "m", Weights: 1}
	require := func(version uint64) {
		state.Weights = map[string]uint64{"m": version}
		filter.update(time.Duration(version-1)*4*time.Second, leader, state)
	}
	for version := range uint64(4) {
		require(version + 1)
	}
	engine := state.Targets["e"]
	if filter.excludes(13900*time.Millisecond, &engine) {
		t.Error("engine is excluded before the limit of its weights")
	}
	if !filter.excludes(14*time.Second, &engine) {
		t.Error("engine is used 10 s after version 2 was required")
	}
	require(5)
	require(6)
	engine.Weights = 3
	if filter.excludes(21900*time.Millisecond, &engine) || !filter.excludes(22*time.Second, &engine) {
		t.Error("the limit of version 3 does not count from version 4")
	}
}
