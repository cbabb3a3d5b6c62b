package raft

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// maxClockDriftPermille is the largest deviation of a clock's rate, fast or slow,
// that leases tolerate, in thousandths.
const maxClockDriftPermille = 10

// Config holds the parameters of a replica.
type Config struct {
	ID string
	// ElectionTimeout is how long a follower refuses to vote for another
	// candidate after hearing from the leader. It starts an election after 1 to
	// 1.5 times this duration without contact.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval at which an idle leader contacts the
	// other replicas.
	HeartbeatInterval time.Duration
	// Clock returns monotonic time with an arbitrary origin.
	Clock func() time.Duration
	Rand  *rand.Rand
	// MaxAppendBytes limits the entry data in one append message. A single entry
	// may exceed it.
	MaxAppendBytes int
	// MaxInflight limits the entries sent to a replica but not yet acknowledged.
	// The last append message may exceed it.
	MaxInflight uint64
	// MaxInflightBytes limits the size of the entries sent to a replica but not yet
	// acknowledged. The last append message may exceed it.
	MaxInflightBytes int
	// MaxProbeBytes limits the entries in a message that finds out where the log of
	// a replica ends. Such messages are repeated until the replica responds.
	MaxProbeBytes int
	// MaxUncommitted limits the uncommitted entries in the leader's log. Further
	// proposals fail with ErrBusy.
	MaxUncommitted uint64
}

// PersistentState is the persistent state that a replica starts from.
type PersistentState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// Entries holds the entries after the snapshot.
	Entries []Entry
	// Bootstrapping is set until a Ready has reported that the replica finished
	// bootstrapping.
	Bootstrapping bool
}

// Node is the consensus state of one replica. It is not safe for concurrent use.
type Node struct {
	config Config
	id     string
	// leaseDuration is ElectionTimeout reduced by the largest clock drift of both
	// the leader and a follower, so that the leader's lease ends before a
	// follower can vote for another candidate.
	leaseDuration time.Duration

	term uint64
	vote string
	log  *entryLog
	role Role
	// leader is the known leader of the current term, or empty.
	leader string

	// lastLeaderContact is when this replica last heard from a leader. For one
	// election timeout after that it votes for no other candidate, except in a
	// leadership transfer.
	lastLeaderContact time.Duration
	// The next campaign starts electionTimerDuration after electionTimerStart.
	electionTimerStart    time.Duration
	electionTimerDuration time.Duration
	votes                 map[string]bool
	// transferCampaign is set during a campaign that the previous leader
	// requested.
	transferCampaign bool

	// The fields from here to transferStart are used only by the leader.
	peers map[string]*peer
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	leaderSince    time.Duration
	lastHeartbeat  time.Duration
	// readRound numbers the rounds of requests that confirm the leadership for
	// reads.
	readRound    uint64
	pendingReads []readRequest
	// transferee is the voter that is to take over the leadership, or empty.
	transferee    string
	transferStart time.Duration

	bootstrap bootstrapState
	// snapshot describes the latest snapshot on disk.
	snapshot SnapshotMeta
	// incoming is the snapshot being received, or nil.
	incoming *incomingSnapshot
	// installed is a received snapshot that Ready has to return, or nil.
	installed *Snapshot

	// savedState is the hard state on disk.
	savedState HardState
	// messages and completedReads are returned by the next Ready. Messages to
	// this replica itself are handled by Advance.
	messages       []Message
	completedReads []ReadState
}

// peer is the leader's view of another replica.
type peer struct {
	// match is the last entry known to match the leader's log, and next the next
	// entry to send.
	match uint64
	next  uint64
	// inflight holds the appends sent but not yet acknowledged, oldest first, and
	// inflightBytes the size of their entries.
	inflight      []sentAppend
	inflightBytes int
	// sentCommit is the latest commit index that the replica can have learned.
	sentCommit uint64
	// probing is set until the logs are known to match up to the entry before
	// next. lastProbe is when the last probe was sent, or the last append that
	// shows whether earlier ones were lost.
	probing   bool
	lastProbe time.Duration
	// lag tracks how far the replica is behind the commit index.
	lag commitLag
	// lastResend is when entries without acknowledgement were sent again.
	lastResend time.Duration
	// ackedSendTime is the send time of the latest request that the replica has
	// responded to, and ackedRound the latest read round that it has responded
	// to.
	ackedSendTime time.Duration
	ackedRound    uint64
	// responded is set once the replica has responded in this term.
	responded bool
	// bootstrapped is set if the replica has finished bootstrapping.
	bootstrapped bool
	// snapshotIndex is the index of the snapshot being sent, or 0.
	snapshotIndex  uint64
	snapshotOffset uint64
	lastChunkSent  time.Duration
}

