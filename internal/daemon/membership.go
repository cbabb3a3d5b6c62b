package daemon

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/gossip"
	"github.com/cuminwing/cuminwing/internal/membership"
)

const (
	// payloadInterval bounds how often a changed payload is spread.
	payloadInterval = 250 * time.Millisecond
	// leaveRepeat is how long a leaving VM repeats that it leaves.
	leaveRepeat = 3 * membership.TickInterval
)

// startMembership joins the other VMs.
func (n *Node) startMembership() error {
	secret, err := n.clusterSecret()
	if err != nil {
		return err
	}
	listen := n.options.ListenPacket
	if listen == nil {
		listen = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	socket, err := listen(n.settings.GossipAddress)
	if err != nil {
		return fmt.Errorf("listen for gossip on %s: %w", n.settings.GossipAddress, err)
	}
	core := membership.New(membership.Config{
		Self:     n.self(),
		Join:     n.settings.Join,
		Registry: n.registry,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, n.clock())
	n.gossip = gossip.New(socket, secret, core, n.clock)
	n.duty(n.gossip.Run)
	n.duty(func(ctx context.Context) {
		every(ctx, payloadInterval, func() {
			self := n.self()
			n.gossip.UpdateSelf(self.ConfigRevision, self.KeyDigest)
		})
	})
	return nil
}

// clusterSecret reads the shared secret; without one, which only loopback
// addresses allow, packets are authenticated by the empty secret.
func (n *Node) clusterSecret() ([]byte, error) {
	if n.settings.ClusterSecretFile == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(n.settings.ClusterSecretFile)
	if err != nil {
		return nil, fmt.Errorf("read cluster secret: %w", err)
	}
	secret = bytes.TrimSpace(secret)
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("cluster secret in %s has %d bytes, want at least %d", n.settings.ClusterSecretFile, len(secret), minSecretBytes)
	}
	return secret, nil
}

// minSecretBytes is the least length of the shared secret, 128 bits.
const minSecretBytes = 16

// leaveMembership tells the other VMs before this one stops.
func (n *Node) leaveMembership() {
	n.gossip.Leave()
	time.Sleep(leaveRepeat)
}
