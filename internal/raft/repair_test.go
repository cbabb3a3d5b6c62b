package raft

import (
	"testing"
	"time"
)

func leaderStatus(members Membership, active ...string) *Status {
	s := &Status{ID: members[0].ID, Role: Leader, Term: 3, Commit: 10, Members: members,
		Active: make(map[string]bool), CaughtUp: make(map[string]bool)}
	for _, id := range active {
		s.Active[id], s.CaughtUp[id] = true, true
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

// Guards against a voter set that shrinks while a replica that has lost its disk
// catches up: the loss of another voter in that time left no majority, for good.
func TestVoterWithALostDiskIsKeptUntilItsSuccessorHasCaughtUp(t *testing.T) {
	s := leaderStatus(members(3), "b")
	change, ok := NextJoinChange(s.Members, "c/new", "c:1")
	if !ok || change != (Change{Kind: AddLearner, ID: "c/new", Address: "c:1"}) {
		t.Fatalf("proposed %v of %s, want the new replica as a learner", change.Kind, change.ID)
	}
	s.Members, _ = s.Members.apply(change)
	r := NewRepairer()
	s.Active["c/new"] = true
	r.Next(0, s)
	if change, ok := r.Next(0, s); ok {
		t.Fatalf("proposed %v of %s while the learner lags behind", change.Kind, change.ID)
	}
}

// Guards against a replacement that waits for the timeout of a voter which is known to
// have lost its disk, or for a second request of its successor: the next disk may be
// lost meanwhile.
func TestCaughtUpSuccessorReplacesAVoterWithALostDiskAtOnce(t *testing.T) {
	s := leaderStatus(append(members(3), Member{ID: "c/new", Address: "c:1"}), "b", "c/new")
	r := NewRepairer()
	// The first call in a term only observes which replicas respond.
	r.Next(0, s)
	for _, want := range []Change{{Kind: Remove, ID: "c"}, {Kind: Promote, ID: "c/new"}} {
		change, ok := r.Next(0, s)
		if !ok || change != want {
			t.Fatalf("proposed %v of %q, want %v of %q", change.Kind, change.ID, want.Kind, want.ID)
		}
		next, err := s.Members.apply(change)
		if err != nil {
			t.Fatal(err)
		}
		s.Members = next
	}
	if change, ok := r.Next(0, s); ok || s.Members.VoterCount() != 3 {
		t.Errorf("%d voters, proposed %v of %s, want 3 voters and no change", s.Members.VoterCount(), change.Kind, change.ID)
	}
}

// Guards against a late join request of a replica that exists no longer, which made
// the leader remove the replica that now runs at its address.
func TestLateJoinRequestReplacesNoVoter(t *testing.T) {
	s := leaderStatus(append(members(3), Member{ID: "c/old", Address: "c:1"}), "b", "c")
	change, _ := runUntilChange(NewRepairer(), s, time.Minute)
	if change != (Change{Kind: Remove, ID: "c/old"}) {
		t.Errorf("proposed %v of %s, want the removal of the learner that never responds", change.Kind, change.ID)
	}
}

// Guards against learners that stay members after they have lost their disks, and
// against a replica that counts twice: four replicas got five voters then.
func TestLearnerWithALostDiskIsReplaced(t *testing.T) {
	m := append(members(4, "e"), Member{ID: "d/new", Address: "d:1"})
	if change, ok := NextJoinChange(m, "e/new", "e:1"); !ok || change != (Change{Kind: Remove, ID: "e"}) {
		t.Errorf("proposed %v of %s, want the removal of the learner e", change.Kind, change.ID)
	}
	if desired := desiredVoters(append(members(4), Member{ID: "d/new", Address: "d:1"})); desired != smallVoterCount {
		t.Errorf("%d voters are desired for four replicas, want %d", desired, smallVoterCount)
	}
	if _, ok := NextJoinChange(members(3), "b", "b:1"); ok {
		t.Error("NextJoinChange returned a change for a replica that is already a member")
	}
}

// Guards against a voter that stops for good and still counts in the majority although
// a learner has caught up: the loss of the next disk then left no majority.
func TestLearnerTakesTheVoteOfAVoterThatStops(t *testing.T) {
	s := leaderStatus(members(3, "d"), "b", "c", "d")
	for _, want := range []Change{{Kind: Promote, ID: "d"}, {Kind: Remove, ID: "c"}} {
		change, ok := NextLeaveChange(s, "c")
		if !ok || change != want {
			t.Fatalf("proposed %v of %q, want %v of %q", change.Kind, change.ID, want.Kind, want.ID)
		}
		s.Members, _ = s.Members.apply(change)
	}
	if change, ok := NextLeaveChange(s, "c"); ok || s.Members.VoterCount() != 3 {
		t.Errorf("%d voters, proposed %v of %s, want 3 voters and no change", s.Members.VoterCount(), change.Kind, change.ID)
	}
}

// Guards against a voter that is removed at a restart although no learner can replace
// it, and against a learner that replaces a voter which stops instead of the one at its
// own address that has lost its disk.
func TestVoterThatStopsIsKeptWithoutASuccessor(t *testing.T) {
	lagging := leaderStatus(members(3, "d"), "b", "c", "d")
	lagging.CaughtUp["d"] = false
	replacing := leaderStatus(append(members(3), Member{ID: "b/new", Address: "b:1"}), "c", "b/new")
	for name, s := range map[string]*Status{
		"no learner": leaderStatus(members(3), "b", "c"), "learner lags": lagging, "learner replaces another voter": replacing,
	} {
		if change, ok := NextLeaveChange(s, "c"); ok {
			t.Errorf("%s: proposed %v of %s", name, change.Kind, change.ID)
		}
	}
}

// Guards against a fourth voter that stays after a handover of a vote was interrupted,
// so that two of four voters are no majority.
func TestLostVoterBeyondTheDesiredNumberIsRemoved(t *testing.T) {
	change, _ := runUntilChange(NewRepairer(), leaderStatus(members(4), "b", "c"), time.Minute)
	if change != (Change{Kind: Remove, ID: "d"}) {
		t.Errorf("proposed %v of %s, want the removal of d", change.Kind, change.ID)
	}
}

// Guards against a replica that was replaced while it did not respond, and that is removed
// again as soon as it has joined: the time before its removal counted, and it stayed out
// for seconds.
func TestReplicaThatJoinsAgainHasTimeToRespond(t *testing.T) {
	r := NewRepairer()
	s := leaderStatus(members(3, "d"), "b", "d")
	change, at := runUntilChange(r, s, time.Minute)
	if change != (Change{Kind: Remove, ID: "c"}) {
		t.Fatalf("proposed %v of %s, want the removal of c", change.Kind, change.ID)
	}
	for _, change := range []Change{change, {Kind: Promote, ID: "d"}} {
		s.Members, _ = s.Members.apply(change)
	}
	r.Next(at, s)
	s.Members, _ = s.Members.apply(Change{Kind: AddLearner, ID: "c", Address: "c:1"})
	joined := at + 2*lostLearnerTimeout
	if change, ok := r.Next(joined, s); ok {
		t.Errorf("proposed %v of %s when it has just joined", change.Kind, change.ID)
	}
	if change, ok := r.Next(joined+lostLearnerTimeout, s); !ok || change != (Change{Kind: Remove, ID: "c"}) {
		t.Errorf("proposed %v of %s, want the removal of c, which never responds", change.Kind, change.ID)
	}
}
