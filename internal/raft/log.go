package raft

import "fmt"

// entryLog is the in-memory log: the entries after the last compaction.
type entryLog struct {
	// baseIndex and baseTerm identify the last compacted entry, which precedes
	// the first one held.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// memberships holds the membership at baseIndex, followed by one for each
	// membership entry after it.
	memberships []indexedMembership
	// commit is the last entry known to be committed.
	commit uint64
	// applied is the last entry that the caller has applied.
	applied uint64
	// stable is the last entry known to be synced to disk.
	stable uint64
}

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index   uint64
	members Membership
}

func newEntryLog(snapshot SnapshotMeta) *entryLog {
	l := &entryLog{}
	l.reset(snapshot)
	return l
}

// reset discards all entries and starts the log at a snapshot.
func (l *entryLog) reset(s SnapshotMeta) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.memberships = []indexedMembership{{s.Index, s.Members}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false if that entry is
// compacted or does not exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// entriesFrom returns entries starting at first, with at most maxBytes of data
// in total. It returns at least one entry if any exists.
func (l *entryLog) entriesFrom(first uint64, maxBytes int) []Entry {
	all := l.slice(first, l.last())
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all
}

// lastExceeding returns the index of the last entry after first with which the entries up
// to last exceed maxBytes, or first if they do not.
func (l *entryLog) lastExceeding(first, last uint64, maxBytes int) uint64 {
	size := 0
	for index := min(last, l.last()); index > first; index-- {
		size += len(l.entries[index-l.baseIndex-1].Data)
		if size > maxBytes {
			return index
		}
	}
	return first
}

func entriesSize(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
	}
	return size
}

// add appends entries, which must directly follow the last one.
func (l *entryLog) add(entries ...Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: appended entry %d to a log that ends at entry %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind != EntryMembers {
			continue
		}
		members, err := DecodeMembership(e.Data)
		if err != nil {
			panic(err.Error())
		}
		l.memberships = append(l.memberships, indexedMembership{e.Index, members})
	}
}

// merge stores entries from the leader and truncates the log at the first
// conflicting entry.
func (l *entryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		l.truncate(e.Index)
		l.add(entries[i:]...)
		return
	}
}

// truncate removes the entry at index and all entries after it.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.commit {
		panic(fmt.Sprintf("raft: committed entry %d conflicts with the leader's log", index))
	}
	keep := index - l.baseIndex - 1
	// The full slice expression limits the capacity, so that later appends do not
	// overwrite entries already returned to a caller.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact discards the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	kept := l.slice(index+1, l.last())
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

func (l *entryLog) members() Membership { return l.memberships[len(l.memberships)-1].members }

func (l *entryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].members
		}
	}
	return l.memberships[0].members
}

// isUpToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
