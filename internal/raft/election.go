package raft

import "time"

// campaign starts an election, or a pre-vote if kind is MsgPreVote. Without the
// pre-vote, a replica that was partitioned would raise the term although it
// cannot win an election.
func (n *Node) campaign(kind MessageKind, transfer bool) {
	now := n.config.Clock()
	n.leader = ""
	n.votes = make(map[string]bool)
	n.transferCampaign = transfer
	n.electionTimerStart = now
	// A failed campaign is retried sooner than after a full election timeout,
	// because this replica is no longer within the lease of any leader.
	n.electionTimerDuration = n.config.ElectionTimeout/4 + n.jitter(n.config.ElectionTimeout/2)
	term := n.term + 1
	n.role = PreCandidate
	if kind == MsgVote {
		n.term, n.vote = term, n.id
		n.role = Candidate
	}
	for _, member := range n.log.members() {
		if member.Voter {
			n.requestVote(kind, member.ID, term, transfer)
		}
	}
}

func (n *Node) requestVote(kind MessageKind, to string, term uint64, transfer bool) {
	if to == n.id {
		n.send(Message{Kind: kind + 1, To: to, Term: term})
		return
	}
	n.send(Message{
		Kind: kind, To: to, Term: term, Transfer: transfer,
		Index: n.log.last(), LogTerm: n.log.lastTerm(),
	})
}

// handlePreVote responds to a pre-vote request without changing any state.
func (n *Node) handlePreVote(m *Message) {
	if n.bootstrap.pending || n.withinLeaderLease(n.config.Clock()) {
		return
	}
	if n.log.isUpToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
}

// handleVote responds to a vote or pre-vote request of the current term.
func (n *Node) handleVote(m *Message) {
	if m.Kind == MsgPreVote {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		return
	}
	now := n.config.Clock()
	canGrant := n.vote == m.From || n.vote == "" && n.leader == ""
	if n.withinLeaderLease(now) && !m.Transfer {
		canGrant = false
	}
	if !canGrant || n.bootstrap.pending || !n.log.isUpToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	n.vote = m.From
	n.resetElectionTimer(now)
	n.send(Message{Kind: MsgVoteResponse, To: m.From})
}

func (n *Node) handleVoteResponse(m *Message) {
	pre := m.Kind == MsgPreVoteResponse
	switch {
	case pre && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
	case !pre && n.role == Candidate && m.Term == n.term:
	default:
		return
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
	}
	if !n.wonElection() {
		return
	}
	if pre {
		n.campaign(MsgVote, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) wonElection() bool {
	members := n.log.members()
	granted := 0
	for id, voteGranted := range n.votes {
		if voteGranted && members.IsVoter(id) {
			granted++
		}
	}
	return granted >= members.Quorum()
}

// handleTimeoutNow starts an election without a pre-vote. The request is valid
// only in its sender's term: the sender gave up its lease before sending it.
func (n *Node) handleTimeoutNow() {
	if n.role == Leader || n.bootstrap.pending || !n.log.members().IsVoter(n.id) {
		return
	}
	n.campaign(MsgVote, true)
}

func (n *Node) becomeLeader() {
	now := n.config.Clock()
	n.role = Leader
	n.leader = n.id
	n.leaderSince = now
	n.lastHeartbeat = now
	n.transferee = ""
	n.transferCampaign = false
	n.peers = make(map[string]*peer)
	n.syncPeers()
	n.termStartIndex = n.appendEntry(Entry{Kind: EntryNoOp})
	n.broadcastAppend(true)
}

func (n *Node) clearLeaderState() {
	for _, r := range n.pendingReads {
		n.completedReads = append(n.completedReads, ReadState{ID: r.id, Failed: true})
	}
	n.pendingReads = nil
	n.peers = nil
	n.transferee = ""
}

// LeaseExpiry returns the time, on the replica's own clock, until which no other
// replica can become leader. It returns false if this replica holds no lease.
func (n *Node) LeaseExpiry() (time.Duration, bool) {
	if n.role != Leader || n.log.commit < n.termStartIndex {
		return 0, false
	}
	leaseStart, ok := n.quorumAckedSendTime()
	return leaseStart + n.leaseDuration, ok
}

// TransferLeadership starts a transfer of the leadership to the responding voter
// with the most up-to-date log. It returns false if there is no such voter.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	candidate := ""
	for _, member := range n.log.members() {
		p := n.peers[member.ID]
		if p == nil || !member.Voter || !n.active(p) {
			continue
		}
		if candidate == "" || p.match > n.peers[candidate].match {
			candidate = member.ID
		}
	}
	if candidate == "" {
		return false
	}
	n.transferee = candidate
	n.transferStart = n.config.Clock()
	n.finishTransfer()
	return true
}

// finishTransfer steps down once the transferee has caught up. This ends the
// lease before the transferee can start its election.
func (n *Node) finishTransfer() {
	p := n.peers[n.transferee]
	if p == nil || p.match != n.log.last() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
	n.becomeFollower(n.term, "")
}
