// Package daemon assembles one VM: it binds the listeners, starts the
// background goroutines and stops them in order. Each subsystem has its own
// file.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/callerhttp"
	"github.com/cuminwing/cuminwing/internal/adapter/gossip"
	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/orders"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/target"
	"github.com/cuminwing/cuminwing/internal/usage"
)

// Options replaces defaults of a VM, mostly for tests.
type Options struct {
	// Logger receives log lines about state changes.
	Logger *zap.Logger
	// Clock returns the current time.
	Clock serving.Clock
	// Dial opens TCP connections to VMs and targets.
	Dial targethttp.Dialer
	// ListenPacket opens the UDP socket of the gossip protocol.
	ListenPacket func(address string) (net.PacketConn, error)
	// Document is the active configuration until the control log has one.
	Document *config.Document
	// LeastOutstanding replaces prefix-aware routing with least-outstanding
	// routing, the baseline in benchmarks.
	LeastOutstanding bool
	// NewLog replaces the control log. It receives the state machines of the VM.
	NewLog func(stateMachines map[control.Kind]control.StateMachine) control.Log
}

// Node is a running VM.
type Node struct {
	settings    settings.Settings
	options     Options
	logger      *zap.Logger
	clock       serving.Clock
	incarnation uint64

	memory *memoryBudget
	// bodyWait limits each wait for the body of a request of a VM or an operators' tool.
	bodyWait  time.Duration
	snapshot  atomic.Pointer[config.Snapshot]
	withdrawn *apikeys.WithdrawnSet
	registry  *target.Registry
	gossip    *gossip.Conn
	ledger    *usage.Ledger
	orders    *orders.StateMachine
	callers   *callerhttp.Server

	distribution *distribution
	withdrawals  *withdrawals
	// seenVoters holds the voters that have been members, by name.
	seenVoters sync.Map
	// regionIndex is the share of this VM in the prefix index of the region.
	regionIndex *regionIndex

	// stateMachines are the replicated state machines; each subsystem registers
	// its own before startControlLog runs. log is nil until startControlLog has
	// opened it.
	stateMachines map[control.Kind]control.StateMachine
	log           control.Log
	rates         *rateLimiter
	observer      *observer
	// replica is nil on a VM without a data folder.
	replica *replica.Replica

	// peerMux serves other VMs, adminMux serves operators' tools.
	peerMux    *http.ServeMux
	adminMux   *http.ServeMux
	peerClient *http.Client
	// peerTLS is nil if VMs communicate without TLS.
	peerTLS *tls.Config

	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	servers []*http.Server
	// callerServer is the element of servers that serves callers, callerConns keeps its
	// HTTP/1 connections.
	callerServer   *http.Server
	callerListener net.Listener
	callerConns    *httpconn.Tracker
	draining       atomic.Bool
}

// Start binds the listeners of a VM and starts its background goroutines.
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
		n.startControlLog,
		n.startUsageFlush,
		n.startOrderDispatcher,
		n.startStatus,
		n.startAdmin,
		n.startPeers,
		n.startDistribution,
		n.startKeySync,
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
		settings:      s,
		options:       options,
		logger:        options.Logger,
		clock:         options.Clock,
		incarnation:   uint64(options.Clock().UnixMicro()),
		withdrawn:     apikeys.NewWithdrawnSet(),
		registry:      target.NewRegistry(),
		memory:        newMemoryBudget(&s),
		bodyWait:      peerReadHeaderTimeout,
		stateMachines: make(map[control.Kind]control.StateMachine),
		peerMux:       http.NewServeMux(),
		adminMux:      http.NewServeMux(),
		ctx:           ctx,
		cancel:        cancel,
	}
	n.peerClient = &http.Client{Transport: &http.Transport{
		DialContext:         options.Dial,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConns,
	}}
	if options.Document != nil {
		n.useSnapshot(config.NewSnapshot(*options.Document, 0))
	}
	return n
}

// useSnapshot makes a configuration the active one.
func (n *Node) useSnapshot(snapshot *config.Snapshot) {
	n.memory.applyDocument(snapshot.Document.Limits, n.logger)
	n.snapshot.Store(snapshot)
}

// Snapshot returns the active configuration, or nil if there is none yet.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot.Load() }

// members returns the live VMs, this one included.
func (n *Node) members() []membership.Member {
	return n.gossip.Members()
}

// self returns the membership record of this VM.
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
		Voter:         n.settings.IsInitialVoter(),
		Incarnation:   n.incarnation,
		KeyDigest:     n.withdrawn.Digest(),
	}
	if snap := n.snapshot.Load(); snap != nil {
		m.ConfigRevision = snap.Revision
	}
	return m
}

// background runs f in a goroutine. The context of f ends when the VM stops.
func (n *Node) background(f func(ctx context.Context)) {
	n.tasks.Go(func() { f(n.ctx) })
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

// serve serves the connections of a listener in the background until the VM stops.
func (n *Node) serve(server *http.Server, listener net.Listener) {
	n.servers = append(n.servers, server)
	n.background(func(context.Context) {
		var err error
		if server.TLSConfig != nil {
			err = server.ServeTLS(listener, "", "")
		} else {
			err = server.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logger.Error("listener failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
		}
	})
}

// pollInterval is how often awaitDrain checks for a drain decision and
// flushFinalUsage retries.
const pollInterval = 20 * time.Millisecond

const (
	// lameDuckPeriod is how long a VM that shuts down keeps accepting connections at
	// least, so that load balancers see the failing readiness check before connections
	// are refused.
	lameDuckPeriod = time.Second
	// maxLameDuckPeriod limits this time while requests are in progress and callers open
	// connections. Until then the callers learn from a response that their connection
	// ends.
	maxLameDuckPeriod = 3 * time.Second
)

// Shutdown fails the readiness check, leaves the membership, keeps serving for
// lameDuckPeriod, waits until requests in flight have ended or ctx ends,
// flushes the usage, transfers the leadership of the control log and stops the
// VM.
func (n *Node) Shutdown(ctx context.Context) error {
	n.draining.Store(true)
	n.logger.Info("VM is shutting down", zap.Int64("running_requests", n.callers.ActiveRequests()))
	n.leaveMembership()
	listenCtx, stopListening := context.WithTimeout(ctx, maxLameDuckPeriod)
	defer stopListening()
	n.callerConns.AwaitQuiet(listenCtx, time.Now().Add(lameDuckPeriod))
	err := n.callerConns.Finish(ctx, n.callerListener)
	// http.Server.Shutdown would drop requests over HTTP/1 that have arrived. It ends the
	// connections with HTTP/2 gracefully. It waits for connections, not only for handlers:
	// when a handler has returned, the end of its response may still be in transit.
	err = errors.CombineErrors(err, n.callerServer.Shutdown(ctx))
	n.flushFinalUsage()
	n.transferLeadership()
	n.Close()
	return err
}

// Close stops the VM immediately, like a crash.
func (n *Node) Close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.tasks.Wait()
}
