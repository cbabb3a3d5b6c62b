package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ObserveQuarantine notes since when the quarantined requests and parts are known to be.
func (t *Tracker) ObserveQuarantine(now time.Duration) {
	for suspect := range t.quarantined {
		if _, known := t.quarantinedSince[suspect]; !known {
			t.quarantinedSince[suspect] = now
		}
	}
	for suspect := range t.quarantinedSince {
		if !t.quarantined[suspect] {
			delete(t.quarantinedSince, suspect)
			delete(t.cleared, suspect)
		}
	}
}

// lacksEvidence reports whether no front has reported a crash with a quarantined suspect although
// all had the time. The leader that has quarantined it is lost, and so are the fronts that saw
// its crashes.
func (t *Tracker) lacksEvidence(now time.Duration, suspect string) bool {
	since, known := t.quarantinedSince[suspect]
	return known && t.suspects[suspect] == nil && now-since >= crashReportTime
}

// IsRefuted reports whether a request or part has completed after all its crashes, so that it
// must not be quarantined because of them.
func (t *Tracker) IsRefuted(suspect string) bool {
	e := t.suspects[suspect]
	return e != nil && e.isRefuted()
}

// QuarantineOver returns the sorted requests and parts that were quarantined long enough.
func (t *Tracker) QuarantineOver(now time.Duration) []string {
	var over []string
	for suspect, since := range t.quarantinedSince {
		if now-since >= Time {
			over = append(over, suspect)
		}
	}
	slices.Sort(over)
	return over
}

// latestQuarantined returns up to maxSuspects of the quarantined requests and parts, those
// that were quarantined last.
func (t *Tracker) latestQuarantined() []string {
	list := slices.SortedFunc(maps.Keys(t.quarantinedSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.quarantinedSince[b], t.quarantinedSince[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxSuspects)]
}

// Released returns what was quarantined by mistake: it has completed since, or its crashes have
// other causes.
func (t *Tracker) Released() []string {
	causes := t.likelyCauses()
	var list []string
	for suspect := range t.quarantined {
		if t.cleared[suspect] || t.isExonerated(suspect, causes) {
			list = append(list, suspect)
		}
	}
	slices.Sort(list)
	return list
}

// isExonerated reports whether the evidence no longer speaks against a quarantined suspect.
func (t *Tracker) isExonerated(suspect string, causes causesByCrash) bool {
	e := t.suspects[suspect]
	return e != nil && (t.isExplained(suspect, e) || e.hasCompleted() && !t.isIncriminated(suspect, e, causes))
}

// isIncriminated reports whether a suspect was in enough crashes, without a likelier cause, to be
// quarantined. Fronts may report a completion, or a likelier cause, after the quarantine.
func (t *Tracker) isIncriminated(suspect string, e *evidence, causes causesByCrash) bool {
	crashes := distinctCrashes(causes.unexplained(e))
	if IsRequestKey(suspect) {
		return crashes >= minRequestCrashes
	}
	return crashes >= minPartCrashes
}

// isExplained reports whether other quarantined suspects explain all crashes of one: one that was
// in all of them and in more, or several that each crash engines without it.
func (t *Tracker) isExplained(suspect string, e *evidence) bool {
	var independent []*evidence
	for other := range t.quarantined {
		o := t.suspects[other]
		if other == suspect || o == nil || slices.Contains(e.parts, other) {
			continue
		}
		if IsRequestKey(other) == IsRequestKey(suspect) && len(o.sightings) > len(e.sightings) && o.coversCrashes(e) {
			return true
		}
		if distinctCrashes(without(o.sightings, func(s sighting) bool { return e.inCrash(s.crash) })) >= minSuspectCrashes {
			independent = append(independent, o)
		}
	}
	return len(e.sightings) > 0 && !slices.ContainsFunc(e.sightings, func(s sighting) bool {
		return !slices.ContainsFunc(independent, func(o *evidence) bool { return o.inCrash(s.crash) })
	})
}

// Release notes that a suspect is released. The crashes of a request stay, as one more shows that
// the release was a mistake, but for those that a quarantined part explains.
func (t *Tracker) Release(suspect string) {
	if !IsRequestKey(suspect) {
		t.Forget(suspect)
		return
	}
	e := t.suspects[suspect]
	if e == nil {
		return
	}
	e.sightings = without(e.sightings, func(s sighting) bool { return t.hasFatalPart(e, s.crash) })
	if distinctCrashes(e.sightings) < minSuspectCrashes {
		e.suspectedSince = 0
	}
}

// hasFatalPart reports whether a quarantined part that a request does not have was in a crash.
func (t *Tracker) hasFatalPart(request *evidence, id crashID) bool {
	for other := range t.quarantined {
		o := t.suspects[other]
		if o != nil && !IsRequestKey(other) && !slices.Contains(request.parts, other) && o.inCrash(id) {
			return true
		}
	}
	return false
}
