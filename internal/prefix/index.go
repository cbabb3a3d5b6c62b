package prefix

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// EventKind is the kind of a cache event.
type EventKind string

// Kinds of cache events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
)

// Event is a numbered change of a cache.
type Event struct {
	// Sequence increases by one with each event of a stream.
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Root is the first block of the chain. It determines which VM owns the
	// event.
	Root Hash `json:"root"`
	// Blocks lists the changed blocks.
	Blocks []Hash `json:"blocks"`
	// AgeMS is how long the evicted blocks had been unused.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Batch is a part of the event stream of one incarnation.
type Batch struct {
	// Ref is the incarnation that sent the events.
	Ref target.Ref
	// Stream identifies the stream to which the sequence numbers belong. It is
	// chosen at random; batches of a superseded stream are ignored.
	Stream uint64
	// Reset starts a stream. The events are the complete content of the cache.
	Reset bool
	// LastSequence is the last sequence number that the batch covers. On a
	// reset, the numbering of the stream continues after it.
	LastSequence uint64
	// Events are ordered by sequence number.
	Events []Event
}

const (
	// defaultEvictionAge is the assumed eviction age until an engine reports an
	// eviction. Engines evict within seconds.
	defaultEvictionAge = 5 * time.Second
	// evictionAgeWeight smooths the observed age over about 16 evictions.
	evictionAgeWeight = 1.0 / 16
)

// slotState is what the index knows about one incarnation.
type slotState struct {
	ref          target.Ref
	stream       uint64
	nextSequence uint64
	evictionAge  time.Duration
	// trustedUntil is when the entries stop counting after a gap in the stream;
	// zero if there is no gap.
	trustedUntil time.Time
	// predicted maps the blocks that no event has confirmed to their expiry.
	predicted map[Hash]time.Time
}

// incarnation is the latest known incarnation of a target.
type incarnation struct {
	number uint64
	slot   int
	alive  bool
}

// Index maps blocks to the incarnations that hold them. It is safe for
// concurrent use.
type Index struct {
	clock func() time.Time

	mu    sync.RWMutex
	table table
	slots [MaxSlots]slotState
	live  slotSet
	// released holds the slots of dead incarnations whose entries have not been
	// swept yet.
	released slotSet
	// uncertain holds the slots whose stream has a gap.
	uncertain slotSet
	targets   map[string]*incarnation
	// layoutVersion increases when a slot is allocated or released.
	layoutVersion atomic.Uint64
}

// NewIndex returns an empty index.
func NewIndex(clock func() time.Time) *Index {
	return &Index{clock: clock, table: newTable(), targets: make(map[string]*incarnation)}
}

// Apply applies a batch of events. It reports true if events are missing and a
// resync is needed.
func (x *Index) Apply(b Batch) (resync bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.Reset {
		if x.reset(b) {
			x.applyEvents(x.targets[b.Ref.ID].slot, b.Events)
		}
		return false
	}
	known, ok := x.targets[b.Ref.ID]
	if ok && (known.number > b.Ref.Incarnation || (known.number == b.Ref.Incarnation && !known.alive)) {
		return false
	}
	if !ok || known.number < b.Ref.Incarnation {
		return true
	}
	s := &x.slots[known.slot]
	if s.stream != b.Stream {
		// If the sender is still the reader of this target, it starts a new
		// stream.
		return true
	}
	return x.applySequenced(known.slot, b)
}

// applySequenced skips events that were already applied and detects gaps. It
// reports whether a resync is needed.
func (x *Index) applySequenced(slot int, b Batch) bool {
	s := &x.slots[slot]
	gap := false
	for len(b.Events) > 0 && b.Events[0].Sequence < s.nextSequence {
		b.Events = b.Events[1:]
	}
	for _, e := range b.Events {
		gap = gap || e.Sequence != s.nextSequence
		s.nextSequence = e.Sequence + 1
	}
	if b.LastSequence >= s.nextSequence {
		gap = true
		s.nextSequence = b.LastSequence + 1
	}
	if gap && s.trustedUntil.IsZero() {
		s.trustedUntil = x.clock().Add(s.evictionAge)
		x.uncertain.add(slot)
	}
	x.applyEvents(slot, b.Events)
	return !s.trustedUntil.IsZero()
}

func (x *Index) applyEvents(slot int, events []Event) {
	s := &x.slots[slot]
	for _, e := range events {
		switch e.Kind {
		case Stored:
			for _, h := range e.Blocks {
				x.table.add(h, slot)
				delete(s.predicted, h)
			}
		case Evicted:
			for _, h := range e.Blocks {
				x.table.remove(h, slot)
				delete(s.predicted, h)
			}
			s.updateEvictionAge(time.Duration(e.AgeMS) * time.Millisecond)
		}
	}
}

func (s *slotState) updateEvictionAge(age time.Duration) {
	if age > 0 {
		s.evictionAge += time.Duration(evictionAgeWeight * float64(age-s.evictionAge))
	}
}

// reset moves the incarnation to an empty slot and keeps its predictions. It
// reports false if a newer incarnation is known or no slot is free.
func (x *Index) reset(b Batch) bool {
	known, ok := x.targets[b.Ref.ID]
	if ok && known.number > b.Ref.Incarnation {
		return false
	}
	var predicted map[Hash]time.Time
	age := defaultEvictionAge
	if ok && known.alive && known.number == b.Ref.Incarnation {
		predicted = x.slots[known.slot].predicted
		age = x.slots[known.slot].evictionAge
	}
	if ok && known.alive {
		x.release(known.slot)
	}
	slot, ok := x.allocate(b.Ref)
	if !ok {
		return false
	}
	s := &x.slots[slot]
	s.stream, s.nextSequence, s.evictionAge = b.Stream, b.LastSequence+1, age
	for h, expiry := range predicted {
		x.table.add(h, slot)
		s.predicted[h] = expiry
	}
	return true
}

// allocate assigns a free slot to ref. A released slot is reused only after all
// its entries have been removed.
func (x *Index) allocate(ref target.Ref) (int, bool) {
	slot := x.freeSlot()
	if slot < 0 {
		x.sweepReleased()
		slot = x.freeSlot()
	}
	if slot < 0 {
		return 0, false
	}
	x.slots[slot] = slotState{ref: ref, evictionAge: defaultEvictionAge, predicted: make(map[Hash]time.Time)}
	x.live.add(slot)
	x.targets[ref.ID] = &incarnation{number: ref.Incarnation, slot: slot, alive: true}
	x.layoutVersion.Add(1)
	return slot, true
}

func (x *Index) freeSlot() int {
	for w := range x.live {
		if taken := x.live[w] | x.released[w]; taken != ^uint64(0) {
			return w*64 + bits.TrailingZeros64(^taken)
		}
	}
	return -1
}

func (x *Index) release(slot int) {
	x.live.remove(slot)
	x.uncertain.remove(slot)
	x.released.add(slot)
	x.slots[slot].predicted = nil
	x.layoutVersion.Add(1)
}

// sweepReleased removes the entries of all released slots, which makes these
// slots free.
func (x *Index) sweepReleased() {
	for x.sweepStep(len(x.table.entries)) {
	}
}

// sweepStep continues the sweep over up to n table positions. It reports false
// if there is nothing to sweep.
func (x *Index) sweepStep(n int) bool {
	if x.table.sweeping == (slotSet{}) {
		if x.released == (slotSet{}) {
			return false
		}
		x.table.beginSweep(x.released)
	}
	swept := x.table.sweeping
	if x.table.sweep(n) {
		for w := range swept {
			x.released[w] &^= swept[w]
		}
	}
	return true
}

// Drop immediately excludes the entries of a dead incarnation. Late events of
// the incarnation are ignored; only a reset restores it.
func (x *Index) Drop(ref target.Ref) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, ok := x.targets[ref.ID]
	if ok && known.number > ref.Incarnation {
		return
	}
	if ok && known.alive {
		x.release(known.slot)
	}
	x.targets[ref.ID] = &incarnation{number: ref.Incarnation}
}

