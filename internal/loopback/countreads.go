package loopback

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// CountReads returns a DialFunc whose connections add the bytes that are read from
// them to n. What a peer has sent says little about that: the buffers of the sockets hold
// up to some tens of MB, depending on the settings of the kernel.
func CountReads(dial DialFunc, n *atomic.Int64) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return readCounter{conn, n}, nil
	}
}

type readCounter struct {
	net.Conn
	n *atomic.Int64
}

// Read implements io.Reader.
func (c readCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}
