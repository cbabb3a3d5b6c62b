// Package targetstate estimates the state of targets from all ends of the requests that a
// process sends to them, also from waits that no response ended: how long a request will
// wait for its first byte, how much slower than nominal a target is, and whether it
// swallows requests. The package does no I/O. Its types are not safe for concurrent use.
package targetstate

import (
	"slices"
	"time"
)

const (
	// waitHalfLife is the half-life of an observed wait at a target.
	waitHalfLife = 700 * time.Millisecond
	// failureHalfLife is the half-life of a target's failure rate, and failureSmoothing the
	// weight of one request in it.
	failureHalfLife  = 4 * time.Second
	failureSmoothing = 0.2
	// rejectedWaitMS is the least wait assumed at a target that has just rejected a request.
	rejectedWaitMS = 400.0
	// suspectedFailureRate is the least failure rate assumed of a target that is suspected
	// of swallowing requests.
	suspectedFailureRate = 0.5
)

// Work is a request as far as it matters for the time that a target needs.
type Work struct {
	// Class names requests that targets answer alike, for example those of one route.
	Class string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// AheadPriority is the lowest priority of the work that is done before the request, if it
	// is lower than Priority.
	AheadPriority int
	// WorkMS is the nominal time for the work of the request alone, and RoundTripMS the
	// round-trip time to the target, in milliseconds.
	WorkMS, RoundTripMS float64
	// AdmissionMS is the predicted time until the target has memory and a slot for the
	// request, in milliseconds. Work that is ahead is done meanwhile.
	AdmissionMS float64
	// Known is set if the time that a target needs follows from WorkMS, so that it shows
	// how fast the target is.
	Known bool
}

// Expectation is what is expected of a request at a target.
type Expectation struct {
	// MS is the time to the first byte in milliseconds, and NominalMS the same if the
	// target had its nominal speed and the known backlog only.
	MS, NominalMS float64
	// waitMS is the part of MS that earlier requests waited beyond what is known.
	waitMS float64
	// admissionMS is the part of MS that the request waits for memory or a slot.
	admissionMS float64
}

// KnownMS returns the time to the first byte without the waits for memory and slots and those
// that earlier requests met.
func (e Expectation) KnownMS() float64 { return e.MS - e.waitMS - e.admissionMS }

// AtLeast returns the expectation of a request that is held back for a while before it is
// sent, which is not the fault of the target.
func (e Expectation) AtLeast(delay time.Duration) Expectation {
	e.MS = max(e.MS, ms(delay))
	e.NominalMS = max(e.NominalMS, ms(delay))
	return e
}

// Attempt is one request that was sent to a target.
type Attempt struct {
	target      *Target
	work        Work
	sentAt      time.Time
	expectation Expectation
	// sentBefore is the backlog sent so far, by priority, when the request was sent.
	sentBefore [levels]float64
	// overtaken is set if the target has answered a request that was sent later and is not
	// more urgent, and suspected if the target is suspected of having swallowed this one.
	overtaken, suspected bool
	answered             bool
}

// Target is the state of one incarnation of a target.
type Target struct {
	group   *Group
	backlog backlog
	speed   speed
	// waiting lists the attempts without a first byte, oldest first.
	waiting []*Attempt
	// answeredAt is when the latest first byte arrived.
	answeredAt time.Time
	// wait is the wait beyond the known work, and failures the failure rate.
	wait, failures decaying
	// own is the ejection by this process, and peer that by other processes.
	own, peer ejection
	// peerSuspicionEnd is when a suspicion that other processes reported ends.
	peerSuspicionEnd time.Time
	// suspicionReported and slownessReported are when these were last reported.
	suspicionReported, slownessReported time.Time
	// peerSlownessSeen is when another process last reported a slowdown.
	peerSlownessSeen time.Time
}

// NewTarget returns the state of a target that has just started. It takes part in the
// group once Group.SetTargets lists it.
func NewTarget(g *Group) *Target { return &Target{group: g} }

// Expect returns what is expected of a request that is sent now.
func (t *Target) Expect(now time.Time, w Work) Expectation {
	e := Expectation{NominalMS: w.RoundTripMS + w.WorkMS, waitMS: t.wait.at(now, waitHalfLife)}
	e.MS = e.NominalMS
	if w.Known {
		slowdown := t.Slowdown(now)
		ahead := t.backlog.ahead(now, max(w.Priority, w.AheadPriority), slowdown)
		e.NominalMS += max(ahead, w.AdmissionMS)
		e.admissionMS = max(0, w.AdmissionMS-slowdown*ahead)
		e.MS = w.RoundTripMS + slowdown*(w.WorkMS+ahead) + e.admissionMS
	}
	e.MS = max(e.MS+e.waitMS, t.overdueWait(now, w.Priority))
	return e
}

// overdueWait returns the age of the oldest unanswered request that a new one of the given
// priority has to wait for, if it is older than expected; 0 if there is none. The new one
// is expected to wait as long.
func (t *Target) overdueWait(now time.Time, priority int) float64 {
	for _, a := range t.waiting {
		if a.suspected || a.work.Priority > priority {
			continue
		}
		if age := a.ageMS(now); age > a.expectation.MS {
			return age
		}
		return 0
	}
	return 0
}

// Send records that a request is sent.
func (t *Target) Send(now time.Time, w Work, e Expectation) *Attempt {
	a := &Attempt{target: t, work: w, sentAt: now, expectation: e, sentBefore: t.backlog.sent}
	t.waiting = append(t.waiting, a)
	return a
}

// AddBacklog adds work that this or another process sends. A negative amount removes work.
func (t *Target) AddBacklog(now time.Time, priority int, workMS float64) {
	t.backlog.add(now, priority, workMS, t.Slowdown(now))
}

