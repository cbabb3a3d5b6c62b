package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
)

// callerConns are the connections of a front to its callers.
type callerConns struct {
	// limits returns the time limits of the document in force.
	limits   func() callerLimits
	logger   *zap.Logger
	counters *metrics.Set
	// stopping reports whether the front has begun to stop.
	stopping func() bool
}

// accept returns a new connection on which no request has arrived. Its first request has
// the time of its headers to begin.
func (s *callerConns) accept(conn *net.TCPConn) *callerConn {
	now := time.Now()
	c := &callerConn{TCPConn: conn, owner: s, openedAt: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := s.limits()
	c.timer = time.AfterFunc(limits.header, c.expire)
	c.enter(phaseIdle, limits.header, limits.document)
	return c
}

// trackState is the ConnState function of the server for callers.
func (s *callerConns) trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.setState(state)
	}
}

// recordClose counts the end of a connection, and logs it if a request gets no answer: one
// of which a part was read, or whose bytes had arrived and were not read. The caller must
// hold the lock of c.
func (s *callerConns) recordClose(c *callerConn, unread int) {
	if c.cause != closedByCaller && s.stopping() && c.phase == phaseIdle {
		c.cause = closedByStop
	}
	s.counters.Add("caller_connections_closed_by_"+c.cause.String(), 1)
	pending := c.phase == phaseHeader || c.phase == phaseServed && !c.answered || c.phase == phaseIdle && unread > 0
	if !pending {
		return
	}
	s.counters.Add("caller_requests_unanswered_by_"+c.cause.String(), 1)
	s.logger.Info("connection closed before a request on it was answered",
		zap.String("caller", c.RemoteAddr().String()), zap.Stringer("cause", c.cause), zap.Stringer("phase", c.phase),
		zap.Duration("phase_age", time.Since(c.phaseStarted)), zap.Duration("phase_limit", c.limit), zap.Uint64("document", c.document),
		zap.Duration("connection_age", time.Since(c.openedAt)), zap.Int("requests", c.requests), zap.Int("unread_bytes", unread),
		zap.Bool("stopping", s.stopping()))
}

// recordCrossing logs a request that has arrived on a connection after its close. The
// caller must hold the lock of c.
func (s *callerConns) recordCrossing(c *callerConn, bytes int) {
	s.counters.Add("caller_requests_crossed_close_by_"+c.cause.String(), 1)
	s.logger.Info("request arrived on a connection that was being closed",
		zap.String("caller", c.RemoteAddr().String()), zap.Stringer("cause", c.cause), zap.Duration("phase_limit", c.limit),
		zap.Duration("phase_age", time.Since(c.phaseStarted)), zap.Uint64("document", c.document),
		zap.Duration("connection_age", time.Since(c.openedAt)), zap.Int("requests", c.requests), zap.Int("bytes", bytes),
		zap.Bool("stopping", s.stopping()))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
