package httpconn

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Limits are the limits of connections; 0 is no limit.
type Limits struct {
	// Header limits the time to read the headers of a request.
	Header time.Duration
	// First limits the time from the start of a connection to the first byte of its first
	// request. If it is 0, Header limits it.
	First time.Duration
	// Idle limits the time between a response and the first byte of the next request.
	Idle time.Duration
	// HeadBytes limits the bytes of the head of a request, and with them its lines.
	HeadBytes int
	// Document is the version of the document that sets the limits; 0 if there is none.
	Document uint64
}

// first returns the limit of the time to the first byte of a connection.
func (l *Limits) first() time.Duration {
	if l.First > 0 {
		return l.First
	}
	return l.Header
}

// Tracker keeps the HTTP/1 connections of one server. Limits, Logger and Count must be set.
type Tracker struct {
	// Limits returns the limits in force.
	Limits func() Limits
	Logger *zap.Logger
	// Count adds 1 to a counter.
	Count func(name string)
	// AckTimeout is how long a client may leave sent data unanswered before WatchAcks closes
	// its connection; 0 leaves that to the kernel.
	AckTimeout time.Duration
	// Budget limits what the connections of all servers of the process hold; nil if nothing
	// does.
	Budget *Budget
	// Encrypted is set if the connections use TLS. Their heads are charged by their bytes, and
	// the handler must charge what it gets of them.
	Encrypted bool
	// HTTP2 is set if the server accepts HTTP/2 without TLS. Such connections are left to it.
	HTTP2 bool

	closeLines lineLimiter
	accepted   atomic.Int64
	draining   atomic.Bool
	mu         sync.Mutex
	open       map[*conn]struct{}
	// acceptEnded is closed once the listener has been closed and its last connection is
	// tracked; nil without a listener.
	acceptEnded chan struct{}
}

// Listen returns a listener whose connections the Tracker keeps. It is called once, before
// Drain.
func (t *Tracker) Listen(listener net.Listener) net.Listener {
	t.acceptEnded = make(chan struct{})
	return &trackedListener{Listener: listener, tracker: t}
}

type trackedListener struct {
	net.Listener
	tracker *Tracker
	ended   sync.Once
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.ended.Do(func() { close(l.tracker.acceptEnded) })
		}
		if err != nil {
			return nil, err
		}
		l.tracker.accepted.Add(1)
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.tracker.add(tcp); c != nil {
			return c, nil
		}
	}
}

// add keeps a connection. It returns nil if the Budget has no room for it.
func (t *Tracker) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, tracker: t, openedAt: time.Now(), cause: closedByServer}
	if !t.admit(c) {
		return nil
	}
	c.beginAckWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	// LimitsChanged must find the connection before its limits are read: it waits for mu.
	t.insert(c)
	limits := t.Limits()
	c.timer = time.AfterFunc(limits.first(), c.expire)
	c.enter(phaseIdle, limits.first(), limits.Document)
	return c
}

func (t *Tracker) insert(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*conn]struct{})
	}
	t.open[c] = struct{}{}
}

func (t *Tracker) remove(c *conn) {
	t.Budget.remove(c.account)
	t.forget(c)
}

// forget leaves a connection to the server. It stays in the Budget.
func (t *Tracker) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// connections returns the open connections.
func (t *Tracker) connections() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.open))
	for c := range t.open {
		list = append(list, c)
	}
	return list
}

// ConnState is the ConnState function of the server. It leaves connections with HTTP/2 to
// the server.
func (t *Tracker) ConnState(nc net.Conn, state http.ConnState) {
	if encrypted, ok := nc.(*tls.Conn); ok {
		nc = encrypted.NetConn()
		if c, ok := nc.(*conn); ok && state == http.StateActive && encrypted.ConnectionState().NegotiatedProtocol == "h2" && c.releaseEncrypted() {
			// The server has read the preface of HTTP/2 and no stream yet.
			if !c.acceptHTTP2() {
				_ = c.Close()
			}
			return
		}
	}
	if c, ok := nc.(*conn); ok {
		c.setState(state)
	}
}

// LimitsChanged applies limits that have been raised to the connections that are open.
func (t *Tracker) LimitsChanged() {
	limits := t.Limits()
	for _, c := range t.connections() {
		c.raiseLimit(limits)
	}
}

// recordClose counts the end of a connection, and logs it if a request gets no answer: one
// of which a part was read, or whose bytes had arrived and were not read. The caller must
// hold the lock of c.
func (t *Tracker) recordClose(c *conn, unread int) {
	t.Count("connections_closed_by_" + c.cause.String())
	if c.cause == closedByHeadBytes || c.cause == closedByHeadLines {
		if suppressed, ok := t.closeLines.take(c.cause); ok {
			t.Logger.Info("request refused because of the size of its head", append(t.connFields(c), zap.Int("limit", c.head.limit),
				zap.Int("head_bytes", c.head.bytes), zap.Int("head_lines", c.head.lines), zap.Int("suppressed", suppressed))...)
		}
		return
	}
	if c.cause == closedByNoMemory {
		if suppressed, ok := t.closeLines.take(c.cause); ok {
			t.Logger.Info("request refused because no memory was free for its head", append(t.connFields(c), zap.Int("head_bytes", c.head.bytes), zap.Int("suppressed", suppressed))...)
		}
		return
	}
	// The server answers some heads of which it has read only a part.
	if pending := c.phase != phaseIdle && !c.answered || c.phase == phaseIdle && unread > 0; !pending {
		return
	}
	t.Count("requests_unanswered_by_" + c.cause.String())
	if suppressed, ok := t.closeLines.take(c.cause); ok {
		t.Logger.Info("connection closed before a request on it was answered", append(t.connFields(c), zap.Int("unread_bytes", unread), zap.Int("suppressed", suppressed))...)
	}
}

// recordCrossing logs a request that has arrived on a connection after its close. The
// caller must hold the lock of c.
func (t *Tracker) recordCrossing(c *conn, bytes int) {
	t.Count("requests_crossed_close_by_" + c.cause.String())
	t.Logger.Info("request arrived on a connection that was being closed", append(t.connFields(c), zap.Int("unread_bytes", bytes))...)
}

// connFields returns the log fields that explain why a connection was closed. The caller
// must hold the lock of c.
func (t *Tracker) connFields(c *conn) []zap.Field {
	return []zap.Field{
		zap.String("client", c.RemoteAddr().String()), zap.Stringer("cause", c.cause), zap.Stringer("phase", c.phase),
		zap.Duration("phase_age", time.Since(c.phaseStarted)), zap.Duration("phase_limit", c.limit), zap.Uint64("document", c.document),
		zap.Duration("connection_age", time.Since(c.openedAt)), zap.Int("requests", c.requests), zap.Bool("draining", t.draining.Load()),
	}
}
