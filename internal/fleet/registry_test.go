package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// apply applies a command at the next log index.
func apply(t *testing.T, registry *Registry, c Command) {
	t.Helper()
	registry.Apply(registry.Current().Revision+1, time.Time{}, c.Encode())
}

func newTarget(id, address string, started int64) Target {
	return Target{ID: id, Service: "s", Address: address, Zone: "z", Started: started}
}

func announce(t *testing.T, r *Registry, target Target) { apply(t, r, Command{Announce: &target}) }

// Guards against a heartbeat, delayed by a partition, that registers a target
// again after another one has replaced it at its address.
func TestDelayedHeartbeatDoesNotReplaceSuccessorAtItsAddress(t *testing.T) {
	registry := NewRegistry()
	announce(t, registry, newTarget("old", "10.0.0.1:80", 100))
	announce(t, registry, newTarget("new", "10.0.0.1:80", 200))
	announce(t, registry, newTarget("old", "10.0.0.1:80", 100))
	state := registry.Current()
	if _, ok := state.Targets["old"]; ok || len(state.Targets) != 1 {
		t.Errorf("targets are %v, want new only", state.Targets)
	}
	late := newTarget("unknown", "10.0.0.1:80", 150)
	announce(t, registry, late)
	if _, ok := registry.Current().Targets["new"]; !ok {
		t.Error("older incarnation has replaced the newer one at its address")
	}
}

// Guards against requests to a deregistered target: a heartbeat that the target
// sent before its deregistration can arrive after it.
func TestHeartbeatAfterDeregistrationIsIgnoredUntilTheNextStart(t *testing.T) {
	registry := NewRegistry()
	target := newTarget("a", "10.0.0.1:80", 100)
	announce(t, registry, target)
	apply(t, registry, Command{Leave: "a"})
	announce(t, registry, target)
	if len(registry.Current().Targets) != 0 {
		t.Fatal("deregistered target is registered again")
	}
	if !registry.Current().IsUpToDate(target) {
		t.Error("each heartbeat of a deregistered target would be committed")
	}
	announce(t, registry, newTarget("a", "10.0.0.1:80", 101))
	if len(registry.Current().Targets) != 1 {
		t.Error("restarted target with the same ID is not registered")
	}
}

// applyAt applies a command at the next log index, with the leader's time in Unix
// milliseconds.
func applyAt(registry *Registry, ms int64, c Command) {
	registry.Apply(registry.Current().Revision+1, time.UnixMilli(ms), c.Encode())
}

// Guards against requests to a target that has left: the first heartbeat of its
// incarnation may arrive after its deregistration.
func TestFirstHeartbeatAfterDeregistrationIsIgnored(t *testing.T) {
	const started, left = 1000, 5000
	for name, before := range map[string]func(*Registry){
		"unknown ID":                 func(*Registry) {},
		"earlier incarnation":        func(r *Registry) { announce(t, r, newTarget("a", "10.0.0.1:80", started-500)) },
		"deregistered twice":         func(r *Registry) { applyAt(r, left, Command{Leave: "a"}) },
		"earlier incarnation gone":   func(r *Registry) { applyAt(r, started-1, Command{Leave: "a"}) },
		"another target has left":    func(r *Registry) { applyAt(r, left, Command{Leave: "b"}) },
		"address of another":         func(r *Registry) { announce(t, r, newTarget("b", "10.0.0.1:80", started-1)) },
		"snapshot of an empty state": func(r *Registry) { restoreSnapshot(t, r) },
	} {
		t.Run(name, func(t *testing.T) {
			registry := NewRegistry()
			before(registry)
			applyAt(registry, left, Command{Leave: "a"})
			restoreSnapshot(t, registry)
			announce(t, registry, newTarget("a", "10.0.0.1:80", started))
			if _, ok := registry.Current().Targets["a"]; ok {
				t.Error("the target that has left is registered")
			}
			announce(t, registry, newTarget("a", "10.0.0.1:80", left+1))
			if _, ok := registry.Current().Targets["a"]; !ok {
				t.Error("the restarted target is not registered")
			}
		})
	}
}

func restoreSnapshot(t *testing.T, r *Registry) {
	t.Helper()
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
}

// Guards against a restarted target that stays unregistered because its clock is behind
// that of the leader.
func TestRestartedTargetWithASlowClockIsRegisteredSoon(t *testing.T) {
	registry := NewRegistry()
	applyAt(registry, 5000, Command{Leave: "a"})
	for range maxLateHeartbeats {
		if target := newTarget("a", "10.0.0.1:80", 4000); registry.IsUpToDate(target) {
			t.Fatal("the heartbeat would not be committed")
		}
		announce(t, registry, newTarget("a", "10.0.0.1:80", 4000))
	}
	if len(registry.Current().Targets) != 0 {
		t.Error("the target is registered at once")
	}
	announce(t, registry, newTarget("a", "10.0.0.1:80", 4000))
	if len(registry.Current().Targets) != 1 {
		t.Errorf("the target is not registered after %d heartbeats", maxLateHeartbeats+1)
	}
}

