package raft

import "fmt"

// entryLog holds the entries after the last compaction in memory.
type entryLog struct {
	// base is the entry before the first one held.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// sets holds the memberships in force, oldest first. The first one is in
	// force at the base.
	sets   []membersAt
	commit uint64
	// applied is the last entry handed out for applying.
	applied uint64
	// stable is the last entry known to be synced.
	stable uint64
}

type membersAt struct {
	index   uint64
	members Membership
}

func newEntryLog(snapshot SnapshotMeta) *entryLog {
	l := &entryLog{}
	l.reset(snapshot)
	return l
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s SnapshotMeta) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.sets = []membersAt{{s.Index, s.Members}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if it is compacted or absent.
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

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// limited returns entries from first on with at most maxBytes of data, and at
// least one entry if there is any.
func (l *entryLog) limited(first uint64, maxBytes int) []Entry {
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

// add appends entries that directly follow the last one.
func (l *entryLog) add(entries ...Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: entry %d appended after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind != EntryMembers {
			continue
		}
		members, err := DecodeMembership(e.Data)
		if err != nil {
			panic(err.Error())
		}
		l.sets = append(l.sets, membersAt{e.Index, members})
	}
}

// merge stores entries of the leader, replacing those that conflict.
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

// truncate removes the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.commit {
		panic(fmt.Sprintf("raft: committed entry %d conflicts with the leader", index))
	}
	keep := index - l.baseIndex - 1
	// The full slice expression keeps entries already handed out unchanged.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.sets) > 1 && l.sets[len(l.sets)-1].index >= index {
		l.sets = l.sets[:len(l.sets)-1]
	}
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	kept := l.slice(index+1, l.last())
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
	for len(l.sets) > 1 && l.sets[1].index <= index {
		l.sets = l.sets[1:]
	}
}

func (l *entryLog) members() Membership { return l.sets[len(l.sets)-1].members }

func (l *entryLog) membersIndex() uint64 { return l.sets[len(l.sets)-1].index }

// membersAt returns the membership in force at index.
func (l *entryLog) membersAt(index uint64) Membership {
	for i := len(l.sets) - 1; i > 0; i-- {
		if l.sets[i].index <= index {
			return l.sets[i].members
		}
	}
	return l.sets[0].members
}

// newer reports whether a log that ends with the given entry is at least as
// complete as this one.
func (l *entryLog) newer(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
