package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// evidence is what is known about one suspect.
type evidence struct {
	// sightings are the crashes of engines while a request with the suspect was
	// running, by time.
	sightings []sighting
	// depth is the highest position of a part in a prompt. Prompts are chains of parts, so
	// a part at a higher position is in fewer requests than those before it.
	depth int
	// suspectedSince is when the request or part became a suspect; 0 if it is none.
	suspectedSince time.Duration
	lastCompletion time.Duration
}

// newEvidence returns what is known about a request or part that has not been seen.
func newEvidence() *evidence { return &evidence{lastCompletion: math.MinInt64} }

// crashID identifies the crash of one incarnation of an engine.
type crashID struct {
	engine string
	at     time.Duration
}

// sighting is a crash that a suspect was in.
type sighting struct {
	crash crashID
	// at is the earliest time that a report with the suspect gives for the crash. Reports
	// of distant fronts seem later.
	at time.Duration
	// resent is set if a request with the suspect was sent after another crash with it.
	resent bool
	// sentAt is when the suspect, if it is a request, was last sent; 0 if that is not known.
	sentAt time.Duration
	// requests are the keys of the requests with the suspect.
	requests []string
}

// record adds a crash, unless a completed request followed it. at is the time of the crash in
// the report, and sentAt when the suspect was sent, if it is a request.
func (e *evidence) record(id crashID, at time.Duration, r BrokenRequest, sentAt time.Duration) {
	if at <= e.lastCompletion {
		return
	}
	i := slices.IndexFunc(e.sightings, func(s sighting) bool { return s.crash == id })
	if i < 0 {
		if len(e.sightings) >= maxCrashesPerSuspect {
			return
		}
		i = len(e.sightings)
		e.sightings = append(e.sightings, sighting{crash: id, at: at})
	}
	e.sightings[i].add(at, r)
	e.sightings[i].sentAt = max(e.sightings[i].sentAt, sentAt)
	slices.SortStableFunc(e.sightings, func(a, b sighting) int { return cmp.Compare(a.at, b.at) })
}

// add adds a report of the crash with one request.
func (s *sighting) add(at time.Duration, r BrokenRequest) {
	s.at = min(s.at, at)
	s.resent = s.resent || r.Resent
	if !slices.Contains(s.requests, r.Key) && len(s.requests) < maxRequestsPerSighting {
		s.requests = append(s.requests, r.Key)
	}
}

// clone returns a copy that shares no memory with the sighting.
func (s *sighting) clone() sighting {
	copied := *s
	copied.requests = slices.Clone(s.requests)
	return copied
}

// updateSuspicion sets since when the request or part is a suspect.
func (e *evidence) updateSuspicion(now time.Duration) {
	switch suspected := distinctCrashes(e.sightings) >= minSuspectCrashes; {
	case !suspected:
		e.suspectedSince = 0
	case e.suspectedSince == 0:
		e.suspectedSince = now
	}
}

// isRefuted reports whether a request with the suspect has completed after all its crashes.
func (e *evidence) isRefuted() bool {
	return len(e.sightings) == 0 && e.hasCompleted()
}

// hasCompleted reports whether a request with the suspect is known to have completed at any time.
func (e *evidence) hasCompleted() bool { return e.lastCompletion != math.MinInt64 }

// couldComplete reports whether the fronts had the time to report completed requests.
func (e *evidence) couldComplete(now time.Duration) bool {
	return e.suspectedSince != 0 && now-e.suspectedSince >= completionReportTime
}

// distinctCrashes returns the number of crashes that count separately.
func distinctCrashes(sightings []sighting) int {
	count := 0
	counted := time.Duration(math.MinInt64 / 2)
	for _, s := range sightings {
		apart := distinctCrashTime
		if s.sentAt > 0 {
			apart = distinctRequestCrashTime
		}
		if s.resent || s.at-counted >= apart {
			count++
			counted = s.at
		}
	}
	return count
}

// without returns the sightings for which drop is false.
func without(sightings []sighting, drop func(sighting) bool) []sighting {
	var kept []sighting
	for _, s := range sightings {
		if !drop(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// withoutTopRequest returns the sightings without those of the request that was in most
// of them. Requests that have completed after a crash did not cause it.
func withoutTopRequest(sightings []sighting, completed func(request string, s sighting) bool) []sighting {
	counts := make(map[string]int)
	top := ""
	for _, s := range sightings {
		for _, key := range s.requests {
			if completed(key, s) {
				continue
			}
			counts[key]++
			if counts[key] > counts[top] {
				top = key
			}
		}
	}
	return without(sightings, func(s sighting) bool { return slices.Contains(s.requests, top) && !completed(top, s) })
}

// inCrash reports whether the suspect was in a crash.
func (e *evidence) inCrash(id crashID) bool {
	return slices.ContainsFunc(e.sightings, func(s sighting) bool { return s.crash == id })
}

// hasRequest reports whether a request was in a crash with the part. It was not told apart from
// others if more than maxRequestsPerSighting requests with the part were in that crash.
func (e *evidence) hasRequest(key string) bool {
	return slices.ContainsFunc(e.sightings, func(s sighting) bool { return slices.Contains(s.requests, key) })
}

// sharesCrash reports whether two suspects were in the same crash.
func (e *evidence) sharesCrash(other *evidence) bool {
	return slices.ContainsFunc(e.sightings, func(s sighting) bool { return other.inCrash(s.crash) })
}

// coversCrashes reports whether the suspect was in all crashes of another one.
func (e *evidence) coversCrashes(other *evidence) bool {
	return !slices.ContainsFunc(other.sightings, func(s sighting) bool { return !e.inCrash(s.crash) })
}

// nearlyAll is the share of the crashes of a part that one at a higher position must explain
// to be quarantined in its place.
const nearlyAll = 0.75

// explainsNearly reports whether the suspect was in nearly all crashes of another one.
func (e *evidence) explainsNearly(other *evidence) bool {
	shared := len(other.sightings) - len(without(other.sightings, func(s sighting) bool { return e.inCrash(s.crash) }))
	return float64(shared) >= nearlyAll*float64(len(other.sightings))
}

func (e *evidence) lastCrash() time.Duration {
	if len(e.sightings) == 0 {
		return math.MinInt64
	}
	return e.sightings[len(e.sightings)-1].at
}
