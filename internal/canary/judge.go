package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// wrongRollbacks is the aim for the probability that noise rolls a good
	// version back.
	wrongRollbacks = 1.0 / 1000
	// warmUpFraction is the part of RollbackDelay for which slowness of targets
	// that have just begun to receive requests is attributed to their cold start.
	// The rest is for evidence from warm targets.
	warmUpFraction = 0.65
	// rawWindow is the longest window in which evidence from a single burst
	// defers the ramp. A version that has turned bad gives more evidence within
	// it.
	rawWindow = 4 * time.Second
	// warmUpShare bounds the time of a cold start by the duration of the rollout.
	warmUpShare = 0.35
)

// Kinds of evidence.
const (
	failing        = "failures"
	lateFirstBytes = "late or missing first bytes"
	slowStreams    = "slow streams"
)

// windows are the lengths of time, up to the present, that are judged. Short
// ones show a version that turns bad after a long time without faults.
var windows = []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
	32 * time.Second, 64 * time.Second, math.MaxInt64}

// finding is the strongest evidence against the new version.
type finding struct {
	score  float64
	reason string
	// raw is the strongest recent evidence with that of single bursts.
	raw float64
	// slow tells slowness from failures.
	slow bool
}

func (f *finding) consider(score, raw float64, class, kind string) {
	f.raw = max(f.raw, raw)
	if score > f.score {
		f.score, f.reason, f.slow = score, fmt.Sprintf("%s of %s", kind, class), kind != failing
	}
}

// threshold returns the score from which the version is rolled back. A
// likelihood ratio exceeds e^x with a probability of at most e^-x for each class
// and begin of a window, by Ville's inequality.
func (a *Analysis) threshold(elapsed time.Duration) float64 {
	begins := 1 + float64(elapsed-a.started)/float64(time.Second)
	return math.Log(begins * float64(len(a.classes)+1) / wrongRollbacks)
}

// judge returns the strongest evidence against the new version over all
// windows and classes, and over all classes together. over is the evidence of
// the longest window only, which is tested once, at the end.
func (a *Analysis) judge(elapsed time.Duration) (strongest, over finding) {
	warmUp := a.warmUp()
	for _, w := range windows {
		from := time.Duration(0)
		if elapsed > w {
			from = (elapsed - w).Truncate(slotLength)
		}
		over = a.judgeFrom(from, warmUp)
		raw := strongest.raw
		if w <= rawWindow {
			raw = max(raw, over.raw)
		}
		if over.score > strongest.score {
			strongest = over
		}
		strongest.raw = raw
		if from == 0 {
			break
		}
	}
	return strongest, over
}

func (a *Analysis) judgeFrom(from, warmUp time.Duration) finding {
	var f finding
	allFirst := slowEvidence{bursts: map[time.Duration]*likelihoods{}}
	allIntervals := slowEvidence{bursts: map[time.Duration]*likelihoods{}}
	for _, c := range a.classes {
		score, raw := a.failureFinding([]*class{c}, from)
		f.consider(score, raw, c.name, failing)
		first, intervals := a.slowness(c, firstByteTimes, from, warmUp), a.slowness(c, intervalTimes, from, warmUp)
		score, raw = first.finding()
		f.consider(score, raw, c.name, lateFirstBytes)
		score, raw = intervals.finding()
		f.consider(score, raw, c.name, slowStreams)
		allFirst.merge(&first)
		allIntervals.merge(&intervals)
	}
	if len(a.classes) > 1 {
		score, raw := a.failureFinding(a.classes, from)
		f.consider(score, raw, "all classes", failing)
		score, raw = allFirst.finding()
		f.consider(score, raw, "all classes", lateFirstBytes)
		score, raw = allIntervals.finding()
		f.consider(score, raw, "all classes", slowStreams)
	}
	return f
}

// warmUp returns the time after its first request for which a slow target may
// be cold.
func (a *Analysis) warmUp() time.Duration {
	return min(time.Duration(warmUpFraction*float64(a.limits.RollbackDelay)), time.Duration(warmUpShare*float64(a.order.Duration)))
}
