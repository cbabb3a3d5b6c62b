package prefix

import "math/bits"

const (
	// MaxSlots limits the number of incarnations in an index. The system is
	// designed for 600 engines.
	MaxSlots  = 1024
	slotWords = MaxSlots / 64
	// inlineHolders is sufficient for most blocks. The holders of other blocks
	// are stored in a bitset.
	inlineHolders = 4
	minTableSize  = 1024
	// The table grows when its load factor would exceed
	// maxLoadFactorNum/maxLoadFactorDen.
	maxLoadFactorNum, maxLoadFactorDen = 4, 5
)

type slotSet [slotWords]uint64

func (s *slotSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }
func (s *slotSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *slotSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }

func (s *slotSet) count() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// entry stores the slots that hold one block. A holder is stored as slot+1;
// bitset is the index in table.bitsets plus one, or zero if the holders are
// stored inline.
type entry struct {
	hash    Hash
	holders [inlineHolders]uint16
	bitset  uint32
	used    bool
}

// table is an open-addressing hash table from blocks to their holders.
type table struct {
	entries     []entry
	count       int
	bitsets     []slotSet
	freeBitsets []uint32
	// sweeping holds the slots that the current sweep removes from all entries.
	// The entries before sweepCursor are done.
	sweeping    slotSet
	sweepCursor int
}

func newTable() table { return table{entries: make([]entry, minTableSize)} }

func (t *table) home(h Hash) int { return int(uint64(h) & uint64(len(t.entries)-1)) }

// find returns the position of h, or the empty position at which to insert it.
func (t *table) find(h Hash) (int, bool) {
	mask := len(t.entries) - 1
	for i := t.home(h); ; i = (i + 1) & mask {
		e := &t.entries[i]
		if !e.used {
			return i, false
		}
		if e.hash == h {
			return i, true
		}
	}
}

func (t *table) add(h Hash, slot int) {
	i, ok := t.find(h)
	if !ok {
		if (t.count+1)*maxLoadFactorDen > len(t.entries)*maxLoadFactorNum {
			t.grow()
			i, _ = t.find(h)
		}
		t.entries[i] = entry{hash: h, used: true}
		t.count++
	}
	t.addHolder(&t.entries[i], slot)
}

func (t *table) addHolder(e *entry, slot int) {
	if e.bitset != 0 {
		t.bitsets[e.bitset-1].add(slot)
		return
	}
	id := uint16(slot + 1)
	for i, holder := range e.holders {
		if holder == id {
			return
		}
		if holder == 0 {
			e.holders[i] = id
			return
		}
	}
	t.convertToBitset(e)
	t.bitsets[e.bitset-1].add(slot)
}

func (t *table) convertToBitset(e *entry) {
	if n := len(t.freeBitsets); n > 0 {
		e.bitset = t.freeBitsets[n-1]
		t.freeBitsets = t.freeBitsets[:n-1]
		t.bitsets[e.bitset-1] = slotSet{}
	} else {
		t.bitsets = append(t.bitsets, slotSet{})
		e.bitset = uint32(len(t.bitsets))
	}
	for _, holder := range e.holders {
		t.bitsets[e.bitset-1].add(int(holder) - 1)
	}
}

func (t *table) remove(h Hash, slot int) {
	if i, ok := t.find(h); ok {
		t.updateAt(i, func(e *entry) { t.removeHolder(e, slot) })
	}
}

// updateAt applies change to the entry at i and deletes the entry if it has no
// holders left. It reports whether the entry was deleted; another entry may
// then have moved to i.
func (t *table) updateAt(i int, change func(*entry)) bool {
	e := &t.entries[i]
	change(e)
	if e.bitset != 0 {
		if t.bitsets[e.bitset-1].count() > 0 {
			return false
		}
		t.freeBitsets = append(t.freeBitsets, e.bitset)
	} else if e.holders[0] != 0 {
		return false
	}
	t.delete(i)
	return true
}

func (t *table) removeHolder(e *entry, slot int) {
	if e.bitset != 0 {
		t.bitsets[e.bitset-1].remove(slot)
		return
	}
	t.filterHolders(e, func(other int) bool { return other != slot })
}

func (t *table) filterHolders(e *entry, keep func(slot int) bool) {
	n := 0
	for _, holder := range e.holders {
		if holder != 0 && keep(int(holder)-1) {
			e.holders[n] = holder
			n++
		}
	}
	clear(e.holders[n:])
}

// beginSweep starts a sweep that removes slots from all entries.
func (t *table) beginSweep(slots slotSet) { t.sweeping, t.sweepCursor = slots, 0 }

// sweep processes up to n positions. It reports true at the end of the table.
// Blocks may be added and removed between calls.
func (t *table) sweep(n int) bool {
	for ; n > 0 && t.sweepCursor < len(t.entries); n-- {
		if !t.entries[t.sweepCursor].used || !t.updateAt(t.sweepCursor, t.removeSwept) {
			t.sweepCursor++
		}
	}
	if t.sweepCursor < len(t.entries) {
		return false
	}
	t.sweeping, t.sweepCursor = slotSet{}, 0
	return true
}

// removeSwept removes the slots being swept from e.
func (t *table) removeSwept(e *entry) {
	if e.bitset == 0 {
		t.filterHolders(e, func(slot int) bool { return !t.sweeping.has(slot) })
		return
	}
	set := &t.bitsets[e.bitset-1]
	for w := range set {
		set[w] &^= t.sweeping[w]
	}
}

// delete removes the entry at i and shifts later entries back, so that no
// tombstones accumulate.
func (t *table) delete(i int) {
	mask := len(t.entries) - 1
	t.count--
	for j := (i + 1) & mask; t.entries[j].used; j = (j + 1) & mask {
		distance := (j - t.home(t.entries[j].hash)) & mask
		if distance >= (j-i)&mask {
			t.entries[i] = t.entries[j]
			if i < t.sweepCursor && j >= t.sweepCursor {
				// The sweep would skip this entry. If no holder is left, the entry
				// stays without holders until the next sweep.
				t.removeSwept(&t.entries[i])
			}
			i = j
		}
	}
	t.entries[i] = entry{}
}

func (t *table) grow() {
	old := t.entries
	t.sweepCursor = 0
	t.entries = make([]entry, 2*len(old))
	for _, e := range old {
		if e.used {
			i, _ := t.find(e.hash)
			t.entries[i] = e
		}
	}
}

// readHolders sets set to the holders of e.
func (t *table) readHolders(e *entry, set *slotSet) {
	if e.bitset != 0 {
		*set = t.bitsets[e.bitset-1]
		return
	}
	*set = slotSet{}
	for _, holder := range e.holders {
		if holder == 0 {
			return
		}
		set.add(int(holder) - 1)
	}
}

func (t *table) heldBy(h Hash, slot int) bool {
	i, ok := t.find(h)
	if !ok {
		return false
	}
	e := &t.entries[i]
	if e.bitset != 0 {
		return t.bitsets[e.bitset-1].has(slot)
	}
	for _, holder := range e.holders {
		if holder == uint16(slot+1) {
			return true
		}
	}
	return false
}

// memoryBytes returns the memory used by the table.
func (t *table) memoryBytes() int {
	const entryBytes, bitsetBytes = 24, slotWords * 8
	return len(t.entries)*entryBytes + cap(t.bitsets)*bitsetBytes
}
