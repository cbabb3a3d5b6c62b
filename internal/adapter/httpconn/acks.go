package httpconn

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// ackCheckInterval is the time between two checks for missing acknowledgements.
	ackCheckInterval = 500 * time.Millisecond
	// minProbes is the number of window probes in a row that must remain unanswered before a
	// client counts as unresponsive. The kernel repeats probes at intervals that double, so
	// a single lost one may stay the only one for minutes; clients also answer at most one
	// probe per 500 ms.
	minProbes = 2
	// flushTimeout is TCP_USER_TIMEOUT after the close of a connection, while the kernel
	// sends the rest of the response.
	flushTimeout = 10 * time.Second
)

// ackWatch measures how long a client has left something unanswered: data, or a probe of
// its closed receive window. A client with a closed window acknowledges both.
type ackWatch struct {
	// since is when the oldest unanswered data or probe was sent; zero if there is none.
	since time.Time
}

// missingFor returns how long an acknowledgement has been missing, given the state of the
// connection at a time; 0 if none is missing.
func (w *ackWatch) missingFor(state sockopt.SendState, now time.Time) time.Duration {
	dataUnanswered := state.SegmentsInFlight > 0 && state.SinceAck > state.SinceSend
	probeUnanswered := state.SegmentsInFlight == 0 && state.Probes > 0
	switch {
	case !dataUnanswered && !probeUnanswered:
		w.since = time.Time{}
		return 0
	case !w.since.IsZero() && !now.Add(-state.SinceAck).After(w.since):
		// Nothing was acknowledged since the last check.
	case dataUnanswered:
		w.since = now.Add(-state.SinceSend)
	default:
		w.since = now
	}
	if probeUnanswered && state.Probes < minProbes {
		return 0
	}
	return now.Sub(w.since)
}

// WatchAcks closes the connections to clients that acknowledge nothing for AckTimeout,
// until ctx is done.
func (t *Tracker) WatchAcks(ctx context.Context) {
	for pause.For(ctx, ackCheckInterval) {
		for _, c := range t.connections() {
			c.checkAcks()
		}
	}
}

// beginAckWatch replaces TCP_USER_TIMEOUT, which also ends connections to clients that read
// nothing for a while and acknowledge that their receive window is closed. It leaves the
// option as it is where TCP_INFO is not supported.
func (c *conn) beginAckWatch() {
	if c.tracker.AckTimeout <= 0 {
		return
	}
	if _, err := sockopt.ReadSendState(c.TCPConn); err == nil {
		c.acksWatched = sockopt.SetAckTimeout(c.TCPConn, 0) == nil
	}
}

// endAckWatch limits how long the kernel sends the rest of a response after the close.
func (c *conn) endAckWatch() {
	if c.acksWatched {
		// It fails only on a connection that has ended.
		_ = sockopt.SetAckTimeout(c.TCPConn, flushTimeout)
	}
}

// checkAcks resets the connection if its client has acknowledged nothing for AckTimeout. The
// server then closes it.
func (c *conn) checkAcks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acksWatched || c.closed || c.cause == closedByAckTimeout || !c.writing && !c.flushing {
		return
	}
	state, err := sockopt.ReadSendState(c.TCPConn)
	if err != nil {
		// The connection has ended.
		return
	}
	c.flushing = !state.Flushed()
	missing := c.acks.missingFor(state, time.Now())
	if missing < c.tracker.AckTimeout {
		return
	}
	c.cause = closedByAckTimeout
	c.tracker.Logger.Info("connection reset because its client acknowledges nothing", append(c.tracker.connFields(c),
		zap.Duration("missing_for", missing), zap.Uint32("segments_in_flight", state.SegmentsInFlight),
		zap.Uint32("unsent_bytes", state.UnsentBytes), zap.Uint8("probes", state.Probes))...)
	// Without linger the kernel discards the data that is not sent.
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}
