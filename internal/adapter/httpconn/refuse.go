package httpconn

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
)

const (
	// tooLargeResponse is written to a client whose head exceeds a limit. The server is told
	// of a failed read, so it writes nothing itself.
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// noMemoryResponse is written to a client whose head has been read and found no memory. The
	// server has not got the request, so it has not run.
	noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalWriteTime limits the write of such a response. It fits into an empty send buffer.
	refusalWriteTime = 10 * time.Millisecond
	// maxCloseLines limits the log lines on closed connections per cause and
	// closeLinePeriod, as clients can cause as many as they like.
	maxCloseLines   = 20
	closeLinePeriod = 10 * time.Second
)

// errRefused ends the read of a head. The server closes the connection after a net.OpError
// of a read, without a response of its own.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head is refused")}

// acceptHead checks and charges what was read of a head. It reports false if the connection
// has to end.
func (c *conn) acceptHead(read []byte) bool {
	c.mu.Lock()
	if c.released {
		c.mu.Unlock()
		return c.acceptHTTP2()
	}
	if c.tracker.Encrypted {
		c.mu.Unlock()
		return c.acceptRecords(read)
	}
	if c.phase == phaseServed {
		// Bytes of the next head that are read with a body are not told from it, and not
		// charged: they are at most one read buffer of the server.
		c.mu.Unlock()
		return true
	}
	// The server does not read during this phase once it has the whole head.
	reopened := c.head.reopen()
	cost, fault := c.head.add(read)
	cost += reopened
	whole := c.head.ended && c.head.request && fault == headLegal
	c.tracker.Budget.setWhole(c.account, whole)
	if whole && c.refused && c.cause == closedByBudget {
		// Its head became complete at the moment it was ended for another one.
		c.refused, c.cause = false, closedByServer
		c.resume()
		if c.limit > 0 {
			c.timer.Reset(time.Until(c.phaseStarted.Add(c.limit)))
		}
	}
	if c.refused {
		c.mu.Unlock()
		return false
	}
	if fault != headLegal {
		c.refuseHead(fault)
		c.mu.Unlock()
		return false
	}
	c.awaitsMemory = whole
	c.mu.Unlock()
	charged := c.tracker.Budget.charge(c.account, cost)
	c.mu.Lock()
	defer c.mu.Unlock()
	if charged && !(c.awaitsMemory && c.closed) {
		// A closed connection has been told that its request is refused.
		c.awaitsMemory = false
		return true
	}
	// Without room the connection ends even if a time limit or a stop came first.
	c.refused = true
	return false
}

// refuseHead answers a head that exceeds a limit. The caller must hold mu.
func (c *conn) refuseHead(fault headFault) {
	cause := closedByHeadBytes
	if fault == headTooManyLines {
		cause = closedByHeadLines
	}
	c.refuse(cause, tooLargeResponse)
}

// refuse answers a request that the server does not get. The caller must hold mu.
func (c *conn) refuse(cause closeCause, response string) {
	c.refused, c.cause = true, cause
	// A client that does not read gets no response.
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if n, _ := c.TCPConn.Write([]byte(response)); n > 0 {
		c.answered = true
	}
}

// evict ends the connection for the Budget, unless its head has become complete.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.released && c.phase == phaseServed || c.tracker.Budget.keeps(c.account) {
		return
	}
	c.refused, c.ending, c.cause = true, true, closedByBudget
	// It fails only on a closed connection.
	_ = c.TCPConn.SetReadDeadline(time.Now())
}

// admit makes room for a new connection. It closes the connection if there is none.
func (t *Tracker) admit(c *conn) bool {
	c.account = newAccount(c.RemoteAddr(), func() bool { return sockopt.UnreadBytes(c.TCPConn) > 0 }, c.evict)
	opened, evicted := t.Budget.open(c.account)
	for range evicted {
		t.Count("connections_ended_for_new_ones")
	}
	if opened {
		return true
	}
	t.Count("connections_refused_by_budget")
	if suppressed, ok := t.closeLines.take(closedByBudget); ok {
		t.Logger.Info("connection refused because the process has too many", zap.String("client", c.RemoteAddr().String()),
			zap.Int("evicted", evicted), zap.Int("suppressed", suppressed))
	}
	// The client has sent nothing that was read, so a reset is a sufficient answer.
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
	return false
}

// lineLimiter limits the log lines of each cause.
type lineLimiter struct {
	mu      sync.Mutex
	periods map[closeCause]*linePeriod
}

type linePeriod struct {
	started           time.Time
	lines, suppressed int
}

// take reports whether a line may be written, and how many were not written since the last
// one.
func (l *lineLimiter) take(cause closeCause) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.periods == nil {
		l.periods = make(map[closeCause]*linePeriod)
	}
	p := l.periods[cause]
	if p == nil {
		p = &linePeriod{}
		l.periods[cause] = p
	}
	if now := time.Now(); now.Sub(p.started) >= closeLinePeriod {
		p.started, p.lines = now, 0
	}
	if p.lines >= maxCloseLines {
		p.suppressed++
		return 0, false
	}
	p.lines++
	suppressed, p.suppressed = p.suppressed, 0
	return suppressed, true
}
