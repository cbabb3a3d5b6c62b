package gossip

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Packet counters, summed over all VMs in the process.
var (
	packetsSent    = expvar.NewInt("gossip_packets_sent")
	bytesSent      = expvar.NewInt("gossip_bytes_sent")
	packetsRefused = expvar.NewInt("gossip_packets_refused")
	sendErrors     = expvar.NewInt("gossip_send_errors")
)

// Conn connects the membership core of one VM to a UDP socket.
type Conn struct {
	socket net.PacketConn
	secret []byte
	clock  func() time.Time

	mu   sync.Mutex
	core *membership.Core
}

// New returns a Conn. It does not send or receive packets until Run is called.
func New(socket net.PacketConn, secret []byte, core *membership.Core, clock func() time.Time) *Conn {
	return &Conn{socket: socket, secret: secret, core: core, clock: clock}
}

// Run receives packets and ticks the core until ctx is done. It then closes the
// socket.
func (c *Conn) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(c.receive)
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.runStep(func(core *membership.Core, now time.Time) []membership.Packet { return core.Tick(now) })
		}
	}
	_ = c.socket.Close()
	wg.Wait()
}

// Members returns the live members.
func (c *Conn) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Members(c.clock())
}

// UpdateSelf sets the configuration revision and key digest that this VM
// gossips about itself.
func (c *Conn) UpdateSelf(revision, keyDigest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.UpdateSelf(c.clock(), revision, keyDigest)
}

// Announce gossips a heartbeat that this VM received directly from a target. The
// argument change is the result of merging it into the registry.
func (c *Conn) Announce(a target.Announcement, change target.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.BroadcastTarget(a, change, c.clock())
}

// Leave notifies other VMs that this VM is leaving. Run must keep running for a
// short time after it, because the notification is repeated on later ticks.
func (c *Conn) Leave() {
	c.runStep(func(core *membership.Core, now time.Time) []membership.Packet { return core.Leave(now) })
}

func (c *Conn) receive() {
	buf := make([]byte, membership.MaxPacketBytes+1)
	for {
		n, from, err := c.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error may be an ICMP error caused by an earlier send.
			continue
		}
		m, err := Decode(c.secret, buf[:n])
		if err != nil {
			packetsRefused.Add(1)
			continue
		}
		c.runStep(func(core *membership.Core, now time.Time) []membership.Packet {
			return core.Receive(now, from.String(), m)
		})
	}
}

// runStep runs one step of the core and sends the packets that it returns.
func (c *Conn) runStep(step func(*membership.Core, time.Time) []membership.Packet) {
	c.mu.Lock()
	packets := step(c.core, c.clock())
	c.mu.Unlock()
	for i := range packets {
		c.send(&packets[i])
	}
}

func (c *Conn) send(p *membership.Packet) {
	to, err := netip.ParseAddrPort(p.To)
	if err != nil {
		sendErrors.Add(1)
		return
	}
	data, err := Encode(c.secret, &p.Message)
	if err != nil {
		sendErrors.Add(1)
		return
	}
	if _, err := c.socket.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		sendErrors.Add(1)
		return
	}
	packetsSent.Add(1)
	bytesSent.Add(int64(len(data)))
}
