// Package raft implements the Raft consensus algorithm for the control log. It
// performs no I/O: the caller passes in messages, ticks and proposals, and
// carries out the work that Ready returns. The caller also supplies the clock
// and the random source.
package raft

import (
	"time"

	"github.com/cockroachdb/errors"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of entries. The numbers are stored in files on disk and must not
// change.
const (
	// EntryNoOp is the empty entry that a new leader appends first in its term.
	EntryNoOp EntryKind = 0
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = 1
	// EntryMembers holds an encoded Membership.
	EntryMembers EntryKind = 2
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the term and the vote of a replica. It must be on disk before a
// message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Membership
	// Size is the size of the encoded state in bytes.
	Size uint64
}

// Snapshot is an encoded state of the state machine with its metadata.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. The numbers are part of the protocol between VMs and
// must not change.
const (
	MsgPreVote         MessageKind = 1
	MsgPreVoteResponse MessageKind = 2
	MsgVote            MessageKind = 3
	MsgVoteResponse    MessageKind = 4
	// MsgAppend carries entries, or none as a heartbeat.
	MsgAppend         MessageKind = 5
	MsgAppendResponse MessageKind = 6
	// MsgSnapshot carries one chunk of a snapshot. Node leaves Data empty; the
	// caller fills it in before sending.
	MsgSnapshot         MessageKind = 7
	MsgSnapshotResponse MessageKind = 8
	// MsgTimeoutNow asks a caught-up voter to start an election immediately.
	MsgTimeoutNow MessageKind = 9
	// MsgBootstrapQuery asks another replica of the initial voter set whether it
	// has stored anything and whether it has finished bootstrapping.
	MsgBootstrapQuery         MessageKind = 10
	MsgBootstrapQueryResponse MessageKind = 11
)

// Message is sent from one replica to another. Which fields are used depends
// on Kind.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// Index and LogTerm identify a log entry: in an append the one before
	// Entries, in a vote request the last one of the candidate. In a response,
	// Index is the last entry that the follower has stored, the Index of a
	// rejected append, or the index of the snapshot being received.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject is set in a response that denies a vote or an append, and in the
	// response of a replica that is not empty to a bootstrap query. The response
	// to a rejected append also carries, in RejectHint, the last index at which
	// the follower's log can still match the leader's.
	Reject     bool
	RejectHint uint64
	// SentAt is the leader's clock reading when it sent the request and
	// ReadRound its latest read round. Responses echo both. In a bootstrap
	// query, ReadRound is a nonce.
	SentAt    time.Duration
	ReadRound uint64
	// Transfer marks a vote request of a leadership transfer. Followers may
	// grant it even while they are in contact with the old leader.
	Transfer bool
	Snapshot SnapshotMeta
	// Offset is the position of Data in the encoded snapshot. In a response, it
	// is the number of bytes that the follower has received.
	Offset uint64
	Data   []byte
	// Bootstrapped is set if the sender has finished bootstrapping and is allowed
	// to vote.
	Bootstrapped bool
	// Ordered is set if the message must not overtake other ordered messages to
	// the same replica. Messages without it are small and urgent. It is not sent.
	Ordered bool
}

// NeedsSync reports whether m, such as a vote or an acknowledgement, may be sent
// only after the state that it depends on has been synced to disk.
func (m *Message) NeedsSync() bool {
	switch m.Kind {
	case MsgAppend, MsgSnapshot, MsgTimeoutNow:
		return false
	default:
		return true
	}
}

// ReadState is the result of a ReadIndex call. Once the entry at Index has been
// applied, the state machine contains every command committed before the call.
type ReadState struct {
	ID    uint64
	Index uint64
	// Failed is set if this replica lost the leadership before the read was
	// confirmed.
	Failed bool
}

// Ready is the work that the caller must carry out, in this order: write and
// sync Snapshot, HardState and Entries, send Messages, restore Snapshot, apply
// Committed, and call Advance. Messages whose NeedsSync is false may be sent
// before the sync.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	Entries   []Entry
	// Snapshot is a completely received snapshot, or nil.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	// Bootstrapped is set once, when this replica finishes bootstrapping. This
	// must be recorded on disk after Entries are written and before messages that
	// need the sync are sent.
	Bootstrapped bool
}

// MustSync reports whether r contains anything to write to disk.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil || r.Bootstrapped
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles that a replica can have.
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

// Errors returned for proposals. None of the proposed entries was appended.
var (
	ErrNotLeader     = errors.New("raft: this replica is not the leader")
	ErrBusy          = errors.New("raft: too many uncommitted entries")
	ErrChangePending = errors.New("raft: another membership change is in progress")
	ErrNotCaughtUp   = errors.New("raft: too few voters of the new membership are caught up")
	ErrBadChange     = errors.New("raft: invalid membership change")
)

// wellFormed reports whether the entries of a message can be those of a leader: they
// follow its index without gaps, their terms do not decrease, and memberships can be
// decoded. A message that is damaged must not stop a replica.
func (m *Message) wellFormed() bool {
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
		if e.Kind != EntryMembers {
			continue
		}
		if members, err := DecodeMembership(e.Data); err != nil || members.VoterCount() == 0 {
			return false
		}
	}
	return true
}
