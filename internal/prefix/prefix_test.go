package prefix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newTestIndex() (*Index, *fakeClock) {
	clock := &fakeClock{time.Unix(1000, 0)}
	return NewIndex(clock.Now), clock
}

func ref(id int, incarnation uint64) target.Ref {
	return target.Ref{ID: fmt.Sprint("e", id), Incarnation: incarnation}
}

func chainOf(seed, n int) []Hash {
	return AppendChain(nil, Scope{Workspace: "w"}.Digest(), strings.Repeat(fmt.Sprintf("%04d", seed), n), 1)
}

func stored(sequence uint64, chain []Hash) Event {
	return Event{Sequence: sequence, Kind: Stored, Root: chain[0], Blocks: chain}
}

func heldBlocks(x *Index, r target.Ref, chain []Hash) int {
	for _, h := range x.Lookup(nil, chain) {
		if h.Ref == r {
			return h.Blocks
		}
	}
	return 0
}

func wantHeld(t *testing.T, x *Index, r target.Ref, chain []Hash, want int) {
	t.Helper()
	if got := heldBlocks(x, r, chain); got != want {
		t.Errorf("%v holds %d blocks, want %d", r, got, want)
	}
}

// Guards against sharing cached blocks between workspaces, weights or adapters,
// and against hashes that do not cover all preceding blocks.
func TestChainScope(t *testing.T) {
	text := strings.Repeat("abcd", 10)
	base := Scope{"w", "m", "v1", "a"}
	chain := AppendChain(nil, base.Digest(), text, 2)
	if len(chain) != 5 {
		t.Fatalf("chain has %d blocks, want 5", len(chain))
	}
	for _, other := range []Scope{{"x", "m", "v1", "a"}, {"w", "m", "v2", "a"}, {"w", "m", "v1", "b"}, {"wm", "", "v1", "a"}} {
		for i, h := range AppendChain(nil, other.Digest(), text, 2) {
			if h == chain[i] {
				t.Errorf("scope %v shares block %d", other, i)
			}
		}
	}
	changed := AppendChain(nil, base.Digest(), "x"+text[1:], 2)
	if changed[4] == chain[4] {
		t.Error("the last hash does not cover the first token")
	}
	parsed, err := ParseChain(FormatChain(chain))
	if err != nil || fmt.Sprint(parsed) != fmt.Sprint(chain) {
		t.Errorf("parsed %v, %v, want %v", parsed, err, chain)
	}
}

// Guards against trusting a stream that has lost events.
func TestGapMakesUncertain(t *testing.T) {
	x, clock := newTestIndex()
	r, a, b := ref(1, 1), chainOf(1, 3), chainOf(2, 3)
	x.Apply(Batch{Ref: r, Stream: 7, Reset: true, LastSequence: 4})
	if x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(5, a)}}) {
		t.Error("Apply requested a resync for a stream without a gap")
	}
	if !x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(7, b)}}) {
		t.Error("Apply did not request a resync after a gap")
	}
	wantHeld(t, x, r, a, 3)
	clock.now = clock.now.Add(defaultEvictionAge)
	wantHeld(t, x, r, a, 0)
	x.Apply(Batch{Ref: r, Stream: 8, Reset: true, LastSequence: 9, Events: []Event{stored(0, b)}})
	wantHeld(t, x, r, a, 0)
	wantHeld(t, x, r, b, 3)
	if !x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(8, a)}}) {
		t.Error("Apply did not request a resync for a superseded stream")
	}
	wantHeld(t, x, r, a, 0)
}

// Guards against applying events that arrive twice or after a newer event.
func TestReorderedEvents(t *testing.T) {
	x, _ := newTestIndex()
	r, a := ref(1, 1), chainOf(1, 3)
	x.Apply(Batch{Ref: r, Stream: 7, Reset: true})
	x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(1, a), {Sequence: 2, Kind: Evicted, Root: a[0], Blocks: a[1:]}}})
	if x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(1, a)}}) {
		t.Error("Apply requested a resync for a repeated event")
	}
	wantHeld(t, x, r, a, 1)
}

