package quarantine

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"time"
)

// firstSightings holds the parts that were in one crash so far. Most are in no second one, so each
// takes little memory: parts of the same requests share their sighting, and names are kept as hashes.
type firstSightings struct {
	seed  maphash.Seed
	parts map[uint64]firstSighting
	// shared holds the sightings of the latest crash.
	shared    map[sharedSighting]*sighting
	crash     crashID
	evictions uint64
}

// firstSighting is what is known of one part.
type firstSighting struct {
	// sighting is the crash that the part was in, unless a request with it has completed since.
	*sighting
	position       int
	lastCompletion time.Duration
}

// sharedSighting identifies a sighting by the one that a report extends, if there is one, and by
// what the report says.
type sharedSighting struct {
	extended *sighting
	at       time.Duration
	key      string
	resent   bool
}

func newFirstSightings() *firstSightings {
	return &firstSightings{seed: maphash.MakeSeed(), parts: make(map[uint64]firstSighting), shared: make(map[sharedSighting]*sighting)}
}

func (f *firstSightings) hash(part string) uint64 { return maphash.String(f.seed, part) }

// record records a crash with a part at the time of a report. If the part was in another crash
// before, record returns and removes the evidence of that one.
func (f *firstSightings) record(id crashID, at time.Duration, part Part, r BrokenRequest) *evidence {
	h := f.hash(part.ID)
	first, known := f.parts[h]
	switch {
	case !known:
		f.makeRoom()
		first.lastCompletion = math.MinInt64
		if part.CompletedAt != 0 {
			first.lastCompletion = part.CompletedAt
		}
	case first.sighting != nil && first.crash != id:
		delete(f.parts, h)
		return first.evidence()
	}
	if at > first.lastCompletion {
		first.sighting = f.extend(first.sighting, id, at, r)
	}
	first.position = max(first.position, part.Position)
	f.parts[h] = first
	return nil
}

// extend returns a sighting with one more report of its crash, which is the first one if there is no
// sighting.
func (f *firstSightings) extend(s *sighting, id crashID, at time.Duration, r BrokenRequest) *sighting {
	if f.crash != id {
		f.crash = id
		clear(f.shared)
	}
	shared := sharedSighting{s, at, r.Key, r.Resent}
	if known := f.shared[shared]; known != nil {
		return known
	}
	next := sighting{crash: id, at: at}
	if s != nil {
		next = s.clone()
	}
	next.add(at, r)
	f.shared[shared] = &next
	return &next
}

// recordCompletion records a completed request with a part. Only what is known from a crash is kept.
func (f *firstSightings) recordCompletion(part string, at time.Duration) {
	h := f.hash(part)
	first, known := f.parts[h]
	if !known || at <= first.lastCompletion {
		return
	}
	first.lastCompletion = at
	if first.sighting != nil && first.at <= at {
		first.sighting = nil
	}
	f.parts[h] = first
}

// take removes and returns the evidence on a part; nil if there is none.
func (f *firstSightings) take(part string) *evidence {
	h := f.hash(part)
	first, known := f.parts[h]
	if !known {
		return nil
	}
	delete(f.parts, h)
	return first.evidence()
}

// put keeps of the evidence on a part what one crash says.
func (f *firstSightings) put(part string, e *evidence) {
	if len(e.sightings) == 0 && !e.hasCompleted() {
		return
	}
	f.makeRoom()
	first := firstSighting{position: e.depth, lastCompletion: e.lastCompletion}
	if n := len(e.sightings); n > 0 {
		last := e.sightings[n-1].clone()
		first.sighting = &last
	}
	f.parts[f.hash(part)] = first
}

// evidence returns the evidence of the sighting.
func (s firstSighting) evidence() *evidence {
	e := &evidence{depth: s.position, lastCompletion: s.lastCompletion}
	if s.sighting != nil {
		e.sightings = []sighting{s.sighting.clone()}
	}
	return e
}

// dropCrash removes the evidence of a crash.
func (f *firstSightings) dropCrash(id crashID) {
	for h, first := range f.parts {
		if first.sighting != nil && first.crash == id {
			first.sighting = nil
			f.keepOrDelete(h, first)
		}
	}
}

// dropExpired removes the evidence from before a time.
func (f *firstSightings) dropExpired(before time.Duration) {
	for h, first := range f.parts {
		isCrashExpired := first.sighting != nil && first.at < before
		isCompletionExpired := first.lastCompletion != math.MinInt64 && first.lastCompletion < before
		if !isCrashExpired && !isCompletionExpired {
			continue
		}
		if isCrashExpired {
			first.sighting = nil
		}
		if isCompletionExpired {
			first.lastCompletion = math.MinInt64
		}
		f.keepOrDelete(h, first)
	}
}

// keepOrDelete updates what is known of a part and deletes it if that is nothing.
func (f *firstSightings) keepOrDelete(h uint64, first firstSighting) {
	if first.sighting == nil && first.lastCompletion == math.MinInt64 {
		delete(f.parts, h)
		return
	}
	f.parts[h] = first
}

// makeRoom removes a quarter of the evidence or more if the limit is reached: first of the parts
// that have completed after their crash, then of the requests with the most parts, beginning with the
// oldest crash.
func (f *firstSightings) makeRoom() {
	if len(f.parts) < maxFirstSightings {
		return
	}
	const room = maxFirstSightings * 3 / 4
	crashedAt := make(map[string]time.Duration)
	counts := make(map[string]int)
	for h, first := range f.parts {
		if first.sighting == nil {
			delete(f.parts, h)
			continue
		}
		counts[first.requests[0]]++
		crashedAt[first.requests[0]] = first.at
	}
	share := fairShare(slices.Collect(maps.Values(counts)), room)
	var large []string
	for request, count := range counts {
		if float64(count) > share {
			large = append(large, request)
		}
	}
	f.evictions++
	slices.SortFunc(large, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(crashedAt[a], crashedAt[b]),
			cmp.Compare(mix(f.hash(a), f.evictions), mix(f.hash(b), f.evictions)),
		)
	})
	removed := make(map[string]bool)
	for left := len(f.parts); left > room && len(large) > 0; large = large[1:] {
		removed[large[0]] = true
		left -= counts[large[0]]
	}
	maps.DeleteFunc(f.parts, func(_ uint64, first firstSighting) bool { return removed[first.requests[0]] })
}
