package edge

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of a stop. The fractions are those of the grace period, and bind where it is
// short.
const (
	// drainDelay is how long the load balancer needs after the signal to send callers to
	// other fronts: two readiness checks, a second apart, and the connections that it has
	// already routed here. For so long, but at most for 1/maxDrainFraction, requests are
	// served even if they may last longer than this front, and the listener stays open.
	drainDelay       = 2600 * time.Millisecond
	maxDrainFraction = 3
	// maxListenFraction limits the time for which the listener stays open although no
	// connection arrives and no request is in flight.
	maxListenFraction = 2
	// graceMargin is what is left when the requests in flight are ended, at most
	// 1/maxMarginFraction. A third of it passes before the connections are closed, so that
	// callers get the responses.
	graceMargin           = 600 * time.Millisecond
	maxMarginFraction     = 8
	finalResponseFraction = 3
	// defaultGracePeriod applies if the deployment states none.
	defaultGracePeriod = 5 * time.Second
)

// stopClock tells a front that shuts down which requests it can no longer finish.
type stopClock struct {
	// gracePeriod is the time from the signal to the end of the process.
	gracePeriod time.Duration
	// started is when the signal arrived, as a time.Time; nil before that.
	started atomic.Pointer[time.Time]
	// ended is done from requestsEnd on.
	ended context.Context
	end   context.CancelFunc
	// cut is done when the connections of callers are closed.
	cut        context.Context
	closeConns context.CancelFunc
}

func newStopClock(gracePeriod time.Duration) *stopClock {
	if gracePeriod <= 0 {
		gracePeriod = defaultGracePeriod
	}
	s := &stopClock{gracePeriod: gracePeriod}
	s.ended, s.end = context.WithCancel(context.Background())
	s.cut, s.closeConns = context.WithCancel(context.Background())
	return s
}

// begin records that the signal has arrived.
func (s *stopClock) begin(now time.Time) {
	s.started.Store(&now)
	time.AfterFunc(time.Until(s.requestsEnd()), func() {
		s.end()
		// Callers get their responses even if the process stood still at requestsEnd.
		time.AfterFunc(s.margin()/finalResponseFraction, s.closeConns)
	})
}

// stopping reports whether the signal has arrived.
func (s *stopClock) stopping() bool { return s.started.Load() != nil }

// minListenTime is the time from the signal to the close of the listener of a front without
// requests, maxListenTime its limit in a short grace period.
func (s *stopClock) minListenTime() time.Duration { return min(drainDelay, s.maxListenTime()) }
func (s *stopClock) maxListenTime() time.Duration { return s.gracePeriod / maxListenFraction }

// margin is the part of the grace period that is left at requestsEnd.
func (s *stopClock) margin() time.Duration { return min(graceMargin, s.gracePeriod/maxMarginFraction) }

// requestsEnd returns when the requests in flight are ended.
func (s *stopClock) requestsEnd() time.Time { return s.started.Load().Add(s.gracePeriod - s.margin()) }

// connectionsEnded returns the context that ends when the connections of callers are closed,
// which is some time after Ended, so that callers get the responses to the requests that are
// ended.
func (s *stopClock) connectionsEnded() context.Context { return s.cut }

// Elapsed implements proxy.Shutdown.
func (s *stopClock) Elapsed() time.Duration {
	started := s.started.Load()
	if started == nil {
		return 0
	}
	return max(time.Since(*started), 1)
}

// Ended implements proxy.Shutdown.
func (s *stopClock) Ended() context.Context { return s.ended }

// Rejects implements proxy.Shutdown. Until drainDelay after the signal all requests are
// served, as the load balancer still sends callers here; in a short grace period, until
// a third of it.
func (s *stopClock) Rejects(deadline time.Time) bool {
	return s.Elapsed() >= min(drainDelay, s.gracePeriod/maxDrainFraction) && deadline.After(s.requestsEnd())
}