// sentAppend is an append that has been sent.
type sentAppend struct {
	// last is the index of its last entry.
	last   uint64
	bytes  int
	sentAt time.Duration
}

// hasWindow reports whether the limits for unacknowledged entries allow another
// append.
func (p *peer) hasWindow(c *Config) bool {
	return p.next-p.match <= c.MaxInflight && p.inflightBytes < c.MaxInflightBytes
}

// recordSent records an append of the entries from p.next on.
func (p *peer) recordSent(entries []Entry, now time.Duration) {
	size := entriesSize(entries)
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, sentAppend{p.next - 1, size, now})
	p.inflightBytes += size
}

// recordStored removes the appends that the replica has stored up to index.
func (p *peer) recordStored(index uint64) {
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// probeFrom makes the leader find out whether the log of the replica matches up to
// the entry before next.
func (p *peer) probeFrom(next uint64) {
	p.next = next
	p.probing = true
	p.inflight, p.inflightBytes = nil, 0
	p.sentCommit = min(p.sentCommit, p.match)
}

// New returns a replica that resumes from its persistent state.
func New(config Config, stored PersistentState) *Node {
	n := &Node{
		config:        config,
		id:            config.ID,
		leaseDuration: config.ElectionTimeout * (1000 - maxClockDriftPermille) / (1000 + maxClockDriftPermille),
		term:          stored.HardState.Term,
		vote:          stored.HardState.Vote,
		savedState:    stored.HardState,
		log:           newEntryLog(stored.Snapshot),
		snapshot:      stored.Snapshot,
	}
	n.log.add(stored.Entries...)
	n.log.stable = n.log.last()
	n.startElectionTimer(stored.HardState.Term == 0)
	n.initBootstrap(stored.Bootstrapping)
	return n
}

// startElectionTimer sets the first election timer. A replica that may have
// acknowledged a leader before its restart waits until that leader's lease has
// expired. A new replica and a sole voter cannot have acknowledged another
// leader and do not wait.
func (n *Node) startElectionTimer(isNew bool) {
	now := n.config.Clock()
	n.electionTimerStart = now
	members := n.log.members()
	soleVoter := members.VoterCount() == 1 && members.IsVoter(n.id)
	if !isNew && !soleVoter {
		n.lastLeaderContact = now
		n.electionTimerDuration = n.randomElectionTimeout()
		return
	}
	n.lastLeaderContact = now - n.config.ElectionTimeout
	if !soleVoter {
		n.electionTimerDuration = n.jitter(n.config.ElectionTimeout / 4)
	}
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.config.Rand.Int64N(int64(limit)))
}

func (n *Node) randomElectionTimeout() time.Duration {
	return n.config.ElectionTimeout + n.jitter(n.config.ElectionTimeout/2)
}

// Tick runs work that is due: heartbeats, lease checks, elections and bootstrap
// queries. The interval between calls only determines how late this work can
// run.
func (n *Node) Tick() {
	now := n.config.Clock()
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if n.bootstrapping() {
		n.sendBootstrapQueries()
		return
	}
	if now-n.electionTimerStart < n.electionTimerDuration {
		return
	}
	if !n.log.members().IsVoter(n.id) || n.withinLeaderLease(now) {
		n.resetElectionTimer(now)
		return
	}
	n.campaign(MsgPreVote, false)
}

func (n *Node) resetElectionTimer(now time.Duration) {
	n.electionTimerStart = now
	n.electionTimerDuration = n.randomElectionTimeout()
}

// withinLeaderLease reports whether this replica is the leader or heard from one
// within ElectionTimeout, in which case that leader may still hold a lease.
func (n *Node) withinLeaderLease(now time.Duration) bool {
	return n.role == Leader || now-n.lastLeaderContact < n.config.ElectionTimeout
}

