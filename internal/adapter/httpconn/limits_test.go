package httpconn

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a connection that keeps a lower limit than the one in force, because the
// limit was raised while the connection was accepted.
func TestLimitRaisedDuringAnAcceptApplies(t *testing.T) {
	const before, after = time.Minute, time.Hour
	var crossed atomic.Int64
	var limit atomic.Int64
	limit.Store(int64(before))
	tracker := newTestTracker(Limits{}, &crossed)
	var change sync.WaitGroup
	tracker.Limits = func() Limits {
		limits := Limits{Header: time.Duration(limit.Load())}
		if limit.CompareAndSwap(int64(before), int64(after)) {
			change.Go(tracker.LimitsChanged)
			time.Sleep(50 * time.Millisecond)
		}
		return limits
	}
	c, _ := pair(t, tracker)
	change.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit != after {
		t.Errorf("the limit is %v, want %v", c.limit, after)
	}
}
