package httpconn

import (
	"context"
	"net"
	"time"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// quietAcceptTime is the time without a new connection after which a draining server
	// closes its listener. Closing it resets the connections that wait to be accepted, with
	// the requests that they have already carried.
	quietAcceptTime = 400 * time.Millisecond
	// drainPollInterval is the time between two checks of a server that drains.
	drainPollInterval = 20 * time.Millisecond
	// quietPolls is the number of checks in a row that must find no new connection. They
	// are counted, and not the time, because a process that is held up accepts none.
	quietPolls = int(quietAcceptTime / drainPollInterval)
)

// Drain ends a server that has been told to stop. Until notBefore, and as long as clients
// open connections or requests are served, but at most until notAfter, the listener stays
// open and every request is served. It then finishes the server. It returns early, with the
// error of ctx, when ctx is done. Between notAfter and the deadline of ctx there must be
// time to end the idle connections: those that are open at the deadline are cut by their
// server, also under a request that has arrived.
//
// http.Server.Shutdown is no substitute: it closes idle connections with requests on their
// way to them, and drops requests that have been read while it runs.
func (t *Tracker) Drain(ctx context.Context, listener net.Listener, notBefore, notAfter time.Time) error {
	t.draining.Store(true)
	quietCtx, cancel := context.WithDeadline(ctx, notAfter)
	t.AwaitQuiet(quietCtx, notBefore)
	cancel()
	return t.Finish(ctx, listener)
}

// Finish closes the listener and each connection that waits for its next request, and
// returns when all connections are closed. It returns early, with the error of ctx, when
// ctx is done.
func (t *Tracker) Finish(ctx context.Context, listener net.Listener) error {
	t.draining.Store(true)
	// An error means that it is closed already.
	_ = listener.Close()
	for ctx.Err() == nil {
		// No connection is added once the accepts have ended, so they are looked at first.
		ended := t.acceptsEnded()
		open := t.connections()
		if ended && len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.stop()
		}
		pause.For(ctx, drainPollInterval)
	}
	return ctx.Err()
}

// AwaitQuiet blocks until no connection has arrived for quietAcceptTime and no request is
// in progress, and at least until notBefore. It returns at once when ctx is done.
func (t *Tracker) AwaitQuiet(ctx context.Context, notBefore time.Time) {
	t.draining.Store(true)
	known, quiet := t.accepted.Load(), 0
	for (quiet < quietPolls || time.Now().Before(notBefore) || t.busy()) && pause.For(ctx, drainPollInterval) {
		quiet++
		if accepted := t.accepted.Load(); accepted != known {
			known, quiet = accepted, 0
		}
	}
}

// acceptsEnded reports whether the connections that were accepted before the close of the
// listener are tracked.
func (t *Tracker) acceptsEnded() bool {
	if t.acceptEnded == nil {
		return true
	}
	select {
	case <-t.acceptEnded:
		return true
	default:
		return false
	}
}

// busy reports whether a request is being read or served on any connection.
func (t *Tracker) busy() bool {
	for _, c := range t.connections() {
		if c.busy() {
			return true
		}
	}
	return false
}
