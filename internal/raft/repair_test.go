package raft

import (
	"testing"
	"time"
)

func leaderStatus(members Membership, active ...string) *Status {
	s := &Status{ID: members[0].ID, Role: Leader, Term: 3, Commit: 10, Members: members,
		Active: make(map[string]bool), Match: make(map[string]uint64)}
	for _, id := range active {
		s.Active[id], s.Match[id] = true, 10
	}
	return s
}

func members(voters int, learners ...string) Membership {
	var m Membership
	for i := range voters {
		id := string(rune('a' + i))
		m = append(m, Member{ID: id, Address: id + ":1", Voter: true})
	}
	for _, id := range learners {
		m = append(m, Member{ID: id, Address: id + ":1"})
	}
	return m
}

// runUntilChange calls Next with advancing time until it returns a change or limit
// is reached, and returns the time of the change.
func runUntilChange(r *Repairer, s *Status, limit time.Duration) (Change, time.Duration) {
	for now := time.Duration(0); now <= limit; now += 100 * time.Millisecond {
		if change, ok := r.Next(now, s); ok {
			return change, now
		}
	}
	return Change{}, limit
}

// Guards against a voter set that shrinks because a lost voter is removed while
// no learner can replace it.
func TestLostVoterStaysWithoutALearner(t *testing.T) {
	change, _ := runUntilChange(NewRepairer(), leaderStatus(members(3), "b"), time.Minute)
	if change.Kind != 0 {
		t.Errorf("proposed %v of %s", change.Kind, change.ID)
	}
}

// Guards against keeping a permanently lost voter although a learner can replace
// it.
func TestLearnerReplacesALostVoter(t *testing.T) {
	r := NewRepairer()
	s := leaderStatus(members(3, "d"), "b", "d")
	change, at := runUntilChange(r, s, time.Minute)
	if change != (Change{Kind: Remove, ID: "c"}) || at < lostReplicaTimeout {
		t.Fatalf("proposed %v of %s after %v, want the removal of c after %v", change.Kind, change.ID, at, lostReplicaTimeout)
	}
	s.Members = Membership{s.Members[0], s.Members[1], s.Members[3]}
	if change, _ := runUntilChange(r, s, time.Second); change != (Change{Kind: Promote, ID: "d"}) {
		t.Errorf("proposed %v of %s, want the promotion of d", change.Kind, change.ID)
	}
}

// Guards against replacing a voter that is only restarting.
func TestVoterThatRestartsIsKept(t *testing.T) {
	r := NewRepairer()
	s := leaderStatus(members(3, "d"), "b", "d")
	for now := time.Duration(0); now < lostReplicaTimeout; now += 100 * time.Millisecond {
		if change, ok := r.Next(now, s); ok {
			t.Fatalf("proposed %v of %s after %v", change.Kind, change.ID, now)
		}
	}
	s.Active["c"] = true
	if change, ok := r.Next(2*lostReplicaTimeout, s); ok {
		t.Errorf("proposed %v of %s although c responds again", change.Kind, change.ID)
	}
}

// Guards against a group of six replicas that tolerates only one failure because
// it has only three voters.
func TestSixReplicasGetFiveVoters(t *testing.T) {
	r := NewRepairer()
	s := leaderStatus(members(3, "d", "e", "f"), "b", "c", "d", "e", "f")
	promoted := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		change, ok := r.Next(now, s)
		if !ok {
			continue
		}
		next, err := s.Members.apply(change)
		if err != nil || change.Kind != Promote {
			t.Fatalf("proposed %v of %s: %v", change.Kind, change.ID, err)
		}
		s.Members = next
		promoted++
	}
	if s.Members.VoterCount() != 5 {
		t.Errorf("a group of six replicas has %d voters after %d promotions, want 5", s.Members.VoterCount(), promoted)
	}
}

// Guards against a replica that has lost its disk and votes again under its old
// ID, although the votes that it gave under this ID are lost.
func TestReplicaWithANewDiskReplacesTheOneAtItsAddress(t *testing.T) {
	change, ok := NextJoinChange(members(3), "c/new", "c:1")
	if !ok || change != (Change{Kind: Remove, ID: "c"}) {
		t.Errorf("proposed %v of %s, want the removal of c", change.Kind, change.ID)
	}
	change, ok = NextJoinChange(members(2), "c/new", "c:1")
	if !ok || change.Kind != AddLearner {
		t.Errorf("proposed %v, want a learner", change.Kind)
	}
	if _, ok := NextJoinChange(members(3), "b", "b:1"); ok {
		t.Error("NextJoinChange returned a change for a replica that is already a member")
	}
}
