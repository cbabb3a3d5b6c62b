package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// fatalRequests returns the requests that crash engines and the crashes that they
// explain. A request that was in many crashes explains those of the requests beside it.
// Such crashes count half for these, as several fatal requests may share an engine.
func (t *Tracker) fatalRequests(now time.Duration, causes causesByCrash) map[string][]sighting {
	var candidates []string
	parts := t.suspectedParts()
	for suspect, e := range t.suspects {
		if !IsRequestKey(suspect) || !e.couldComplete(now) {
			continue
		}
		crashes := distinctCrashes(causes.unexplained(e))
		if crashes > minRequestCrashes || crashes == minRequestCrashes && !t.isCoveredByPart(suspect, parts) {
			candidates = append(candidates, suspect)
		}
	}
	if len(candidates) > maxCandidates {
		t.sortByPriority(candidates, uint64(now/askedTime))
		candidates = candidates[:maxCandidates]
	}
	fatal := make(map[string][]sighting)
	explained := make(map[crashID]bool)
	isExplained := func(s sighting) bool { return explained[s.crash] }
	for len(candidates) > 0 {
		top := slices.MinFunc(candidates, func(a, b string) int {
			return t.compareRequests(a, b, isExplained)
		})
		if t.suspicion(top, isExplained) < minSuspicion {
			return fatal
		}
		fatal[top] = t.suspects[top].sightings
		for _, s := range fatal[top] {
			explained[s.crash] = true
		}
		candidates = slices.DeleteFunc(candidates, func(suspect string) bool { return suspect == top })
	}
	return fatal
}

// suspectedParts returns the parts that were in enough crashes to explain those of a request, and
// have never completed.
func (t *Tracker) suspectedParts() []string {
	var parts []string
	for suspect, e := range t.suspects {
		if !IsRequestKey(suspect) && !e.hasCompleted() && len(e.sightings) >= minRequestCrashes {
			parts = append(parts, suspect)
		}
	}
	return parts
}

// isCoveredByPart reports whether a part that a request does not have was in all crashes of
// the request. The request may have been retried at engines that the part has crashed.
func (t *Tracker) isCoveredByPart(request string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		e := t.suspects[part]
		return e.coversCrashes(t.suspects[request]) && !e.hasRequest(request)
	})
}

// suspicion returns twice the number of crashes with a request that no other one explains,
// plus the number of those that another one explains. It is 0 if all are explained.
func (t *Tracker) suspicion(request string, isExplained func(sighting) bool) int {
	sightings := t.suspects[request].sightings
	unexplained := distinctCrashes(without(sightings, isExplained))
	if unexplained == 0 {
		return 0
	}
	return unexplained + distinctCrashes(sightings)
}

// compareRequests orders requests by descending suspicion. Among equals, quarantined ones
// come first.
func (t *Tracker) compareRequests(a, b string, isExplained func(sighting) bool) int {
	first, second := t.suspicion(a, isExplained), t.suspicion(b, isExplained)
	if first == second && t.quarantined[a] != t.quarantined[b] {
		if t.quarantined[a] {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(second, first), cmp.Compare(a, b))
}

// dueParts returns the parts that have to be quarantined: of those that are due, the one
// that was in most crashes, or one that follows it in the prompts and was in nearly as many.
// It waits while several were in as many and the same ones, but for maxTiedCrashes at most.
// After each quarantine of a part, a further one is due only once an engine crashes again.
func (t *Tracker) dueParts(now time.Duration, requests map[string][]sighting, causes causesByCrash) []string {
	counts := t.fatalParts(now, requests, causes)
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	var due []string
	for part, count := range counts {
		if count < most {
			continue
		}
		if narrowest := t.narrowest(part, counts); !slices.Contains(due, narrowest) {
			due = append(due, narrowest)
		}
	}
	if most < maxTiedCrashes {
		due = t.withoutTies(due)
	}
	if len(due) > 0 {
		t.lastPartQuarantine = now
	}
	return due
}

// fatalParts returns the parts that are due and the number of their crashes.
func (t *Tracker) fatalParts(now time.Duration, requests map[string][]sighting, causes causesByCrash) map[string]int {
	counts := make(map[string]int)
	explaining := requestsByCrash(requests)
	for part, e := range t.suspects {
		if IsRequestKey(part) || t.quarantined[part] || e.lastCrash() <= t.lastPartQuarantine || !e.couldComplete(now) {
			continue
		}
		if count, isFatal := t.partCrashes(causes.unexplained(e), explaining); isFatal {
			counts[part] = count
		}
	}
	return counts
}

// narrowest returns the part at the highest position, of a part and those due ones that
// explain nearly all of its crashes. Fewer sound requests share it. If it is the wrong one,
// the next crash shows that.
func (t *Tracker) narrowest(part string, due map[string]int) string {
	e := t.suspects[part]
	chosen := part
	for other := range due {
		o := t.suspects[other]
		if o.depth > t.suspects[chosen].depth && o.explainsNearly(e) {
			chosen = other
		}
	}
	return chosen
}

// requestsByCrash returns the requests that explain each crash.
func requestsByCrash(requests map[string][]sighting) map[crashID][]string {
	explaining := make(map[crashID][]string)
	for request, sightings := range requests {
		for _, s := range sightings {
			explaining[s.crash] = append(explaining[s.crash], request)
		}
	}
	return explaining
}

// partCrashes returns how many of the crashes of a part no request without it
// explains, and whether the part, rather than one of its requests, crashes engines.
func (t *Tracker) partCrashes(sightings []sighting, explaining map[crashID][]string) (count int, isFatal bool) {
	unexplained := without(sightings, func(s sighting) bool {
		requests := explaining[s.crash]
		return len(requests) > 0 && !slices.ContainsFunc(requests, func(r string) bool { return slices.Contains(s.requests, r) })
	})
	count = distinctCrashes(unexplained)
	others := distinctCrashes(withoutTopRequest(unexplained, t.completedAfter))
	return count, count >= minPartCrashes && others >= minOtherCrashes
}

// completedAfter reports whether a request has completed after a crash that it was in.
func (t *Tracker) completedAfter(request string, s sighting) bool {
	e := t.suspects[request]
	return e != nil && e.lastCompletion >= s.at
}

// withoutTies returns the parts that share no crash with another one of the list.
func (t *Tracker) withoutTies(list []string) []string {
	var clear []string
	for _, part := range list {
		tied := slices.ContainsFunc(list, func(other string) bool { return other != part && t.suspects[part].sharesCrash(t.suspects[other]) })
		if !tied {
			clear = append(clear, part)
		}
	}
	return clear
}