// Predict records that ref is about to hold chain; held is the number of leading
// blocks that it is believed to hold already. The entries expire after the
// eviction age of the engine unless an event confirms them.
func (x *Index) Predict(ref target.Ref, chain []Hash, held int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slotFor(ref)
	if !ok {
		return
	}
	s := &x.slots[slot]
	now := x.clock()
	if held > 0 && held <= len(chain) && x.fresh(s, slot, chain[held-1], now) {
		chain = chain[held:]
	}
	expiry := now.Add(s.evictionAge)
	for _, h := range chain {
		_, predicted := s.predicted[h]
		if predicted || !x.table.heldBy(h, slot) {
			s.predicted[h] = expiry
			x.table.add(h, slot)
		}
	}
}

// fresh reports whether the entry of h needs no refresh. A prediction covers
// all blocks before h, so their entries last at least as long.
func (x *Index) fresh(s *slotState, slot int, h Hash, now time.Time) bool {
	expiry, predicted := s.predicted[h]
	if predicted {
		return expiry.Sub(now) > s.evictionAge/2
	}
	return x.table.heldBy(h, slot)
}

// slotFor returns the slot of ref. It allocates one for a new incarnation.
func (x *Index) slotFor(ref target.Ref) (int, bool) {
	known, ok := x.targets[ref.ID]
	if ok && known.number == ref.Incarnation {
		return known.slot, known.alive
	}
	if ok && known.number > ref.Incarnation {
		return 0, false
	}
	if ok && known.alive {
		x.release(known.slot)
	}
	return x.allocate(ref)
}

