package raft

import (
	"slices"
	"time"
)

type readRequest struct {
	id    uint64
	round uint64
	index uint64
}

// accepts reports whether this replica takes proposals.
func (n *Node) accepts() bool { return n.role == Leader && n.transferee == "" }

// Propose appends commands and returns the position of the first.
func (n *Node) Propose(commands ...[]byte) (first, term uint64, err error) {
	if !n.accepts() {
		return 0, 0, ErrNotLeader
	}
	if n.log.last()-n.log.commit+uint64(len(commands)) > n.config.MaxUncommitted {
		return 0, 0, ErrBusy
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendOwn(Entry{Kind: EntryCommand, Data: c})
	}
	n.broadcast(false)
	return first, n.term, nil
}

// ReadIndex asks for a position that contains every command committed before
// the call. A majority confirms the leadership first, so that the answer does
// not depend on clocks.
func (n *Node) ReadIndex(id uint64) error {
	if !n.accepts() {
		return ErrNotLeader
	}
	n.round++
	// Before its first commit the leader does not know what is committed;
	// everything is before the first entry of its term.
	index := max(n.log.commit, n.termStart)
	n.reads = append(n.reads, readRequest{id, n.round, index})
	n.broadcast(true)
	n.confirmReads()
	return nil
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.add(e)
	return e.Index
}

