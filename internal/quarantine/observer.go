package quarantine

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

const (
	// maxCompleted limits the requests and parts whose last completion a front
	// remembers, and maxBroken the requests of which it remembers when one broke off.
	maxCompleted = 16384
	maxBroken    = 4096
	// maxCrashNames limits the requests and parts in crashes whose completions are in one
	// report.
	maxCrashNames = 256
	// reportLifetime is how long a front keeps the crashes that it has reported.
	reportLifetime = time.Minute
)

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
	// completed maps requests and parts to the time of their last completion, and
	// broken requests to the time when one last broke off.
	completed map[string]time.Duration
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
		Clock: clock, completed: make(map[string]time.Duration), broken: make(map[string]time.Duration),
		suspectedSince: make(map[string]time.Duration), due: make(chan struct{}, 1),
	}
	o.reporter = crashReporter{
		seed:         maphash.MakeSeed(),
		hasCompleted: func(id string) bool { return o.completed[id] != 0 },
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
	setLimited(o.completed, r.Key, now, maxCompleted)
	for _, part := range brokenParts(r.Parts) {
		setLimited(o.completed, part.ID, now, maxCompleted)
	}
}

// setLimited sets the time of an entry. If the limit is reached, the older half of the
// entries is forgotten. A forgotten completion can only delay that a suspect is cleared.
func setLimited(entries map[string]time.Duration, key string, now time.Duration, limit int) {
	if _, known := entries[key]; !known && len(entries) >= limit {
		forgetOlderHalf(entries, now)
	}
	entries[key] = now
}

func forgetOlderHalf(entries map[string]time.Duration, now time.Duration) {
	ages := make([]time.Duration, 0, len(entries))
	for _, at := range entries {
		ages = append(ages, now-at)
	}
	slices.Sort(ages)
	median := ages[len(ages)/2]
	for key, at := range entries {
		if now-at >= median {
			delete(entries, key)
		}
	}
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
	setLimited(o.broken, key, now, maxBroken)
	return known && sentAt >= last
}

// RecordCrash records the crash of an engine and the requests that broke off. If the engine
// is only unresponsive, requests that were sent again do not count at once: all engines of a
// zone may be lost, one after the other for each request.
func (o *Observer) RecordCrash(engine string, at time.Duration, requests []SentRequest, unresponsive bool) {
	if len(requests) == 0 {
		return
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
	for _, piece := range o.reporter.pieces(crash) {
		o.recorded++
		o.pieces = append(o.pieces, numberedPiece{piece, o.recorded})
	}
	o.limitPieces()
	o.mu.Unlock()
	select {
	case o.due <- struct{}{}:
	default:
	}
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

// Report returns the crashes that the leader does not know, and the completions of
// suspects and of what was in these crashes.
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
		r.Crashes, r.last = append(r.Crashes, p.Crash), p.number
	}
	for _, name := range o.reportedNames(r.Crashes) {
		if at, ok := o.completed[name]; ok && now-at <= evidenceLifetime {
			r.Completions = append(r.Completions, Completion{name, at})
		}
	}
	return r
}

// reportedNames returns the suspects, and up to maxCrashNames of the other requests and parts in
// crashes that have completed. The leader suspects some of these once it has the report, and
// need not hear from this front again before it decides.
func (o *Observer) reportedNames(crashes []Crash) []string {
	var names []string
	for _, c := range crashes {
		for _, r := range c.Requests {
			names = append(names, r.suspects()...)
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool { return o.completed[name] == 0 })
	slices.Sort(names)
	names = slices.Compact(names)
	names = append(names[:min(len(names), maxCrashNames)], o.suspects...)
	slices.Sort(names)
	return slices.Compact(names)
}

// suspects returns the key of a request and the IDs of its parts.
func (r BrokenRequest) suspects() []string {
	list := []string{r.Key}
	for _, part := range r.Parts {
		list = append(list, part.ID)
	}
	return list
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
