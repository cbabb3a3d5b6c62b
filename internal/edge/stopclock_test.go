package edge

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stop that is made for one grace period: with a shorter one, requests
// were served without regard to the end until after it, ended before its last sixth, or
// still open when the process was killed.
func TestStopFitsIntoEveryGracePeriod(t *testing.T) {
	for _, gracePeriod := range []time.Duration{
		500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 30 * time.Second, 5 * time.Minute,
	} {
		t.Run(gracePeriod.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopClock(gracePeriod)
				longRequest := time.Now().Add(time.Hour)
				if s.Rejects(longRequest) || s.Elapsed() != 0 {
					t.Error("requests are rejected before the signal")
				}
				signal := time.Now()
				s.begin(signal)
				if s.Rejects(longRequest) {
					t.Error("a request at the time of the signal is rejected; the load balancer still sends them")
				}
				time.Sleep(min(3*time.Second, gracePeriod/2))
				if !s.Rejects(longRequest) {
					t.Error("a request is accepted in the second half of the grace period, or later than 3 s after the signal")
				}
				if !s.Rejects(signal.Add(gracePeriod)) {
					t.Error("a request with a deadline at the end of the process is accepted")
				}
				if s.Rejects(time.Now().Add(gracePeriod / 4)) {
					t.Error("a request that can be finished is rejected")
				}
				<-s.Ended().Done()
				if ended := s.Elapsed(); ended < gracePeriod*5/6 {
					t.Errorf("requests are ended after %v, before the last sixth of %v", ended, gracePeriod)
				}
				ended := s.Elapsed()
				<-s.connectionsEnded().Done()
				if closed := s.Elapsed(); closed <= ended || closed > gracePeriod-min(gracePeriod/20, 300*time.Millisecond) {
					t.Errorf("the connections are closed %v after the requests have ended, at %v of %v", closed-ended, closed, gracePeriod)
				}
			})
		})
	}
}

// Guards against requests without an answer after a stall: the connections were closed at the
// moment at which the requests were ended, if the process stood still until then.
func TestRequestsAreAnsweredAfterAStallAtTheEndOfAStop(t *testing.T) {
	const gracePeriod, late = 8 * time.Second, 7900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newStopClock(gracePeriod)
		s.begin(time.Now().Add(-late))
		<-s.Ended().Done()
		ended := s.Elapsed()
		<-s.connectionsEnded().Done()
		if left := s.Elapsed() - ended; left < graceMargin/finalResponseFraction {
			t.Errorf("the connections are closed %v after the requests have ended", left)
		}
	})
}

// Guards against a front that ends its requests at once, because the deployment states no
// grace period.
func TestStopWithoutAGracePeriodLeavesTimeForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopClock(0)
		s.begin(time.Now())
		if time.Sleep(time.Second); s.Ended().Err() != nil || s.Rejects(time.Now().Add(time.Second)) {
			t.Error("requests are ended or rejected a second after the signal")
		}
		<-s.Ended().Done()
	})
}
