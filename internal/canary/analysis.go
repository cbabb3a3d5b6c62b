package canary

import (
	"slices"
	"strings"
	"time"
)

const (
	// slotLength is the resolution in time of the evidence: fronts report every
	// 500 ms.
	slotLength = 500 * time.Millisecond
	// overlap is the time after the change of the share to 1 for which reports
	// still cover requests to the old version.
	overlap = time.Second
	// maxSlots bounds the memory of a class. Beyond it, the older half of the
	// slots is kept at half the resolution.
	maxSlots = 96
	// maxClasses bounds the number of classes that are judged on their own. The
	// others share one class.
	maxClasses = 64
	// otherClasses names the class that the classes beyond maxClasses share.
	otherClasses = "(other)"
)

// Analysis collects the samples of a rollout and decides on its steps. It is
// not safe for concurrent use.
type Analysis struct {
	order  Order
	limits Limits
	// classes is ordered by name, so that equal samples give equal decisions.
	classes []*class
	reports int
	// started is the elapsed time at which this analysis began to decide: later
	// than 0 in a leader elected during the rollout.
	started    time.Duration
	hasStarted bool
	lastReport time.Duration
	// epoch counts the changes of the share, epochStart is the last of them and
	// epochStep the step that it follows.
	epoch      int
	epochStart time.Duration
	epochStep  Step
	hasStep    bool
	// shareBefore is the share of the epoch before, which the reports of the
	// first part of an epoch still cover.
	shareBefore float64
	// lastGrowth is the time at which further new targets last began to receive
	// requests. New targets may start cold.
	lastGrowth time.Duration
	sawCanary  bool
	// resumed is set if lastGrowth is known from an earlier leader.
	resumed bool
	// few is set while the new version may run on few targets.
	few bool
	// sentReported is set once a front has reported Sent.
	sentReported bool
	// rechecked is set once a version has been compared again after the share
	// became 1.
	rechecked bool
	// latency is the mean time of a request on the old version, 0 if unknown.
	latency time.Duration
}

// class holds the evidence of one class of requests.
type class struct {
	name  string
	slots []slot
}

// slot holds the counts of one interval and epoch.
type slot struct {
	start       time.Duration
	epoch       int
	sinceGrowth time.Duration
	// share is the committed share, due the share that the new version should
	// have received of the requests of this slot at least.
	share, due float64
	// alone is set if the new version has received all requests for longer than
	// overlap. What is reported of the old version then comes from late reports
	// and from before, and shows other faults of the day.
	alone bool
	// few is set while the new version may run on few targets.
	few    bool
	counts [cohorts]counts
}

// NewAnalysis returns an analysis without samples.
func NewAnalysis(o Order, l Limits) *Analysis {
	return &Analysis{order: o, limits: l}
}

// Growth returns the elapsed time at which further new targets last began to receive requests;
// 0 if none is known to receive any.
func (a *Analysis) Growth() time.Duration {
	if !a.sawCanary {
		return 0
	}
	return a.lastGrowth
}

// Resume continues the analysis of an earlier leader, which had recorded its Growth. Without
// it, targets are taken for cold from the first sample on, so that a slow version is not
// recognized in a short rollout.
func (a *Analysis) Resume(growth time.Duration) {
	if growth > 0 {
		a.sawCanary, a.lastGrowth, a.resumed = true, growth, true
	}
}

// Add adds the samples of one or more reports that arrived at elapsed. A report
// without samples is added too: it shows that the service is idle and not that
// the report is missing.
func (a *Analysis) Add(elapsed time.Duration, samples []Sample) {
	a.start(elapsed)
	a.reports++
	a.lastReport = max(a.lastReport, elapsed)
	for i := range samples {
		s := &samples[i]
		if s.Cohort == Canary && !a.sawCanary && max(s.Sent, s.Requests) > 0 {
			a.sawCanary = true
			a.lastGrowth = max(a.lastGrowth, elapsed)
		}
		a.sentReported = a.sentReported || s.Sent > 0
		a.class(s.Class).slot(a, elapsed).counts[s.Cohort&1].add(s)
	}
}

func (a *Analysis) class(name string) *class {
	i, found := slices.BinarySearchFunc(a.classes, name, func(c *class, name string) int { return strings.Compare(c.name, name) })
	if found {
		return a.classes[i]
	}
	if len(a.classes) >= maxClasses && name != otherClasses {
		return a.class(otherClasses)
	}
	a.classes = slices.Insert(a.classes, i, &class{name: name})
	return a.classes[i]
}

// slot returns the slot that counts what is reported at elapsed.
func (c *class) slot(a *Analysis, elapsed time.Duration) *slot {
	start := elapsed.Truncate(slotLength)
	if n := len(c.slots); n > 0 {
		last := &c.slots[n-1]
		if last.epoch == a.epoch && start <= last.start {
			return last
		}
		if n >= maxSlots {
			c.compact()
		}
	}
	due := a.epochStep.Share
	if elapsed-a.epochStart <= overlap {
		due = min(due, a.shareBefore)
	}
	c.slots = append(c.slots, slot{start: start, epoch: a.epoch, sinceGrowth: elapsed - a.lastGrowth,
		share: a.epochStep.Share, due: due, few: a.few, alone: a.epochStep.Share >= 1 && elapsed-a.epochStart > overlap})
	return &c.slots[len(c.slots)-1]
}

// compact joins pairs of slots of one epoch in the older half.
func (c *class) compact() {
	kept := c.slots[:0]
	half := len(c.slots) / 2
	for i := 0; i < len(c.slots); i++ {
		s := c.slots[i]
		if i+1 < half && c.slots[i+1].epoch == s.epoch {
			i++
			for cohort := range s.counts {
				s.counts[cohort].merge(&c.slots[i].counts[cohort])
			}
		}
		kept = append(kept, s)
	}
	c.slots = kept
}

// start records the time of the first report or decision.
func (a *Analysis) start(elapsed time.Duration) {
	if !a.hasStarted {
		a.hasStarted, a.started = true, elapsed
		if !a.resumed {
			a.lastGrowth = elapsed
		}
	}
}

// observe records the start of an epoch if the committed step has changed.
func (a *Analysis) observe(elapsed time.Duration, current Step, f Fleet) {
	a.few = !a.rechecked && (current.Share <= fewTargetsShare ||
		current.Share < 1 && current.TargetShare*float64(f.CanaryTargets) <= fewTargets+0.5)
	a.start(elapsed)
	if !a.hasStep {
		a.hasStep, a.epochStart, a.epochStep = true, elapsed, current
		a.shareBefore = current.Share
		return
	}
	if current.Share == a.epochStep.Share && current.TargetShare == a.epochStep.TargetShare {
		return
	}
	if current.TargetShare > a.epochStep.TargetShare {
		a.lastGrowth = elapsed
	}
	a.epoch++
	a.shareBefore = a.epochStep.Share
	a.epochStart, a.epochStep = elapsed, current
}

// total sums the counts of a cohort over all classes and slots that begin at
// from or later.
func (a *Analysis) total(cohort Cohort, from time.Duration) counts {
	var sum counts
	for _, c := range a.classes {
		for i := len(c.slots) - 1; i >= 0 && c.slots[i].start >= from; i-- {
			sum.merge(&c.slots[i].counts[cohort])
		}
	}
	return sum
}