// Guards against reordered heartbeats: an older one must neither clear draining
// nor lower the version of the weights.
func TestDrainingAndWeightsNeverRevertWithinIncarnation(t *testing.T) {
	registry := NewRegistry()
	draining := newTarget("a", "10.0.0.1:80", 100)
	draining.Draining, draining.Model, draining.Weights = true, "m", 3
	announce(t, registry, draining)
	older := newTarget("a", "10.0.0.1:80", 100)
	older.Model, older.Weights = "m", 2
	announce(t, registry, older)
	got := registry.Current().Targets["a"]
	if !got.Draining || got.Weights != 3 {
		t.Errorf("target is %+v, want draining with weights 3", got)
	}
	restarted := newTarget("a", "10.0.0.1:80", 200)
	announce(t, registry, restarted)
	if registry.Current().Targets["a"].Draining {
		t.Error("new incarnation is still draining")
	}
}

// Guards against a front that misses a departure or a change: merging a delta must
// yield the registry from any earlier revision.
func TestDeltasLeadToTheRegistryFromAnyRevision(t *testing.T) {
	registry := NewRegistry()
	states := []*State{NewState()}
	for i := range int64(40) {
		id := string(rune('a' + i%7))
		switch {
		case i%5 == 4:
			apply(t, registry, Command{Leave: id})
		case i%11 == 10:
			apply(t, registry, Command{Updates: []UpdateMark{{ID: id, Updating: true}}})
		default:
			announce(t, registry, newTarget(id, "10.0.0."+id, 100+i))
		}
		states = append(states, registry.Current())
	}
	last := registry.Current()
	for i, known := range states {
		merged := known.Merge(last.DeltaSince(known.Revision))
		if len(merged.Targets) != len(last.Targets) {
			t.Fatalf("from state %d: %d targets, want %d", i, len(merged.Targets), len(last.Targets))
		}
		for id, want := range last.Targets {
			if merged.Targets[id] != want {
				t.Fatalf("from state %d: %s is %+v, want %+v", i, id, merged.Targets[id], want)
			}
		}
	}
}

// Guards against a snapshot that omits departures or required weights: a replica
// restored from it would register a departed target again.
func TestSnapshotKeepsTheRegistry(t *testing.T) {
	registry := NewRegistry()
	announce(t, registry, newTarget("a", "10.0.0.1:80", 100))
	apply(t, registry, Command{Weights: &RequiredWeights{Model: "m", Version: 4}})
	apply(t, registry, Command{Leave: "a"})
	data, err := registry.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewRegistry()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	announce(t, restored, newTarget("a", "10.0.0.1:80", 100))
	state := restored.Current()
	if len(state.Targets) != 0 || state.Weights["m"] != 4 {
		t.Errorf("restored state is %+v", state)
	}
}

// Guards against a downgrade of the required weights by a repeated command.
func TestRequiredWeightsOnlyIncrease(t *testing.T) {
	registry := NewRegistry()
	apply(t, registry, Command{Weights: &RequiredWeights{Model: "m", Version: 4}})
	apply(t, registry, Command{Weights: &RequiredWeights{Model: "m", Version: 3}})
	if got := registry.Current().Weights["m"]; got != 4 {
		t.Errorf("weights are %d, want 4", got)
	}
}

// Guards against an index of addresses that differs from the targets: a target at a
// reused address would stay registered, or a sound one would be removed.
func TestAddressIndexMatchesTheTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := NewRegistry()
	for index := range uint64(5000) {
		target := Target{
			ID: fmt.Sprint("t", random.IntN(40)), Service: "s", Address: fmt.Sprint("a", random.IntN(30)),
			Zone: "z", Started: int64(random.IntN(20)) + int64(index)/100, Draining: random.IntN(5) == 0,
		}
		command := Command{Announce: &target}
		if random.IntN(6) == 0 {
			command = Command{Leave: target.ID}
		}
		r.Apply(index+1, time.Time{}, command.Encode())
		seen := make(map[string]string)
		for id, existing := range r.state.Targets {
			if other, ok := seen[existing.Address]; ok {
				t.Fatalf("entry %d: %s and %s are registered at %s", index, id, other, existing.Address)
			}
			seen[existing.Address] = id
		}
		if !maps.Equal(seen, r.state.addresses()) {
			t.Fatalf("entry %d: the index is %v, the targets are at %v", index, r.state.addresses(), seen)
		}
	}
}

// Guards against registrations in one entry that have another effect than in
// entries of their own.
func TestBatchedAnnouncementsEqualSingleOnes(t *testing.T) {
	single, batched := NewRegistry(), NewRegistry()
	var targets []Target
	for i := range 20 {
		targets = append(targets, Target{ID: fmt.Sprint("t", i%15), Service: "s", Address: fmt.Sprint("a", i%7), Zone: "z", Started: int64(i % 4)})
	}
	for _, target := range targets {
		single.Apply(1, time.Time{}, Command{Announce: &target}.Encode())
	}
	batched.Apply(1, time.Time{}, Command{Announces: targets}.Encode())
	if !maps.Equal(single.Current().Targets, batched.Current().Targets) {
		t.Errorf("batched %v, single %v", batched.Current().Targets, single.Current().Targets)
	}
}
