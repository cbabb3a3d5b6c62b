package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// cautionScore is the evidence against the version above which the share is
	// not raised before latestFull.
	cautionScore = 2.5
	// lastWrongRollbacks is the probability with which noise rolls a good version
	// back in one of the tests that are made once.
	lastWrongRollbacks = 1.0 / 1000
	// minResponses is the number of responses of the new version, or a quarter
	// of those to be expected if they are fewer, below which the share is not
	// raised before latestFull.
	minResponses = 30
	// minObservation is the time for which a leader elected during the rollout
	// collects evidence before it raises the share.
	minObservation = 1500 * time.Millisecond
	// reportAge is the age of the newest report from which the share is not
	// raised.
	reportAge = 1500 * time.Millisecond
	// unservedExpected is the number of requests that the new version should
	// have received, above which none shows that no new target is usable.
	unservedExpected = 20
	// minExpected is the number of requests to be expected below which a service
	// has too few: with 3, none arrives in 5% of the cases.
	minExpected = 3
	// assumedLatency is the time of a request from which a new leader estimates
	// the rate of the requests in flight, of which none has been reported.
	assumedLatency = time.Second
	// recheckScore is the evidence from which a version is compared again.
	recheckScore = 10
	// worstWindow is the length of the time that counts as the worst of the old
	// version.
	worstWindow = time.Second
	// recheckTime is the time for which a version is compared again.
	recheckTime = 1200 * time.Millisecond
)

// Decide returns the step that follows current. It equals current if nothing
// is to be committed.
func (a *Analysis) Decide(elapsed time.Duration, current Step, f Fleet) Step {
	if current.Phase != Running {
		return current
	}
	a.observe(elapsed, current, f)
	if latency := a.meanLatency(f); latency > 0 && elapsed-a.started > 3*time.Second {
		a.latency = latency
	}
	strongest, over := a.judge(elapsed)
	if strongest.score >= a.threshold(elapsed) {
		return rolledBack(fmt.Sprintf("%s (log likelihood ratio %.1f)", strongest.reason, strongest.score))
	}
	s := a.schedule(f)
	switch {
	case elapsed >= s.deadline:
		return a.end(elapsed, current, f, over)
	case current.Share >= 1:
		return a.finish(elapsed, s, current, f)
	case a.rechecked && current.Share < fewTargetsShare:
		if elapsed-a.epochStart < recheckTime {
			return current
		}
		return a.step(1, f, "the old version has the same faults")
	case elapsed >= s.latestFull:
		return a.raiseLast(elapsed, current, f, strongest, over)
	case elapsed < s.ramp:
		return a.holdStep(elapsed, s, current, f)
	case a.unclear(elapsed, strongest):
		// Further targets would begin cold, which ends the comparison of times,
		// and many targets give enough evidence.
		if strongest.slow && strongest.score > cautionScore || current.Share > fewTargetsShare {
			return current
		}
		return a.seekEvidence(elapsed, s, current, f)
	}
	return a.raise(elapsed, s, current, f)
}

func rolledBack(reason string) Step {
	return Step{Phase: RolledBack, Reason: reason}
}

// unclear reports whether the evidence does not allow to raise the share yet.
func (a *Analysis) unclear(elapsed time.Duration, strongest finding) bool {
	if elapsed-a.started < minObservation && a.started > 0 || elapsed-a.lastReport > reportAge || a.reports == 0 {
		return true
	}
	if max(strongest.score, strongest.raw) > cautionScore {
		return true
	}
	return a.fewResponses()
}

// fewResponses reports whether the new version has answered fewer requests than
// are needed, as far as the load allows to expect them.
func (a *Analysis) fewResponses() bool {
	expected, responses := 0.0, 0.0
	for _, c := range a.classes {
		for i := range c.slots {
			s := &c.slots[i]
			responses += float64(s.counts[Canary].requests)
			if s.share < 1 {
				expected += float64(s.counts[Baseline].requests) * s.share / (1 - s.share)
			}
		}
	}
	return responses < min(minResponses, expected/4)
}

