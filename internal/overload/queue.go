package overload

import "time"

// A queue that is long for a moment serves its requests late, and those behind them in time. A
// queue that stays long makes all requests late, at the same throughput. So a queue may grow
// up to what callers bear until it has been long for a while; then requests are refused until
// it is short.

const (
	// queueFraction is the part of the objective that a request may spend in queues. The
	// rest is left for the request itself and for errors of the estimate.
	queueFraction = 0.5
	// calmTime is how long a queue must have been short to be no longer standing.
	calmTime = 2 * time.Second
	// minLongFindings is the number of requests in a row that must have found the queue
	// long: where requests are rare, two that did may be as far apart as an objective.
	minLongFindings = 4
)

// queue is the queue that the requests of one priority find at their best target.
type queue struct {
	// longSince is when the queue became long; zero while it is short. lastLong is when a
	// request last found it long.
	longSince, lastLong time.Time
	// longFindings counts the requests that found it long since longSince.
	longFindings int
	// standing is set once the queue has been long for the objective of its requests, and
	// standingSince when it became long.
	standing      bool
	standingSince time.Time
}

// allowedWait returns how long a request may wait in a queue to begin in time.
func allowedWait(r Request) time.Duration {
	return time.Duration(queueFraction * float64(r.Objective))
}

// observe records how a request that may wait up to limit finds the queue. A target that has room
// under a limit of its own says nothing about the queues of the others.
func (q *queue) observe(now time.Time, r Request, e Estimate, limit time.Duration) {
	long := e.Certain && e.waitKnown(r) && e.Expected-e.Work > limit
	switch {
	case long:
		if q.longSince.IsZero() || now.Sub(q.lastLong) > calmTime {
			q.longSince, q.longFindings = now, 0
		}
		q.lastLong = now
		q.longFindings++
		if !q.standing && now.Sub(q.longSince) >= r.Objective && q.longFindings >= minLongFindings {
			q.standing, q.standingSince = true, q.longSince
		}
	case e.Limited:
	default:
		q.longSince = time.Time{}
	}
	if now.Sub(q.lastLong) > calmTime {
		q.standing = false
	}
}

// age returns how long the queue has been standing.
func (q *queue) age(now time.Time) time.Duration {
	if !q.standing {
		return 0
	}
	return now.Sub(q.standingSince)
}
