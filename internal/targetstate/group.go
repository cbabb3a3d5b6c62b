package targetstate

import (
	"slices"
	"time"
)

const (
	// overdueFactor and overdueMarginMS tell when a request without a first byte is overdue:
	// sound targets answer nearly all requests within that many times the expected time and
	// the margin. The margin is smaller for a request that was overtaken.
	overdueFactor            = 2.0
	overdueMarginMS          = 300.0
	overtakenOverdueMarginMS = 150.0
	// answeringShare is how many silent targets there may be for each one that answers.
	answeringShare = 2
	// reviewInterval is the shortest time between two reviews of a group.
	reviewInterval = 10 * time.Millisecond
	// classHalfLife is the half-life of what is known of a class of requests.
	classHalfLife = 5 * time.Second
	// classWaitHalfLife is the half-life of a wait in the mean of its class.
	classWaitHalfLife = time.Second
	// maxClasses limits the classes that are told apart.
	maxClasses = 1024
)

// Group is the targets of one service. They are compared with each other: what is wrong
// with all of them is not the fault of one.
type Group struct {
	// Processes is the number of processes that use the targets, and Random returns a
	// random number from 0 to 1. Both spread the trials of ejected targets.
	Processes int
	Random    func() float64

	targets     []*Target
	speed       speed
	rawSlowdown float64
	reviewed    time.Time
	classes     map[string]*class
	calibration [levels]calibration
	events      []Event
	// answerTimes is used by suspectSilent.
	answerTimes []time.Time
}

// class counts the requests of a class that were answered and that were not, and sums the
// times that targets took.
type class struct{ answered, silent, waits, waitsMS decaying }

// NewGroup returns a group without targets.
func NewGroup(random func() float64) *Group {
	return &Group{Random: random, rawSlowdown: 1, classes: make(map[string]*class)}
}

// Slowdown returns how many times longer than nominal the targets take, as of the latest
// review; 1 for small differences.
func (g *Group) Slowdown() float64 { return withoutTolerance(g.rawSlowdown) }

// SetTargets replaces the list of targets.
func (g *Group) SetTargets(targets []*Target) { g.targets = targets }

// Review updates what depends on the time alone: the slowdown of the group and the
// suspicion of swallowed requests. Its cost is linear in the number of targets.
func (g *Group) Review(now time.Time) {
	if now.Sub(g.reviewed) >= reviewInterval {
		g.review(now)
	}
}

func (g *Group) review(now time.Time) {
	g.reviewed = now
	g.rawSlowdown = max(1, g.speed.factor(now, 1, groupPriorMS))
	g.suspectSilent(now)
}

// suspectSilent suspects the targets that are silent while others answer. Where more are
// silent than have answered since, the link or this process is rather at fault.
func (g *Group) suspectSilent(now time.Time) {
	silent := 0
	g.answerTimes = g.answerTimes[:0]
	for _, t := range g.targets {
		if _, found := t.silentSince(now); found {
			silent++
		} else if !t.answeredAt.IsZero() {
			g.answerTimes = append(g.answerTimes, t.answeredAt)
		}
	}
	if silent == 0 {
		return
	}
	slices.SortFunc(g.answerTimes, time.Time.Compare)
	for _, t := range g.targets {
		due, found := t.silentSince(now)
		if !found {
			continue
		}
		before, _ := slices.BinarySearchFunc(g.answerTimes, due, time.Time.Compare)
		if answering := len(g.answerTimes) - before; answering > 0 && answeringShare*answering >= silent {
			t.suspect(now)
		}
	}
}

// silentSince reports whether the target may have swallowed a request, and when the oldest
// such request should have been answered.
func (t *Target) silentSince(now time.Time) (time.Time, bool) {
	for _, a := range t.waiting {
		if a.swallowed(now) {
			return a.due(now), true
		}
	}
	return time.Time{}, false
}

// suspect marks the requests that the target may have swallowed.
func (t *Target) suspect(now time.Time) {
	suspected := false
	for _, a := range t.waiting {
		if !a.suspected && a.swallowed(now) && t.group.answers(now, a.work.Class) {
			a.suspected = true
		}
		suspected = suspected || a.suspected
	}
	if suspected && now.Sub(t.suspicionReported) >= reportInterval {
		t.suspicionReported = now
		t.group.report(Event{Target: t, Kind: Suspected})
	}
}

