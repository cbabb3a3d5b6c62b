package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// BlackholeListener simulates a middlebox in front of a listener that loses the
// state of open connections: they stay open but carry no more data, while new
// connections work.
type BlackholeListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*blackholeConn]struct{}
}

// NewBlackholeListener wraps listener.
func NewBlackholeListener(listener net.Listener) *BlackholeListener {
	return &BlackholeListener{Listener: listener, conns: make(map[*blackholeConn]struct{})}
}

// Accept implements net.Listener.
func (l *BlackholeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Blackhole discards all further data on the open connections and returns their
// number.
func (l *BlackholeListener) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.blackholed.Store(true)
	}
	return len(l.conns)
}

// CloseConnections closes all open connections, including blackholed ones.
func (l *BlackholeListener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}

func (l *BlackholeListener) remove(c *blackholeConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type blackholeConn struct {
	net.Conn
	listener   *BlackholeListener
	blackholed atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// Read implements net.Conn.
func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It leaves the underlying connection open if it is
// blackholed, so that the other end does not notice.
func (c *blackholeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.blackholed.Load() {
		return nil
	}
	c.listener.remove(c)
	return c.Conn.Close()
}
