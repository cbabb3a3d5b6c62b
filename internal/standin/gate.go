package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// Gate is a listener behind a device that can lose the state of the open
// connections: they stay open but carry nothing any more, while new
// connections work.
type Gate struct {
	net.Listener

	mu    sync.Mutex
	conns map[*gatedConn]struct{}
}

// NewGate puts a gate in front of listener.
func NewGate(listener net.Listener) *Gate {
	return &Gate{Listener: listener, conns: make(map[*gatedConn]struct{})}
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gatedConn{Conn: conn, gate: g, closed: make(chan struct{})}
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	return c, nil
}

// Silence makes the open connections silent for good and returns their count.
func (g *Gate) Silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
	return len(g.conns)
}

// Release closes the silent connections.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Conn.Close()
	}
	clear(g.conns)
}

func (g *Gate) forget(c *gatedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

type gatedConn struct {
	net.Conn
	gate   *Gate
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection does not
// learn of it.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.silent.Load() {
		return nil
	}
	c.gate.forget(c)
	return c.Conn.Close()
}
