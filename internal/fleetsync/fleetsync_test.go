package fleetsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testRegions = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}

var testZones = []string{"a1", "a2", "a3", "b1", "b2", "b3"}

func testMembers() []Member {
	var members []Member
	for _, zone := range testZones {
		members = append(members, Member{Address: "core-" + zone, Zone: zone})
	}
	return members
}

func newTestFinder(vm, zone string, seeds ...string) *Finder {
	return NewFinder(vm, zone, testRegions, rand.New(rand.NewPCG(1, 1)), seeds, func() []string { return seeds })
}

// Guards against fronts that all follow the leader, or a member of another zone
// although their own has one: its connections and bytes grew with the fleet.
func TestFrontFollowsTheMemberOfItsZone(t *testing.T) {
	f := newTestFinder("vm", "b2", "core-a1", "core-b1")
	f.SetMembers(testMembers())
	if got, wait := f.Next(0); got != "core-b2" || wait != 0 {
		t.Errorf("follows %s after %v, want core-b2 at once", got, wait)
	}
	f.Failed(0, "core-b2")
	other, _ := f.Next(2 * minPause)
	if testRegions[other[len("core-"):]] != "b" {
		t.Errorf("follows %s after a failure, want another member of its region", other)
	}
	f.Succeeded(other)
	if got, _ := f.Next(2 * minBackoff); got != "core-b2" {
		t.Errorf("follows %s after the backoff, want core-b2 again", got)
	}
}

// Guards against fronts without a member in their zone that all choose the same
// one.
func TestFrontsSpreadOverEqualMembers(t *testing.T) {
	count := make(map[string]int)
	for i := range 300 {
		f := newTestFinder(fmt.Sprint("vm", i), "a1", "core-a2")
		f.SetMembers([]Member{{"core-a2", "a2"}, {"core-a3", "a3"}, {"core-b1", "b1"}})
		address, _ := f.Next(0)
		count[address]++
	}
	if count["core-a2"] < 100 || count["core-a3"] < 100 {
		t.Errorf("300 fronts follow %v, want about half each in the region", count)
	}
}

// Guards against a front that calls a frozen member again and again while others
// respond: it had no core for 1.3 s longer than the other fronts.
func TestFailedMemberIsPassedOver(t *testing.T) {
	f := newTestFinder("vm", "a1", "core-a1")
	f.SetMembers(testMembers())
	now := time.Duration(0)
	calls := 0
	for now < 20*time.Second {
		address, wait := f.Next(now)
		now += wait
		switch {
		case wait > 0:
		case address == "core-a1":
			calls++
			now += 1200 * time.Millisecond
			f.Failed(now, address)
		default:
			f.Succeeded(address)
			now += 500 * time.Millisecond
		}
	}
	if calls > 8 {
		t.Errorf("the failed member was called %d times in 20 s", calls)
	}
}

// Guards against a front that never finds the core after all members were
// replaced. It has to reload the seeds from the settings.
func TestFrontReloadsSeedsWhenNoMemberResponds(t *testing.T) {
	f := NewFinder("vm", "a1", testRegions, rand.New(rand.NewPCG(1, 1)), []string{"old"}, func() []string { return []string{"new"} })
	f.SetMembers([]Member{{"gone", "a1"}})
	now := time.Duration(0)
	for now < 3*time.Second {
		address, wait := f.Next(now)
		now += wait
		if wait > 0 {
			continue
		}
		if address == "new" {
			return
		}
		f.Failed(now, address)
	}
	t.Error("the new seed is not called within 3 s")
}

// search calls members until one of them is live, where a call to any other takes until its
// time limit, and returns how long that took and the calls.
func search(f *Finder, live string, limit time.Duration) (now time.Duration, calls []string) {
	const callTime = 1200 * time.Millisecond
	for now < limit {
		address, wait := f.Next(now)
		now += wait
		if wait > 0 {
			continue
		}
		calls = append(calls, address)
		if address == live {
			break
		}
		now += callTime
		f.Failed(now, address)
	}
	return now, calls
}

// Guards against a search that calls the same few addresses again and again, because a call
// to an address where nothing runs takes longer than its backoff: a front found the core
// again only after 10 s, and refused its requests for half of that.
func TestEachCandidateIsCalledBeforeOneIsCalledAgain(t *testing.T) {
	const addresses = 4
	for seed := range uint64(20) {
		var members []Member
		for i := range addresses {
			members = append(members, Member{Address: fmt.Sprint("member-", seed, "-", i)})
		}
		for _, live := range members {
			f := newTestFinder("vm", "a1")
			f.SetMembers(members)
			if took, calls := search(f, live.Address, time.Minute); len(calls) > addresses {
				t.Errorf("the live member was called after %v, the calls are %v", took, calls)
			}
		}
	}
}

