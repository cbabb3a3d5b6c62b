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
	parts       map[string]*evidence
	quarantined map[string]bool
	// explained maps the incarnations of engines that crashed because of a
	// quarantined part to the time of the crash. These crashes say nothing about
	// other parts.
	explained map[string]time.Duration
	// lastQuarantine is when a part was last found to crash engines.
	lastQuarantine time.Duration
}

// evidence is what is known about one part.
type evidence struct {
	// crashes are the crashes of engines while a request with the part was running.
	crashes []engineCrash
	// suspectedSince is when the part became a suspect; 0 if it is none.
	suspectedSince time.Duration
	lastCompletion time.Duration
}

// engineCrash is the crash of one incarnation of an engine.
type engineCrash struct {
	engine string
	at     time.Duration
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{parts: make(map[string]*evidence), quarantined: make(map[string]bool), explained: make(map[string]time.Duration), lastQuarantine: math.MinInt64}
}

// SetQuarantined replaces the quarantined parts.
func (t *Tracker) SetQuarantined(parts []string) {
	clear(t.quarantined)
	for _, part := range parts {
		t.quarantined[part] = true
	}
}

// RecordCrash records a crash. Several fronts report the same one.
func (t *Tracker) RecordCrash(now time.Duration, c Crash) {
	if slices.ContainsFunc(c.Parts, func(part string) bool { return t.quarantined[part] }) {
		t.explainEngine(c.Engine, c.At)
	}
	if _, explained := t.explained[c.Engine]; explained {
		return
	}
	for _, part := range c.Parts {
		e := t.parts[part]
		if e == nil {
			t.makeRoom(now)
			e = &evidence{lastCompletion: math.MinInt64}
			t.parts[part] = e
		}
		e.record(engineCrash{c.Engine, c.At})
		e.updateSuspicion(now)
	}
}

// record adds a crash, unless it is known or followed by a completed request.
func (e *evidence) record(c engineCrash) {
	known := slices.ContainsFunc(e.crashes, func(other engineCrash) bool {
		return other.engine == c.engine && (other.at-c.at).Abs() < sameCrashTime
	})
	if !known && c.at > e.lastCompletion && len(e.crashes) < maxCrashesPerPart {
		e.crashes = append(e.crashes, c)
	}
}

// RecordCompletion records that a request with a part has completed. Crashes before it
// no longer count.
func (t *Tracker) RecordCompletion(now time.Duration, c Completion) {
	e := t.parts[c.Part]
	if e == nil || c.At <= e.lastCompletion {
		return
	}
	e.lastCompletion = c.At
	e.crashes = slices.DeleteFunc(e.crashes, func(crash engineCrash) bool { return crash.at <= c.At })
	e.updateSuspicion(now)
}

// updateSuspicion sets since when the part is a suspect.
func (e *evidence) updateSuspicion(now time.Duration) {
	switch suspected := e.distinctCrashes() >= minSuspectCrashes; {
	case !suspected:
		e.suspectedSince = 0
	case e.suspectedSince == 0:
		e.suspectedSince = now
	}
}

// distinctCrashes returns the number of crashes that count separately.
func (e *evidence) distinctCrashes() int {
	count := 0
	counted := time.Duration(0)
	slices.SortFunc(e.crashes, func(a, b engineCrash) int { return cmp.Compare(a.at, b.at) })
	for _, c := range e.crashes {
		if count == 0 || c.at-counted >= distinctCrashTime {
			count++
			counted = c.at
		}
	}
	return count
}

// Suspects returns the sorted parts for which fronts have to report completed requests.
func (t *Tracker) Suspects() []string {
	var list []string
	for part, e := range t.parts {
		if e.suspectedSince > 0 {
			list = append(list, part)
		}
	}
	if len(list) > maxSuspects {
		slices.SortFunc(list, t.byCrashes)
		list = list[:maxSuspects]
	}
	slices.Sort(list)
	return list
}

// byCrashes orders parts by descending number of crashes.
func (t *Tracker) byCrashes(a, b string) int {
	return cmp.Or(cmp.Compare(len(t.parts[b].crashes), len(t.parts[a].crashes)), cmp.Compare(a, b))
}

