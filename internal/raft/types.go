// Package raft is the consensus core of the control log. It does no I/O: the
// caller feeds it messages, ticks and proposals, and carries out what Ready
// returns. The clock and the random source are passed in.
package raft

import (
	"time"

	"github.com/cockroachdb/errors"
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries. The numbers stand in files on disk and must not
// change.
const (
	// EntryEmpty starts the term of a leader.
	EntryEmpty EntryKind = 0
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = 1
	// EntryMembers holds an encoded Membership.
	EntryMembers EntryKind = 2
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be on disk before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Membership
	// Size is the number of bytes of the encoded state.
	Size uint64
}

// Snapshot is an encoded state with its description.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageKind selects the handler of a message.
type MessageKind uint8

// The kinds of messages. The numbers are part of the protocol between VMs.
const (
	MsgPreVote         MessageKind = 1
	MsgPreVoteResponse MessageKind = 2
	MsgVote            MessageKind = 3
	MsgVoteResponse    MessageKind = 4
	// MsgAppend carries entries, or none as a heartbeat.
	MsgAppend         MessageKind = 5
	MsgAppendResponse MessageKind = 6
	// MsgSnapshot carries one chunk of a snapshot. The core leaves Data empty
	// and the caller fills it before sending.
	MsgSnapshot         MessageKind = 7
	MsgSnapshotResponse MessageKind = 8
	// MsgTimeoutNow asks a caught-up voter to campaign at once.
	MsgTimeoutNow MessageKind = 9
	// MsgHello asks what another replica of the first voter set has stored.
	MsgHello         MessageKind = 10
	MsgHelloResponse MessageKind = 11
)

// Message travels between replicas. Which fields are used depends on Kind.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// Index and LogTerm are the entry before Entries, the last entry of a
	// candidate, or the last entry that a follower has stored.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject refuses a vote or an append; Hint is then where the log of the
	// follower may still match.
	Reject bool
	Hint   uint64
	// Sent is the leader's clock when it sent the request and Round its
	// latest read round. Responses return both.
	Sent  time.Duration
	Round uint64
	// Transfer marks a vote request that the leader asked for, which
	// followers grant although they hear from that leader.
	Transfer bool
	Snapshot SnapshotMeta
	Offset   uint64
	Data     []byte
	// Formed tells that the sender may vote.
	Formed bool
}

// Promise reports whether the state must be synced before m is sent.
func (m *Message) Promise() bool {
	switch m.Kind {
	case MsgAppend, MsgSnapshot, MsgTimeoutNow:
		return false
	default:
		return true
	}
}

// ReadState answers ReadIndex. The state contains every command committed
// before the call once the entry at Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
	// Failed means that this replica stopped leading first.
	Failed bool
}

// Ready is the work that the caller must carry out, in this order: write
// Snapshot, HardState and Entries and sync them, send the messages (those
// without a promise may go before the sync), restore Snapshot, apply
// Committed, and call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	Entries   []Entry
	// Snapshot is nil unless one was received whole.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	// Formed tells that this replica is no new one any more, which must be
	// written after Entries and before the messages with a promise are sent.
	Formed bool
}

// MustSync reports whether r has anything to write.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil || r.Formed
}

// Role is what a replica does in its term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals. With each of them nothing was appended.
var (
	ErrNotLeader     = errors.New("raft: this replica does not lead")
	ErrBusy          = errors.New("raft: too many entries wait for commitment")
	ErrChangePending = errors.New("raft: another membership change is in progress")
	ErrNotCaughtUp   = errors.New("raft: a majority of the new voters is not caught up")
	ErrBadChange     = errors.New("raft: membership change is not possible")
)
