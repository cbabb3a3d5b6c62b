package targethttp

import (
	"context"
	"io"
	"net"
	"sync"
)

// uploadConn is a connection whose data ends regularly only if all writes have succeeded. The
// kernel reports the reset of a connection once: if a write gets it, a read sees the end of the
// data, and a response without a length would look complete.
type uploadConn struct {
	net.Conn

	mu  sync.Mutex
	err error
}

// dialUpload returns a Dialer for connections of one request each.
func dialUpload(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &uploadConn{Conn: conn}, nil
	}
}

// Write implements net.Conn.
func (c *uploadConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the data it waits for a write in progress, which ends
// with the connection.
func (c *uploadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil {
			err = c.err
		}
	}
	return n, err
}
