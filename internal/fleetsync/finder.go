package fleetsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBackoff and maxBackoff limit the time for which a member of the core is
	// not called after a failure. The time doubles with each failure in a row and
	// is jittered, so that the fronts do not return in step.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxBackoffDoublings and maxPauseDoublings are the numbers of doublings after
	// which the limits are reached.
	maxBackoffDoublings = 4
	maxPauseDoublings   = 3
	// minPause and maxPause limit the mean pause between a failed call and the call
	// to another member. The pause doubles with each failure in a row, so that a
	// fleet without a core does not call all of its members at once, and it ends
	// before the state of the front expires.
	minPause = 30 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// seedReloadInterval is the time between two reloads of the seeds while no
	// member responds.
	seedReloadInterval = time.Second
	// maxCandidates limits the number of addresses that are tried in turn.
	maxCandidates = 32
)

// Member is a member of the core.
type Member struct {
	// Address is the peer address.
	Address string
	// Zone is empty if it is not known.
	Zone string
}

// Finder chooses the member of the core that a front follows: one of its zone if
// there is any, else one of its region, else any. Among equal members the choice
// depends on the hash of the front and the member, so that the fronts spread over
// the members. It is not safe for concurrent use.
type Finder struct {
	vm   string
	zone string
	// regions maps each zone to its region.
	regions map[string]string
	random  *rand.Rand
	// reloadSeeds returns the current seeds of the settings.
	reloadSeeds func() []string
	nextReload  time.Duration
	seeds       []string
	members     []Member
	backoffs    map[string]backoff
	// failures counts the failed calls since the last served one, and pausedUntil
	// is the end of the pause after the last failure.
	failures    int
	pausedUntil time.Duration
	// tries counts the failed calls to each address since the last served one.
	tries map[string]int
}

type backoff struct {
	failures int
	until    time.Duration
}

// NewFinder returns the Finder of a front that knows only the seeds.
func NewFinder(vm, zone string, regions map[string]string, random *rand.Rand, seeds []string, reload func() []string) *Finder {
	return &Finder{vm: vm, zone: zone, regions: regions, random: random, seeds: seeds, reloadSeeds: reload, backoffs: make(map[string]backoff), tries: make(map[string]int)}
}

// Next returns the member to call, and how long to wait before the call. A member
// that has failed is passed over until its backoff has ended; if all members have
// failed, the first whose backoff ends is next. A call to an address where nothing
// runs can take longer than a backoff, so no member is called again before each
// other one has been called.
func (f *Finder) Next(now time.Duration) (address string, wait time.Duration) {
	if now < f.pausedUntil {
		return "", f.pausedUntil - now
	}
	address = f.choose(now)
	if f.tries[address] > 0 && now >= f.nextReload {
		f.nextReload = now + seedReloadInterval
		f.seeds = f.reloadSeeds()
		address = f.choose(now)
	}
	return address, 0
}

// choose returns the best candidate.
func (f *Finder) choose(now time.Duration) string {
	list := f.candidates()
	slices.SortStableFunc(list, func(a, b Member) int {
		waitA, waitB := max(f.backoffs[a.Address].until-now, 0), max(f.backoffs[b.Address].until-now, 0)
		return cmp.Or(cmp.Compare(waitA, waitB), cmp.Compare(f.tries[a.Address], f.tries[b.Address]))
	})
	if len(list) == 0 {
		return ""
	}
	return list[0].Address
}

// candidates returns the members and seeds in the order of preference.
func (f *Finder) candidates() []Member {
	list := slices.Clone(f.members)
	for _, seed := range f.seeds {
		if !slices.ContainsFunc(list, func(m Member) bool { return m.Address == seed }) {
			list = append(list, Member{Address: seed})
		}
	}
	slices.SortStableFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(f.distance(a), f.distance(b)), cmp.Compare(f.hash(b), f.hash(a)))
	})
	return list[:min(len(list), maxCandidates)]
}

// distance ranks members: 0 in the zone of the front, 1 in its region, 2 elsewhere
// or unknown.
func (f *Finder) distance(m Member) int {
	switch {
	case m.Zone == "":
		return 2
	case m.Zone == f.zone:
		return 0
	case f.regions[m.Zone] == f.regions[f.zone]:
		return 1
	}
	return 2
}

func (f *Finder) hash(m Member) uint64 { return xxhash.Sum64String(f.vm + "|" + m.Address) }

// Failed records that a member did not serve a call.
func (f *Finder) Failed(now time.Duration, address string) {
	b := f.backoffs[address]
	b.failures++
	longest := min(minBackoff<<min(b.failures-1, maxBackoffDoublings), maxBackoff)
	b.until = now + longest/2 + time.Duration(f.random.Int64N(int64(longest/2)))
	f.backoffs[address] = b
	mean := min(minPause<<min(f.failures, maxPauseDoublings), maxPause)
	f.failures++
	f.tries[address]++
	f.pausedUntil = now + time.Duration(f.random.Int64N(int64(2*mean)))
}

// Succeeded records that a member served a call.
func (f *Finder) Succeeded(address string) {
	delete(f.backoffs, address)
	f.failures = 0
	clear(f.tries)
}

// AddMembers adds members that are known to one that did not serve the call. It may
// have started a moment ago and have read an old list from its log, so the known
// members are kept.
func (f *Finder) AddMembers(members []Member) {
	list := slices.Clone(f.members)
	for _, m := range members {
		if !slices.ContainsFunc(list, func(known Member) bool { return known.Address == m.Address }) {
			list = append(list, m)
		}
	}
	f.members = list[:min(len(list), maxCandidates)]
}

// SetMembers replaces the known members of the core with those that a served call
// returned. The seeds stay candidates,
// because after a long disconnection they may be the only valid addresses.
func (f *Finder) SetMembers(members []Member) {
	if len(members) == 0 {
		return
	}
	f.members = members
	for address := range f.backoffs {
		known := slices.Contains(f.seeds, address) || slices.ContainsFunc(members, func(m Member) bool { return m.Address == address })
		if !known {
			delete(f.backoffs, address)
		}
	}
}
