package scenario

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// place says where an address is.
type place struct{ name, zone, region string }

func (p place) in(group string) bool { return p.name == group || p.zone == group || p.region == group }

// network cuts VMs, zones and regions off from everything outside them.
type network struct {
	mu     sync.Mutex
	places map[string]place
	// cuts maps a VM, zone or region to whether it is cut silently.
	cuts  map[string]bool
	conns map[*link]struct{}
}

func newNetwork() *network {
	return &network{places: make(map[string]place), cuts: make(map[string]bool), conns: make(map[*link]struct{})}
}

func (n *network) add(p place, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.places[a] = p
	}
}

// state reports whether a cut separates two places, and whether silently.
func (n *network) state(a, b place) (cut, silent bool) {
	for group, quiet := range n.cuts {
		if a.in(group) != b.in(group) {
			cut, silent = true, silent || quiet
		}
	}
	return cut, silent
}

// cut separates a group from the rest. Connections across the cut break, or
// lose everything for good if the cut is silent.
func (n *network) cut(group string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[group] = silent
	for l := range n.conns {
		if l.from.in(group) == l.to.in(group) {
			continue
		}
		if silent {
			l.dead.Store(true)
		} else {
			_ = l.Conn.Close()
		}
	}
}

func (n *network) heal(group string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, group)
}

func (n *network) dialFrom(from place) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[address]
		cut, silent := n.state(from, to)
		n.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if cut {
			return nil, errors.New("network is unreachable")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		return n.track(&link{Conn: conn, network: n, from: from, to: to})
	}
}

// track looks again for a cut that came while the connection was dialled.
func (n *network) track(l *link) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut, silent := n.state(l.from, l.to); cut && !silent {
		_ = l.Conn.Close()
		return nil, errors.New("network is unreachable")
	} else if silent {
		l.dead.Store(true)
	}
	n.conns[l] = struct{}{}
	return l, nil
}

// link is a connection between two places.
type link struct {
	net.Conn
	network  *network
	from, to place
	// dead is set for good once the state of the connection is lost.
	dead atomic.Bool
}

func (l *link) Read(p []byte) (int, error) {
	for {
		count, err := l.Conn.Read(p)
		if err != nil || !l.dead.Load() {
			return count, err
		}
	}
}

func (l *link) Write(p []byte) (int, error) {
	if l.dead.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *link) Close() error {
	l.network.mu.Lock()
	delete(l.network.conns, l)
	l.network.mu.Unlock()
	return l.Conn.Close()
}

// packets drops what would cross a cut.
type packets struct {
	net.PacketConn
	network *network
	from    place
}

func (n *network) listenPacketOf(from place) func(string) (net.PacketConn, error) {
	return func(address string) (net.PacketConn, error) {
		conn, err := net.ListenPacket("udp", address)
		return packets{conn, n, from}, err
	}
}

func (p packets) WriteTo(data []byte, to net.Addr) (int, error) {
	p.network.mu.Lock()
	cut, _ := p.network.state(p.from, p.network.places[to.String()])
	p.network.mu.Unlock()
	if cut {
		return len(data), nil
	}
	return p.PacketConn.WriteTo(data, to)
}