// syncPeers makes the peers follow the membership.
func (n *Node) syncPeers() {
	members := n.log.members()
	for _, member := range members {
		if member.ID != n.id && n.peers[member.ID] == nil {
			n.peers[member.ID] = &peer{next: n.log.last() + 1, probing: true, probed: -n.config.HeartbeatInterval}
		}
	}
	for id := range n.peers {
		if _, ok := members.Find(id); !ok {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader(now time.Duration) {
	base, ok := n.quorumEcho()
	if !ok || base < n.since {
		base = n.since
	}
	if now >= base+n.lease {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transferee != "" && now-n.transferStart >= n.config.ElectionTimeout {
		n.transferee = ""
	}
	if now-n.beat >= n.config.HeartbeatInterval {
		n.beat = now
		n.broadcast(true)
	}
}

// broadcast sends entries, or with beat at least a heartbeat, to every
// replica, and queues the leader's own acknowledgement.
func (n *Node) broadcast(beat bool) {
	for _, member := range n.log.members() {
		if member.ID == n.id {
			n.send(Message{Kind: MsgAppendResponse, To: n.id, Index: n.log.last()})
			continue
		}
		n.replicate(member.ID, beat)
	}
}

// active reports whether p answered a request sent within the lease.
func (n *Node) active(p *peer) bool {
	return p.heard && n.config.Clock()-p.echo < n.lease
}

// replicate sends what a replica lacks; without entries to send it sends a
// heartbeat if beat is set.
func (n *Node) replicate(id string, beat bool) {
	p := n.peers[id]
	if p == nil {
		return
	}
	if p.next <= n.log.baseIndex {
		n.sendSnapshot(id, p, beat)
		return
	}
	if p.probing {
		n.probe(id, p, beat)
		return
	}
	for p.next <= n.log.last() && p.next-p.match <= n.config.MaxInflight {
		entries := n.log.limited(p.next, n.config.MaxAppendBytes)
		n.sendAppend(id, p.next-1, entries)
		p.next += uint64(len(entries))
		beat = false
	}
	if beat {
		n.sendAppend(id, p.next-1, nil)
	}
}

// probe sends one append at a time to a replica whose log is not known to
// match: a window of appends would be rejected one by one, and answering each
// rejection with a new window floods the network.
func (n *Node) probe(id string, p *peer, beat bool) {
	now := n.config.Clock()
	if now-p.probed >= n.config.HeartbeatInterval {
		p.probed = now
		n.sendAppend(id, p.next-1, n.log.limited(p.next, n.config.MaxAppendBytes))
	} else if beat {
		n.sendAppend(id, p.next-1, nil)
	}
}

func (n *Node) sendAppend(to string, prev uint64, entries []Entry) {
	term, _ := n.log.term(prev)
	n.send(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: term, Commit: n.log.commit,
		Entries: entries, Sent: n.config.Clock(), Round: n.round,
	})
}

// handleAppend stores entries of the leader.
func (n *Node) handleAppend(m *Message) {
	answer := Message{Kind: MsgAppendResponse, To: m.From, Sent: m.Sent, Round: m.Round}
	switch {
	case m.Index < n.log.commit:
		answer.Index = n.log.commit
	case n.log.matches(m.Index, m.LogTerm):
		n.log.merge(m.Entries)
		answer.Index = m.Index + uint64(len(m.Entries))
		n.log.commit = max(n.log.commit, min(m.Commit, answer.Index))
		n.checkLearner()
	default:
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = n.hint(m.Index, m.LogTerm)
	}
	n.send(answer)
}

// hint returns the last entry that may match a leader whose entry at index
// has the given term: entries of later terms cannot.
func (n *Node) hint(index, term uint64) uint64 {
	hint := min(index-1, n.log.last())
	for hint > n.log.commit {
		if own, ok := n.log.term(hint); !ok || own <= term {
			break
		}
		hint--
	}
	return hint
}

func (n *Node) handleAppendResponse(m *Message) {
	if n.role != Leader {
		return
	}
	if m.From == n.id {
		n.commitMajority()
		n.confirmReads()
		return
	}
	p := n.peers[m.From]
	if p == nil {
		return
	}
	n.noteAnswer(p, m)
	switch {
	case m.Reject:
		n.noteRejection(m, p)
	case m.Index > p.match || p.probing && m.Index+1 >= p.next:
		n.noteMatch(m.From, p, m.Index)
	}
	n.confirmReads()
}

func (n *Node) noteAnswer(p *peer, m *Message) {
	p.heard = true
	p.formed = m.Formed
	p.echo = max(p.echo, m.Sent)
	p.round = max(p.round, m.Round)
}

// noteRejection moves back to where the logs may match. Rejections of older
// requests are ignored.
func (n *Node) noteRejection(m *Message, p *peer) {
	if m.Index+1 == p.next && m.Index == p.match && m.Hint < p.match {
		// The replica has lost its disk.
		p.match = m.Hint
	}
	if m.Index <= p.match || p.probing && m.Index+1 != p.next {
		return
	}
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.probing = true
	p.probed = n.config.Clock() - n.config.HeartbeatInterval
	n.replicate(m.From, false)
}

func (n *Node) noteMatch(id string, p *peer, index uint64) {
	if p.probing {
		p.next = index + 1
	}
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	p.probing = false
	p.sending = 0
	n.commitMajority()
	if n.transferee == id {
		n.finishTransfer()
	}
	if n.role == Leader {
		n.replicate(id, false)
	}
}

// commitMajority commits what a majority has stored. Only an entry of the
// current term is committed by counting; earlier ones follow with it.
func (n *Node) commitMajority() {
	stored := func(id string) uint64 {
		if id == n.id {
			return n.log.stable
		}
		return n.peers[id].match
	}
	index := quorumValue(n.log.members(), stored)
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	// Followers learn of the commitment at once rather than with the next
	// heartbeat, because VMs wait for their own state to reach it.
	for _, member := range n.log.members() {
		n.replicate(member.ID, true)
	}
}

// quorumValue returns the largest value that a majority of the voters has
// reached.
func quorumValue[T uint64 | time.Duration](members Membership, value func(id string) T) T {
	var all []T
	for _, member := range members {
		if member.Voter {
			all = append(all, value(member.ID))
		}
	}
	slices.Sort(all)
	return all[len(all)-members.Quorum()]
}

// quorumEcho returns the latest time at which a majority is known to have
// still supported this leader.
func (n *Node) quorumEcho() (time.Duration, bool) {
	members := n.log.members()
	heard := 0
	base := quorumValue(members, func(id string) time.Duration {
		if id == n.id {
			heard++
			return n.config.Clock()
		}
		p := n.peers[id]
		if !p.heard {
			return -1 << 62
		}
		heard++
		return p.echo
	})
	return base, heard >= members.Quorum()
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	if n.role != Leader || len(n.reads) == 0 {
		return
	}
	confirmed := quorumValue(n.log.members(), func(id string) uint64 {
		if id == n.id {
			return n.round
		}
		return n.peers[id].round
	})
	for len(n.reads) > 0 && n.reads[0].round <= confirmed {
		n.done = append(n.done, ReadState{ID: n.reads[0].id, Index: n.reads[0].index})
		n.reads = n.reads[1:]
	}
}
