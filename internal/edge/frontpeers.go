package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/traffic"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/pause"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// announceDelay is how long a front batches its dispatches to engines
	// before it announces them to the other fronts. It is short compared with
	// the time that an engine needs to process a prompt.
	announceDelay = 8 * time.Millisecond
	// hintTransit is the time that a hint is on its way to a front of the same region.
	hintTransit = 2 * time.Millisecond
	// maxDatagramBytes limits the part of a datagram that is read.
	maxDatagramBytes = 2048
)

// The first byte of a datagram tells what its receiver does with the hints after it.
const (
	// packetFinal packets are applied by their receiver.
	packetFinal byte = iota
	// packetRelayed packets are applied, and passed on as packetFinal to the fronts of the
	// receiver's zone.
	packetRelayed
)

// frontPeers are the other fronts with which this front exchanges hints. A hint announces
// a dispatch to an engine, or what an engine has said about the requests that it accepts.
type frontPeers struct {
	routes atomic.Pointer[fleetsync.HintRoutes]

	mu          sync.Mutex
	listVersion uint64
}

func newFrontPeers() *frontPeers {
	p := &frontPeers{}
	p.routes.Store(fleetsync.NewHintRoutes("", nil))
	return p
}

func (p *frontPeers) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listVersion
}

// update replaces the list of peers of a front in a zone.
func (p *frontPeers) update(zone string, peers []*followv1.Peer, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.listVersion {
		return
	}
	p.listVersion = version
	list := make([]fleetsync.Peer, 0, len(peers))
	for _, peer := range peers {
		list = append(list, fleetsync.Peer{Address: peer.GetAddress(), Zone: peer.GetZone()})
	}
	p.routes.Store(fleetsync.NewHintRoutes(zone, list))
}

// count returns the number of peers.
func (p *frontPeers) count() int { return p.routes.Load().Peers() }

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

// announceToPeers sends batches of this front's hints to all peers.
func (f *Front) announceToPeers(ctx context.Context, conn *net.UDPConn) {
	// Fronts that start together choose different relays.
	sent := rand.Uint64()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.placer.HintsReady():
		}
		ready := time.Now()
		if !pause.For(ctx, announceDelay) {
			return
		}
		routes := f.peers.routes.Load()
		for _, hints := range f.placer.TakeHints() {
			sent++
			packet := append([]byte{packetFinal}, hints...)
			f.sendToPeers(conn, packet, routes.Direct, routes)
			packet[0] = packetRelayed
			f.sendToPeers(conn, packet, routes.Relays(sent), routes)
		}
		// The other fronts are assumed to take as long to send theirs.
		f.placer.SetHintAge(time.Since(ready) + hintTransit)
	}
}

// sendToPeers sends a packet to peers. The packets are only hints, so a packet that cannot
// be sent is counted and dropped.
func (f *Front) sendToPeers(conn *net.UDPConn, packet []byte, peers []netip.AddrPort, routes *fleetsync.HintRoutes) {
	for _, peer := range peers {
		if _, err := conn.WriteToUDPAddrPort(packet, peer); err != nil {
			f.counters.Add("peer_packets_failed", 1)
			continue
		}
		distance := traffic.Between(f.settings.Regions, f.settings.Zone, routes.Zone(peer))
		f.meter.Count(trafficHints, distance, len(packet))
	}
}

// receiveFromPeers passes the peers' hints to placement, and relays those that are meant
// for all fronts of this zone. It ignores datagrams from other addresses.
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
		f.receiveHints(conn, buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receiveHints applies a packet of a peer, and relays it if the peer asks for that.
func (f *Front) receiveHints(conn *net.UDPConn, packet []byte, from netip.AddrPort) {
	routes := f.peers.routes.Load()
	if len(packet) == 0 || packet[0] > packetRelayed || !routes.Accepts(from) {
		return
	}
	f.placer.ApplyHints(packet[1:])
	if packet[0] == packetRelayed && routes.MayRelayFor(from) {
		packet[0] = packetFinal
		f.sendToPeers(conn, packet, routes.Local, routes)
	}
}