// Guards against matching entries of dead incarnations, also after late events
// and after the slot was reused by another target.
func TestDeadIncarnation(t *testing.T) {
	x, _ := newTestIndex()
	old, a := ref(1, 1), chainOf(1, 3)
	x.Apply(Batch{Ref: old, Stream: 7, Reset: true, Events: []Event{stored(0, a)}})
	x.Predict(ref(1, 2), a[:1], 0)
	wantHeld(t, x, old, a, 0)
	wantHeld(t, x, ref(1, 2), a, 1)
	x.Apply(Batch{Ref: old, Stream: 7, Events: []Event{stored(1, a)}})
	x.Apply(Batch{Ref: old, Stream: 8, Reset: true, Events: []Event{stored(0, a)}})
	wantHeld(t, x, old, a, 0)
	x.Drop(ref(1, 2))
	x.Predict(ref(1, 2), a, 0)
	wantHeld(t, x, ref(1, 2), a, 0)
	x.RemoveExpired()
	for i := 2; i < MaxSlots+2; i++ {
		x.Predict(ref(i, 1), chainOf(i, 1), 0)
	}
	if got := x.Lookup(nil, a); len(got) != 0 {
		t.Errorf("Lookup after slot reuse = %v, want no holdings", got)
	}
}

// Guards against VMs computing a cold prefix twice because they ask at the same
// time, and against waiting for a VM that has died.
func TestCoalescer(t *testing.T) {
	coalescer, now, chain := NewCoalescer(), time.Unix(1000, 0), chainOf(1, 3)
	if coalescer.Begin(chain, 1, now) != nil {
		t.Error("first request has to wait")
	}
	placed := coalescer.Begin(chain, 1, now)
	if placed == nil {
		t.Fatal("second request does not have to wait")
	}
	if coalescer.Begin(chain, 3, now) != nil {
		t.Error("request for blocks that are already held has to wait")
	}
	coalescer.Complete(chain)
	<-placed
	if coalescer.Begin(chain, 1, now) != nil || coalescer.Begin(chain, 1, now.Add(placementTimeout)) != nil {
		t.Error("request has to wait for a placement that completed or timed out")
	}
}

// Guards against predictions that outlast the engine's eviction age.
func TestPredictionDecays(t *testing.T) {
	x, clock := newTestIndex()
	r, a, b := ref(1, 1), chainOf(1, 2), chainOf(2, 2)
	x.Apply(Batch{Ref: r, Stream: 7, Reset: true})
	x.Predict(r, a, 0)
	x.Predict(r, b, 0)
	x.Apply(Batch{Ref: r, Stream: 7, Events: []Event{stored(1, b)}})
	clock.now = clock.now.Add(defaultEvictionAge)
	x.RemoveExpired()
	wantHeld(t, x, r, a, 0)
	wantHeld(t, x, r, b, 2)
}

// Compares the table with a plain map under random changes. Guards against lost
// or spurious holders after deletion, conversion to bitsets, growth, and sweeps
// interleaved with other changes.
func TestTableAgainstModel(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		rng := rand.New(rand.NewPCG(seed, 0))
		x, model, dead := newTable(), map[[2]int]bool{}, -1
		for range 60000 {
			h, slot := rng.IntN(3000), rng.IntN(12)
			if h >= 500 {
				// Only two holders, so that these blocks often lose the last one.
				slot %= 2
			}
			switch {
			case dead >= 0 && rng.IntN(20) == 0:
				if x.sweep(8) {
					wantSwept(t, &x, dead)
					dead = -1
				}
			case dead < 0 && rng.IntN(2000) == 0:
				dead = slot
				var gone slotSet
				gone.add(slot)
				x.beginSweep(gone)
				for h := range 3000 {
					delete(model, [2]int{h, slot})
				}
			case slot == dead:
				// A dead slot gets no blocks until the sweep has ended.
			case rng.IntN(5) < 3:
				x.add(testHash(h), slot)
				model[[2]int{h, slot}] = true
			default:
				x.remove(testHash(h), slot)
				delete(model, [2]int{h, slot})
			}
		}
		for dead >= 0 && !x.sweep(64) {
		}
		for h := range 3000 {
			for slot := range 12 {
				if x.heldBy(testHash(h), slot) != model[[2]int{h, slot}] {
					t.Fatalf("seed %d: block %d, slot %d differs from the model", seed, h, slot)
				}
			}
		}
	}
}

