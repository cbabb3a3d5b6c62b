package edge

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// announceDelay is how long a front batches its dispatches to engines
	// before it announces them to the other fronts. It is short compared with
	// the time that an engine needs to process a prompt.
	announceDelay = 8 * time.Millisecond
	// maxDatagramBytes limits the part of a datagram that is read.
	maxDatagramBytes = 2048
)

// frontPeers is the list of the other fronts with which this front exchanges
// hints. A hint announces a dispatch to an engine.
type frontPeers struct {
	mu          sync.Mutex
	addresses   []netip.AddrPort
	members     map[netip.AddrPort]bool
	listVersion uint64
}

func (p *frontPeers) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listVersion
}

// update replaces the list. An address that cannot be parsed is skipped: its
// front gets no hints, which only makes its placement slightly worse.
func (p *frontPeers) update(addresses []string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.listVersion {
		return
	}
	p.listVersion = version
	p.addresses = nil
	p.members = make(map[netip.AddrPort]bool)
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err == nil {
			p.addresses = append(p.addresses, a)
			p.members[a] = true
		}
	}
}

func (p *frontPeers) all() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses
}

func (p *frontPeers) contains(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[a]
}

// startPeerExchange starts the tasks that send this front's hints to its
// peers and receive theirs.
func (f *Front) startPeerExchange(ctx context.Context, tasks *sync.WaitGroup) error {
	address, err := net.ResolveUDPAddr("udp4", f.settings.selfPeerAddress())
	if err != nil {
		return errors.Wrap(err, "resolve the address for datagrams")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	tasks.Go(func() { f.announceToPeers(ctx, conn) })
	tasks.Go(func() { f.receiveFromPeers(ctx, conn) })
	return nil
}

// announceToPeers sends batches of this front's dispatches to all peers.
func (f *Front) announceToPeers(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.placer.HintsReady():
		}
		if !pause.For(ctx, announceDelay) {
			return
		}
		for _, packet := range f.placer.TakeHints() {
			f.sendToPeers(conn, packet)
		}
	}
}

// sendToPeers sends a packet to all peers. The packets are only hints, so a
// packet that cannot be sent is counted and dropped.
func (f *Front) sendToPeers(conn *net.UDPConn, packet []byte) {
	for _, peer := range f.peers.all() {
		if _, err := conn.WriteToUDPAddrPort(packet, peer); err != nil {
			f.counters.Add("peer_packets_failed", 1)
		}
	}
}

// receiveFromPeers passes the peers' hints to placement. It ignores
// datagrams from other addresses.
func (f *Front) receiveFromPeers(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				f.logger.Warn("reading a datagram failed", zap.Error(err))
				pause.For(ctx, time.Second)
			}
			continue
		}
		if f.peers.contains(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			f.placer.ApplyHints(buffer[:n])
		}
	}
}