// Guards against seeds that are not read again for as long as calls to the old ones take.
func TestSeedsAreReloadedOnceAllHaveFailed(t *testing.T) {
	old := []string{"old-1", "old-2", "old-3"}
	f := NewFinder("vm", "a1", testRegions, rand.New(rand.NewPCG(1, 1)), old, func() []string { return []string{"new"} })
	if took, calls := search(f, "new", time.Minute); len(calls) != len(old)+1 {
		t.Errorf("the new seed was called after %v, the calls are %v", took, calls)
	}
}

// Guards against an old list of members, from one that has just started and does not serve
// yet, that replaces the present one.
func TestListOfAMemberThatDoesNotServeIsAdded(t *testing.T) {
	f := newTestFinder("vm", "a1")
	f.SetMembers([]Member{{Address: "restarted", Zone: "a1"}, {Address: "present"}})
	if got, _ := f.Next(0); got != "restarted" {
		t.Fatalf("calls %s first", got)
	}
	f.AddMembers([]Member{{Address: "gone-1"}, {Address: "gone-2"}})
	f.Failed(0, "restarted")
	if _, calls := search(f, "present", time.Minute); !slices.Contains(calls, "present") {
		t.Errorf("the present member was not called; the calls are %v", calls)
	}
	f.AddMembers([]Member{{Address: "new"}})
	if _, calls := search(f, "new", time.Minute); !slices.Contains(calls, "new") {
		t.Errorf("the new member was not called; the calls are %v", calls)
	}
}

// Guards against a front that has found no member and waits for long after the core
// is back, and against one that calls without a pause meanwhile.
func TestFrontWithoutACoreRetriesOftenButNotWithoutPause(t *testing.T) {
	f := newTestFinder("vm", "a1", "core-a1", "core-b1")
	f.SetMembers(testMembers())
	now, calls, longest, last := time.Duration(0), 0, time.Duration(0), time.Duration(0)
	for now < 20*time.Second {
		address, wait := f.Next(now)
		now += wait
		if wait > 0 {
			continue
		}
		longest = max(longest, now-last)
		last = now
		calls++
		f.Failed(now, address)
	}
	if longest > 2*time.Second || calls > 20*10 {
		t.Errorf("%d calls in 20 s, %v between two of them at most", calls, longest)
	}
}

// restartedFleet plays the calls of 300 fronts whose core has just come back, and
// returns the number of calls in each tenth of a second by member.
func restartedFleet(seed uint64) map[string][]int {
	const down = 2 * time.Second
	perMember := make(map[string][]int)
	for i := range 300 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		seeds := []string{"core-a1", "core-a2", "core-b1"}
		f := NewFinder(fmt.Sprint("vm", i), testZones[i%len(testZones)], testRegions, random, seeds, func() []string { return seeds })
		f.SetMembers(testMembers())
		for now := time.Duration(0); now < 2*down; {
			address, wait := f.Next(now)
			now += wait
			if wait > 0 {
				continue
			}
			slots := perMember[address]
			if slots == nil {
				slots = make([]int, 2*down/(100*time.Millisecond)+1)
				perMember[address] = slots
			}
			slots[min(int(now/(100*time.Millisecond)), len(slots)-1)]++
			if now < down {
				f.Failed(now, address)
				continue
			}
			f.Succeeded(address)
			now += MaxWait
		}
	}
	return perMember
}

// Guards against a fleet that returns in step after a mass restart: all fronts
// called the same member within the same few milliseconds, again and again.
func TestFrontsReturnSpreadAfterAMassRestart(t *testing.T) {
	for seed := range uint64(10) {
		for member, slots := range restartedFleet(seed) {
			// All fronts start at the same time, so the first half second is theirs.
			if busiest := slices.Max(slots[5:]); busiest > 100 {
				t.Errorf("seed %d: %s gets %d calls of 300 fronts within 100 ms", seed, member, busiest)
			}
		}
	}
}

