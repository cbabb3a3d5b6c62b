package raft

import (
	"slices"
	"time"
)

// readRequest is a ReadIndex call that waits until a majority has responded to a
// request of its round.
type readRequest struct {
	id    uint64
	round uint64
	index uint64
}

// acceptsProposals reports whether this replica is the leader and no leadership
// transfer is in progress.
func (n *Node) acceptsProposals() bool { return n.role == Leader && n.transferee == "" }

// Propose appends commands to the log and returns the index of the first one and
// the term of all of them.
func (n *Node) Propose(commands ...[]byte) (first, term uint64, err error) {
	if !n.acceptsProposals() {
		return 0, 0, ErrNotLeader
	}
	if n.log.last()-n.log.commit+uint64(len(commands)) > n.config.MaxUncommitted {
		return 0, 0, ErrBusy
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendEntry(Entry{Kind: EntryCommand, Data: c})
	}
	n.broadcastAppend(false)
	return first, n.term, nil
}

// ReadIndex requests a log index that covers every command committed before the
// call. Ready returns it in Reads with the given ID. A majority confirms the
// leadership first, so the result does not depend on clocks.
func (n *Node) ReadIndex(id uint64) error {
	if !n.acceptsProposals() {
		return ErrNotLeader
	}
	n.readRound++
	// Until an entry of its term is committed, the leader does not know which
	// entries are committed, but all of them precede the first entry of its term.
	index := max(n.log.commit, n.termStartIndex)
	n.pendingReads = append(n.pendingReads, readRequest{id, n.readRound, index})
	n.broadcastAppend(true)
	n.confirmReads()
	return nil
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.add(e)
	return e.Index
}

