package prefix

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// EventKind says what happened to blocks of a cache.
type EventKind string

// The kinds of event.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
)

// Event is one numbered change of a cache.
type Event struct {
	// Sequence grows by one with each event of a stream.
	Sequence uint64 `json:"sequence"`
	// Kind says what happened.
	Kind EventKind `json:"kind"`
	// Root is the first block of the chain; it decides which VM owns the event.
	Root Hash `json:"root"`
	// Blocks are the blocks that changed.
	Blocks []Hash `json:"blocks"`
	// AgeMS is how long evicted blocks were unused.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Batch is a part of the event stream of one incarnation.
type Batch struct {
	// Ref is the incarnation that the events come from.
	Ref target.Ref
	// Stream identifies the numbering, chosen at random; batches of a
	// superseded stream are ignored.
	Stream uint64
	// Reset starts a stream: the events are the whole content of the cache.
	Reset bool
	// Through is the last number that the batch covers. On a reset it sets
	// the number after which the stream goes on.
	Through uint64
	// Events are in order.
	Events []Event
}

const (
	// defaultEvictionAge stands in until an engine reports an eviction;
	// engines evict within seconds.
	defaultEvictionAge = 5 * time.Second
	// evictionAgeWeight smooths the observed age over about 16 evictions.
	evictionAgeWeight = 1.0 / 16
)

// slot is what the index knows of one incarnation.
type slot struct {
	ref         target.Ref
	stream      uint64
	next        uint64
	evictionAge time.Duration
	// uncertain is when the entries stop counting after a gap; zero if the
	// stream is whole.
	uncertain time.Time
	// predicted maps blocks that no event has confirmed to their expiry.
	predicted map[Hash]time.Time
}

// incarnation is the newest known start of a target.
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
	slots [MaxSlots]slot
	live  slotSet
	dead  slotSet
	// uncertain holds the slots after a gap in their stream.
	uncertain slotSet
	targets   map[string]*incarnation
	// layout changes when a slot is given to another incarnation.
	layout atomic.Uint64
}

// NewIndex returns an empty index.
func NewIndex(clock func() time.Time) *Index {
	return &Index{clock: clock, table: newTable(), targets: make(map[string]*incarnation)}
}

// Apply takes a batch of events. It reports true if numbers are missing, so
// that a resync is needed.
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
		// The sender starts a new stream if it is still the reader.
		return true
	}
	return x.applyNumbered(known.slot, b)
}

// applyNumbered skips events that were seen and notes missing ones.
func (x *Index) applyNumbered(at int, b Batch) bool {
	s := &x.slots[at]
	gap := false
	for len(b.Events) > 0 && b.Events[0].Sequence < s.next {
		b.Events = b.Events[1:]
	}
	for _, e := range b.Events {
		gap = gap || e.Sequence != s.next
		s.next = e.Sequence + 1
	}
	if b.Through >= s.next {
		gap = true
		s.next = b.Through + 1
	}
	if gap && s.uncertain.IsZero() {
		s.uncertain = x.clock().Add(s.evictionAge)
		x.uncertain.add(at)
	}
	x.applyEvents(at, b.Events)
	return !s.uncertain.IsZero()
}

func (x *Index) applyEvents(at int, events []Event) {
	s := &x.slots[at]
	for _, e := range events {
		switch e.Kind {
		case Stored:
			for _, h := range e.Blocks {
				x.table.add(h, at)
				delete(s.predicted, h)
			}
		case Evicted:
			for _, h := range e.Blocks {
				x.table.remove(h, at)
				delete(s.predicted, h)
			}
			s.observeEviction(time.Duration(e.AgeMS) * time.Millisecond)
		}
	}
}

func (s *slot) observeEviction(age time.Duration) {
	if age > 0 {
		s.evictionAge += time.Duration(evictionAgeWeight * float64(age-s.evictionAge))
	}
}

// reset gives the incarnation an empty slot. It reports false if the
// incarnation was replaced.
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
	at, ok := x.allocate(b.Ref)
	if !ok {
		return false
	}
	s := &x.slots[at]
	s.stream, s.next, s.evictionAge = b.Stream, b.Through+1, age
	for h, expiry := range predicted {
		x.table.add(h, at)
		s.predicted[h] = expiry
	}
	return true
}

