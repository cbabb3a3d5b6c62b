package raft

import "time"

// campaign starts an election, or with MsgPreVote asks whether one could be
// won. The pre-vote keeps a replica that was cut off from raising the term.
func (n *Node) campaign(kind MessageKind, transfer bool) {
	now := n.config.Clock()
	n.leader = ""
	n.votes = make(map[string]bool)
	n.transferring = transfer
	n.timerStart = now
	// A campaign that fails is repeated sooner than a lease lasts: this
	// replica supports no leader by now.
	n.timerLength = n.config.ElectionTimeout/4 + n.jitter(n.config.ElectionTimeout/2)
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

// handlePreVote answers without changing any state.
func (n *Node) handlePreVote(m *Message) {
	if n.formation.new || n.supporting(n.config.Clock()) {
		return
	}
	if n.log.newer(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
}

// handleVote answers a request for a vote in the current term.
func (n *Node) handleVote(m *Message) {
	if m.Kind == MsgPreVote {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		return
	}
	now := n.config.Clock()
	free := n.vote == m.From || n.vote == "" && n.leader == ""
	if n.supporting(now) && !m.Transfer {
		free = false
	}
	if !free || n.formation.new || !n.log.newer(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	n.vote = m.From
	n.resetTimer(now)
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
	if !n.won() {
		return
	}
	if pre {
		n.campaign(MsgVote, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) won() bool {
	members := n.log.members()
	granted := 0
	for id, yes := range n.votes {
		if yes && members.Voter(id) {
			granted++
		}
	}
	return granted >= members.Quorum()
}

// handleTimeoutNow campaigns without a pre-vote. The message is valid only in
// the term of its sender, which has given up its lease before sending it.
func (n *Node) handleTimeoutNow() {
	if n.role == Leader || n.formation.new || !n.log.members().Voter(n.id) {
		return
	}
	n.campaign(MsgVote, true)
}

func (n *Node) becomeLeader() {
	now := n.config.Clock()
	n.role = Leader
	n.leader = n.id
	n.since = now
	n.beat = now
	n.transferee = ""
	n.transferring = false
	n.peers = make(map[string]*peer)
	n.syncPeers()
	n.termStart = n.appendOwn(Entry{Kind: EntryEmpty})
	n.broadcast(true)
}

func (n *Node) stopLeading() {
	for _, r := range n.reads {
		n.done = append(n.done, ReadState{ID: r.id, Failed: true})
	}
	n.reads = nil
	n.peers = nil
	n.transferee = ""
}

// LeaseUntil returns the time of the clock until which no other replica can
// lead, and false if this replica has no lease.
func (n *Node) LeaseUntil() (time.Duration, bool) {
	if n.role != Leader || n.log.commit < n.termStart {
		return 0, false
	}
	base, ok := n.quorumEcho()
	return base + n.lease, ok
}

// TransferLeadership hands the leadership to the voter with the most complete
// log. It reports false if no other voter can take it.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	best := ""
	for _, member := range n.log.members() {
		p := n.peers[member.ID]
		if p == nil || !member.Voter || !n.active(p) {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = member.ID
		}
	}
	if best == "" {
		return false
	}
	n.transferee = best
	n.transferStart = n.config.Clock()
	n.finishTransfer()
	return true
}

// finishTransfer steps down in favour of a transferee that is caught up. The
// lease ends before the transferee can campaign.
func (n *Node) finishTransfer() {
	p := n.peers[n.transferee]
	if p == nil || p.match != n.log.last() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
	n.becomeFollower(n.term, "")
}