// Backlog returns the nominal time for the work ahead of a request of a priority, in
// milliseconds.
func (t *Target) Backlog(now time.Time, priority int) float64 {
	return t.backlog.ahead(now, priority, t.Slowdown(now))
}

// Slowdown returns how many times longer than nominal the target takes; 1 for small
// differences.
func (t *Target) Slowdown(now time.Time) float64 {
	return withoutTolerance(t.speed.factor(now, t.group.rawSlowdown, targetPriorMS))
}

// FailureRate returns the fraction of recent requests that failed. A target that is
// suspected of swallowing requests has at least suspectedFailureRate.
func (t *Target) FailureRate(now time.Time) float64 {
	rate := t.failures.at(now, failureHalfLife)
	if t.Suspected(now) {
		return max(rate, suspectedFailureRate)
	}
	return rate
}

// Suspected reports whether the target is suspected of having swallowed a request that has
// not ended yet, by this or another process.
func (t *Target) Suspected(now time.Time) bool {
	return now.Before(t.peerSuspicionEnd) || slices.ContainsFunc(t.waiting, func(a *Attempt) bool { return a.suspected })
}

// Answered records the first byte of a response.
func (t *Target) Answered(now time.Time, a *Attempt) {
	if a.answered {
		return
	}
	a.answered = true
	t.endWait(a)
	for _, older := range t.waiting {
		if older.sentAt.Before(a.sentAt) && older.work.Priority <= a.work.Priority {
			older.overtaken = true
		}
	}
	t.answeredAt = now
	t.observe(now, a)
	t.backlog.limit(a.work.Priority, &a.sentBefore)
	t.group.recordAnswer(now, a)
	t.recordTrial(a)
	if a.suspected && !t.Suspected(now) {
		t.group.report(Event{Target: t, Kind: Cleared})
	}
	t.reportSlowness(now)
}

// observe learns from the time to the first byte, or from the time to the end of an attempt
// without one. The mean of the decayed wait and the new one follows a change quickly and
// still smooths single slow responses.
func (t *Target) observe(now time.Time, a *Attempt) {
	observed := a.ageMS(now)
	beyond := max(0, observed-a.expectation.MS+a.expectation.waitMS)
	t.wait.set(now, (t.wait.at(now, waitHalfLife)+beyond)/2)
	if a.work.Known && a.work.AdmissionMS <= a.work.WorkMS {
		// The time of a request that mostly waited for memory or a slot says little of the
		// speed.
		t.speed.add(now, observed, a.expectation.NominalMS)
		t.group.speed.add(now, observed, a.expectation.NominalMS)
	}
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Completed means that the target sent a complete response.
	Completed Outcome = iota
	// Failed means that the target failed the request.
	Failed
	// Rejected means that the target refused the request without running it.
	Rejected
	// Abandoned means that the request ended for another reason than the target's; if no
	// first byte had arrived, the target would have taken at least as long.
	Abandoned
	// Unused means that the end says nothing about the target.
	Unused
)

// End records the end of an attempt.
func (t *Target) End(now time.Time, a *Attempt, outcome Outcome) {
	if !a.answered && outcome == Abandoned {
		t.endUnanswered(now, a)
	}
	t.endWait(a)
	a.answered = true
	switch outcome {
	case Completed:
		t.recordOutcome(now, 0)
	case Failed:
		t.recordOutcome(now, 1)
	case Rejected:
		t.wait.set(now, max(t.wait.at(now, waitHalfLife), rejectedWaitMS))
	}
}

// endUnanswered learns from an attempt that ends without a first byte. One that was
// swallowed counts against the target; another one that waited longer than expected is an
// observation of at least that wait.
func (t *Target) endUnanswered(now time.Time, a *Attempt) {
	t.group.review(now)
	overdue := a.overdue(now)
	if overdue {
		t.group.recordSilence(now, a)
	}
	switch {
	case overdue && a.suspected:
		t.recordOutcome(now, 1)
		t.strike(now, a)
	case !t.group.answersAny(now, a.work.Class):
	case a.ageMS(now) > a.expectation.MS:
		t.observe(now, a)
		t.group.recordWait(now, a)
		t.group.calibration[level(a.work.Priority)].agree(now, a.expectation.MS)
	default:
		// The target would have taken longer; how long is not known.
		t.group.calibration[level(a.work.Priority)].agree(now, a.ageMS(now))
	}
}

func (t *Target) recordOutcome(now time.Time, failed float64) {
	t.failures.set(now, t.failures.at(now, failureHalfLife)*(1-failureSmoothing)+failed*failureSmoothing)
}

func (t *Target) endWait(a *Attempt) {
	if i := slices.Index(t.waiting, a); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// Waiting returns the number of attempts without a first byte, and the age of the oldest.
func (t *Target) Waiting(now time.Time) (count int, oldest time.Duration) {
	if len(t.waiting) > 0 {
		oldest = now.Sub(t.waiting[0].sentAt)
	}
	return len(t.waiting), oldest
}

// Wait returns the wait beyond the known work that earlier requests have met, in
// milliseconds.
func (t *Target) Wait(now time.Time) float64 { return t.wait.at(now, waitHalfLife) }

func (a *Attempt) ageMS(now time.Time) float64 { return ms(now.Sub(a.sentAt)) }

// Overtaken reports whether the target has answered a request that was sent later and is
// not more urgent.
func (a *Attempt) Overtaken() bool { return a.overtaken }

// Suspected reports whether the target is suspected of having swallowed the request.
func (a *Attempt) Suspected() bool { return a.suspected }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
