package scenario

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// site is the VM or target behind an address, with its zone and region.
type site struct{ name, zone, region string }

// in reports whether group is the site itself, its zone or its region.
func (s site) in(group string) bool { return s.name == group || s.zone == group || s.region == group }

// network simulates partitions: it separates VMs, targets, zones or regions from
// everything outside them.
type network struct {
	mu    sync.Mutex
	sites map[string]site
	// cuts maps the partitioned VMs, targets, zones and regions to whether
	// traffic is dropped silently.
	cuts  map[string]bool
	conns map[*trackedConn]struct{}
}

func newNetwork() *network {
	return &network{sites: make(map[string]site), cuts: make(map[string]bool), conns: make(map[*trackedConn]struct{})}
}

func (n *network) add(s site, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.sites[a] = s
	}
}

// cutBetween reports whether a partition separates two sites and whether it drops
// traffic silently.
func (n *network) cutBetween(a, b site) (cut, silent bool) {
	for group, groupSilent := range n.cuts {
		if a.in(group) != b.in(group) {
			cut, silent = true, silent || groupSilent
		}
	}
	return cut, silent
}

// cut partitions a VM, target, zone or region from the rest of the network. It
// closes the connections across the partition or, with silent, blackholes them
// permanently.
func (n *network) cut(group string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[group] = silent
	for c := range n.conns {
		if c.from.in(group) == c.to.in(group) {
			continue
		}
		if silent {
			c.blackholed.Store(true)
		} else {
			_ = c.Conn.Close()
		}
	}
}

func (n *network) heal(group string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, group)
}

func (n *network) dialFrom(from site) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.sites[address]
		cut, silent := n.cutBetween(from, to)
		n.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if cut {
			return nil, errors.New("network is unreachable")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return n.track(&trackedConn{Conn: conn, network: n, from: from, to: to})
	}
}

// track registers a connection. It checks for partitions again, because one may
// have started during the dial.
func (n *network) track(c *trackedConn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut, silent := n.cutBetween(c.from, c.to); cut && !silent {
		_ = c.Conn.Close()
		return nil, errors.New("network is unreachable")
	} else if silent {
		c.blackholed.Store(true)
	}
	n.conns[c] = struct{}{}
	return c, nil
}

// trackedConn is a connection between two sites.
type trackedConn struct {
	net.Conn
	network  *network
	from, to site
	// blackholed is set when a silent partition hits the connection and is never
	// cleared: data is discarded even after the partition heals.
	blackholed atomic.Bool
}

func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return count, err
		}
	}
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// partitionedPacketConn drops outgoing packets that would cross a partition.
type partitionedPacketConn struct {
	net.PacketConn
	network *network
	from    site
}

func (n *network) listenPacketFrom(from site) func(string) (net.PacketConn, error) {
	return func(address string) (net.PacketConn, error) {
		conn, err := net.ListenPacket("udp", address)
		return partitionedPacketConn{conn, n, from}, err
	}
}

func (p partitionedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	p.network.mu.Lock()
	cut, _ := p.network.cutBetween(p.from, p.network.sites[to.String()])
	p.network.mu.Unlock()
	if cut {
		return len(data), nil
	}
	return p.PacketConn.WriteTo(data, to)
}