// Guards against the sweep missing an entry that a removal moves from a
// position not yet swept to one already swept.
func TestSweepFollowsMovedEntries(t *testing.T) {
	x := newTable()
	const dead, alive, home = 1, 2, 10
	x.add(home, alive)
	x.add(home+minTableSize, dead)
	x.add(home+2*minTableSize, alive)
	x.add(home+2*minTableSize, dead)
	var gone slotSet
	gone.add(dead)
	x.beginSweep(gone)
	x.sweep(home + 1)
	x.remove(home, alive)
	for !x.sweep(1) {
	}
	for _, h := range []Hash{home + minTableSize, home + 2*minTableSize} {
		if x.heldBy(h, dead) {
			t.Errorf("block %d is still held by the dead slot", h)
		}
	}
	if !x.heldBy(home+2*minTableSize, alive) {
		t.Error("block lost its live holder in the sweep")
	}
}

// testHash mixes h, so that home positions collide as with real hashes. The
// home positions of consecutive integers would all differ.
func testHash(h int) Hash { return Hash(splitMix64(uint64(h + 1))) }

func wantSwept(t *testing.T, x *table, slot int) {
	t.Helper()
	for h := range 3000 {
		if x.heldBy(testHash(h), slot) {
			t.Fatalf("block %d is still held by the swept slot %d", h, slot)
		}
	}
}

func benchIndex(targets, blocks int) *Index {
	x := NewIndex(time.Now)
	rng := rand.New(rand.NewPCG(1, 1))
	per := blocks / targets
	for i := range targets {
		events := make([]Event, 0, per/10)
		for j := range per / 10 {
			chain := make([]Hash, 10)
			for k := range chain {
				chain[k] = Hash(rng.Uint64())
			}
			events = append(events, stored(uint64(j), chain))
		}
		x.Apply(Batch{Ref: ref(i, 1), Stream: 1, Reset: true, Events: events})
	}
	return x
}

func BenchmarkEvents(b *testing.B) {
	x := benchIndex(75, 320000)
	chain := make([]Hash, 1)
	rng := rand.New(rand.NewPCG(2, 2))
	b.ReportAllocs()
	next := make([]uint64, 75)
	for n := 0; b.Loop(); n++ {
		i := n % 75
		if next[i]%2 == 0 {
			chain[0] = Hash(rng.Uint64())
		}
		kind := []EventKind{Stored, Evicted}[next[i]%2]
		next[i]++
		x.Apply(Batch{Ref: ref(i, 1), Stream: 1, Events: []Event{{Sequence: next[i], Kind: kind, Root: chain[0], Blocks: chain}}})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
	stats := x.Stats()
	b.ReportMetric(float64(stats.Bytes)/float64(stats.Blocks), "bytes/block")
}

// BenchmarkSweep measures the removal of the entries of a dead target, during
// which the sweep holds the lock.
func BenchmarkSweep(b *testing.B) {
	x := benchIndex(75, 320000)
	for n := uint64(2); b.Loop(); n++ {
		x.Predict(ref(0, n), chainOf(1, 10), 0)
		x.RemoveExpired()
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, targets := range []int{60, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			x := benchIndex(targets, 320000)
			chain := chainOf(1, 100)
			for i := range targets {
				x.Predict(ref(i, 1), chain[:1+i%100], 0)
			}
			var m Match
			b.ReportAllocs()
			for b.Loop() {
				x.Match(&m, chain)
			}
		})
	}
}

func BenchmarkChain400KB(b *testing.B) {
	text := strings.Repeat("abcd", 100000)
	scope := Scope{Workspace: "w"}.Digest()
	dst := make([]Hash, 0, 128)
	b.ReportAllocs()
	for b.Loop() {
		dst = AppendChain(dst[:0], scope, text, 1000)
	}
}
