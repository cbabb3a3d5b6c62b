// Package overload decides which requests a VM refuses at once, because no target is
// expected to begin them in the time that their callers wait, or because serving them would
// keep a queue in which all requests become late. The package does no I/O.
package overload

import (
	"sync"
	"time"
)

// Request is what the decision needs to know about a request.
type Request struct {
	Service   string
	Workspace string
	// Priority is the priority with which targets serve the request; 0 is the highest. Rank
	// orders requests of one priority: those of a higher rank are refused first.
	Priority, Rank int
	// Objective is the time within which the response should begin; 0 if there is none.
	Objective time.Duration
	// Patience is the time within which it must begin, before the caller leaves.
	Patience time.Duration
	// Waited is the part of these times that has passed.
	Waited time.Duration
	// TimeLeft is how long the caller waits in all, retries included.
	TimeLeft time.Duration
}

// Estimate is what is known of the target that would get the request.
type Estimate struct {
	// Expected is the expected time to the first byte, and Work the part of it that the
	// request itself takes; 0 if that is not known.
	Expected, Work time.Duration
	// Limited is set if the target has named a limit, under which there is room.
	Limited bool
	// Certain is set if recent responses support the estimate.
	Certain bool
}

// waitKnown reports whether the wait in queues can be told from the time for the request itself.
func (e Estimate) waitKnown(r Request) bool { return e.Work > 0 && r.Objective > 0 }

// Reason is why a request is refused.
type Reason uint8

// Reasons of verdicts.
const (
	// Admitted requests are not refused.
	Admitted Reason = iota
	// BeyondPatience means that the caller would leave before the response begins.
	BeyondPatience
	// StandingQueue means that the queue has been too long for some time, and must become
	// shorter.
	StandingQueue
	// LateResponses means that all recent responses were late, whatever was expected.
	LateResponses
	// Probe means that the request would be refused, but is sent to check the estimate.
	Probe
	reasons
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"admitted", "beyond_patience", "standing_queue", "late_responses", "probe"}[r]
}

// Verdict is the decision about a request.
type Verdict struct {
	Reason Reason
	// Limit is the longest expected time to the first byte with which the request would
	// have been admitted.
	Limit time.Duration
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v.Reason != Admitted && v.Reason != Probe }

// probeInterval is the time after which a request is sent although it should be refused, if
// the service has got no other one. Without responses an estimate would stay as it is.
const probeInterval = time.Second

// Control decides about the requests of one VM. It is safe for concurrent use.
type Control struct {
	clock func() time.Time
	// random returns a random number from 0 to 1.
	random func() float64

	mu       sync.Mutex
	services map[string]*service
	counts   [reasons]uint64
}

// service is what a VM tracks of one service.
type service struct {
	classes map[class]*classState
	shares  shares
	// lastAdmitted is when a request was sent last.
	lastAdmitted time.Time
}

// class is the requests of a service that are treated alike.
type class struct{ priority, rank int }

func (r *Request) class() class { return class{r.Priority, r.Rank} }

// classState is what the requests of a class have found and met.
type classState struct {
	queue    queue
	feedback feedback
}

func (s *service) class(r Request) *classState {
	p := s.classes[r.class()]
	if p == nil {
		p = &classState{}
		s.classes[r.class()] = p
	}
	return p
}

// New returns a Control without history.
func New(clock func() time.Time, random func() float64) *Control {
	return &Control{clock: clock, random: random, services: make(map[string]*service)}
}

func (c *Control) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{classes: make(map[class]*classState), lastAdmitted: c.clock()}
		c.services[name] = s
	}
	return s
}

// Bounds returns the expected time to the first byte, and the wait in queues, beyond which a
// target is a bad choice for the request; 0 without a bound.
func (c *Control) Bounds(r Request) (first, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(r.Service).class(r)
	return c.bounds(r)
}

// PeekBounds returns what Bounds would return now. It changes nothing.
func (c *Control) PeekBounds(r Request) (first, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bounds(r)
}

func (c *Control) bounds(r Request) (first, wait time.Duration) {
	first = max(r.Patience-r.Waited, 1)
	s := c.services[r.Service]
	if s == nil {
		return first, 0
	}
	if p := s.classes[r.class()]; p != nil && p.queue.standing {
		wait = s.waitLimit(c.clock(), r)
	}
	return first, wait
}

// Decide decides about a request whose best target has the estimate e. It is asked once for
// each attempt, because it counts what it decides.
func (c *Control) Decide(r Request, e Estimate) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	s := c.service(r.Service)
	v := s.verdict(now, r, e, c.random())
	if v.Refused() && now.Sub(s.lastAdmitted) > probeInterval {
		v.Reason = Probe
	}
	s.shares.record(now, r, !v.Refused())
	if v.Refused() {
		v.RetryAfter = c.retryAfter(now, s.class(r), r, e, v)
	} else {
		s.lastAdmitted = now
	}
	c.counts[v.Reason]++
	return v
}

func (s *service) verdict(now time.Time, r Request, e Estimate, random float64) Verdict {
	p := s.class(r)
	limit := s.waitLimit(now, r)
	p.queue.observe(now, r, e, limit)
	share := p.feedback.share(now, r)
	if s.starves(r) {
		share /= 2
	}
	if random < share && !e.Limited && e.waitKnown(r) {
		return Verdict{Reason: LateResponses, Limit: r.Objective}
	}
	if !e.Certain {
		return Verdict{}
	}
	if left := r.Patience - r.Waited; e.Expected > left {
		return Verdict{Reason: BeyondPatience, Limit: left}
	}
	if p.queue.standing && e.waitKnown(r) && e.Expected-e.Work > limit {
		return Verdict{Reason: StandingQueue, Limit: limit + e.Work}
	}
	return Verdict{}
}

// Observe records that a request that was sent had its first byte after the given time, or ended
// then without one.
func (c *Control) Observe(r Request, e Estimate, after time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(r.Service).class(r).feedback.observe(c.clock(), r, e, after, answered)
}

// SilenceLimit returns how long a target may be silent before another one is tried, given the
// expected time to its first byte and the time that is left until the caller leaves; 0 if no
// other target could begin in time after that. Silence such as other requests have met recently
// is no reason to try another target.
func (c *Control) SilenceLimit(r Request, expected, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.service(r.Service).class(r).feedback.recentLongest(c.clock())
	return silenceLimit(max(expected, longest/minSilentFactor), r.Objective, left)
}

// Count returns the number of decisions with a reason.
func (c *Control) Count(reason Reason) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[reason]
}

const (
	// honouredFraction is the part of the time left for which callers wait before a retry.
	honouredFraction = 1.0 / 3
	// minRetryAfter is the shortest time after which a caller should return.
	minRetryAfter = 100 * time.Millisecond
	// earliestReturn is the part of the time that callers honour after which the first of
	// them return, if the queue is expected to last longer than that.
	earliestReturn = 0.6
)

// retryAfter returns when a refused caller should return: when the queue has drained, if
// nothing else arrives. An overload that has lasted for some time is expected to last as long
// again. The times are spread, so that callers do not return together.
func (c *Control) retryAfter(now time.Time, p *classState, r Request, e Estimate, v Verdict) time.Duration {
	wait := max(e.Expected-v.Limit, p.queue.age(now), p.feedback.age(now), minRetryAfter)
	honoured := time.Duration(honouredFraction * float64(r.TimeLeft))
	spread := c.random()
	if latest := time.Duration(float64(wait) * (1 + spread)); latest <= honoured {
		return latest
	}
	return time.Duration(float64(honoured) * (earliestReturn + (1-earliestReturn)*spread))
}
