package prefix

import "math/bits"

const (
	// MaxSlots bounds the incarnations that one index knows; the design size
	// is 600 engines.
	MaxSlots  = 1024
	slotWords = MaxSlots / 64
	// inlineHolders covers most blocks; blocks with more holders get a bit set.
	inlineHolders = 4
	minTableSize  = 1024
	// The table grows when more than maxFillNum/maxFillDen of it is in use.
	maxFillNum, maxFillDen = 4, 5
)

// slotSet is a set of slots.
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

// entry holds the slots that have one block. A holder is stored as slot+1.
type entry struct {
	hash    Hash
	holders [inlineHolders]uint16
	wide    uint32
	used    bool
}

// table is an open-addressing hash table from block to holders.
type table struct {
	entries []entry
	count   int
	wide    []slotSet
	free    []uint32
	// sweeping are the slots being taken out of all blocks; the entries before
	// cursor are done.
	sweeping slotSet
	cursor   int
}

func newTable() table { return table{entries: make([]entry, minTableSize)} }

func (t *table) home(h Hash) int { return int(uint64(h) & uint64(len(t.entries)-1)) }

// find returns the position of h, or the empty position where it belongs.
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
		if (t.count+1)*maxFillDen > len(t.entries)*maxFillNum {
			t.grow()
			i, _ = t.find(h)
		}
		t.entries[i] = entry{hash: h, used: true}
		t.count++
	}
	t.addHolder(&t.entries[i], slot)
}

func (t *table) addHolder(e *entry, slot int) {
	if e.wide != 0 {
		t.wide[e.wide-1].add(slot)
		return
	}
	id := uint16(slot + 1)
	for i, held := range e.holders {
		if held == id {
			return
		}
		if held == 0 {
			e.holders[i] = id
			return
		}
	}
	t.widen(e)
	t.wide[e.wide-1].add(slot)
}

func (t *table) widen(e *entry) {
	if n := len(t.free); n > 0 {
		e.wide = t.free[n-1]
		t.free = t.free[:n-1]
		t.wide[e.wide-1] = slotSet{}
	} else {
		t.wide = append(t.wide, slotSet{})
		e.wide = uint32(len(t.wide))
	}
	for _, held := range e.holders {
		t.wide[e.wide-1].add(int(held) - 1)
	}
}

func (t *table) remove(h Hash, slot int) {
	if i, ok := t.find(h); ok {
		t.removeAt(i, func(e *entry) { t.removeHolder(e, slot) })
	}
}

// removeAt applies change and deletes the entry if no holder is left. It
// reports whether another entry may have taken the position.
func (t *table) removeAt(i int, change func(*entry)) bool {
	e := &t.entries[i]
	change(e)
	if e.wide != 0 {
		if t.wide[e.wide-1].count() > 0 {
			return false
		}
		t.free = append(t.free, e.wide)
	} else if e.holders[0] != 0 {
		return false
	}
	t.delete(i)
	return true
}

func (t *table) removeHolder(e *entry, slot int) {
	if e.wide != 0 {
		t.wide[e.wide-1].remove(slot)
		return
	}
	t.keepHolders(e, func(held int) bool { return held != slot })
}

func (t *table) keepHolders(e *entry, keep func(slot int) bool) {
	n := 0
	for _, held := range e.holders {
		if held != 0 && keep(int(held)-1) {
			e.holders[n] = held
			n++
		}
	}
	clear(e.holders[n:])
}

// beginSweep starts taking the slots of gone out of every block.
func (t *table) beginSweep(gone slotSet) { t.sweeping, t.cursor = gone, 0 }

// sweep goes through up to n positions. It reports true at the end of the
// table. Blocks may be added and removed between calls.
func (t *table) sweep(n int) bool {
	for ; n > 0 && t.cursor < len(t.entries); n-- {
		if !t.entries[t.cursor].used || !t.removeAt(t.cursor, t.strip) {
			t.cursor++
		}
	}
	if t.cursor < len(t.entries) {
		return false
	}
	t.sweeping, t.cursor = slotSet{}, 0
	return true
}

// strip takes the slots being swept out of e.
func (t *table) strip(e *entry) {
	if e.wide == 0 {
		t.keepHolders(e, func(slot int) bool { return !t.sweeping.has(slot) })
		return
	}
	set := &t.wide[e.wide-1]
	for w := range set {
		set[w] &^= t.sweeping[w]
	}
}

// delete closes the gap by moving later entries back, so that no tombstones
// build up.
func (t *table) delete(i int) {
	mask := len(t.entries) - 1
	t.count--
	for j := (i + 1) & mask; t.entries[j].used; j = (j + 1) & mask {
		distance := (j - t.home(t.entries[j].hash)) & mask
		if distance >= (j-i)&mask {
			t.entries[i] = t.entries[j]
			if i < t.cursor && j >= t.cursor {
				// The sweep would miss the entry. If no holder is left, the
				// entry stays without one until the next sweep.
				t.strip(&t.entries[i])
			}
			i = j
		}
	}
	t.entries[i] = entry{}
}

func (t *table) grow() {
	old := t.entries
	t.cursor = 0
	t.entries = make([]entry, 2*len(old))
	for _, e := range old {
		if e.used {
			i, _ := t.find(e.hash)
			t.entries[i] = e
		}
	}
}

// holds adds the holders of e to set.
func (t *table) holds(e *entry, set *slotSet) {
	if e.wide != 0 {
		*set = t.wide[e.wide-1]
		return
	}
	*set = slotSet{}
	for _, held := range e.holders {
		if held == 0 {
			return
		}
		set.add(int(held) - 1)
	}
}

func (t *table) heldBy(h Hash, slot int) bool {
	i, ok := t.find(h)
	if !ok {
		return false
	}
	e := &t.entries[i]
	if e.wide != 0 {
		return t.wide[e.wide-1].has(slot)
	}
	for _, held := range e.holders {
		if held == uint16(slot+1) {
			return true
		}
	}
	return false
}

// bytes returns the memory of the table.
func (t *table) bytes() int {
	const entryBytes, wideBytes = 24, slotWords * 8
	return len(t.entries)*entryBytes + cap(t.wide)*wideBytes
}
