package httpconn

import (
	"context"
	"testing"
	"time"
)

// Guards against a front that closes its listener, and so resets the connections that wait
// there, because it was held up and has accepted none for a while.
func TestListenerStaysOpenUntilConnectionsHaveCeased(t *testing.T) {
	tracker := &Tracker{}
	accepted := make(chan time.Time, 1)
	time.AfterFunc(quietAcceptTime/2, func() {
		accepted <- time.Now()
		tracker.accepted.Add(1)
	})
	tracker.AwaitQuiet(context.Background(), time.Now())
	if quiet := time.Since(<-accepted); quiet < quietAcceptTime {
		t.Errorf("the listener closes %v after the last connection, want %v at least", quiet, quietAcceptTime)
	}
}

// Guards against a listener that closes while callers are still sent to it, or stays open
// after the time for it.
func TestListenerStaysOpenForTheDrainDelay(t *testing.T) {
	started := time.Now()
	(&Tracker{}).AwaitQuiet(context.Background(), started.Add(2*quietAcceptTime))
	if open := time.Since(started); open < 2*quietAcceptTime {
		t.Errorf("the listener closes after %v, want %v at least", open, 2*quietAcceptTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	started = time.Now()
	(&Tracker{}).AwaitQuiet(ctx, started.Add(time.Hour))
	if open := time.Since(started); open > time.Second {
		t.Errorf("the listener stays open for %v after the time for it", open)
	}
}
