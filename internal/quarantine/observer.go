package quarantine

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Observer collects the evidence of one front. It is safe for concurrent use.
type Observer struct {
	// Clock returns the time of a clock that continues during a suspension.
	Clock func() time.Duration

	mu        sync.Mutex
	reporter  crashReporter
	crashes   crashLog
	completed completions
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

// NewObserver returns an Observer without evidence.
func NewObserver(clock func() time.Duration) *Observer {
	o := &Observer{
		Clock: clock, completed: newCompletions(), broken: make(map[string]time.Duration),
		suspectedSince: make(map[string]time.Duration), due: make(chan struct{}, 1),
	}
	o.reporter = crashReporter{
		seed:         maphash.MakeSeed(),
		hasCompleted: func(id string) bool { return o.lastCompletion(id, clock()) != 0 },
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
	return append(o.crashes.suspects(), o.suspects...)
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
	o.crashes.add(pieces)
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

// ReportDue returns a channel that signals that a crash has to be reported at once.
func (o *Observer) ReportDue() <-chan struct{} { return o.due }

// Report is what a front tells the leader.
type Report struct {
	Crashes     []Crash
	Completions []Completion
	// lastPiece is the number of the last piece of a crash that the leader has with the report.
	lastPiece int
}

// Report returns the crashes that the leader does not know, and the completions of suspects.
func (o *Observer) Report() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	o.crashes.dropExpired(now)
	var r Report
	r.Crashes, r.lastPiece = o.crashes.unreported()
	for i := range r.Crashes {
		r.Crashes[i] = o.withCompletions(r.Crashes[i], now)
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

// Confirm records that the leader has received a report and which parts it suspects.
// With newLeader set, the crashes of before have to be reported again.
func (o *Observer) Confirm(r Report, newLeader bool, suspects []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setSuspects(suspects)
	o.crashes.confirm(r.lastPiece, newLeader)
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
