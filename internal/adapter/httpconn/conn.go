// Package httpconn keeps the connections of an HTTP server whose time limits change while
// it runs, and ends the server without losing a request that has arrived.
package httpconn

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
)

// lingerTime is how long the socket of a connection is kept after its close, so that its
// client can read the response, and a request that crossed the close is counted. It exceeds a
// round trip. A new connection that needs the place ends it earlier.
const lingerTime = 200 * time.Millisecond

const (
	// maxDiscardBytes limits what is read of requests that get no response. It exceeds the
	// largest headers.
	maxDiscardBytes = 1 << 20
	// discardBufferBytes is how much of that is read at once.
	discardBufferBytes = 4 << 10
)

// firstRequestTime is how long a new connection is kept for its first request although the
// server ends: the request usually follows within a round trip.
const firstRequestTime = 100 * time.Millisecond

// phase is what a connection waits for.
type phase uint8

const (
	// phaseIdle means that no byte of the next request has been read.
	phaseIdle phase = iota
	// phaseHeader means that a part of the headers has been read.
	phaseHeader
	// phaseServed means that a request is being served.
	phaseServed
)

func (p phase) String() string { return [...]string{"idle", "headers", "served"}[p] }

// closeCause is why a connection was closed.
type closeCause uint8

const (
	// closedByClient means that the client has closed or reset the connection.
	closedByClient closeCause = iota
	// closedByServer means that the server ended the connection: after a response that
	// announced it, or after a handler that did not complete its response.
	closedByServer
	// closedByLimit means that the time limit of a phase, or that to write a response, has
	// passed.
	closedByLimit
	// closedByStop means that the process stops.
	closedByStop
	// closedByAckTimeout means that the client has acknowledged nothing for AckTimeout.
	closedByAckTimeout
	// closedByHeadBytes and closedByHeadLines mean that a head exceeded a limit.
	closedByHeadBytes
	closedByHeadLines
	// closedByBudget means that the Budget had no room for a connection without a whole head.
	closedByBudget
	// closedByNoMemory means that a whole head found no memory until its time limit or a stop
	// of the process. The request is refused.
	closedByNoMemory
)

func (c closeCause) String() string {
	return [...]string{"client", "server", "limit", "stop", "ack_timeout", "head_bytes", "head_lines", "budget", "no_memory"}[c]
}

// conn is a connection that keeps to the limits of its Tracker. The limits of http.Server
// cannot be changed while it runs.
type conn struct {
	*net.TCPConn
	tracker *Tracker

	mu    sync.Mutex
	phase phase
	timer *time.Timer
	// openedAt is when the connection was accepted, phaseStarted when its phase began.
	openedAt     time.Time
	phaseStarted time.Time
	// limit is that of the present phase, set by the given version of the document.
	limit    time.Duration
	document uint64
	// requests counts the requests whose first byte has been read.
	requests int
	// answered is set once a byte of the response to the present request is written, not
	// counting interim responses.
	answered bool
	// ending is set once the connection is to be closed while it waits for a request; cause
	// is then the reason. The next read closes it, unless a request has arrived.
	ending bool
	cause  closeCause
	closed bool
	// hijacked is set once a handler has taken over the connection.
	hijacked bool
	// lingerTimer ends a connection that lingers after its close, socketClosed is set then.
	lingerTimer  *time.Timer
	socketClosed bool
	// acksWatched is set if checkAcks replaces TCP_USER_TIMEOUT.
	acksWatched bool
	acks        ackWatch
	// writing is set during a write, flushing until all that was written is acknowledged.
	writing  bool
	flushing bool
	// released is set once the Tracker has left the connection to the server.
	released bool
	// account is what the connection holds of the Budget.
	account *account
	// head counts the head that is being read.
	head headCheck
	// refused is set once a head is refused or the Budget ends the connection.
	refused bool
	// awaitsMemory is set while a whole head has been read and the server has not got it.
	awaitsMemory bool
	// records counts the application data of an encrypted connection.
	records recordCheck
	// http2Charged is set once a connection with HTTP/2 has been charged, http2Started once
	// the server has begun to serve it.
	http2Charged bool
	http2Started bool
	// readFailed is set if the last read of a head failed. The server reports a request also
	// then, if it has read a part of it.
	readFailed bool
}