// Step handles a message from another replica. It ignores one that no replica can have
// sent.
func (n *Node) Step(m Message) {
	if !m.wellFormed() {
		return
	}
	switch m.Kind {
	case MsgBootstrapQuery:
		n.handleBootstrapQuery(&m)
		return
	case MsgBootstrapQueryResponse:
		n.handleBootstrapQueryResponse(&m)
		return
	}
	if m.Term > n.term && !n.handleHigherTerm(&m) {
		return
	}
	if m.Term < n.term {
		n.handleLowerTerm(&m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVote(&m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(&m)
	case MsgAppend:
		n.acceptLeader(m.From)
		n.handleAppend(&m)
	case MsgSnapshot:
		n.acceptLeader(m.From)
		n.handleSnapshot(&m)
	case MsgAppendResponse:
		n.handleAppendResponse(&m)
	case MsgSnapshotResponse:
		n.handleSnapshotResponse(&m)
	case MsgTimeoutNow:
		n.handleTimeoutNow()
	}
}

// handleHigherTerm processes the term of a message whose term is higher than the
// current one. It reports whether the caller should handle the message as one of
// the current term.
func (n *Node) handleHigherTerm(m *Message) bool {
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
		return false
	case MsgVote:
		if n.withinLeaderLease(n.config.Clock()) && !m.Transfer {
			return false
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			n.handleVoteResponse(m)
			return false
		}
	}
	n.becomeFollower(m.Term, "")
	return true
}

// handleLowerTerm rejects an append, a snapshot or a pre-vote request whose term is
// lower than the current one. The rejection tells the sender the current term.
func (n *Node) handleLowerTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	if n.role == Leader {
		n.clearLeaderState()
	}
	n.role = Follower
	n.leader = leader
	n.transferCampaign = false
	n.resetElectionTimer(n.config.Clock())
}

// acceptLeader records the sender of a request as the leader of the current
// term.
func (n *Node) acceptLeader(leader string) {
	if n.role == Leader {
		panic(fmt.Sprintf("raft: both %s and %s are leaders of term %d", n.id, leader, n.term))
	}
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact = n.config.Clock()
	n.resetElectionTimer(n.lastLeaderContact)
}

func (n *Node) send(m Message) {
	m.From = n.id
	m.Bootstrapped = !n.bootstrap.pending
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.completedReads) > 0 || n.installed != nil || n.bootstrap.finishUnsaved ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit ||
		n.savedState != HardState{n.term, n.vote}
}

// Ready returns the pending work. The caller carries it out and then calls
// Advance; it must not call any other method in between.
func (n *Node) Ready() Ready {
	r := Ready{
		Entries:      n.log.slice(n.log.stable+1, n.log.last()),
		Snapshot:     n.installed,
		Reads:        n.completedReads,
		Bootstrapped: n.bootstrap.finishUnsaved,
	}
	if state := (HardState{n.term, n.vote}); state != n.savedState {
		r.HardState = &state
	}
	for _, m := range n.messages {
		if m.To != n.id {
			r.Messages = append(r.Messages, m)
		}
	}
	r.Committed = n.log.slice(n.log.applied+1, n.log.commit)
	return r
}

// Advance reports that the work of the last Ready has been carried out.
func (n *Node) Advance() {
	messages := n.messages
	n.messages, n.completedReads, n.installed = nil, nil, nil
	n.bootstrap.finishUnsaved = false
	n.savedState = HardState{n.term, n.vote}
	n.log.stable = n.log.last()
	n.log.applied = n.log.commit
	for _, m := range messages {
		// The replica's own vote or acknowledgement counts only now that it is
		// on disk.
		if m.To == n.id {
			n.Step(m)
		}
	}
}

// Status is a point-in-time view of a replica.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	Last    uint64
	First   uint64
	Members Membership
	// Bootstrapping is set while the replica must not vote because its disk was
	// empty at the start.
	Bootstrapping bool
	// Match maps each other replica to its last entry known to match the
	// leader's log. Only the leader sets it.
	Match map[string]uint64
	// CaughtUp reports for each other replica whether it responds and stores every
	// entry that was committed maxCommitLag ago. Only the leader sets it.
	CaughtUp map[string]bool
	// Active reports for each other replica whether it has responded to a request
	// sent within the last lease duration. Only the leader sets it.
	Active map[string]bool
}

// Status returns the current view of the replica.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied,
		First: n.log.baseIndex + 1, Last: n.log.last(), Members: n.log.members(),
		Bootstrapping: n.bootstrap.pending,
	}
	if n.role == Leader {
		s.Match = make(map[string]uint64, len(n.peers))
		s.Active = make(map[string]bool, len(n.peers))
		s.CaughtUp = make(map[string]bool, len(n.peers))
		for id, p := range n.peers {
			s.Match[id] = p.match
			s.Active[id] = n.active(p)
			s.CaughtUp[id] = n.peerCaughtUp(id)
		}
	}
	return s
}

// Members returns the current membership. Uncommitted changes are included.
func (n *Node) Members() Membership { return n.log.members() }