// Retract removes blocks that the target does not hold.
func (x *Index) Retract(ref target.Ref, blocks []Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, ok := x.targets[ref.ID]
	if !ok || !known.alive || known.number != ref.Incarnation {
		return
	}
	for _, h := range blocks {
		x.table.remove(h, known.slot)
		delete(x.slots[known.slot].predicted, h)
	}
}

// RetractPredicted removes those blocks that are predicted but not confirmed by
// an event.
func (x *Index) RetractPredicted(ref target.Ref, blocks []Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, ok := x.targets[ref.ID]
	if !ok || !known.alive || known.number != ref.Incarnation {
		return
	}
	s := &x.slots[known.slot]
	for _, h := range blocks {
		if _, predicted := s.predicted[h]; predicted {
			x.table.remove(h, known.slot)
			delete(s.predicted, h)
		}
	}
}

// sweepChunk is the number of table positions swept each time the lock is taken.
// The lock is then held for about 0.2 ms.
const sweepChunk = 8192

// RemoveExpired removes expired predictions and the entries of dead
// incarnations.
func (x *Index) RemoveExpired() {
	for more := true; more; {
		x.mu.Lock()
		more = x.sweepStep(sweepChunk)
		x.mu.Unlock()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	for _, known := range x.targets {
		if known.alive {
			x.expirePredictions(known.slot, now)
		}
	}
}

func (x *Index) expirePredictions(slot int, now time.Time) {
	s := &x.slots[slot]
	for h, expiry := range s.predicted {
		if !now.Before(expiry) {
			x.table.remove(h, slot)
			delete(s.predicted, h)
		}
	}
}

// Stats describes the size of an index.
type Stats struct {
	// Blocks and Targets are counts; Bytes is the memory used by the table.
	Blocks, Bytes, Targets int
}

// Stats returns the size of the index.
func (x *Index) Stats() Stats {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return Stats{Blocks: x.table.count, Bytes: x.table.memoryBytes(), Targets: x.live.count()}
}