// http2Preface is the beginning of what an HTTP/2 client sends first without TLS.
const http2Preface = "PRI * "

// release leaves the connection to the server. http.Server keeps time limits of its own for
// HTTP/2 and ends the connections with GOAWAY. The caller must hold mu.
func (c *conn) release() {
	c.released = true
	c.timer.Stop()
	c.tracker.forget(c)
}

// expire ends the connection if it still waits for a request.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServed || c.limit <= 0 {
		return
	}
	if left := time.Until(c.phaseStarted.Add(c.limit)); left > 0 {
		c.timer.Reset(left)
		return
	}
	c.endWait(closedByLimit)
}

// endWait wakes the read that waits for a request, so that it closes the connection. The
// goroutine that reads decides, as only it knows whether a request has arrived. The caller
// must hold mu.
func (c *conn) endWait(cause closeCause) {
	if c.closed || c.released || c.phase == phaseServed {
		return
	}
	c.ending, c.cause = true, cause
	c.tracker.Budget.stopWaiting(c.account)
	// It fails only on a closed connection.
	_ = c.TCPConn.SetReadDeadline(time.Now())
}

// enter begins a phase that lasts for limit at most; 0 is no limit. The caller must hold mu.
func (c *conn) enter(next phase, limit time.Duration, document uint64) {
	c.phase, c.phaseStarted, c.limit, c.document = next, time.Now(), limit, document
	c.timer.Stop()
	if limit > 0 {
		c.timer.Reset(limit)
	}
}

// resume takes back endWait, because a request has arrived. The caller must hold mu.
func (c *conn) resume() {
	if c.ending {
		c.ending = false
		c.tracker.Budget.resume(c.account)
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. The server clears the deadline before it reads a
// request, which must not take back endWait.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Read implements net.Conn. The first byte of a request starts the time for its headers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	for n == 0 && c.bytesArrived(err) {
		n, err = c.TCPConn.Read(b)
	}
	c.followRead(b[:n], err)
	if n > 0 && !c.acceptHead(b[:n]) {
		n, err = 0, errRefused
	}
	c.noteReadResult(err != nil)
	return n, err
}

func (c *conn) noteReadResult(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailed = failed && c.phase != phaseServed
}

// followRead enters the phase that begins with what was read.
func (c *conn) followRead(b []byte, err error) {
	n := len(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.released || c.refused:
	case n > 0 && c.phase == phaseIdle && c.requests == 0 && c.tracker.HTTP2 && strings.HasPrefix(string(b[:min(n, len(http2Preface))]), http2Preface):
		c.resume()
		c.release()
	case n > 0 && c.phase == phaseIdle:
		c.resume()
		c.requests++
		c.answered = false
		limits := c.tracker.Limits()
		c.enter(phaseHeader, limits.Header, limits.Document)
		c.head = headCheck{limit: limits.HeadBytes}
		c.tracker.Budget.begin(c.account)
	case n > 0 && c.ending:
		c.endWait(c.cause)
	case err != nil && !c.ending && c.cause != closedByAckTimeout && !errors.Is(err, os.ErrDeadlineExceeded):
		c.cause = closedByClient
	}
}

// bytesArrived reports whether a read that ended with err because the connection is to be
// closed finds bytes of a request nevertheless, and lets the next read return them. A read
// past its deadline returns no bytes, even if there are any. The first bytes of a request
// take back the end; of headers, no more is read than has arrived.
func (c *conn) bytesArrived(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.refused || !errors.Is(err, os.ErrDeadlineExceeded) || sockopt.UnreadBytes(c.TCPConn) == 0 {
		return false
	}
	if c.phase == phaseIdle {
		c.resume()
		return true
	}
	// It fails only on a closed connection.
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	return true
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting()
	n, err := c.TCPConn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if n > 0 {
		c.flushing = true
		// The server writes an interim response with a call of its own.
		c.answered = c.answered || !bytes.HasPrefix(b, []byte("HTTP/1.1 100 "))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.cause = closedByLimit
	}
	return n, err
}

func (c *conn) setWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

