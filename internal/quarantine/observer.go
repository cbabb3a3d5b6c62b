package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxCompleted limits the requests and parts whose last completion a front
	// remembers, and maxBroken the requests of which it remembers when one broke off.
	maxCompleted = 16384
	maxBroken    = 4096
	// maxKeptCrashes limits the crashes that a front keeps for a new leader.
	maxKeptCrashes = 64
	// maxCrashBytes limits the names in the report of one crash.
	maxCrashBytes = 64 << 10
	// maxReportBytes limits the names in one report of crashes. The rest is in the
	// next report.
	maxReportBytes = 256 << 10
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

	mu sync.Mutex
	// crashes are the recent crashes, oldest first, and recorded the number of all
	// that were recorded. The present leader has received the first reported ones.
	crashes            []Crash
	recorded, reported int
	// completed maps requests and parts to the time of their last completion, and
	// broken requests to the time when one last broke off.
	completed map[string]time.Duration
	broken    map[string]time.Duration
	suspects  []string
	// suspectedSince maps the suspected requests to the time since which this front
	// knows them.
	suspectedSince map[string]time.Duration
	quarantined    map[string]bool
	due            chan struct{}
}

// NewObserver returns an Observer without evidence.
func NewObserver(clock func() time.Duration) *Observer {
	return &Observer{
		Clock: clock, completed: make(map[string]time.Duration), broken: make(map[string]time.Duration),
		suspectedSince: make(map[string]time.Duration), due: make(chan struct{}, 1),
	}
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
	for _, part := range usableParts(r.Parts) {
		setLimited(o.completed, part, now, maxCompleted)
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
	o.mu.Lock()
	c := Crash{Engine: engine, At: at, Requests: brokenRequests(requests)}
	if unresponsive {
		for i := range c.Requests {
			c.Requests[i].Resent, c.Requests[i].SentAt = false, 0
		}
	}
	if len(c.Requests) > 0 {
		o.crashes = append(o.crashes, c)
		o.recorded++
	}
	if extra := len(o.crashes) - maxKeptCrashes; extra > 0 {
		o.crashes = slices.Clone(o.crashes[extra:])
	}
	o.mu.Unlock()
	if len(c.Requests) == 0 {
		return
	}
	select {
	case o.due <- struct{}{}:
	default:
	}
}

// brokenRequests returns the usable requests of a crash, up to the limit of its report.
func brokenRequests(requests []SentRequest) []BrokenRequest {
	var list []BrokenRequest
	size := 0
	for _, r := range requests {
		usable := Request{Key: r.Key, Parts: usableParts(r.Parts)}
		if size+usable.bytes() > maxCrashBytes {
			continue
		}
		size += usable.bytes()
		list = append(list, BrokenRequest{Request: usable, SentAt: r.SentAt, Resent: r.Resent})
	}
	return list
}

// usableParts returns the IDs of the first parts of a request.
func usableParts(parts []string) []string {
	ids := make([]string, 0, min(len(parts), MaxParts))
	for _, name := range parts[:min(len(parts), MaxParts)] {
		ids = append(ids, strings.Clone(partID(name)))
	}
	return ids
}

// bytes returns the size of the names of the request.
func (r Request) bytes() int {
	size := len(r.Key)
	for _, part := range r.Parts {
		size += len(part)
	}
	return size
}

// ReportDue returns a channel that signals that a crash has to be reported at once.
func (o *Observer) ReportDue() <-chan struct{} { return o.due }

// Report is what a front tells the leader.
type Report struct {
	Crashes     []Crash
	Completions []Completion
	// recorded is the number of crashes that the front had recorded, up to the last one
	// of the report.
	recorded int
}

// Report returns the crashes that the leader does not know, and the completions of
// suspects and of what was in these crashes.
func (o *Observer) Report() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	o.crashes = slices.DeleteFunc(o.crashes, func(c Crash) bool { return now-c.At > reportLifetime })
	unreported := o.crashes[len(o.crashes)-min(o.recorded-o.reported, len(o.crashes)):]
	included := withinReportSize(unreported)
	r := Report{Crashes: slices.Clone(unreported[:included]), recorded: o.recorded - (len(unreported) - included)}
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

// suspects returns the key and the parts of a request.
func (r Request) suspects() []string { return append([]string{r.Key}, r.Parts...) }

// withinReportSize returns how many of the crashes fit into one report.
func withinReportSize(crashes []Crash) int {
	size := 0
	for i, c := range crashes {
		for _, r := range c.Requests {
			size += r.bytes()
		}
		if size > maxReportBytes {
			return i
		}
	}
	return len(crashes)
}

// Confirm records that the leader has received a report and which parts it suspects.
// With newLeader set, the crashes of before have to be reported again.
func (o *Observer) Confirm(r Report, newLeader bool, suspects []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setSuspects(suspects)
	o.reported = max(o.reported, r.recorded)
	if newLeader {
		o.reported = 0
	}
}

// setSuspects replaces the suspects, and keeps the time since which requests are suspected.
func (o *Observer) setSuspects(suspects []string) {
	o.suspects = suspects
	known := o.suspectedSince
	o.suspectedSince = make(map[string]time.Duration)
	now := o.Clock()
	for _, suspect := range suspects {
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