// Due returns the parts that have to be quarantined: of those that are due, the one that
// was in most crashes. It waits while several were in as many and the same ones, but for
// maxTiedCrashes at most. After each quarantine, a further part is due only
// once an engine crashes again.
func (t *Tracker) Due(now time.Duration) []string {
	t.dropExpired(now)
	most := 0
	var due []string
	for part, e := range t.parts {
		if t.quarantined[part] || !e.isDue(now) || e.lastCrash() <= t.lastQuarantine {
			continue
		}
		count := e.distinctCrashes()
		if count > most {
			most, due = count, nil
		}
		if count == most {
			due = append(due, part)
		}
	}
	if most < maxTiedCrashes {
		due = t.withoutTies(due)
	}
	if len(due) > 0 {
		t.lastQuarantine = now
	}
	slices.Sort(due)
	return due
}

// withoutTies returns the parts that share no crash with another one of the list.
func (t *Tracker) withoutTies(list []string) []string {
	var clear []string
	for _, part := range list {
		tied := slices.ContainsFunc(list, func(other string) bool { return other != part && t.parts[part].sharesCrash(t.parts[other]) })
		if !tied {
			clear = append(clear, part)
		}
	}
	return clear
}

func (e *evidence) isDue(now time.Duration) bool {
	return e.distinctCrashes() >= minCrashes && now-e.suspectedSince >= completionReportTime
}

// Released returns the quarantined parts that were quarantined by mistake: another
// quarantined part was in all of their crashes and in more.
func (t *Tracker) Released() []string {
	var list []string
	for part := range t.quarantined {
		if e := t.parts[part]; e != nil && t.isExplained(part, e) {
			list = append(list, part)
		}
	}
	slices.Sort(list)
	return list
}

func (t *Tracker) isExplained(part string, e *evidence) bool {
	for other := range t.quarantined {
		o := t.parts[other]
		if other != part && o != nil && len(o.crashes) > len(e.crashes) && o.coversCrashes(e) {
			return true
		}
	}
	return false
}

// sharesCrash reports whether two parts were in the same crash.
func (e *evidence) sharesCrash(other *evidence) bool {
	return slices.ContainsFunc(e.crashes, func(c engineCrash) bool { return other.inCrashOf(c.engine) })
}

// inCrashOf reports whether the part was in a crash of an engine.
func (e *evidence) inCrashOf(engine string) bool {
	return slices.ContainsFunc(e.crashes, func(c engineCrash) bool { return c.engine == engine })
}

// coversCrashes reports whether the part was in all crashes of another one.
func (e *evidence) coversCrashes(other *evidence) bool {
	return !slices.ContainsFunc(other.crashes, func(c engineCrash) bool { return !e.inCrashOf(c.engine) })
}

// Forget removes the evidence about a part.
func (t *Tracker) Forget(part string) { delete(t.parts, part) }

// explainEngine makes the crash of an engine count for no part but quarantined ones.
func (t *Tracker) explainEngine(engine string, at time.Duration) {
	t.explained[engine] = at
	for part, e := range t.parts {
		if t.quarantined[part] {
			continue
		}
		e.crashes = slices.DeleteFunc(e.crashes, func(c engineCrash) bool { return c.engine == engine })
		e.updateSuspicion(at)
	}
}

// dropExpired removes the crashes that no longer count.
func (t *Tracker) dropExpired(now time.Duration) {
	maps.DeleteFunc(t.explained, func(_ string, at time.Duration) bool { return now-at > evidenceLifetime })
	for part, e := range t.parts {
		e.crashes = slices.DeleteFunc(e.crashes, func(c engineCrash) bool { return now-c.at > evidenceLifetime })
		e.updateSuspicion(now)
		if len(e.crashes) == 0 {
			delete(t.parts, part)
		}
	}
}

// makeRoom removes the quarter of the parts with the least evidence, the oldest first,
// if the limit of tracked parts is reached.
func (t *Tracker) makeRoom(now time.Duration) {
	if len(t.parts) < maxTrackedParts {
		return
	}
	t.dropExpired(now)
	parts := slices.SortedFunc(maps.Keys(t.parts), func(a, b string) int {
		first, second := t.parts[a], t.parts[b]
		return cmp.Or(cmp.Compare(len(first.crashes), len(second.crashes)), cmp.Compare(first.lastCrash(), second.lastCrash()))
	})
	for _, part := range parts[:max(0, len(parts)-maxTrackedParts*3/4)] {
		delete(t.parts, part)
	}
}

func (e *evidence) lastCrash() time.Duration {
	last := time.Duration(math.MinInt64)
	for _, c := range e.crashes {
		last = max(last, c.at)
	}
	return last
}