// Close implements net.Conn. The server closes a connection in this way. If the client may
// send, or has sent, what is not read, only the sending side is closed at first: the kernel
// would reset the connection, and drop what is left of the last response.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.released {
		if c.refused {
			c.tracker.Count("connections_closed_by_" + c.cause.String())
		}
		c.tracker.Budget.remove(c.account)
		return c.TCPConn.Close()
	}
	if c.awaitsMemory {
		c.refuse(closedByNoMemory, noMemoryResponse)
	}
	c.timer.Stop()
	c.tracker.Budget.release(c.account)
	unread := sockopt.UnreadBytes(c.TCPConn)
	c.tracker.recordClose(c, unread)
	c.endAckWatch()
	if c.hijacked || c.cause == closedByBudget || unread == 0 && !c.endedIdle() && c.cause != closedByNoMemory {
		c.tracker.remove(c)
		return c.TCPConn.Close()
	}
	c.lingerTimer = time.AfterFunc(lingerTime, c.finishClose)
	c.tracker.Budget.linger(c.account, c.finishClose)
	return c.TCPConn.CloseWrite()
}

// endedIdle reports whether the connection ends because it waited for a request.
func (c *conn) endedIdle() bool { return c.ending && c.phase == phaseIdle }

// finishClose closes the socket of a connection whose client has been told that no
// response follows.
func (c *conn) finishClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.socketClosed {
		return
	}
	c.socketClosed = true
	c.lingerTimer.Stop()
	if !c.endedIdle() {
		c.discardUnread()
	} else if unread := sockopt.UnreadBytes(c.TCPConn); unread > 0 {
		// It is left unread: the reset tells the client that the request was not taken.
		c.tracker.recordCrossing(c, unread)
	}
	c.tracker.remove(c)
	// The connection has ended; there is nobody to tell.
	_ = c.TCPConn.Close()
}

// discardUnread reads what has arrived, up to maxDiscardBytes.
func (c *conn) discardUnread() {
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	buffer := make([]byte, discardBufferBytes)
	for discarded := 0; discarded < maxDiscardBytes && sockopt.UnreadBytes(c.TCPConn) > 0; {
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

// setState follows the state that the server reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		c.setHTTP2State(state)
		return
	}
	switch state {
	case http.StateActive:
		if c.readFailed {
			return
		}
		c.resume()
		c.cause, c.refused = closedByServer, false
		c.tracker.Budget.admit(c.account)
		if c.tracker.Encrypted {
			// The handler charges the head, whose size it knows.
			c.tracker.Budget.settle(c.account)
		}
		c.enter(phaseServed, 0, 0)
	case http.StateIdle:
		limits := c.tracker.Limits()
		c.tracker.Budget.idle(c.account)
		c.enter(phaseIdle, limits.Idle, limits.Document)
	case http.StateHijacked:
		c.hijacked = true
		c.timer.Stop()
	case http.StateClosed:
		c.timer.Stop()
	}
}

// setHTTP2State follows the state of a connection with HTTP/2: it is idle while it has no
// stream. The server first reports it as active and idle once.
func (c *conn) setHTTP2State(state http.ConnState) {
	switch {
	case state == http.StateIdle && !c.http2Started:
		c.http2Started = true
	case state == http.StateIdle:
		c.tracker.Budget.await(c.account)
	case state == http.StateActive && c.http2Started:
		c.tracker.Budget.admit(c.account)
	}
}

// raiseLimit extends the wait for a request if the limits allow more time than those under
// which the phase began. A lower limit applies from the next phase on: the client may rely
// on the one that was in force.
func (c *conn) raiseLimit(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := limits.Header
	switch {
	case c.phase == phaseIdle && c.requests > 0:
		limit = limits.Idle
	case c.phase == phaseIdle:
		limit = limits.first()
	}
	if c.phase == phaseServed || c.closed || c.ending || c.limit <= 0 || limit > 0 && limit <= c.limit {
		return
	}
	c.limit, c.document = limit, limits.Document
	c.timer.Stop()
	if limit > 0 {
		c.timer.Reset(time.Until(c.phaseStarted.Add(limit)))
	}
}

// stop ends the connection if it waits for its next request.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == 0 && time.Since(c.openedAt) < firstRequestTime {
		return
	}
	if c.phase == phaseIdle {
		c.endWait(closedByStop)
	}
}

// busy reports whether a request is being read or served.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.phase != phaseIdle
}
