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
	// Priority is the priority of the request; 0 is the highest.
	Priority int
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
	Target string
	// Expected is the expected time to the first byte, and Work the part of it that the
	// request itself takes.
	Expected, Work time.Duration
	// Certain is set if recent responses support the estimate.
	Certain bool
}

// wait returns the part of the expected time that the request spends in queues.
func (e Estimate) wait() time.Duration { return max(e.Expected-e.Work, 0) }

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
	// Probe means that the request would be refused, but is sent to check the estimate.
	Probe
	reasons
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"admitted", "beyond_patience", "standing_queue", "probe"}[r]
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
func (v Verdict) Refused() bool { return v.Reason == BeyondPatience || v.Reason == StandingQueue }

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
	queues queues
	shares shares
	// lastAdmitted is when a request was sent last.
	lastAdmitted time.Time
}

// New returns a Control without history.
func New(clock func() time.Time, random func() float64) *Control {
	return &Control{clock: clock, random: random, services: make(map[string]*service)}
}

// Bounds returns the expected time to the first byte, and the wait in queues, beyond which a
// target is a bad choice for the request; 0 without a bound.
func (c *Control) Bounds(r Request) (first, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = max(r.Patience-r.Waited, 1)
	if s := c.services[r.Service]; s != nil && s.queues.anyStanding(c.clock()) {
		wait = s.waitLimit(c.clock(), r)
	}
	return first, wait
}

// Decide decides about a request whose best target has the estimate e. It is asked once for
// each request, because it counts what it decides.
func (c *Control) Decide(r Request, e Estimate) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	s := c.services[r.Service]
	if s == nil {
		s = &service{queues: make(queues), lastAdmitted: now}
		c.services[r.Service] = s
	}
	v := s.verdict(now, r, e)
	if v.Refused() && now.Sub(s.lastAdmitted) > probeInterval {
		v.Reason = Probe
	}
	s.shares.record(now, r, !v.Refused())
	if v.Refused() {
		v.RetryAfter = c.retryAfter(now, s, r, e, v)
	} else {
		s.lastAdmitted = now
	}
	c.counts[v.Reason]++
	return v
}

func (s *service) verdict(now time.Time, r Request, e Estimate) Verdict {
	q := s.queues.observe(now, r, e)
	if !e.Certain {
		return Verdict{}
	}
	if limit := r.Patience - r.Waited; e.Expected > limit {
		return Verdict{Reason: BeyondPatience, Limit: limit}
	}
	if limit := s.waitLimit(now, r); q.standing && limit > 0 && e.wait() > limit {
		return Verdict{Reason: StandingQueue, Limit: limit + e.Work}
	}
	return Verdict{}
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
func (c *Control) retryAfter(now time.Time, s *service, r Request, e Estimate, v Verdict) time.Duration {
	wait := max(e.Expected-v.Limit, s.queues.age(now, r, e), minRetryAfter)
	honoured := time.Duration(honouredFraction * float64(r.TimeLeft))
	spread := c.random()
	if latest := time.Duration(float64(wait) * (1 + spread)); latest <= honoured {
		return latest
	}
	return time.Duration(float64(honoured) * (earliestReturn + (1-earliestReturn)*spread))
}
