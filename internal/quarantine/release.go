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

// latestQuarantined returns up to maxAskedQuarantined of the quarantined requests and parts, those
// that were quarantined last.
func (t *Tracker) latestQuarantined() []string {
	list := slices.SortedFunc(maps.Keys(t.quarantinedSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.quarantinedSince[b], t.quarantinedSince[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxAskedQuarantined)]
}

// Released returns what was quarantined by mistake: it has completed since, or its crashes have
// other causes.
func (t *Tracker) Released() []string {
	likely, quarantined := t.likelyCauses(), t.quarantinedByCrash()
	var list []string
	for suspect := range t.quarantined {
		if t.cleared[suspect] || t.isExonerated(suspect, likely, quarantined) {
			list = append(list, suspect)
		}
	}
	slices.Sort(list)
	return list
}

// isExonerated reports whether the evidence no longer speaks against a quarantined suspect.
func (t *Tracker) isExonerated(suspect string, likely, quarantined causesByCrash) bool {
	e := t.suspects[suspect]
	return e != nil && (t.isExplained(suspect, e, quarantined) || e.hasCompleted() && !t.isIncriminated(suspect, e, likely))
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
func (t *Tracker) isExplained(suspect string, e *evidence, quarantined causesByCrash) bool {
	for other := range t.quarantined {
		o := t.suspects[other]
		if other == suspect || o == nil || IsRequestKey(other) != IsRequestKey(suspect) {
			continue
		}
		if len(o.sightings) > len(e.sightings) && o.coversCrashes(e) {
			return true
		}
	}
	isUnexplained := func(s sighting) bool {
		return !slices.ContainsFunc(quarantined[s.crash], func(other string) bool {
			return other != suspect && !t.isPartOf(other, suspect) && t.suspects[other].crashesWithout(e)
		})
	}
	return len(e.sightings) >= minSuspectCrashes && !slices.ContainsFunc(e.sightings, isUnexplained)
}

// isPartOf reports whether a suspect is a part of the prompt of another one.
func (t *Tracker) isPartOf(part, request string) bool {
	return !IsRequestKey(part) && t.suspects[part].hasRequest(request)
}

// crashesWithout reports whether the suspect was in several crashes without another one.
func (e *evidence) crashesWithout(other *evidence) bool {
	return distinctCrashes(without(e.sightings, func(s sighting) bool { return other.inCrash(s.crash) })) >= minSuspectCrashes
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
	e.sightings = without(e.sightings, func(s sighting) bool { return t.hasFatalPart(suspect, s.crash) })
	if distinctCrashes(e.sightings) < minSuspectCrashes {
		e.suspectedSince = 0
	}
}

// hasFatalPart reports whether a quarantined part that a request does not have was in a crash.
func (t *Tracker) hasFatalPart(request string, id crashID) bool {
	for other := range t.quarantined {
		o := t.suspects[other]
		if o != nil && !IsRequestKey(other) && !o.hasRequest(request) && o.inCrash(id) {
			return true
		}
	}
	return false
}