// holdStep returns the step before the ramp.
func (a *Analysis) holdStep(elapsed time.Duration, s schedule, current Step, f Fleet) Step {
	share := a.hold(elapsed, s, current.Share)
	if next := a.step(share, f, "small share until the evidence is judged"); next.Share > current.Share {
		return next
	}
	return current
}

// seekEvidence returns the step after the hold while the evidence is unclear:
// the share with which a third of what is left of the exposure is used by the time
// that the share has to be raised.
func (a *Analysis) seekEvidence(elapsed time.Duration, s schedule, current Step, f Fleet) Step {
	since, left := elapsed-a.started, s.latestFull-elapsed
	if a.reports == 0 || elapsed-a.lastReport > reportAge || since < minObservation || left < slotLength {
		return current
	}
	canary, old := a.total(Canary, 0), a.total(Baseline, 0)
	used := a.sentBy(&canary, Canary)
	// A leader elected during the rollout has not seen the requests before.
	rate := (used + a.sentBy(&old, Baseline)) / since.Seconds()
	used += rate * a.started.Seconds() * holdFraction * a.limits.ExposeShare
	budget := a.limits.ExposeShare*rate*elapsed.Seconds() + a.limits.ExposeSlack - used
	next := a.step(min(maxHoldShare, budget/3/max(1, rate*left.Seconds())), f, "more evidence is needed")
	if next.Share >= current.Share*minShareChange {
		return next
	}
	return current
}

// raise returns the next step of the ramp.
func (a *Analysis) raise(elapsed time.Duration, s schedule, current Step, f Fleet) Step {
	behind := time.Duration(len(s.shares)) * s.step
	for i, share := range s.shares {
		next := a.step(share, f, "no evidence against the version")
		if next.Share <= current.Share+0.05 && share < 1 {
			continue
		}
		// Steps are left out if the ramp began late.
		late := elapsed >= s.full && share < 1 && elapsed+behind > s.latestFull
		if late {
			continue
		}
		if i > 0 && current.Share > fewTargetsShare/2 && elapsed-a.epochStart < s.step && elapsed < s.full {
			return current
		}
		return next
	}
	return current
}

// finish returns the step once all requests go to the new version.
func (a *Analysis) finish(elapsed time.Duration, s schedule, current Step, f Fleet) Step {
	if elapsed >= s.settle && f.BaselineInFlight == 0 && f.UnreportedFronts == 0 {
		return Step{Phase: Complete, Share: 1, TargetShare: 1, Reason: "no request is left on old targets"}
	}
	// Without requests to the old version at the same time, faults of the day
	// look like faults of the version.
	if !a.rechecked && elapsed+recheckTime+slotLength < s.deadline && a.suspect() >= recheckScore {
		a.rechecked = true
		return a.step(holdFraction*a.limits.ExposeShare, f, "failures since the old version has no requests; compared again")
	}
	return current
}

// suspect returns the evidence of failures since the share became 1, compared
// with the worst time of the old version before. Faults of the day come and go,
// so the last of the old version says little about the present.
func (a *Analysis) suspect() float64 {
	t := tally{}
	for _, c := range a.classes {
		var now counts
		worst, base := 0.0, 0.0
		for i := range c.slots {
			s := &c.slots[i]
			if s.epoch == a.epoch {
				now.merge(&s.counts[Canary])
				continue
			}
			var old counts
			for j := i; j < len(c.slots) && c.slots[j].start < s.start+worstWindow && c.slots[j].epoch != a.epoch; j++ {
				old.merge(&c.slots[j].counts[Baseline])
			}
			if n := a.sentBy(&old, Baseline); n >= minBaseline {
				worst = max(worst, float64(old.failures)/n)
				base = max(base, n)
			}
		}
		n := a.sentBy(&now, Canary)
		if n == 0 || base == 0 {
			continue
		}
		t.requests += n
		t.failures += float64(now.failures)
		t.expected += n * min(1, worst)
		t.uncertainty += n * n / base
	}
	return t.score()
}

