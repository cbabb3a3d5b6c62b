package quarantine

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// reportLifetime is how long a front keeps the crashes that it has reported.
const reportLifetime = time.Minute

// Observer collects the evidence of one front. It is safe for concurrent use.
type Observer struct {
	// Clock returns the time of a clock that continues during a suspension.
	Clock func() time.Duration

	mu       sync.Mutex
	reporter crashReporter
	// pieces are the pieces of the recent crashes, oldest first. recorded is the number of
	// the last one, and reported that of the last one that the present leader has.
	pieces             []numberedPiece
	recorded, reported int
	completed          completions
	// broken maps requests to the time when one last broke off.
	broken    map[string]time.Duration
	suspects  []string
	isSuspect map[string]bool
	// suspectedSince maps the suspected requests to the time since which this front
	// knows them.
	suspectedSince map[string]time.Duration
	quarantined    map[string]bool
	due            chan struct{}
}

// numberedPiece is a piece of a crash. The pieces of a front are numbered from 1 on.
type numberedPiece struct {
	Crash
	number int
}

// NewObserver returns an Observer without evidence.
func NewObserver(clock func() time.Duration) *Observer {
	o := &Observer{
		Clock: clock, completed: newCompletions(), broken: make(map[string]time.Duration),
		suspectedSince: make(map[string]time.Duration), due: make(chan struct{}, 1),
	}
	o.reporter = crashReporter{
		seed:         maphash.MakeSeed(),
		hasCompleted: func(id string) bool { return o.completed.last(id) != 0 },
		isSuspected:  func(id string) bool { return o.isSuspect[id] },
	}
	return o
}

// Decide returns what to do with a request.
func (o *Observer) Decide(r Request) Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quarantined[r.Key] {
		return Decision{Quarantined, r.Key, Time}
	}
	for _, part := range r.Parts {
		if suspect, ok := o.quarantinedPart(part); ok {
			return Decision{Quarantined, suspect, Time}
		}
	}
	since, suspected := o.suspectedSince[r.Key]
	if left := since + completionReportTime - o.Clock(); suspected && left > 0 {
		return Decision{Suspected, r.Key, left}
	}
	return Decision{}
}

// quarantinedPart returns the quarantined suspect that a part is. Leaders of the version before
// quarantine the names of parts as they are.
func (o *Observer) quarantinedPart(name string) (string, bool) {
	if len(o.quarantined) == 0 {
		return "", false
	}
	if id := partID(name); o.quarantined[id] {
		return id, true
	}
	return name, o.quarantined[name] && !IsRequestKey(name)
}

