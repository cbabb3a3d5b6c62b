package quarantine

import (
	"slices"
	"sync"
	"time"
	"unicode/utf8"
)

const (
	// maxCompletedParts limits the parts whose last completion a front remembers.
	maxCompletedParts = 16384
	// maxKeptCrashes limits the crashes that a front keeps for a new leader.
	maxKeptCrashes = 64
	// maxPartsPerCrash limits the parts in the report of one crash.
	maxPartsPerCrash = 512
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
	// completed maps parts to the time of their last completed request.
	completed   map[string]time.Duration
	suspects    []string
	quarantined map[string]bool
	due         chan struct{}
}

// NewObserver returns an Observer without evidence.
func NewObserver(clock func() time.Duration) *Observer {
	return &Observer{Clock: clock, completed: make(map[string]time.Duration), due: make(chan struct{}, 1)}
}

// Blocked returns the first of the parts that is quarantined.
func (o *Observer) Blocked(parts []string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.quarantined) == 0 {
		return "", false
	}
	for _, part := range parts {
		if o.quarantined[part] {
			return part, true
		}
	}
	return "", false
}

// SetQuarantined replaces the quarantined parts.
func (o *Observer) SetQuarantined(parts []string) {
	set := make(map[string]bool, len(parts))
	for _, part := range parts {
		set[part] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantined = set
}

// RecordCompletion records a completed request with the parts.
func (o *Observer) RecordCompletion(parts []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	for _, part := range parts {
		if _, known := o.completed[part]; !known && len(o.completed) >= maxCompletedParts {
			o.forgetOldCompletions(now)
		}
		o.completed[part] = now
	}
}

// forgetOldCompletions forgets the older half of the completions. A forgotten one can
// only delay that a part is no longer suspected.
func (o *Observer) forgetOldCompletions(now time.Duration) {
	ages := make([]time.Duration, 0, len(o.completed))
	for _, at := range o.completed {
		ages = append(ages, now-at)
	}
	slices.Sort(ages)
	median := ages[len(ages)/2]
	for part, at := range o.completed {
		if now-at >= median {
			delete(o.completed, part)
		}
	}
}

// RecordCrash records the crash of an engine.
func (o *Observer) RecordCrash(c Crash) {
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), isUnusable)
	if len(c.Parts) == 0 {
		return
	}
	c.Parts = c.Parts[:min(len(c.Parts), maxPartsPerCrash)]
	o.mu.Lock()
	o.crashes = append(o.crashes, c)
	o.recorded++
	if extra := len(o.crashes) - maxKeptCrashes; extra > 0 {
		o.crashes = slices.Clone(o.crashes[extra:])
	}
	o.mu.Unlock()
	select {
	case o.due <- struct{}{}:
	default:
	}
}

// isUnusable reports whether a name, which callers choose, cannot be part of a report.
func isUnusable(part string) bool {
	return part == "" || len(part) > MaxNameBytes || !utf8.ValidString(part)
}

// ReportDue returns a channel that signals that a crash has to be reported at once.
func (o *Observer) ReportDue() <-chan struct{} { return o.due }

// Report is what a front tells the leader.
type Report struct {
	Crashes     []Crash
	Completions []Completion
	// recorded is the number of crashes that the front had recorded.
	recorded int
}

// Report returns the crashes that the leader does not know, and the completions of
// suspected parts.
func (o *Observer) Report() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	o.crashes = slices.DeleteFunc(o.crashes, func(c Crash) bool { return now-c.At > reportLifetime })
	unreported := min(o.recorded-o.reported, len(o.crashes))
	r := Report{Crashes: slices.Clone(o.crashes[len(o.crashes)-unreported:]), recorded: o.recorded}
	for _, part := range o.suspects {
		if at, ok := o.completed[part]; ok && now-at <= evidenceLifetime {
			r.Completions = append(r.Completions, Completion{part, at})
		}
	}
	return r
}

// Confirm records that the leader has received a report and which parts it suspects.
// With newLeader set, the crashes of before have to be reported again.
func (o *Observer) Confirm(r Report, newLeader bool, suspects []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspects = suspects
	o.reported = max(o.reported, r.recorded)
	if newLeader {
		o.reported = 0
	}
}

// Suspects returns the suspects that the front knows.
func (o *Observer) Suspects() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspects
}
