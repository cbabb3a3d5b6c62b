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
	// calmTime is how long a queue must have been short to count as no longer standing.
	calmTime = 2 * time.Second
	// queueExpiry is how long a queue without requests is tracked.
	queueExpiry = 10 * time.Second
	// maxQueues is the number of tracked queues from which expired ones are removed.
	maxQueues = 1024
)

// queueKey names the queue that requests of one priority see at one target.
type queueKey struct {
	target   string
	priority int
}

// queue is the state of one queue, as the requests for it have found it.
type queue struct {
	// longSince is when the queue became long; zero while it is short.
	longSince time.Time
	// lastSeen and lastLong are when a request found the queue, and found it long.
	lastSeen, lastLong time.Time
	// standing is set once the queue has been long for the objective of its requests, and
	// standingSince when it became so.
	standing      bool
	standingSince time.Time
}

type queues map[queueKey]*queue

// observe records how a request finds its queue.
func (m queues) observe(now time.Time, r Request, e Estimate) *queue {
	key := queueKey{e.Target, r.Priority}
	q := m[key]
	if q == nil {
		if len(m) >= maxQueues {
			m.expire(now)
		}
		q = &queue{}
		m[key] = q
	}
	long := e.Certain && r.Objective > 0 && e.wait() > allowedWait(r)
	switch {
	case !long:
		q.longSince = time.Time{}
	case q.longSince.IsZero() || now.Sub(q.lastSeen) > calmTime:
		q.longSince = now
	}
	q.lastSeen = now
	if long {
		q.lastLong = now
	}
	switch {
	case q.standing && now.Sub(q.lastLong) > calmTime:
		q.standing = false
	case !q.standing && long && now.Sub(q.longSince) >= r.Objective:
		q.standing, q.standingSince = true, q.longSince
	}
	return q
}

// allowedWait returns how long a request may wait in a queue to begin in time.
func allowedWait(r Request) time.Duration {
	return time.Duration(queueFraction * float64(r.Objective))
}

// anyStanding reports whether a queue of the service is standing.
func (m queues) anyStanding(now time.Time) bool {
	for _, q := range m {
		if q.standing && now.Sub(q.lastLong) <= calmTime {
			return true
		}
	}
	return false
}

// age returns how long the queue of a request has been standing.
func (m queues) age(now time.Time, r Request, e Estimate) time.Duration {
	if q := m[queueKey{e.Target, r.Priority}]; q != nil && q.standing {
		return now.Sub(q.standingSince)
	}
	return 0
}

func (m queues) expire(now time.Time) {
	for key, q := range m {
		if now.Sub(q.lastSeen) > queueExpiry {
			delete(m, key)
		}
	}
}