// lastThreshold is the score from which a version is rolled back where the
// evidence is tested once only.
func (a *Analysis) lastThreshold() float64 {
	return math.Log(float64(len(a.classes)+1) / lastWrongRollbacks)
}

// raiseLast moves all requests to the new version, or rolls it back, at the
// last time that leaves room for requests on old targets to end.
func (a *Analysis) raiseLast(elapsed time.Duration, current Step, f Fleet, strongest, over finding) Step {
	switch {
	case strongest.score >= a.lastThreshold()+math.Log(float64(len(windows))):
		return rolledBack(fmt.Sprintf("%s when the share has to be raised (log likelihood ratio %.1f)", strongest.reason, strongest.score))
	case over.score >= a.lastThreshold():
		return rolledBack(fmt.Sprintf("%s when the share has to be raised (log likelihood ratio %.1f)", over.reason, over.score))
	case a.unserved(f):
		return rolledBack("the new version has served no requests")
	case a.reports == 0 || elapsed-a.started < minObservation && a.started > 0:
		return current
	}
	return a.step(1, f, "time left for requests on old targets to end")
}

// unserved reports whether the new version has received no requests although
// it should have.
func (a *Analysis) unserved(f Fleet) bool {
	if f.CanaryTargets == 0 {
		return true
	}
	canary := a.total(Canary, 0)
	return a.sentBy(&canary, Canary) == 0 && a.expected(f.Fronts) >= unservedExpected
}

// expected returns the number of requests that the new version should have
// received at least, if it has received none. A front sends its first request
// of a class once its requests times the share make a whole one, so that each
// front may owe one request of each class. At share 1 it owes none.
func (a *Analysis) expected(fronts int) float64 {
	sum := 0.0
	for _, c := range a.classes {
		partial := 0.0
		for i := range c.slots {
			s := &c.slots[i]
			n := s.due * a.sentBy(&s.counts[Baseline], Baseline)
			if s.due < 1 {
				partial += n
			} else {
				sum += n
			}
		}
		sum += max(0, partial-float64(fronts))
	}
	return sum
}

// unproven reports whether the new version has answered too few requests at the
// deadline, although the service had enough to expect some. A leader that was
// elected during the rollout knows only the end of the requests; if they have
// not been reported yet, those in flight show that there were some.
func (a *Analysis) unproven(elapsed time.Duration, current Step, f Fleet) bool {
	canary, old := a.total(Canary, 0), a.total(Baseline, 0)
	share := max(current.Share, holdFraction*a.limits.ExposeShare)
	expected := 0.0
	switch n := a.sentBy(&old, Baseline); {
	case a.started < minObservation:
		expected = a.expected(f.Fronts)
	case n > 0:
		expected = share * n * elapsed.Seconds() / max(elapsed-a.started, slotLength).Seconds()
	default:
		expected = share * float64(f.BaselineInFlight) * elapsed.Seconds() / assumedLatency.Seconds()
	}
	return expected >= minExpected && float64(canary.requests) < min(minResponses, expected/4)
}

// end decides at the deadline. A version that did not receive all requests is
// rolled back without reports or responses: missing evidence is not good
// evidence.
func (a *Analysis) end(elapsed time.Duration, current Step, f Fleet, over finding) Step {
	switch {
	case over.score >= a.lastThreshold():
		return rolledBack(fmt.Sprintf("%s at the deadline (log likelihood ratio %.1f)", over.reason, over.score))
	case current.Share < 1 && a.reports == 0:
		return rolledBack("no reports until the deadline")
	case current.Share < 1 && a.unproven(elapsed, current, f):
		return rolledBack("too few responses of the new version until the deadline")
	case a.unserved(f):
		return rolledBack("the new version has served no requests")
	}
	return Step{Phase: Complete, Share: 1, TargetShare: 1, Reason: "deadline without evidence against the version"}
}
