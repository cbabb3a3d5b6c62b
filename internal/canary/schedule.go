package canary

import (
	"math"
	"time"
)

const (
	// holdFraction is the part of ExposeShare that the new version receives
	// until the evidence is judged. The rest is for the ramp.
	holdFraction = 0.95
	// slackFraction is the part of ExposeSlack that services with few requests
	// use for evidence.
	slackFraction = 0.6
	// maxHoldShare leaves enough requests of the old version to compare with.
	maxHoldShare = 0.5
	// minShareChange is the factor by which the hold share changes at least. Each
	// change begins new strata of the comparison.
	minShareChange = 1.4
	// maxLatencyMultiple bounds the longest request by the mean one.
	maxLatencyMultiple = 3
	// reportLag is the time until a change of the share has reached the fronts
	// and their reports of it the leader.
	reportLag = 1500 * time.Millisecond
)

// schedule holds the elapsed times of the parts of a rollout.
type schedule struct {
	// ramp is the time of the first step beyond the hold share.
	ramp time.Duration
	// step is the time between the steps of the ramp.
	step time.Duration
	// full is the time from which all requests go to the new version, if the
	// evidence allows it, and latestFull the time until which unclear evidence
	// can defer it.
	full, latestFull time.Duration
	// settle is the time from which a rollout is complete once the old targets
	// are idle, deadline the time from which it is ended in any case.
	settle, deadline time.Duration
	// shares are the shares of the ramp.
	shares []float64
}

// fraction returns a part of the duration within bounds.
func fraction(d time.Duration, part float64, least, most time.Duration) time.Duration {
	return min(max(time.Duration(part*float64(d)), least), most)
}

// schedule plans the rollout. The time at share 1 is for the requests on old
// targets to end, and is needed by a leader elected in it.
func (a *Analysis) schedule(f Fleet) schedule {
	d := a.order.Duration
	s := schedule{shares: []float64{0.2, 1}, step: fraction(d, 0.05, min(500*time.Millisecond, d/8), 5*time.Second)}
	// An intermediate step of a short rollout shows too little in its time, and
	// further targets that begin cold end the comparison of times. It is left out
	// if the hold share gives a new target the load of an old one.
	if hold := holdFraction * a.limits.ExposeShare; hold*float64(f.BaselineTargets) >= 1-hold {
		s.shares = []float64{1}
	}
	if d >= 30*time.Second {
		s.shares = []float64{0.15, 0.35, 1}
		s.step = fraction(d, 0.04, time.Second, 5*time.Second)
	}
	reserve := max(min(d/3, 4*time.Second), d/10)
	if latency := a.meanLatency(f); latency > 0 {
		reserve = min(max(reserve, maxLatencyMultiple*latency+reportLag), 2*d/5)
	}
	s.full = d - reserve
	s.latestFull = max(s.full, d-fraction(d, 0.15, min(1500*time.Millisecond, d/4), 20*time.Second))
	s.ramp = s.full - time.Duration(len(s.shares)-1)*s.step
	s.settle = d - fraction(d, 0.17, min(2*time.Second, d/4), 20*time.Second)
	s.deadline = d - fraction(d, 0.06, min(700*time.Millisecond, d/10), 4*time.Second)
	return s
}

// meanLatency estimates the mean time of a request on the old version by
// Little's law. It is 0 while few requests have ended, or once the share has
// been raised.
func (a *Analysis) meanLatency(f Fleet) time.Duration {
	if a.latency > 0 || a.epochStep.Share > fewTargetsShare || f.BaselineInFlight == 0 {
		return a.latency
	}
	since := a.lastReport - a.started
	ended := a.total(Baseline, 0).requests
	if since < 2*time.Second || ended < 20 {
		return 0
	}
	rate := float64(ended) / since.Seconds()
	return time.Duration(float64(f.BaselineInFlight) / rate * float64(time.Second))
}

// hold returns the share until the evidence is judged. Services with few
// requests get a larger one: for them, the slack is a large part of all
// requests.
func (a *Analysis) hold(elapsed time.Duration, s schedule, current float64) float64 {
	base := holdFraction * a.limits.ExposeShare
	since := elapsed - a.started
	if since < 1500*time.Millisecond || elapsed >= s.ramp || a.reports == 0 {
		return max(base, current)
	}
	canary, old := a.total(Canary, 0), a.total(Baseline, 0)
	// Three requests more than seen bound the rate of a service that is idle so
	// far.
	rate := (a.sentBy(&canary, Canary) + a.sentBy(&old, Baseline) + 3) / since.Seconds()
	share := min(base+slackFraction*a.limits.ExposeSlack/(rate*s.ramp.Seconds()), maxHoldShare)
	if share < current*minShareChange {
		return max(base, current)
	}
	return share
}

// step returns the step for a share, with as many new targets as give each the
// load of an old one. While the share is small, it is lowered so that the
// targets have that load exactly.
func (a *Analysis) step(share float64, f Fleet, reason string) Step {
	if share >= 1 {
		return Step{Share: 1, TargetShare: 1, Reason: reason}
	}
	old, targets := float64(f.BaselineTargets), float64(max(1, f.CanaryTargets))
	count := math.Floor(share*old/(1-share) + 1e-9)
	if count >= 1 && count <= targets {
		share = count / (old + count)
	}
	return Step{Share: share, TargetShare: min(1, max(1, count)/targets), Reason: reason}
}
