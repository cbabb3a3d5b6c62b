package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Tracker relates the reports of all fronts. It is not safe for concurrent use.
type Tracker struct {
	// suspects has the evidence on requests, and on parts that were in several crashes or are
	// quarantined. first has the evidence on other parts.
	suspects map[string]*evidence
	first    *firstSightings
	// partCount is the number of parts among the suspects.
	partCount   int
	quarantined map[string]bool
	// crashes maps the incarnations of engines to the times of their crashes.
	crashes map[string][]time.Duration
	// explained holds the crashes of engines because of a quarantined part. They say
	// nothing about other suspects.
	explained map[crashID]bool
	// quarantinedSince maps the quarantined requests and parts to the time since which they
	// are known to be, and cleared holds those that have completed since.
	quarantinedSince map[string]time.Duration
	cleared          map[string]bool
	// recorded holds what is recorded of each crash for the next leader. unrecorded holds the crashes that are not recorded yet, and
	// unrecordedCompletions the completions that have ended evidence since the last record.
	recorded              map[crashID]*recordedCrash
	unrecorded            []unrecordedCrash
	unrecordedCompletions map[string]time.Duration
	// restoredAt is when the record of the previous leaders was applied; 0 if it was not.
	restoredAt time.Duration
	// lastPartQuarantine is when a part was last found to crash engines.
	lastPartQuarantine time.Duration
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: make(map[string]*evidence), first: newFirstSightings(), quarantined: make(map[string]bool), crashes: make(map[string][]time.Duration),
		explained: make(map[crashID]bool), quarantinedSince: make(map[string]time.Duration), cleared: make(map[string]bool),
		recorded: make(map[crashID]*recordedCrash), unrecordedCompletions: make(map[string]time.Duration), lastPartQuarantine: math.MinInt64,
	}
}

// SetQuarantined replaces the quarantined requests and parts.
func (t *Tracker) SetQuarantined(suspects []string) {
	clear(t.quarantined)
	for _, suspect := range suspects {
		t.quarantined[suspect] = true
		t.promote(suspect)
	}
}

// promote makes a quarantined part a suspect if it was in one crash only.
func (t *Tracker) promote(suspect string) {
	if IsRequestKey(suspect) || t.suspects[suspect] != nil {
		return
	}
	if e := t.first.take(suspect); e != nil {
		t.add(suspect, e)
	}
}

// RecordCrash records a crash. Several fronts report the same one.
func (t *Tracker) RecordCrash(now time.Duration, c Crash) {
	id := t.identify(c)
	if slices.ContainsFunc(c.Requests, t.hasQuarantinedPart) {
		t.explain(id)
	}
	for _, r := range c.Requests {
		t.recordRequest(now, id, c.At, r)
		for _, part := range r.Parts {
			t.recordPart(now, id, c.At, part, r)
		}
	}
	if !t.explained[id] {
		t.noteCrash(id, c.At, c.Requests)
	}
}

// identify returns the identity of a crash, which is the same for all reports about it. An
// engine to which all requests of a report were sent after a crash was back, and has crashed
// again. For a crash from before the restored record, the closest recorded one is meant: the
// leader that has recorded it may have had another clock.
func (t *Tracker) identify(c Crash) crashID {
	known := t.crashes[c.Engine]
	if c.At < t.restoredAt && len(known) > 0 {
		closest := slices.MinFunc(known, func(a, b time.Duration) int { return cmp.Compare((a - c.At).Abs(), (b - c.At).Abs()) })
		if (closest - c.At).Abs() < sameCrashTime {
			return crashID{c.Engine, closest}
		}
	}
	for _, at := range slices.Backward(known) {
		if (at-c.At).Abs() < sameCrashTime && c.firstSent() < at+restartTime {
			return crashID{c.Engine, at}
		}
	}
	t.crashes[c.Engine] = append(known, c.At)
	return crashID{c.Engine, c.At}
}

// firstSent returns when the first of the requests was sent; 0 if that is not known of one.
func (c *Crash) firstSent() time.Duration {
	first := c.At
	for _, r := range c.Requests {
		first = min(first, r.SentAt)
	}
	return first
}

func (t *Tracker) hasQuarantinedPart(r BrokenRequest) bool {
	return slices.ContainsFunc(r.Parts, func(part Part) bool { return t.quarantined[part.ID] })
}

// isExplainedFor reports whether a crash says nothing about a suspect.
func (t *Tracker) isExplainedFor(suspect string, id crashID) bool {
	return t.explained[id] && !t.quarantined[suspect]
}

func (t *Tracker) recordRequest(now time.Duration, id crashID, at time.Duration, r BrokenRequest) {
	if r.Key == "" || t.isExplainedFor(r.Key, id) {
		return
	}
	e := t.suspects[r.Key]
	if e == nil {
		e = newEvidence()
		t.makeRoom(now, r.Key)
		t.add(r.Key, e)
	}
	if r.CompletedAt != 0 {
		t.RecordCompletion(now, Completion{r.Key, r.CompletedAt})
	}
	e.record(id, at, r, r.SentAt)
	e.updateSuspicion(now)
}

