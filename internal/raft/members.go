package raft

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxVoters is the maximum number of voters.
const MaxVoters = 7

// Member describes one replica of the log.
type Member struct {
	ID      string
	Address string
	// Voter is false for a learner, which receives entries but does not vote.
	Voter bool
}

// Membership is the set of replicas, sorted by ID.
type Membership []Member

// NewVoters returns a membership of voters with the given IDs and addresses.
func NewVoters(addresses map[string]string) Membership {
	var m Membership
	for id, address := range addresses {
		m = append(m, Member{ID: id, Address: address, Voter: true})
	}
	m.sort()
	return m
}

func (m Membership) sort() {
	slices.SortFunc(m, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}

// Find returns the member with the given ID.
func (m Membership) Find(id string) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether the member with the given ID is a voter.
func (m Membership) IsVoter(id string) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	count := 0
	for _, member := range m {
		if member.Voter {
			count++
		}
	}
	return count
}

// Quorum returns the smallest number of voters that is a majority.
func (m Membership) Quorum() int { return m.VoterCount()/2 + 1 }

// Encode returns the binary encoding of m that is stored on disk.
func (m Membership) Encode() []byte {
	var buf []byte
	for _, member := range m {
		buf = protowire.AppendString(buf, member.ID)
		buf = protowire.AppendString(buf, member.Address)
		buf = protowire.AppendVarint(buf, protowire.EncodeBool(member.Voter))
	}
	return buf
}

var errMalformedMembership = errors.New("raft: malformed encoded membership")

// DecodeMembership decodes the result of Encode.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	for len(data) > 0 {
		id, n := protowire.ConsumeString(data)
		if n < 0 {
			return nil, errMalformedMembership
		}
		data = data[n:]
		address, n := protowire.ConsumeString(data)
		if n < 0 {
			return nil, errMalformedMembership
		}
		data = data[n:]
		voter, n := protowire.ConsumeVarint(data)
		if n < 0 {
			return nil, errMalformedMembership
		}
		data = data[n:]
		m = append(m, Member{id, address, protowire.DecodeBool(voter)})
	}
	return m, nil
}

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of membership changes. Each adds or removes at most one voter.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is one membership change.
type Change struct {
	Kind    ChangeKind
	ID      string
	Address string
}

// apply returns the membership that results from c, or ErrBadChange.
func (m Membership) apply(c Change) (Membership, error) {
	next := slices.Clone(m)
	i := slices.IndexFunc(next, func(x Member) bool { return x.ID == c.ID })
	switch {
	case c.Kind == AddLearner && i < 0 && c.ID != "" && c.Address != "":
		next = append(next, Member{ID: c.ID, Address: c.Address})
	case c.Kind == Promote && i >= 0 && !next[i].Voter && next.VoterCount() < MaxVoters:
		next[i].Voter = true
	case c.Kind == Remove && i >= 0:
		next = slices.Delete(next, i, i+1)
	default:
		return nil, fmt.Errorf("%w: change kind %d for member %q", ErrBadChange, c.Kind, c.ID)
	}
	next.sort()
	return next, nil
}

// ProposeChange appends a membership change, which takes effect immediately,
// before it is committed. It returns the index and term of the entry.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if !n.acceptsProposals() {
		return 0, 0, ErrNotLeader
	}
	// Before the first commit of its term, a change could overlap with one of an
	// earlier leader, and the two memberships could have disjoint majorities.
	if n.log.commit < n.termStartIndex || n.log.membershipIndex() > n.log.commit {
		return 0, 0, ErrChangePending
	}
	next, err := n.log.members().apply(c)
	if err != nil {
		return 0, 0, err
	}
	if c.Kind == Remove && c.ID == n.id {
		return 0, 0, fmt.Errorf("%w: the leader %q cannot be removed", ErrBadChange, c.ID)
	}
	if c.Kind != AddLearner && !n.caughtUp(next, c) {
		return 0, 0, ErrNotCaughtUp
	}
	index = n.appendEntry(Entry{Kind: EntryMembers, Data: next.Encode()})
	n.syncPeers()
	n.broadcastAppend(true)
	return index, n.term, nil
}

// caughtUp reports whether a majority of the voters in next respond and have caught
// up, and whether a learner to be promoted has too. Without
// this check, the loss of one more VM right after a membership repair could lose
// committed entries or block the log.
func (n *Node) caughtUp(next Membership, c Change) bool {
	caughtUpVoters := 0
	for _, member := range next {
		ok := member.ID == n.id || n.peerCaughtUp(member.ID)
		if c.Kind == Promote && member.ID == c.ID && !ok {
			return false
		}
		if ok && member.Voter {
			caughtUpVoters++
		}
	}
	return caughtUpVoters >= next.Quorum()
}