// Guards against one response to each front for each of 300 registrations.
func TestRegistrationsShareResponses(t *testing.T) {
	const registrations = 300
	changedAt := func(i int) time.Duration { return time.Duration(i) * 5 * time.Millisecond }
	end := changedAt(registrations)
	responses := 0
	now, have := time.Duration(0), Version{}
	for now < end {
		poll := NewPollTimer(now, have)
		current := have
		due := poll.Due(now, current, false)
		for i := range registrations {
			if at := max(changedAt(i), now); at <= due && uint64(i+1) > current.Revision {
				current.Revision = uint64(i + 1)
				due = poll.Due(at, current, false)
			}
		}
		now, have = due, current
		responses++
	}
	if most := int(end/ordinaryDelay) + 2; responses > most {
		t.Errorf("%d responses for %d registrations in %v, at most %d are needed", responses, registrations, end, most)
	}
}

// Guards against urgent changes that wait as long as ordinary ones: a withdrawn
// key or a target that leaves must not be used for longer than needed.
func TestUrgentChangesAreSentAtOnce(t *testing.T) {
	have := Version{Document: 3, Revision: 10, Urgent: 5}
	for name, current := range map[string]Version{
		"document": {Document: 4, Revision: 10, Urgent: 5},
		"drain":    {Document: 3, Revision: 12, Urgent: 11},
	} {
		poll := NewPollTimer(0, have)
		if due := poll.Due(100*time.Millisecond, current, false); due != 100*time.Millisecond+urgentDelay {
			t.Errorf("%s: response due at %v", name, due)
		}
	}
	poll := NewPollTimer(0, have)
	ordinary := Version{Document: 3, Revision: 12, Urgent: 5}
	first := poll.Due(0, ordinary, false)
	if again := poll.Due(50*time.Millisecond, ordinary, false); again != first {
		t.Errorf("a response due at %v is put off to %v by another change", first, again)
	}
	if due := NewPollTimer(0, have).Due(0, have, false); due != MaxWait {
		t.Errorf("without a change the response is due at %v, want %v", due, MaxWait)
	}
	if due := NewPollTimer(0, have).Due(0, have, true); due != urgentDelay {
		t.Errorf("after a change of the stores the response is due at %v, want %v", due, urgentDelay)
	}
}

// Guards against a list of fronts that changes with each front that starts, so that
// the whole list is sent to all others each time.
func TestListOfFrontsChangesAtMostOnceASecond(t *testing.T) {
	fronts := NewFronts()
	versions := make(map[uint64]bool)
	var now time.Duration
	for i := range 300 {
		now = time.Duration(i) * 10 * time.Millisecond
		fronts.Record(now, Front{VM: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Region: "a"})
		versions[fronts.List(now).Version] = true
	}
	if len(versions) > 5 {
		t.Errorf("%d versions of the list in %v", len(versions), now)
	}
	if list := fronts.List(now + listInterval); len(list.Fronts) != 300 {
		t.Errorf("the list has %d fronts, want 300", len(list.Fronts))
	}
	if list := fronts.List(now + frontTimeout + listInterval); len(list.Fronts) != 0 {
		t.Errorf("the list has %d fronts after all have timed out", len(list.Fronts))
	}
}

// Guards against announcements that grow with the square of the fleet: at 300 fronts
// each dispatch took 146 datagrams, at 1,000 it would have taken 500.
func TestAnnouncementsOfAFrontAreBounded(t *testing.T) {
	for _, size := range []int{8, 80, 300, 1000} {
		var fronts []Front
		for i := range size {
			fronts = append(fronts, Front{VM: fmt.Sprint("vm", i), Address: fmt.Sprint("10.", i/250, ".", i%250, ".1:1"), Region: []string{"a", "b"}[i%2]})
		}
		list := NewFrontList(fronts)
		heard := make(map[string]int)
		for _, f := range fronts {
			peers := list.Peers(f.VM, f.Region)
			if len(peers) > maxPeers || size <= maxMeshFronts && len(peers) != size-1 {
				t.Errorf("%d fronts: %s announces to %d others", size, f.VM, len(peers))
			}
			if slices.ContainsFunc(peers, func(p Peer) bool { return p.Address == f.Address }) {
				t.Errorf("%s announces to itself", f.VM)
			}
			for _, p := range peers {
				heard[p.Address]++
			}
		}
		for address, n := range heard {
			if n > 2*maxPeers {
				t.Errorf("%d fronts: %s hears from %d others", size, address, n)
			}
		}
		if len(heard) != size {
			t.Errorf("%d fronts: only %d hear from others", size, len(heard))
		}
	}
}
