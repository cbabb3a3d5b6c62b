package raft

import (
	"maps"
	"time"
)

const (
	// smallVoterCount and largeVoterCount are the desired numbers of voters. Five
	// voters tolerate two failures, and are used where there are at least five
	// replicas.
	smallVoterCount = 3
	largeVoterCount = 5
	// lostReplicaTimeout is how long a voter must be unresponsive before a learner that
	// has caught up replaces it. A voter that was only restarting becomes a learner.
	lostReplicaTimeout = time.Second
	// lostLearnerTimeout is how long a learner must be unresponsive before it is
	// removed. It is longer than a restart takes.
	lostLearnerTimeout = 6 * time.Second
)

// String returns the name of the kind of change.
func (k ChangeKind) String() string {
	return [...]string{"none", "add learner", "promote", "remove"}[k]
}

// NextJoinChange returns the next membership change needed to add a replica, or
// false if it is already a member. A learner at the same address has lost its disk
// and is removed first. A voter at the same address has lost its disk too, but it is
// kept until the Repairer can replace it: its removal would leave fewer voters for as
// long as the new replica takes to catch up.
func NextJoinChange(members Membership, id, address string) (Change, bool) {
	if _, ok := members.Find(id); ok {
		return Change{}, false
	}
	for _, m := range members {
		if m.Address == address && !m.Voter {
			return Change{Kind: Remove, ID: m.ID}, true
		}
	}
	return Change{Kind: AddLearner, ID: id, Address: address}, true
}

// NextLeaveChange returns the next membership change with which a learner takes over
// the vote of a voter that is about to stop, or false if there is none to make. The
// learner is promoted first, so that at no time there are fewer voters. Without a
// learner that has caught up the voter is kept, because it may only restart.
func NextLeaveChange(s *Status, id string) (Change, bool) {
	if s.Role != Leader || id == s.ID || !s.Members.IsVoter(id) {
		return Change{}, false
	}
	if s.Members.VoterCount() > desiredVoters(s.Members) {
		return Change{Kind: Remove, ID: id}, true
	}
	if _, ok := supersededVoter(s); ok {
		// The learner replaces the voter at its own address first.
		return Change{}, false
	}
	learner, ok := caughtUpLearner(s)
	return Change{Kind: Promote, ID: learner}, ok
}

// Repairer decides which membership changes a leader makes to replace lost
// voters and to reach the desired number of voters. It is not safe for
// concurrent use.
type Repairer struct {
	// unresponsiveSince maps each replica that does not respond to the time at
	// which this was first observed.
	unresponsiveSince map[string]time.Duration
	term              uint64
}

// NewRepairer returns a Repairer that has observed no unresponsive replica.
func NewRepairer() *Repairer { return &Repairer{unresponsiveSince: make(map[string]time.Duration)} }

// Next returns the membership change to make now, if any, given the status of
// this replica.
func (r *Repairer) Next(now time.Duration, s *Status) (Change, bool) {
	if s.Role != Leader || s.Term != r.term {
		clear(r.unresponsiveSince)
		r.term = s.Term
		return Change{}, false
	}
	r.trackResponses(now, s)
	learner, learnerReady := caughtUpLearner(s)
	lost, voterLost := r.lostVoter(now, s)
	voters := s.Members.VoterCount()
	desired := desiredVoters(s.Members)
	switch {
	case voterLost && (voters > desired || voters == desired && learnerReady):
		return Change{Kind: Remove, ID: lost}, true
	case learnerReady && voters < desired:
		return Change{Kind: Promote, ID: learner}, true
	}
	return r.removeLostLearner(now, s)
}

// desiredVoters returns the desired number of voters. It is odd, because one more
// voter would not tolerate more failures. A replica and the one that it replaces at
// the same address count once.
func desiredVoters(m Membership) int {
	addresses := make(map[string]struct{}, len(m))
	for _, member := range m {
		addresses[member.Address] = struct{}{}
	}
	if len(addresses) >= largeVoterCount {
		return largeVoterCount
	}
	return smallVoterCount
}

// trackResponses updates unresponsiveSince. It forgets replicas that are no members any
// more: one that joins again has the full time to respond.
func (r *Repairer) trackResponses(now time.Duration, s *Status) {
	maps.DeleteFunc(r.unresponsiveSince, func(id string, _ time.Duration) bool {
		_, ok := s.Members.Find(id)
		return !ok
	})
	for _, m := range s.Members {
		if m.ID == s.ID || s.Active[m.ID] {
			delete(r.unresponsiveSince, m.ID)
			continue
		}
		if _, ok := r.unresponsiveSince[m.ID]; !ok {
			r.unresponsiveSince[m.ID] = now
		}
	}
}

// caughtUpLearner returns a responding learner that has caught up.
func caughtUpLearner(s *Status) (string, bool) {
	for _, m := range s.Members {
		if !m.Voter && s.Active[m.ID] && s.CaughtUp[m.ID] {
			return m.ID, true
		}
	}
	return "", false
}

// lostVoter returns a voter that will not respond again, or that has been unresponsive
// for lostReplicaTimeout.
func (r *Repairer) lostVoter(now time.Duration, s *Status) (string, bool) {
	if id, ok := supersededVoter(s); ok {
		return id, true
	}
	for _, m := range s.Members {
		since, ok := r.unresponsiveSince[m.ID]
		if m.Voter && ok && now-since >= lostReplicaTimeout {
			return m.ID, true
		}
	}
	return "", false
}

// supersededVoter returns a voter whose process runs as another replica now.
func supersededVoter(s *Status) (string, bool) {
	for _, m := range s.Members {
		if m.Voter && superseded(s, &m) {
			return m.ID, true
		}
	}
	return "", false
}

// superseded reports whether a learner responds at the address of a voter. The process
// at that address has lost its disk, and with it the identity of the voter.
func superseded(s *Status, voter *Member) bool {
	for _, m := range s.Members {
		if m.Address == voter.Address && m.ID != voter.ID && !m.Voter && s.Active[m.ID] {
			return true
		}
	}
	return false
}

// removeLostLearner returns the removal of a learner that has been unresponsive
// for lostLearnerTimeout. It would otherwise count as a replica forever. A
// removed learner joins again if it returns.
func (r *Repairer) removeLostLearner(now time.Duration, s *Status) (Change, bool) {
	for _, m := range s.Members {
		since, ok := r.unresponsiveSince[m.ID]
		if !m.Voter && ok && now-since >= lostLearnerTimeout {
			return Change{Kind: Remove, ID: m.ID}, true
		}
	}
	return Change{}, false
}
