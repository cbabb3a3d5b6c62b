package canary

import (
	"math"
	"time"
)

const (
	// failureTolerance is the excess of the failure rate that a good version may
	// have.
	failureTolerance = 0.01
	// minBaseline is the number of requests of the old version from which a
	// class and epoch can be compared.
	minBaseline = 5
	// burstLength is the longest time over which the reports spread the failures
	// of a single target that fails, before the fronts avoid it.
	burstLength = 2 * time.Second
	// fewTargetsShare is the share up to which the new version may run on so few
	// targets that a fault of one of them is seen as a fault of the version.
	fewTargetsShare = 0.15
	// fewTargets is the number of targets up to which the same holds for larger
	// shares of small services.
	fewTargets = 3
	// restFraction is the part of the threshold that the evidence has to reach
	// without its worst burst.
	restFraction = 0.45
)

// tally compares the failures of the new version with those expected from the
// old version.
type tally struct {
	requests, failures, expected float64
	// uncertainty is the sum of requests^2 / requests of the old version.
	uncertainty float64
	// bursts holds the failures of the new version by the start of their slot.
	bursts map[time.Duration]float64
}

// sentBy returns the requests that the failures of a cohort are compared with.
// Requests of the old version that end after its share has dropped are not
// among them: those that fail early are missing there.
func (a *Analysis) sentBy(c *counts, cohort Cohort) float64 {
	if !a.sentReported || cohort == Canary && c.requests > c.sent {
		return float64(c.requests)
	}
	return float64(c.sent)
}

// tallyFailures adds to t what the class shows from the given time on, without
// the time from skip to skip+burstLength. Epochs are compared separately,
// because the cohorts divide the requests differently in each.
func (a *Analysis) tallyFailures(t *tally, c *class, from, skip time.Duration) {
	var sums [cohorts]counts
	flush := func() {
		n, base := a.sentBy(&sums[Canary], Canary), a.sentBy(&sums[Baseline], Baseline)
		if n > 0 && base >= minBaseline {
			t.requests += n
			t.failures += float64(sums[Canary].failures)
			t.expected += n * min(1, float64(sums[Baseline].failures)/base)
			t.uncertainty += n * n / base
		}
		sums = [cohorts]counts{}
	}
	epoch := -1
	for i := len(c.slots) - 1; i >= 0 && c.slots[i].start >= from; i-- {
		s := &c.slots[i]
		if s.epoch != epoch {
			flush()
			epoch = s.epoch
		}
		if s.alone || s.few && skip >= 0 && s.start >= skip && s.start < skip+burstLength {
			continue
		}
		for cohort := range sums {
			o := &s.counts[cohort]
			sums[cohort].sent += o.sent
			sums[cohort].requests += o.requests
			sums[cohort].failures += o.failures
		}
		if t.bursts != nil && s.few {
			t.bursts[s.start] += float64(s.counts[Canary].failures)
		}
	}
	flush()
}

// score returns the logarithm of the likelihood ratio of a failure rate of the
// new version above that of the old version to equal rates.
func (t *tally) score() float64 {
	if t.requests == 0 || t.uncertainty == 0 {
		return 0
	}
	failures := t.failures - failureTolerance*t.requests
	if failures <= t.expected {
		return 0
	}
	base := t.requests * t.requests / t.uncertainty
	pc, pb := min(1, failures/t.requests), t.expected/t.requests
	p0 := (pc*t.requests + pb*base) / (t.requests + base)
	return t.requests*divergence(pc, p0) + base*divergence(pb, p0)
}

// divergence is the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// worstBurst returns the start of the burst with the most failures of the new
// version.
func (t *tally) worstBurst() time.Duration {
	worst, most := time.Duration(-1), 0.0
	for start := range t.bursts {
		total := 0.0
		for at := start; at < start+burstLength; at += slotLength {
			total += t.bursts[at]
		}
		if total > most || total == most && start < worst {
			worst, most = start, total
		}
	}
	return worst
}

// failureFinding returns the evidence of failures of the given classes from the
// given time on, and raw with that of a single burst. A burst while few targets
// ran the new version does not count on its own.
func (a *Analysis) failureFinding(classes []*class, from time.Duration) (score, raw float64) {
	t := tally{bursts: map[time.Duration]float64{}}
	for _, c := range classes {
		a.tallyFailures(&t, c, from, -1)
	}
	raw = t.score()
	if raw == 0 || len(t.bursts) == 0 {
		return raw, raw
	}
	rest := tally{}
	skip := t.worstBurst()
	for _, c := range classes {
		a.tallyFailures(&rest, c, from, skip)
	}
	return min(raw, rest.score()/restFraction), raw
}
