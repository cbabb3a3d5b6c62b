// Package exposure limits the requests that a front sends to the new version of a service
// during its rollout, and collects what the front sees of both versions. The package does
// no I/O.
package exposure

import (
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/canary"
)

const (
	// MaxConfirmedAge is the age of the confirmation of a front's state from which the
	// front sends nothing to a new version. With it, a front that is cut off stops well
	// before the new version has to be without requests.
	MaxConfirmedAge = 1500 * time.Millisecond
	// maxClasses limits the classes of requests that are counted for a service. Further
	// ones are counted as one class.
	maxClasses = 64
	// otherClass is the class of the requests beyond maxClasses.
	otherClass = ""
	// recentResults is the number of latest results of a version that the front judges it
	// by, and recentTime the time after which a result no longer counts.
	recentResults = 8
	recentTime    = 5 * time.Second
	// minJudged is the number of results from which a front judges a version.
	minJudged = 5
	// mostlyFailed is the fraction of failed results from which a version mostly fails. At
	// a failure rate of 0.2, that many of five results fail in 0.7% of the cases.
	mostlyFailed = 0.75
)

// Rule is the committed step of a running rollout.
type Rule struct {
	// Order identifies the rollout, Revision its step.
	Order, Revision uint64
	// Share is the share of the front's requests of each class that the new version may
	// receive.
	Share float64
}

// Gate decides which requests of one front may go to new versions. It has an accumulator for
// each service and one for each class, to which each request adds the committed share, and
// a request that goes to the new version takes one from both. The accumulator of the service
// begins at zero, so that the new version gets at most the committed share of the requests
// at any time, whatever happens to other fronts. That of a class begins at random between
// zero and one, so that the class exceeds its share by less than one request, and in the
// mean not at all. Otherwise a class with fewer requests than one by the share at each front
// would give no evidence. A Gate is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	random   func() float64
	services map[string]*service
	// next is the next random number if peeked is set.
	next   float64
	peeked bool
}

type service struct {
	rule    Rule
	credit  float64
	classes map[string]*class
	recent  [2]results
	// stopped is set once the new version has mostly failed, until the next step.
	stopped bool
}

type class struct{ credit float64 }

// Ticket is the decision about one request.
type Ticket struct {
	Cohort  canary.Cohort
	class   *class
	service *service
	// serviceName is the name of service.
	serviceName string
	// order identifies the rollout, revision the step by which the request was decided.
	order    uint64
	revision uint64
	share    float64
}

// All reports whether the new version receives all requests.
func (t Ticket) All() bool { return t.share >= 1 }

// NewGate returns a Gate that knows no rollout. random returns a random number from 0 to 1.
func NewGate(random func() float64) *Gate { return &Gate{random: random} }

// Update replaces the rules of all services with a running rollout.
func (g *Gate) Update(rules map[string]Rule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*service, len(rules))
	for name, rule := range rules {
		s := g.services[name]
		if s == nil || s.rule.Order != rule.Order {
			s = &service{classes: make(map[string]*class)}
		}
		if s.rule.Revision != rule.Revision {
			s.stopped, s.recent = false, [2]results{}
		}
		s.rule = rule
		next[name] = s
	}
	g.services = next
}

// Offer decides about a request. It reports false if no rollout of the service is running.
// confirmed is when a quorum last confirmed the state of the front.
func (g *Gate) Offer(now, confirmed time.Duration, serviceName, className string) (Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[serviceName]
	if s == nil {
		return Ticket{}, false
	}
	c := g.class(s, className)
	t := Ticket{
		Cohort: canary.Baseline, class: c, service: s, serviceName: serviceName,
		order: s.rule.Order, revision: s.rule.Revision, share: s.rule.Share,
	}
	offered := s.offers(now, confirmed, c.credit)
	c.credit += s.rule.Share
	s.credit += s.rule.Share
	if !offered {
		t.limit()
		return t, true
	}
	c.credit--
	s.credit--
	t.Cohort = canary.Canary
	return t, true
}

