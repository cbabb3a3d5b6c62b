// Package traffic counts the bytes of connections by their cause and by how far they go,
// because bytes between zones and regions cost money and time.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Distance is how far the bytes of a connection go.
type Distance uint8

// Distances, the shortest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	// Unknown is the distance to an address whose zone is not known.
	Unknown
)

// String returns the name of the distance in metrics.
func (d Distance) String() string {
	return [...]string{"same_zone", "other_zone", "other_region", "unknown"}[d]
}

// Between returns the distance between two zones, of which either may be unknown (empty).
// regions maps zones to regions.
func Between(regions map[string]string, from, to string) Distance {
	switch {
	case from == "" || to == "":
		return Unknown
	case from == to:
		return SameZone
	case regions[from] == regions[to]:
		return SameRegion
	}
	return OtherRegion
}

// Meter counts bytes.
type Meter struct {
	// DistanceTo returns the distance to an address of the form "host:port".
	DistanceTo func(address string) Distance
	// Add adds bytes to a counter.
	Add func(name string, bytes int64)
}

// Count counts bytes that went over a distance.
func (m *Meter) Count(cause string, d Distance, bytes int) {
	m.Add(counterName(cause, d), int64(bytes))
}

func counterName(cause string, d Distance) string { return "bytes_" + cause + "_" + d.String() }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections count what is read and written.
func (m *Meter) Dial(cause string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m, cause: cause, address: address}, nil
	}
}

// meteredConn is a connection that counts its bytes.
type meteredConn struct {
	net.Conn
	meter          *Meter
	cause, address string
	// counter is the name of the counter; nil until the distance is known, which may be
	// learned over this connection.
	counter atomic.Pointer[string]
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *meteredConn) count(bytes int) {
	if known := c.counter.Load(); known != nil {
		c.meter.Add(*known, int64(bytes))
		return
	}
	distance := c.meter.DistanceTo(c.address)
	name := counterName(c.cause, distance)
	if distance != Unknown {
		c.counter.Store(&name)
	}
	c.meter.Add(name, int64(bytes))
}

// SyscallConn implements syscall.Conn.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a connection of type %T has no file descriptor", c.Conn)
	}
	return raw.SyscallConn()
}