// recordPart records a crash with a part. A part becomes a suspect with its second crash.
func (t *Tracker) recordPart(now time.Duration, id crashID, at time.Duration, part Part, r BrokenRequest) {
	if part.ID == "" || t.isExplainedFor(part.ID, id) {
		return
	}
	if part.CompletedAt != 0 {
		t.RecordCompletion(now, Completion{part.ID, part.CompletedAt})
	}
	e := t.suspects[part.ID]
	if e == nil {
		if e = t.first.record(id, at, part, r); e == nil && t.quarantined[part.ID] {
			e = t.first.take(part.ID)
		}
		if e == nil {
			return
		}
		t.makeRoom(now, part.ID)
		t.add(part.ID, e)
	}
	e.depth = max(e.depth, part.Position)
	e.record(id, at, r, 0)
	e.updateSuspicion(now)
}

// add adds a suspect.
func (t *Tracker) add(suspect string, e *evidence) {
	t.suspects[suspect] = e
	if !IsRequestKey(suspect) {
		t.partCount++
	}
}

// remove removes a suspect.
func (t *Tracker) remove(suspect string) {
	delete(t.suspects, suspect)
	if !IsRequestKey(suspect) {
		t.partCount--
	}
}

// RecordCompletion records that a suspected request, or one with a suspected part, has
// completed. Crashes before it no longer count. What has completed since it was quarantined
// does not crash engines.
func (t *Tracker) RecordCompletion(now time.Duration, c Completion) {
	if since, ok := t.quarantinedSince[c.Suspect]; ok && c.At > since {
		t.cleared[c.Suspect] = true
	}
	e := t.suspects[c.Suspect]
	if e == nil && t.lacksEvidence(now, c.Suspect) {
		e = newEvidence()
		t.add(c.Suspect, e)
	}
	if e == nil {
		t.first.recordCompletion(c.Suspect, c.At)
		return
	}
	if c.At <= e.lastCompletion {
		return
	}
	e.lastCompletion = c.At
	before := len(e.sightings)
	e.sightings = without(e.sightings, func(s sighting) bool { return s.at <= c.At })
	if len(e.sightings) < before {
		t.unrecordedCompletions[c.Suspect] = c.At
	}
	e.updateSuspicion(now)
}

// Suspects returns the sorted requests and parts of which fronts have to report
// completions: the suspected and the quarantined ones, within limits.
func (t *Tracker) Suspects(now time.Duration) []string {
	var requests, parts []string
	for suspect, e := range t.suspects {
		switch {
		case e.suspectedSince == 0 || t.quarantined[suspect]:
		case IsRequestKey(suspect):
			requests = append(requests, suspect)
		default:
			parts = append(parts, suspect)
		}
	}
	list := slices.Concat(t.mostSuspected(now, requests, maxAskedRequests), t.mostSuspected(now, parts, maxAskedParts), t.latestQuarantined())
	slices.Sort(list)
	return list
}

// Due returns the requests and parts that have to be quarantined.
func (t *Tracker) Due(now time.Duration) []string {
	t.dropExpired(now)
	t.Suspects(now)
	causes := t.likelyCauses()
	requests := t.fatalRequests(now, causes)
	due := t.dueParts(now, requests, causes)
	for request := range requests {
		if !t.quarantined[request] {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	return due
}

// explain makes a crash count for no suspect but quarantined ones.
func (t *Tracker) explain(id crashID) {
	if !t.explained[id] {
		t.explained[id] = true
		t.first.dropCrash(id)
	}
	for suspect, e := range t.suspects {
		if t.quarantined[suspect] {
			continue
		}
		e.sightings = without(e.sightings, func(s sighting) bool { return s.crash == id })
		e.updateSuspicion(id.at)
	}
}

// Forget removes the crashes of a suspect. When it last completed stays known.
func (t *Tracker) Forget(suspect string) {
	if e := t.suspects[suspect]; e != nil {
		e.sightings, e.suspectedSince = nil, 0
	}
}

// dropExpired removes the crashes that no longer count.
func (t *Tracker) dropExpired(now time.Duration) {
	for engine, times := range t.crashes {
		times = slices.DeleteFunc(times, func(at time.Duration) bool { return now-at > evidenceLifetime })
		t.crashes[engine] = times
		if len(times) == 0 {
			delete(t.crashes, engine)
		}
	}
	maps.DeleteFunc(t.recorded, func(id crashID, _ *recordedCrash) bool { return now-id.at > evidenceLifetime })
	maps.DeleteFunc(t.explained, func(id crashID, _ bool) bool { return now-id.at > evidenceLifetime })
	t.first.dropExpired(now - evidenceLifetime)
	for suspect, e := range t.suspects {
		if len(e.sightings) > 0 && now-e.sightings[0].at > evidenceLifetime {
			e.sightings = without(e.sightings, func(s sighting) bool { return now-s.at > evidenceLifetime })
			e.updateSuspicion(now)
		}
		// A completion is kept as long as crashes, as fronts may report an earlier crash later.
		if len(e.sightings) == 0 && (!e.isRefuted() || now-e.lastCompletion > evidenceLifetime) {
			t.remove(suspect)
		}
	}
}