// Peek returns the cohort that Offer would offer a request to now. It changes nothing.
func (g *Gate) Peek(now, confirmed time.Duration, serviceName, className string) (cohort canary.Cohort, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[serviceName]
	if s == nil {
		return canary.Baseline, false
	}
	c := s.classes[className]
	if c == nil && len(s.classes) >= maxClasses {
		c = s.classes[otherClass]
	}
	credit := 0.0
	if c != nil {
		credit = c.credit
	} else {
		if !g.peeked {
			g.next, g.peeked = g.random(), true
		}
		credit = g.next
	}
	if s.offers(now, confirmed, credit) {
		return canary.Canary, true
	}
	return canary.Baseline, true
}

// offers reports whether the next request of a class with a credit goes to the new version.
func (s *service) offers(now, confirmed time.Duration, credit float64) bool {
	// With all requests the accumulators have nothing to limit.
	due := s.rule.Share >= 1 || credit+s.rule.Share >= 1 && s.credit+s.rule.Share >= 1
	return due && now-confirmed < MaxConfirmedAge && !s.stopped
}

// draw returns the next random number, which Peek may have drawn before.
func (g *Gate) draw() float64 {
	if g.peeked {
		g.peeked = false
		return g.next
	}
	return g.random()
}

// Permits reports whether a request that was decided before may still be sent to the new
// version. A later step with a smaller share requires another decision.
func (g *Gate) Permits(now, confirmed time.Duration, t Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := t.service
	return s != nil && g.services[t.serviceName] == s && t.Cohort == canary.Canary && s.rule.Share >= t.share && !s.stopped &&
		now-confirmed < MaxConfirmedAge
}

// maxCredit limits the accumulators, so that requests that could not be used do not come as a
// burst later. At 1, classes that wait for the accumulator of their service would lose a tenth
// of their share.
const maxCredit = 2

// limit limits the accumulators of a request that does not go to the new version.
func (t *Ticket) limit() {
	t.class.credit = min(t.class.credit, maxCredit)
	t.service.credit = min(t.service.credit, maxCredit)
}

// class returns the class with a name.
func (g *Gate) class(s *service, name string) *class {
	if c := s.classes[name]; c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		name = otherClass
	}
	c := s.classes[name]
	if c == nil {
		c = &class{credit: g.draw()}
		s.classes[name] = c
	}
	return c
}

// Decline turns a request for the new version into one for the old version, because no
// target of the new one is usable.
func (g *Gate) Decline(t Ticket) Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.class.credit++
	t.service.credit++
	t.limit()
	t.Cohort = canary.Baseline
	return t
}

// Cancel records that nothing was sent for a request. It then counts neither for the share
// nor for the new version.
func (g *Gate) Cancel(t Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Cohort == canary.Canary {
		t.class.credit++
		t.service.credit++
	}
	t.class.credit = max(t.class.credit-t.share, -maxCredit)
	t.service.credit = max(t.service.credit-t.share, -maxCredit)
	t.limit()
}

// Record records the result of a request that was sent. It reports whether the front stops
// to send requests to the new version because of it.
func (g *Gate) Record(now time.Duration, t Ticket, failed bool) (stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := t.service
	if t.revision != s.rule.Revision || t.Cohort > canary.Canary {
		return false
	}
	s.recent[t.Cohort].add(now, failed)
	if t.Cohort != canary.Canary || s.stopped || !s.recent[canary.Canary].mostlyFailed(now) {
		return false
	}
	// If the old version fails as well, the cause is not the new version.
	s.stopped = !s.recent[canary.Baseline].mostlyFailed(now)
	return s.stopped
}

// Stopped reports whether the front sends nothing to the new version of a service on its own.
func (g *Gate) Stopped(serviceName string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[serviceName]
	return s != nil && s.stopped
}

// results holds the latest results of a version.
type results struct {
	list [recentResults]result
	next int
}

type result struct {
	at     time.Duration
	known  bool
	failed bool
}

func (r *results) add(now time.Duration, failed bool) {
	r.list[r.next] = result{now, true, failed}
	r.next = (r.next + 1) % recentResults
}

func (r *results) mostlyFailed(now time.Duration) bool {
	known, failed := 0, 0
	for _, e := range r.list {
		if !e.known || now-e.at > recentTime {
			continue
		}
		known++
		if e.failed {
			failed++
		}
	}
	return known >= minJudged && float64(failed) >= mostlyFailed*float64(known)
}
