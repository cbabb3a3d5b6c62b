package prefix

import (
	"math/bits"
	"slices"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Match is the result of a lookup. Callers reuse it, so that lookups allocate
// nothing.
type Match struct {
	// Blocks is the number of leading blocks held, by slot.
	Blocks [MaxSlots]uint16
}

// Holding is the part of a chain that one incarnation holds.
type Holding struct {
	Ref target.Ref
	// Blocks is the number of leading blocks held.
	Blocks int
}

// LayoutVersion returns a number that increases when a slot is allocated or
// released.
func (x *Index) LayoutVersion() uint64 { return x.layoutVersion.Load() }

// Slot returns the slot of ref, or -1 if it has none.
func (x *Index) Slot(ref target.Ref) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	known, ok := x.targets[ref.ID]
	if !ok || !known.alive || known.number != ref.Incarnation {
		return -1
	}
	return known.slot
}

// Match computes how many leading blocks of chain each slot holds. Blocks after
// the first missing one do not count, because an engine cannot use them.
func (x *Index) Match(m *Match, chain []Hash) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	x.match(m, chain)
}

// Lookup appends a holding for each incarnation that holds leading blocks of
// chain.
func (x *Index) Lookup(dst []Holding, chain []Hash) []Holding {
	var m Match
	x.mu.RLock()
	defer x.mu.RUnlock()
	x.match(&m, chain)
	for slot, blocks := range m.Blocks {
		if blocks > 0 {
			dst = append(dst, Holding{x.slots[slot].ref, int(blocks)})
		}
	}
	return dst
}

// LongestMatch returns the highest number of leading blocks of chain that any
// target holds.
func (x *Index) LongestMatch(chain []Hash) int {
	var m Match
	x.Match(&m, chain)
	return int(slices.Max(m.Blocks[:]))
}

func (x *Index) match(m *Match, chain []Hash) {
	clear(m.Blocks[:])
	if len(chain) == 0 {
		return
	}
	matching := x.trustedSlots()
	words := x.liveWords()
	var holders slotSet
	for i, h := range chain {
		pos, ok := x.table.find(h)
		if !ok {
			m.record(&matching, i)
			return
		}
		x.table.readHolders(&x.table.entries[pos], &holders)
		if i == 0 {
			matching.intersect(&holders)
		} else {
			m.recordMismatches(matching[:words], holders[:words], i)
		}
		if matching == (slotSet{}) {
			return
		}
	}
	m.record(&matching, len(chain))
}

// trustedSlots returns the live slots, without those whose entries no longer
// count because of a gap in their stream.
func (x *Index) trustedSlots() slotSet {
	set := x.live
	now := x.clock()
	for w, word := range x.uncertain {
		for ; word != 0; word &= word - 1 {
			slot := w*64 + bits.TrailingZeros64(word)
			if !now.Before(x.slots[slot].trustedUntil) {
				set.remove(slot)
			}
		}
	}
	return set
}

// liveWords returns the number of words of a slotSet up to the last live slot.
// Slots are allocated from the lowest number upwards.
func (x *Index) liveWords() int {
	n := slotWords
	for n > 0 && x.live[n-1] == 0 {
		n--
	}
	return n
}

func (s *slotSet) intersect(other *slotSet) {
	for w := range s {
		s[w] &= other[w]
	}
}

// recordMismatches records i leading blocks for the matching slots that do not
// hold the next block, and removes them from matching.
func (m *Match) recordMismatches(matching, holders []uint64, i int) {
	for w := range matching {
		if matching[w]&^holders[w] == 0 {
			continue
		}
		for missing := matching[w] &^ holders[w]; missing != 0; missing &= missing - 1 {
			m.Blocks[w*64+bits.TrailingZeros64(missing)] = uint16(i)
		}
		matching[w] &= holders[w]
	}
}

func (m *Match) record(set *slotSet, blocks int) {
	if blocks == 0 {
		return
	}
	for w, word := range set {
		for ; word != 0; word &= word - 1 {
			m.Blocks[w*64+bits.TrailingZeros64(word)] = uint16(blocks)
		}
	}
}