// SetQuarantined replaces the quarantined requests and parts.
func (o *Observer) SetQuarantined(suspects []string) {
	set := make(map[string]bool, len(suspects))
	for _, suspect := range suspects {
		set[suspect] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantined = set
}

// RecordCompletion records a completed request.
func (o *Observer) RecordCompletion(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	o.completed.record(r.Key, now, o.neededCompletions)
	for _, name := range r.Parts {
		o.completed.record(partID(name), now, o.neededCompletions)
	}
}

// neededCompletions returns the suspects, and the requests and parts in the kept crashes.
func (o *Observer) neededCompletions() []string {
	names := slices.Clone(o.suspects)
	for _, p := range o.pieces {
		for _, r := range p.Requests {
			names = append(names, r.suspects()...)
		}
	}
	return names
}

// SentRequest is a request that broke off, and when it was sent. RecordBreak tells whether it
// was resent.
type SentRequest struct {
	Request
	SentAt time.Duration
	Resent bool
}

// RecordBreak records that a request has broken off. It reports whether the request was sent
// after an earlier one with its key had broken off.
func (o *Observer) RecordBreak(key string, sentAt time.Duration) (resent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	last, known := o.broken[key]
	if !known && len(o.broken) >= maxBroken {
		forgetOlderHalf(o.broken, now)
	}
	o.broken[key] = now
	return known && sentAt >= last
}

// RecordCrash records the crash of an engine and the requests that broke off. If the engine
// is only unresponsive, requests that were sent again do not count at once: all engines of a
// zone may be lost, one after the other for each request. It returns the number of parts that are
// left out of the report, because of the limits on its size.
func (o *Observer) RecordCrash(engine string, at time.Duration, requests []SentRequest, unresponsive bool) (leftOut int) {
	if len(requests) == 0 {
		return 0
	}
	crash := Crash{Engine: engine, At: at}
	for _, r := range mostResent(requests) {
		broken := BrokenRequest{Key: r.Key, Parts: brokenParts(r.Parts)}
		if !unresponsive {
			broken.SentAt, broken.Resent = r.SentAt, r.Resent
		}
		crash.Requests = append(crash.Requests, broken)
	}
	o.mu.Lock()
	pieces, leftOut := o.reporter.pieces(crash)
	for _, piece := range pieces {
		o.recorded++
		o.pieces = append(o.pieces, numberedPiece{piece, o.recorded})
	}
	o.limitPieces()
	o.mu.Unlock()
	select {
	case o.due <- struct{}{}:
	default:
	}
	return leftOut
}

// mostResent returns up to maxCrashRequests of the requests, first those that were sent again.
func mostResent(requests []SentRequest) []SentRequest {
	if len(requests) <= maxCrashRequests {
		return requests
	}
	resent := slices.DeleteFunc(slices.Clone(requests), func(r SentRequest) bool { return !r.Resent })
	others := slices.DeleteFunc(slices.Clone(requests), func(r SentRequest) bool { return r.Resent })
	return append(resent, others...)[:maxCrashRequests]
}

// limitPieces removes pieces until the limits are kept: of those that the leader has, if there are
// any, the last one of the largest crash.
func (o *Observer) limitPieces() {
	for len(o.pieces) > maxKeptPieces || keptParts(o.pieces) > maxKeptParts {
		reported := 0
		for reported < len(o.pieces) && o.pieces[reported].number <= o.reported {
			reported++
		}
		if reported == 0 {
			reported = len(o.pieces)
		}
		i := lastOfLargestCrash(o.pieces[:reported])
		o.pieces = slices.Delete(o.pieces, i, i+1)
	}
}

// lastOfLargestCrash returns the index of the last piece of the crash with the most parts.
func lastOfLargestCrash(pieces []numberedPiece) int {
	sizes := make(map[crashID]int)
	largest := 0
	for i, p := range pieces {
		id := crashID{p.Engine, p.At}
		sizes[id] += 1 + partCount(p.Requests)
		if l := pieces[largest]; sizes[id] > sizes[crashID{l.Engine, l.At}] || id == (crashID{l.Engine, l.At}) {
			largest = i
		}
	}
	return largest
}

func keptParts(pieces []numberedPiece) int {
	count := 0
	for _, p := range pieces {
		count += partCount(p.Requests)
	}
	return count
}

// ReportDue returns a channel that signals that a crash has to be reported at once.
func (o *Observer) ReportDue() <-chan struct{} { return o.due }

// Report is what a front tells the leader.
type Report struct {
	Crashes     []Crash
	Completions []Completion
	// last is the number of the last piece of a crash that the leader has with the report.
	last int
}

// Report returns the crashes that the leader does not know, and the completions of suspects.
func (o *Observer) Report() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	o.pieces = slices.DeleteFunc(o.pieces, func(p numberedPiece) bool { return now-p.At > reportLifetime })
	r := Report{last: o.reported}
	size := 0
	for _, p := range o.pieces {
		if p.number <= o.reported {
			continue
		}
		if size += p.bytes(); size > maxReportBytes && len(r.Crashes) > 0 {
			break
		}
		r.Crashes, r.last = append(r.Crashes, o.withCompletions(p.Crash, now)), p.number
	}
	for _, suspect := range o.suspects {
		if at := o.lastCompletion(suspect, now); at != 0 && len(r.Completions) < MaxReportedCompletions {
			r.Completions = append(r.Completions, Completion{suspect, at})
		}
	}
	return r
}

// withCompletions returns the crash with the last completions of its requests and parts, so that the
// leader need not ask for them: this front may be lost before.
func (o *Observer) withCompletions(c Crash, now time.Duration) Crash {
	c.Requests = slices.Clone(c.Requests)
	for i := range c.Requests {
		r := &c.Requests[i]
		r.CompletedAt = o.lastCompletion(r.Key, now)
		r.Parts = slices.Clone(r.Parts)
		for j := range r.Parts {
			r.Parts[j].CompletedAt = o.lastCompletion(r.Parts[j].ID, now)
		}
	}
	return c
}

// lastCompletion returns the last completion with a suspect; 0 if none counts.
func (o *Observer) lastCompletion(suspect string, now time.Duration) time.Duration {
	if at := o.completed.last(suspect); now-at <= evidenceLifetime {
		return at
	}
	return 0
}

// bytes returns the size of the names in the crash.
func (c *Crash) bytes() int {
	size := len(c.Engine)
	for _, r := range c.Requests {
		size += r.bytes()
	}
	return size
}

// Confirm records that the leader has received a report and which parts it suspects.
// With newLeader set, the crashes of before have to be reported again.
func (o *Observer) Confirm(r Report, newLeader bool, suspects []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setSuspects(suspects)
	o.reported = max(o.reported, r.last)
	if newLeader {
		o.reported = 0
	}
}

// setSuspects replaces the suspects, and keeps the time since which requests are suspected.
func (o *Observer) setSuspects(suspects []string) {
	o.suspects, o.isSuspect = suspects, make(map[string]bool, len(suspects))
	known := o.suspectedSince
	o.suspectedSince = make(map[string]time.Duration)
	now := o.Clock()
	for _, suspect := range suspects {
		o.isSuspect[suspect] = true
		if !IsRequestKey(suspect) {
			continue
		}
		since, ok := known[suspect]
		if !ok {
			since = now
		}
		o.suspectedSince[suspect] = since
	}
}

// Suspects returns the suspects that the front knows.
func (o *Observer) Suspects() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspects
}
