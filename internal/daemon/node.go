// Package daemon wires the parts of one VM together: it binds the listeners,
// starts a goroutine for each duty and stops them in order. Each duty has a
// file of its own.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/callerhttp"
	"github.com/cuminwing/cuminwing/internal/adapter/gossip"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/orders"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/target"
	"github.com/cuminwing/cuminwing/internal/usage"
)

// Options are what a test replaces.
type Options struct {
	// Logger takes state changes.
	Logger *zap.Logger
	// Clock returns the current time.
	Clock serving.Clock
	// Dial opens TCP connections to VMs and targets.
	Dial targethttp.Dialer
	// ListenPacket opens the UDP socket of membership.
	ListenPacket func(address string) (net.PacketConn, error)
	// Document replaces the configuration in force while the control log
	// has none.
	Document *config.Document
	// LeastOutstanding replaces prefix-aware routing by the baseline that it
	// is measured against.
	LeastOutstanding bool
	// Log replaces the control log; it gets the replicated parts of the VM.
	Log func(parts map[control.Kind]control.Part) control.Log
}

// Node is one running VM.
type Node struct {
	settings    settings.Settings
	options     Options
	logger      *zap.Logger
	clock       serving.Clock
	incarnation uint64

	snapshot  atomic.Pointer[config.Snapshot]
	withdrawn *keys.Withdrawn
	registry  *target.Registry
	gossip    *gossip.Conn
	ledger    *usage.Ledger
	orders    *orders.Part
	callers   *callerhttp.Server

	distribution *distribution
	withdrawals  *withdrawals
	// seenVoters holds the voters that have been members, by name.
	seenVoters sync.Map
	// routing shares the index of cached blocks.
	routing *routingDuty

	// parts make up the replicated state; duties add theirs before
	// startControl runs. log is nil on a VM that cannot reach any voter yet.
	parts    map[control.Kind]control.Part
	log      control.Log
	rates    *rates
	observer *observer
	// replica is nil on a VM without a disk.
	replica *replica.Replica

	// peerMux serves other VMs, adminMux serves operators' tools.
	peerMux    *http.ServeMux
	adminMux   *http.ServeMux
	peerClient *http.Client
	// peerTLS is nil if VMs speak to each other in clear text.
	peerTLS *tls.Config

	ctx     context.Context
	cancel  context.CancelFunc
	duties  sync.WaitGroup
	servers []*http.Server
	// callerServer is the one of servers that callers use.
	callerServer *http.Server
	draining     atomic.Bool
}

// Start binds the listeners of a VM and starts its duties.
func Start(s settings.Settings, options Options) (*Node, error) {
	n := newNode(s, options)
	steps := []func() error{
		n.startWithdrawals,
		n.startConfig,
		n.startPeerTLS,
		n.startMembership,
		n.startTargets,
		n.startRates,
		n.startObserver,
		n.startUsage,
		n.startOrders,
		n.startServing,
		n.startControl,
		n.startUsageFlush,
		n.startOrdering,
		n.startStatus,
		n.startAdmin,
		n.startPeers,
		n.startDistribution,
		n.startKeyDuties,
		n.startRouting,
		n.startCallers,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			n.Close()
			return nil, err
		}
	}
	n.logger.Info("VM started", zap.String("vm", s.VM), zap.String("zone", s.Zone), zap.Uint64("incarnation", n.incarnation))
	return n, nil
}

func newNode(s settings.Settings, options Options) *Node {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: peerDialTimeout}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings:    s,
		options:     options,
		logger:      options.Logger,
		clock:       options.Clock,
		incarnation: uint64(options.Clock().UnixMicro()),
		withdrawn:   keys.NewWithdrawn(),
		registry:    target.NewRegistry(),
		parts:       make(map[control.Kind]control.Part),
		peerMux:     http.NewServeMux(),
		adminMux:    http.NewServeMux(),
		ctx:         ctx,
		cancel:      cancel,
	}
	n.peerClient = &http.Client{Transport: &http.Transport{
		DialContext:         options.Dial,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConns,
	}}
	if options.Document != nil {
		n.snapshot.Store(config.NewSnapshot(*options.Document, 0))
	}
	return n
}

// Snapshot returns the configuration in force; nil before there is one.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot.Load() }

// members returns the live VMs, this one included.
func (n *Node) members() []membership.Member {
	return n.gossip.Members()
}

// self describes this VM.
func (n *Node) self() membership.Member {
	m := membership.Member{
		VM:            n.settings.VM,
		Zone:          n.settings.Zone,
		Region:        n.settings.Region,
		Slot:          n.settings.Slot,
		PeerAddress:   n.settings.PeerAddress,
		GossipAddress: n.settings.GossipAddress,
		AdminAddress:  n.settings.AdminAddress,
		TargetAddress: n.settings.TargetAddress,
		Voter:         n.settings.Voter(),
		Incarnation:   n.incarnation,
		KeyDigest:     n.withdrawn.Digest(),
	}
	if snap := n.snapshot.Load(); snap != nil {
		m.ConfigRevision = snap.Revision
	}
	return m
}

// duty runs f in a goroutine of its own until the VM stops.
func (n *Node) duty(f func(ctx context.Context)) {
	n.duties.Go(func() { f(n.ctx) })
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// listen serves handler on address until the VM stops.
func (n *Node) listen(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	n.servers = append(n.servers, server)
	n.duty(func(context.Context) {
		var err error
		if server.TLSConfig != nil {
			err = server.ServeTLS(listener, "", "")
		} else {
			err = server.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			n.logger.Error("listener failed", zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

// drainPoll is how often a shutdown looks whether a duty has finished.
const drainPoll = 20 * time.Millisecond

// lameDuck is how long a VM that shuts down goes on accepting connections, so
// that load balancers see that it is not ready before it refuses any.
const lameDuck = time.Second

// Shutdown turns readiness off, goes on serving until load balancers have
// noticed, waits until the running requests have ended or ctx ends, and stops
// the VM.
func (n *Node) Shutdown(ctx context.Context) error {
	n.draining.Store(true)
	n.logger.Info("VM is shutting down", zap.Int64("running_requests", n.callers.Active()))
	n.leaveMembership()
	select {
	case <-ctx.Done():
	case <-time.After(lameDuck):
	}
	// Waits for connections, not only for handlers: the end of an answer is
	// still on its way when its handler has returned.
	err := n.callerServer.Shutdown(ctx)
	n.flushLastUsage()
	n.leaveControl()
	n.Close()
	return err
}

// Close stops the VM at once, as a crash would.
func (n *Node) Close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.duties.Wait()
}
