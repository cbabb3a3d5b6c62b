package prefix

import (
	"math/bits"
	"slices"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Match is the result of a lookup. It is reused over lookups, so that they
// allocate nothing.
type Match struct {
	// Blocks is the number of leading blocks held, by slot.
	Blocks [MaxSlots]uint16
}

// Holding is the part of a chain that one incarnation holds.
type Holding struct {
	// Ref is the holder.
	Ref target.Ref
	// Blocks is the number of leading blocks.
	Blocks int
}

// Layout changes whenever a slot is given to another incarnation.
func (x *Index) Layout() uint64 { return x.layout.Load() }

// Slot returns the slot of ref, or -1.
func (x *Index) Slot(ref target.Ref) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	known, ok := x.targets[ref.ID]
	if !ok || !known.alive || known.number != ref.Incarnation {
		return -1
	}
	return known.slot
}

// Match finds how many leading blocks of chain each slot holds. Blocks after
// the first missing one are useless to an engine and do not count.
func (x *Index) Match(m *Match, chain []Hash) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	x.match(m, chain)
}

// Lookup appends the incarnations that hold a leading part of chain.
func (x *Index) Lookup(dst []Holding, chain []Hash) []Holding {
	var m Match
	x.mu.RLock()
	defer x.mu.RUnlock()
	x.match(&m, chain)
	for at, blocks := range m.Blocks {
		if blocks > 0 {
			dst = append(dst, Holding{x.slots[at].ref, int(blocks)})
		}
	}
	return dst
}

// Longest returns the most leading blocks of chain that any target holds.
func (x *Index) Longest(chain []Hash) int {
	var m Match
	x.Match(&m, chain)
	return int(slices.Max(m.Blocks[:]))
}

func (x *Index) match(m *Match, chain []Hash) {
	clear(m.Blocks[:])
	if len(chain) == 0 {
		return
	}
	running := x.certain()
	words := x.usedWords()
	var holders slotSet
	for i, h := range chain {
		at, ok := x.table.find(h)
		if !ok {
			m.fill(&running, i)
			return
		}
		x.table.holds(&x.table.entries[at], &holders)
		if i == 0 {
			running.intersect(&holders)
		} else {
			m.narrow(running[:words], holders[:words], i)
		}
		if running == (slotSet{}) {
			return
		}
	}
	m.fill(&running, len(chain))
}

// certain returns the slots whose entries count.
func (x *Index) certain() slotSet {
	set := x.live
	now := x.clock()
	for w, word := range x.uncertain {
		for ; word != 0; word &= word - 1 {
			at := w*64 + bits.TrailingZeros64(word)
			if !now.Before(x.slots[at].uncertain) {
				set.remove(at)
			}
		}
	}
	return set
}

// usedWords returns the length of a slotSet up to the last live slot; slots
// are given out from the lowest on.
func (x *Index) usedWords() int {
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

// narrow records i blocks for the slots that hold no more than that.
func (m *Match) narrow(running, holders []uint64, i int) {
	for w := range running {
		if running[w]&^holders[w] == 0 {
			continue
		}
		for gone := running[w] &^ holders[w]; gone != 0; gone &= gone - 1 {
			m.Blocks[w*64+bits.TrailingZeros64(gone)] = uint16(i)
		}
		running[w] &= holders[w]
	}
}

func (m *Match) fill(set *slotSet, blocks int) {
	if blocks == 0 {
		return
	}
	for w, word := range set {
		for ; word != 0; word &= word - 1 {
			m.Blocks[w*64+bits.TrailingZeros64(word)] = uint16(blocks)
		}
	}
}
