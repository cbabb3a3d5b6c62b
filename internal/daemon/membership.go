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
	// payloadUpdateInterval is how often the announced revision and key digest
	// of this VM are updated.
	payloadUpdateInterval = 250 * time.Millisecond
	// leaveDuration is how long a VM that shuts down repeats its leave message.
	leaveDuration = 3 * membership.TickInterval
)

// startMembership joins the cluster by gossip.
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
	n.background(n.gossip.Run)
	n.background(func(ctx context.Context) {
		every(ctx, payloadUpdateInterval, func() {
			self := n.self()
			n.gossip.UpdateSelf(self.ConfigRevision, self.KeyDigest)
		})
	})
	return nil
}

// clusterSecret reads the shared secret of the gossip protocol. Without a
// secret, which the settings allow only for loopback addresses, packets are
// authenticated with an empty one.
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

// minSecretBytes is the minimum length of the shared secret, 128 bits.
const minSecretBytes = 16

// leaveMembership announces to the other VMs that this VM is leaving.
func (n *Node) leaveMembership() {
	n.gossip.Leave()
	time.Sleep(leaveDuration)
}
