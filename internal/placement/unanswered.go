package placement

import "time"

// Belief is what this VM believed of a target when it chose it.
type Belief struct {
	// Wait is the wait beyond the known work that earlier requests have met.
	Wait time.Duration
	// FailureRate is the fraction of recent requests that failed.
	FailureRate float64
	// Slowdown is how many times longer than nominal the target takes.
	Slowdown float64
	// Ejected is set while the target gets few requests because it swallows some.
	Ejected bool
	// Unanswered is the number of requests of this VM without a first byte, and Oldest
	// the age of the oldest one.
	Unanswered int
	Oldest     time.Duration
}

// Cause is the presumed cause why a request ended without a first byte.
type Cause uint8

// Causes of requests that end without a first byte.
const (
	// CauseEarly means that the request ended within the expected time.
	CauseEarly Cause = iota
	// CauseSilent means that the target has answered requests that were sent later, or
	// nothing while others answered.
	CauseSilent
	// CauseQueue means that the target had more to do than was known.
	CauseQueue
	// CauseSlow means that the target is slower than usual.
	CauseSlow
	// CauseLimit means that the target names a limit.
	CauseLimit
	// CauseStop means that the target or this VM stops.
	CauseStop
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	return [...]string{"early", "silent", "queue", "slow", "limit", "stop"}[c]
}

// slowCause is the slowdown from which a missing response is ascribed to it.
const slowCause = 2.0

// Unanswered describes an attempt that ended without a first byte.
type Unanswered struct {
	Cause  Cause
	Waited time.Duration
	// Belief is what was believed of the target when the attempt ended.
	Belief Belief
}

// unanswered describes an attempt that ends at now without a first byte.
func (p *Placer) unanswered(c *Choice, now time.Time) *Unanswered {
	u := &Unanswered{Waited: now.Sub(c.sentAt), Belief: c.member.belief(now)}
	m := c.member
	switch {
	case m.Terminating || m.admission.draining || p.Stopping != nil && p.Stopping():
		u.Cause = CauseStop
	case u.Waited <= c.Expected:
		u.Cause = CauseEarly
	case c.attempt.Overtaken() || c.attempt.Suspected():
		u.Cause = CauseSilent
	case m.admission.limited:
		u.Cause = CauseLimit
	case u.Belief.Slowdown >= slowCause:
		u.Cause = CauseSlow
	default:
		u.Cause = CauseQueue
	}
	return u
}

// belief returns what is believed of m.
func (m *member) belief(now time.Time) Belief {
	waiting, oldest := m.state.Waiting(now)
	return Belief{
		Wait:        time.Duration(m.state.Wait(now) * float64(time.Millisecond)),
		FailureRate: m.state.FailureRate(now), Slowdown: m.state.Slowdown(now), Ejected: m.state.Ejected(now),
		Unanswered: waiting, Oldest: oldest,
	}
}