// syncPeers adds and removes peers to match the current membership.
func (n *Node) syncPeers() {
	members := n.log.members()
	for _, member := range members {
		if member.ID != n.id && n.peers[member.ID] == nil {
			n.peers[member.ID] = &peer{next: n.log.last() + 1, probing: true, lastProbe: -n.config.HeartbeatInterval, lastResend: -n.config.HeartbeatInterval,
				lag: commitLag{index: n.log.commit + 1}}
		}
	}
	for id := range n.peers {
		if _, ok := members.Find(id); !ok {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader(now time.Duration) {
	leaseStart, ok := n.quorumAckedSendTime()
	if !ok || leaseStart < n.leaderSince {
		leaseStart = n.leaderSince
	}
	if now >= leaseStart+n.leaseDuration {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transferee != "" && now-n.transferStart >= n.config.ElectionTimeout {
		n.transferee = ""
	}
	if now-n.lastHeartbeat >= n.config.HeartbeatInterval {
		n.lastHeartbeat = now
		n.broadcastAppend(true)
	}
}

// broadcastAppend sends outstanding entries to every other replica and queues
// the leader's own acknowledgement. If heartbeat is set, a replica without
// outstanding entries gets a heartbeat.
func (n *Node) broadcastAppend(heartbeat bool) {
	for _, member := range n.log.members() {
		if member.ID == n.id {
			n.send(Message{Kind: MsgAppendResponse, To: n.id, Index: n.log.last()})
			continue
		}
		n.replicate(member.ID, heartbeat)
	}
}

// active reports whether p has responded to a request sent within the last lease
// duration.
func (n *Node) active(p *peer) bool {
	return p.responded && n.config.Clock()-p.ackedSendTime < n.leaseDuration
}

// replicate sends a replica the entries or the snapshot that it lacks, and a
// heartbeat if that is set.
func (n *Node) replicate(id string, heartbeat bool) {
	p := n.peers[id]
	switch {
	case p == nil:
		return
	case p.next <= n.log.baseIndex:
		n.sendSnapshot(id, p)
	case p.probing:
		n.probe(id, p, heartbeat)
		return
	default:
		n.sendEntries(id, p)
	}
	if heartbeat {
		n.sendHeartbeat(id, p)
	}
}

// sendEntries sends the entries that a replica lacks, as far as the limits for
// unacknowledged ones allow. If none can be sent, an empty append follows those
// without acknowledgement once per heartbeat interval: the response shows whether they,
// or the acknowledgements, were lost.
func (n *Node) sendEntries(id string, p *peer) {
	now := n.config.Clock()
	if p.next <= n.log.last() && p.hasWindow(&n.config) {
		p.lastProbe = now
	}
	for p.next <= n.log.last() && p.hasWindow(&n.config) {
		entries := n.log.entriesFrom(p.next, n.config.MaxAppendBytes)
		n.sendAppend(id, p.next-1, entries, true)
		p.recordSent(entries, now)
	}
	if len(p.inflight) > 0 && now-p.lastProbe >= n.config.HeartbeatInterval {
		p.lastProbe = now
		n.sendAppend(id, p.next-1, nil, true)
	}
}

// sendHeartbeat sends an append after the last entry that the replica is known to have.
// It may overtake entries, so that a large one delays neither the lease nor the election
// timer. It is empty, except that it repeats a few entries that have not been acknowledged
// for a heartbeat interval: the connection that carries them may wait for a lost packet.
func (n *Node) sendHeartbeat(id string, p *peer) {
	prev := p.match
	if _, ok := n.log.term(prev); !ok {
		// Logs always match at index 0, before the first entry.
		n.sendAppend(id, 0, nil, false)
		return
	}
	n.sendAppend(id, prev, n.entriesToRepeat(p), false)
}

// entriesToRepeat returns the entries without acknowledgement that a heartbeat repeats.
func (n *Node) entriesToRepeat(p *peer) []Entry {
	now := n.config.Clock()
	interval := n.config.HeartbeatInterval
	if len(p.inflight) == 0 || now-p.inflight[0].sentAt < interval || now-p.lastResend < interval {
		return nil
	}
	entries := n.log.entriesFrom(p.match+1, n.config.MaxProbeBytes)
	if entriesSize(entries) > n.config.MaxProbeBytes {
		return nil
	}
	p.lastResend = now
	return entries
}

// probe sends one append per heartbeat interval to a replica whose log is not
// known to match. A full window of appends would be rejected one by one, and
// sending a new window after each rejection would flood the network. Large entries
// wait until the log is known to match, because a probe is repeated until the replica
// responds.
func (n *Node) probe(id string, p *peer, heartbeat bool) {
	now := n.config.Clock()
	if now-p.lastProbe >= n.config.HeartbeatInterval {
		p.lastProbe = now
		entries := n.log.entriesFrom(p.next, n.config.MaxProbeBytes)
		if entriesSize(entries) > n.config.MaxProbeBytes {
			entries = nil
		}
		n.sendAppend(id, p.next-1, entries, false)
	} else if heartbeat {
		n.sendAppend(id, p.next-1, nil, false)
	}
}

func (n *Node) sendAppend(to string, prev uint64, entries []Entry, ordered bool) {
	term, _ := n.log.term(prev)
	n.send(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: term, Commit: n.log.commit,
		Entries: entries, SentAt: n.config.Clock(), ReadRound: n.readRound, Ordered: ordered,
	})
	if p := n.peers[to]; p != nil {
		p.sentCommit = max(p.sentCommit, min(n.log.commit, prev+uint64(len(entries))))
	}
}

// handleAppend stores entries from the leader and responds.
func (n *Node) handleAppend(m *Message) {
	response := Message{Kind: MsgAppendResponse, To: m.From, SentAt: m.SentAt, ReadRound: m.ReadRound}
	switch {
	case m.Index < n.log.commit:
		response.Index = n.log.commit
	case n.log.matches(m.Index, m.LogTerm):
		n.log.merge(m.Entries)
		response.Index = m.Index + uint64(len(m.Entries))
		n.log.commit = max(n.log.commit, min(m.Commit, response.Index))
		n.checkLearnerBootstrap()
	default:
		response.Reject = true
		response.Index = m.Index
		response.RejectHint = n.rejectHint(m.Index, m.LogTerm)
	}
	n.send(response)
}

// rejectHint returns the last index at which this log can match that of a leader
// whose entry at index has the given term. Entries of later terms cannot match.
func (n *Node) rejectHint(index, term uint64) uint64 {
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
		n.advanceCommit()
		n.confirmReads()
		return
	}
	p := n.peers[m.From]
	if p == nil {
		return
	}
	n.recordResponse(p, m)
	switch {
	case m.Reject:
		n.handleRejection(m, p)
	case m.Index > p.match || p.probing && m.Index+1 >= p.next:
		n.recordMatch(m.From, p, m.Index)
	}
	n.trackLag(p)
	n.confirmReads()
}

func (n *Node) recordResponse(p *peer, m *Message) {
	p.responded = true
	p.bootstrapped = m.Bootstrapped
	p.ackedSendTime = max(p.ackedSendTime, m.SentAt)
	p.ackedRound = max(p.ackedRound, m.ReadRound)
}

// handleRejection moves p.next back to the follower's hint and probes from there.
// It ignores rejections of outdated requests.
func (n *Node) handleRejection(m *Message, p *peer) {
	if m.Index+1 == p.next && m.Index == p.match && m.RejectHint < p.match {
		// The replica no longer has entries that it acknowledged: it has lost
		// its disk.
		p.match = m.RejectHint
	}
	if m.Index <= p.match || p.probing && m.Index+1 != p.next {
		return
	}
	p.probeFrom(max(p.match+1, min(m.Index, m.RejectHint+1)))
	p.lastProbe = n.config.Clock() - n.config.HeartbeatInterval
	n.replicate(m.From, false)
}

func (n *Node) recordMatch(id string, p *peer, index uint64) {
	if p.probing {
		p.next = index + 1
	}
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	p.recordStored(p.match)
	p.probing = false
	if p.next > n.log.baseIndex {
		p.snapshotIndex = 0
	}
	n.advanceCommit()
	if n.transferee == id {
		n.finishTransfer()
	}
	if n.role == Leader {
		// A heartbeat tells a replica that has stored an entry late that it is
		// committed.
		n.replicate(id, p.sentCommit < min(n.log.commit, p.match))
	}
}

// advanceCommit commits the entries that a majority of the voters has stored.
// Only entries of the current term are committed by counting replicas; earlier
// entries are committed along with them.
func (n *Node) advanceCommit() {
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
	// Followers are told the new commit index immediately instead of with the
	// next heartbeat, because VMs wait until their own state has reached it.
	for _, member := range n.log.members() {
		n.replicate(member.ID, true)
	}
}

// quorumValue returns the largest value that a majority of the voters has
// reached or exceeded.
func quorumValue[T uint64 | time.Duration](members Membership, value func(id string) T) T {
	var values []T
	for _, member := range members {
		if member.Voter {
			values = append(values, value(member.ID))
		}
	}
	slices.Sort(values)
	return values[len(values)-members.Quorum()]
}

// quorumAckedSendTime returns the latest time such that a majority of the voters
// has responded to requests sent then or later. For ElectionTimeout from that
// time, no other candidate can get the votes of a majority. It returns false if
// no majority has responded in this term.
func (n *Node) quorumAckedSendTime() (time.Duration, bool) {
	members := n.log.members()
	responded := 0
	sendTime := quorumValue(members, func(id string) time.Duration {
		if id == n.id {
			responded++
			return n.config.Clock()
		}
		p := n.peers[id]
		if !p.responded {
			return -1 << 62
		}
		responded++
		return p.ackedSendTime
	})
	return sendTime, responded >= members.Quorum()
}

// confirmReads completes the pending reads to whose round a majority of the
// voters has responded.
func (n *Node) confirmReads() {
	if n.role != Leader || len(n.pendingReads) == 0 {
		return
	}
	confirmed := quorumValue(n.log.members(), func(id string) uint64 {
		if id == n.id {
			return n.readRound
		}
		return n.peers[id].ackedRound
	})
	for len(n.pendingReads) > 0 && n.pendingReads[0].round <= confirmed {
		n.completedReads = append(n.completedReads, ReadState{ID: n.pendingReads[0].id, Index: n.pendingReads[0].index})
		n.pendingReads = n.pendingReads[1:]
	}
}