// allocate finds a slot for ref. A released slot is reused only once all its
// entries are gone.
func (x *Index) allocate(ref target.Ref) (int, bool) {
	at := x.freeSlot()
	if at < 0 {
		x.sweepDead()
		at = x.freeSlot()
	}
	if at < 0 {
		return 0, false
	}
	x.slots[at] = slot{ref: ref, evictionAge: defaultEvictionAge, predicted: make(map[Hash]time.Time)}
	x.live.add(at)
	x.targets[ref.ID] = &incarnation{number: ref.Incarnation, slot: at, alive: true}
	x.layout.Add(1)
	return at, true
}

func (x *Index) freeSlot() int {
	for w := range x.live {
		if taken := x.live[w] | x.dead[w]; taken != ^uint64(0) {
			return w*64 + bits.TrailingZeros64(^taken)
		}
	}
	return -1
}

func (x *Index) release(at int) {
	x.live.remove(at)
	x.uncertain.remove(at)
	x.dead.add(at)
	x.slots[at].predicted = nil
	x.layout.Add(1)
}

// sweepDead makes the slots of dead incarnations free at once.
func (x *Index) sweepDead() {
	for x.sweepSome(len(x.table.entries)) {
	}
}

// sweepSome goes on with the sweep. It reports true while there is more.
func (x *Index) sweepSome(n int) bool {
	if x.table.sweeping == (slotSet{}) {
		if x.dead == (slotSet{}) {
			return false
		}
		x.table.beginSweep(x.dead)
	}
	swept := x.table.sweeping
	if x.table.sweep(n) {
		for w := range swept {
			x.dead[w] &^= swept[w]
		}
	}
	return true
}

// Drop makes the entries of a dead incarnation disappear at once. Its late
// events are ignored; only a reset brings it back.
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

// Predict notes that ref is about to hold chain, of which it is believed to
// hold the first blocks. The entries expire with the eviction age of the
// engine unless an event confirms them.
func (x *Index) Predict(ref target.Ref, chain []Hash, held int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.slotFor(ref)
	if !ok {
		return
	}
	s := &x.slots[at]
	now := x.clock()
	if held > 0 && held <= len(chain) && x.lasting(s, at, chain[held-1], now) {
		chain = chain[held:]
	}
	expiry := now.Add(s.evictionAge)
	for _, h := range chain {
		_, predicted := s.predicted[h]
		if predicted || !x.table.heldBy(h, at) {
			s.predicted[h] = expiry
			x.table.add(h, at)
		}
	}
}

// lasting reports whether the entry of h needs no refresh. A prediction
// covers all blocks before it, so that those last at least as long.
func (x *Index) lasting(s *slot, at int, h Hash, now time.Time) bool {
	expiry, predicted := s.predicted[h]
	if predicted {
		return expiry.Sub(now) > s.evictionAge/2
	}
	return x.table.heldBy(h, at)
}

// slotFor returns the slot of ref and makes one for a new incarnation.
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

// Retract removes blocks that turned out not to be held.
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

// RetractPredicted removes those blocks that only a prediction stands for.
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

// sweepChunk is how many positions are swept under one lock, about 0.2 ms.
const sweepChunk = 8192

// Tick removes expired predictions and the entries of dead incarnations.
func (x *Index) Tick() {
	for more := true; more; {
		x.mu.Lock()
		more = x.sweepSome(sweepChunk)
		x.mu.Unlock()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	for _, known := range x.targets {
		if known.alive {
			x.expire(known.slot, now)
		}
	}
}

func (x *Index) expire(at int, now time.Time) {
	s := &x.slots[at]
	for h, expiry := range s.predicted {
		if !now.Before(expiry) {
			x.table.remove(h, at)
			delete(s.predicted, h)
		}
	}
}

// Stats describes the size of an index.
type Stats struct {
	// Blocks, Bytes and Targets count what is held.
	Blocks, Bytes, Targets int
}

// Stats returns the size of the index.
func (x *Index) Stats() Stats {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return Stats{Blocks: x.table.count, Bytes: x.table.bytes(), Targets: x.live.count()}
}
