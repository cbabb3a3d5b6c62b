package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
)

// callerLimits are the time limits of connections to callers.
type callerLimits struct {
	// header limits the time to read the headers of a request.
	header time.Duration
	// idle limits the time between a response and the first byte of the next request.
	idle time.Duration
	// document is the version of the document that sets the limits; 0 if there is none.
	document uint64
}

// lingerTime is how long a connection is read after it was closed while idle. A request
// that crossed the close arrives within one round trip.
const lingerTime = 200 * time.Millisecond

// connPhase is what a connection to a caller waits for.
type connPhase uint8

const (
	// phaseIdle means that no byte of the next request has been read.
	phaseIdle connPhase = iota
	// phaseHeader means that a part of the headers has been read.
	phaseHeader
	// phaseServed means that a request is being served.
	phaseServed
)

func (p connPhase) String() string { return [...]string{"idle", "headers", "served"}[p] }

// closeCause is why a connection to a caller was closed.
type closeCause uint8

const (
	// closedByCaller means that the caller has closed or reset the connection.
	closedByCaller closeCause = iota
	// closedByServer means that the server ended the connection: after a response that
	// announced it, or after a handler that did not complete its response.
	closedByServer
	// closedByLimit means that the time limit of a phase has passed.
	closedByLimit
	// closedByStop means that the front stops.
	closedByStop
)

func (c closeCause) String() string { return [...]string{"caller", "server", "limit", "stop"}[c] }

// callerConn is a connection to a caller that keeps to the time limits of the document in
// force. The limits of http.Server cannot be changed while it runs.
type callerConn struct {
	*net.TCPConn
	owner *callerConns

	mu    sync.Mutex
	phase connPhase
	timer *time.Timer
	// openedAt is when the connection was accepted, phaseStarted when its phase began.
	openedAt     time.Time
	phaseStarted time.Time
	// limit is that of the present phase, set by the version document of the document.
	limit    time.Duration
	document uint64
	// requests counts the requests whose first byte has been read.
	requests int
	// answered is set once a byte of the response to the present request is written.
	answered bool
	cause    closeCause
	closed   bool
}

// expire closes the connection if it still waits for a request.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServed {
		c.close(closedByLimit)
	}
}

// enter begins a phase that lasts for limit at most; 0 is no limit. The caller must hold mu.
func (c *callerConn) enter(phase connPhase, limit time.Duration, document uint64) {
	c.phase, c.phaseStarted, c.limit, c.document = phase, time.Now(), limit, document
	c.timer.Stop()
	if limit > 0 {
		c.timer.Reset(limit)
	}
}

// Read implements net.Conn. The first byte of a request starts the time for its headers.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if n > 0 {
			c.owner.recordCrossing(c, n)
		}
		return 0, net.ErrClosed
	}
	if err != nil && !isTimeout(err) {
		c.cause = closedByCaller
	}
	if n > 0 && c.phase == phaseIdle {
		limits := c.owner.limits()
		c.requests++
		c.answered = false
		c.enter(phaseHeader, limits.header, limits.document)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answered = true
	}
	return n, err
}

// Close implements net.Conn. The server closes a connection in this way.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close(c.cause)
}

// close closes the connection and records why. The caller must hold mu.
func (c *callerConn) close(cause closeCause) error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed, c.cause = true, cause
	c.timer.Stop()
	c.owner.recordClose(c, sockopt.UnreadBytes(c.TCPConn))
	if c.cause == closedByCaller || c.phase != phaseIdle {
		return c.TCPConn.Close()
	}
	return c.closeSlowly()
}

// closeSlowly tells the caller that no response follows, and closes the connection after
// lingerTime. A request that the caller has sent before it knows is seen by Read until then.
func (c *callerConn) closeSlowly() error {
	time.AfterFunc(lingerTime, func() { _ = c.TCPConn.Close() })
	return errors.CombineErrors(c.TCPConn.CloseWrite(), c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)))
}

// setState follows the state that the server reports.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.cause = closedByServer
		c.enter(phaseServed, 0, 0)
	case http.StateIdle:
		limits := c.owner.limits()
		c.enter(phaseIdle, limits.idle, limits.document)
	case http.StateClosed, http.StateHijacked:
		c.timer.Stop()
	}
}