// dueMS returns the time within which the request should have been answered, by what is
// known now: the target may have become slower, and more urgent work may have come.
func (a *Attempt) dueMS(now time.Time) float64 {
	due := max(a.expectation.MS, a.target.group.meanWait(now, a.work.Class))
	if !a.work.Known {
		return due
	}
	return max(due, a.target.Slowdown(now)*(a.expectation.NominalMS+a.target.backlog.sentSince(a)))
}

func (a *Attempt) due(now time.Time) time.Time {
	return a.sentAt.Add(time.Duration(a.dueMS(now) * float64(time.Millisecond)))
}

func (a *Attempt) overdue(now time.Time) bool {
	margin := overdueMarginMS
	if a.overtaken {
		margin = overtakenOverdueMarginMS
	}
	age := a.ageMS(now)
	return age > margin && age > overdueFactor*a.dueMS(now)+margin
}

// swallowed reports whether the target may have swallowed the request: it is overdue, and
// the target has answered later ones or nothing since. A target that answers more urgent
// requests may still have this one in its queue. While targets are slow, their queues
// differ too much for silence alone to mean anything.
func (a *Attempt) swallowed(now time.Time) bool {
	if !a.overdue(now) {
		return false
	}
	return a.overtaken || a.target.group.Slowdown() < reportedSlowdown && !a.target.answeredAt.After(a.due(now))
}

// mayEject reports whether one more target may be ejected: under half of all.
func (g *Group) mayEject(now time.Time, t *Target) bool {
	ejected := 0
	for _, other := range g.targets {
		if other != t && other.Ejected(now) {
			ejected++
		}
	}
	return 2*(ejected+1) < len(g.targets)
}

func (g *Group) trialDelay() time.Duration {
	spread := min(time.Duration(g.Processes)*trialDelayPerProcess, maxTrialDelay)
	return time.Duration(g.Random() * float64(spread))
}

// recordAnswer records what a first byte says about its class and about expectations.
func (g *Group) recordAnswer(now time.Time, a *Attempt) {
	if c := g.class(a.work.Class); c != nil {
		c.answered.add(now, classHalfLife, 1)
	}
	g.recordWait(now, a)
	g.calibration[level(a.work.Priority)].recordAnswer(now, a.expectation.MS, a.ageMS(now))
}

// recordWait records how long a request of a class has waited.
func (g *Group) recordWait(now time.Time, a *Attempt) {
	if c := g.class(a.work.Class); c != nil {
		c.waits.add(now, classWaitHalfLife, 1)
		c.waitsMS.add(now, classWaitHalfLife, a.ageMS(now))
	}
}

// meanWait returns how long requests of a class waited recently, in milliseconds. A request
// that waits as long may be queued, whatever was expected.
func (g *Group) meanWait(now time.Time, name string) float64 {
	c := g.classes[name]
	if c == nil || c.waits.value == 0 {
		return 0
	}
	return c.waitsMS.value / c.waits.value * halved(now.Sub(c.waits.seen), classHalfLife)
}

func (g *Group) recordSilence(now time.Time, a *Attempt) {
	if c := g.class(a.work.Class); c != nil {
		c.silent.add(now, classHalfLife, 1)
	}
}

// class returns the class of a name; nil if there are too many.
func (g *Group) class(name string) *class {
	c := g.classes[name]
	if c == nil && len(g.classes) < maxClasses {
		c = &class{}
		g.classes[name] = c
	}
	return c
}

// answers reports whether targets answer requests of a class. Silence on a request of
// another class is a property of the request.
func (g *Group) answers(now time.Time, name string) bool {
	c := g.classes[name]
	if c == nil {
		return false
	}
	answered := c.answered.at(now, classHalfLife)
	return answered >= minClassAnswers && answered >= c.silent.at(now, classHalfLife)
}

// answersAny reports whether targets answer at least some requests of a class.
func (g *Group) answersAny(now time.Time, name string) bool {
	c := g.classes[name]
	return c != nil && c.answered.at(now, classHalfLife) >= minClassAnswers
}

// minClassAnswers is the decayed number of answers from which targets are known to answer
// requests of a class.
const minClassAnswers = 0.5
