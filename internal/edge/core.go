package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/disk"
	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const (
	// proposeTimeout bounds a change. Operators move on to another VM after a
	// second without an answer.
	proposeTimeout = 950 * time.Millisecond
	// readTimeout bounds a confirmed read.
	readTimeout = 900 * time.Millisecond
	// dialTimeout bounds the set-up of a connection to another VM.
	dialTimeout = 400 * time.Millisecond
	// takeOverPause is the time to the next attempt of a new leader to reach a
	// quorum.
	takeOverPause = 50 * time.Millisecond
	// reopenPause is the time from a failure of the disk to the next attempt.
	reopenPause = 500 * time.Millisecond
	// stopTimeout bounds the end of the servers.
	stopTimeout = 1500 * time.Millisecond
)

// EngineAPI speaks with engines about their weights.
type EngineAPI interface {
	// Report asks an engine what it runs.
	Report(ctx context.Context, t fleet.Target) (EngineReport, error)
	// SetWeights orders an engine to change its weights.
	SetWeights(ctx context.Context, t fleet.Target, order WeightsOrder) error
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Weights map[string]uint64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders accepted since its start.
	Orders uint64
	// Requests is the number of requests that run or wait.
	Requests int
}

// WeightsOrder tells an engine to run a version of a model. Requests that run
// go on under the new weights.
type WeightsOrder struct {
	Model   string
	Version uint64
	// Holder and Fence identify who gives the order.
	Holder string
	Fence  uint64
	// After is the number of orders that the engine must have accepted so
	// far, so that a late order does not take effect.
	After uint64
}

// Decoder reads a document as the operator sent it. The error says what is
// invalid.
type Decoder func(raw []byte) (*gateway.Document, error)

// Core is one process of the core.
type Core struct {
	settings  Settings
	logger    *zap.Logger
	decode    Decoder
	engines   EngineAPI
	document  *gateway.Part
	fleet     *fleet.Part
	replica   *replica.Replica
	log       *replica.Log
	client    *http.Client
	confirmer *confirmer
	stores    *storeWatch
	ctx       context.Context
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	disk      disk.Options
	// failed is closed once the control log has failed.
	failed   chan struct{}
	failOnce sync.Once

	mu sync.Mutex
	// changed is closed and replaced at each change of the state or role.
	changed chan struct{}
	divider *ratelimit.Divider
	fronts  *fleetsync.Fronts
	// leading is since when this replica leads; 0 if it does not.
	leading time.Duration
}

// CoreOptions are the ports of a core process.
type CoreOptions struct {
	Logger  *zap.Logger
	Decode  Decoder
	Engines EngineAPI
	// Disk replaces how files are opened, in tests.
	Disk disk.Options
	// Control serves operators and targets; it is given the core.
	Control func(*Core) http.Handler
}

// errLogFailed means that the files of the control log could not be written or
// opened. They are read again, because what a failed write has left is not
// known.
var errLogFailed = errors.New("control log failed")

// RunCore runs a core process until ctx ends. After a failure of the disk the
// control log is opened again: a member that stayed away would leave the core
// without a majority at the next failure.
func RunCore(ctx context.Context, s Settings, options CoreOptions) error {
	serveMetrics(&s, options.Logger)
	for {
		err := runCore(ctx, s, options)
		if err == nil || !errors.Is(err, errLogFailed) {
			return err
		}
		options.Logger.Warn("control log is opened again", zap.Duration("after", reopenPause), zap.Error(err))
		if !pause.For(ctx, reopenPause) {
			return nil
		}
	}
}

// runCore runs until ctx ends or the control log fails.
func runCore(ctx context.Context, s Settings, options CoreOptions) error {
	c := &Core{
		settings: s, logger: options.Logger, decode: options.Decode, engines: options.Engines, disk: options.Disk,
		document: &gateway.Part{}, fleet: fleet.NewPart(), changed: make(chan struct{}), failed: make(chan struct{}),
		client: peerClient(), stores: newStoreWatch(),
	}
	// The duties outlive ctx, so that the leadership can be handed over.
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer c.duties.Wait()
	defer c.cancel()
	c.document.OnChange = c.notify
	c.fleet.OnChange = c.notify
	if err := c.openReplica(); err != nil {
		return err
	}
	c.addGauges()
	c.confirmer = newConfirmer(c.confirm)
	c.duty(c.confirmer.run)
	c.duty(c.repairMembers)
	c.duty(c.join)
	c.duty(c.updateWeights)
	c.duty(c.recordSpending)
	c.duty(c.watchStores)
	servers, err := c.serve(options.Control(c))
	if err != nil {
		return err
	}
	c.logger.Info("core started", zap.Bool("first_start", s.FirstStart), zap.String("replica", c.replica.Status().ID))
	select {
	case <-ctx.Done():
		c.stop(servers)
		return nil
	case <-c.failed:
	}
	closeAll(servers)
	return errors.Mark(c.replica.Status().Failure, errLogFailed)
}

func closeAll(servers []*http.Server) {
	for _, s := range servers {
		// The connections are broken off on purpose: their callers go on to
		// another member at once.
		_ = s.Close()
	}
}

// addGauges publishes what this member knows.
func (c *Core) addGauges() {
	set := metrics.New(c.settings.VM)
	set.Gauge("leads", func() any { return c.replica.Status().Role == raft.Leader })
	set.Gauge("term", func() any { return c.replica.Status().Term })
	set.Gauge("commit", func() any { return c.replica.Status().Commit })
	set.Gauge("voters", func() any { return c.replica.Status().Members.Voters() })
	set.Gauge("document", func() any { return c.document.Current().Version })
	set.Gauge("targets", func() any { return len(c.fleet.Current().Targets) })
}

// peerClient calls other VMs. A connection that went silent is given up with
// the call's own timeout.
func peerClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.AckTimeout(ackTimeout)}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

func (c *Core) duty(f func(context.Context)) {
	c.duties.Go(func() { f(c.ctx) })
}

func (c *Core) openReplica() error {
	id, bootstrap, err := identity(&c.settings)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read the identity of the replica"), errLogFailed)
	}
	url := func(address string) string { return "http://" + address }
	r, err := replica.Open(replica.Config{
		ID:        id,
		Folder:    c.settings.DataFolder,
		Disk:      c.disk,
		Bootstrap: bootstrap,
		Parts:     map[control.Kind]control.Part{control.KindDocument: c.document, control.KindFleet: c.fleet},
		Transport: &replica.Peers{Self: c.settings.ownPeer(), URL: url, Client: c.client, Start: c.duty},
		Clock:     time.Now,
		Steady:    boottime.Now,
		OnChange:  c.observe,
	})
	var corrupt *disk.CorruptError
	if errors.As(err, &corrupt) {
		return errors.Wrap(err, "open the control log")
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "open the control log"), errLogFailed)
	}
	c.replica = r
	c.log = &replica.Log{Replica: r, Voters: firstVoters(&c.settings), URL: url, Client: c.client}
	c.duty(r.Run)
	return nil
}

// observe follows the role of the replica.
func (c *Core) observe(s replica.Status) {
	c.mu.Lock()
	switch {
	case s.Role != raft.Leader:
		c.leading, c.divider, c.fronts = 0, nil, nil
	case c.leading == 0:
		c.leading = boottime.Now()
		elected := c.leading
		c.duty(func(ctx context.Context) { c.takeOver(ctx, elected) })
	}
	c.mu.Unlock()
	c.notify()
	if s.Failure != nil {
		c.logger.Error("control log failed; this replica makes no promises until it is opened again", zap.Error(s.Failure))
		c.failOnce.Do(func() { close(c.failed) })
		return
	}
	c.logger.Info("control log changed", zap.String("role", s.Role.String()), zap.String("leader", s.Leader),
		zap.Uint64("term", s.Term), zap.Uint64("commit", s.Commit), zap.Int("voters", s.Members.Voters()))
}

// notify wakes everything that waits for a change.
func (c *Core) notify() {
	c.mu.Lock()
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
}

func (c *Core) change() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// leadership is what a leader holds in memory for the fronts.
type leadership struct {
	since   time.Duration
	divider *ratelimit.Divider
	fronts  *fleetsync.Fronts
}

// leadership reports whether this replica leads and has taken over.
func (c *Core) leadership() (leadership, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leadership{c.leading, c.divider, c.fronts}, c.divider != nil
}

// takeOver begins a leadership once the state contains all that was committed
// before it: after a start a replica does not know how much of its log is, and
// what workspaces have spent would be missing.
func (c *Core) takeOver(ctx context.Context, elected time.Duration) {
	for c.elected(elected) {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		err := c.confirm(limited)
		cancel()
		if err == nil {
			c.begin(elected)
			return
		}
		c.logger.Info("leader does not have the whole state yet", zap.Error(err))
		if !pause.For(ctx, takeOverPause) {
			return
		}
	}
}

// elected reports whether this replica leads since its election at a time.
func (c *Core) elected(at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading == at
}

func (c *Core) begin(elected time.Duration) {
	spent := c.fleet.Current().Spent
	c.mu.Lock()
	if c.leading == elected {
		c.fronts = fleetsync.NewFronts()
		c.divider = ratelimit.NewDivider(boottime.Now(), c.settings.Bounds.Quota.Window, spent)
	}
	c.mu.Unlock()
	c.logger.Info("leadership taken over", zap.Duration("after", boottime.Now()-elected), zap.Any("spent", spent))
	c.notify()
}

// serve starts the servers for peers and for operators and targets.
func (c *Core) serve(control http.Handler) ([]*http.Server, error) {
	mux := http.NewServeMux()
	server := replica.Server{Replica: c.replica}
	step := raftv1.NewRaftServiceServer(server)
	mux.Handle(step.PathPrefix(), step)
	calls := raftv1.NewLogServiceServer(server)
	mux.Handle(calls.PathPrefix(), calls)
	c.handleSync(mux)
	c.handleJoin(mux)
	addMetrics(mux)
	var servers []*http.Server
	for address, handler := range map[string]http.Handler{c.settings.ownPeer(): mux, c.settings.ControlAddress: control} {
		listener, err := listen(address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
		servers = append(servers, s)
		c.duty(func(context.Context) { serveUntilClosed(c.logger, s, listener) })
	}
	return servers, nil
}

// stop hands the leadership over before the servers end, so that fronts and
// operators find a leader at once.
func (c *Core) stop(servers []*http.Server) {
	c.logger.Info("core stops", zap.String("reason", "signal"))
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if c.replica.Status().Role == raft.Leader {
		if err := c.replica.Transfer(ctx); err != nil {
			c.logger.Warn("leadership was not handed over", zap.Error(err))
		}
	}
	c.notify()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	c.client.CloseIdleConnections()
}

// member reports whether this VM's state follows the log.
func (c *Core) member() bool {
	status := c.replica.Status()
	_, ok := status.Members.Find(status.ID)
	return ok && status.Failure == nil
}

// ErrUnavailable means that the core cannot answer now; nothing is known of
// what was asked.
var ErrUnavailable = errors.New("the control log is not reachable")

// confirm returns once the state of this VM contains everything that was
// committed before the call.
func (c *Core) confirm(ctx context.Context) error {
	if !c.member() {
		return errors.Mark(errors.New("this VM is no member of the control log"), ErrUnavailable)
	}
	if _, err := c.log.Barrier(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return nil
}

func (c *Core) propose(ctx context.Context, kind control.Kind, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := c.log.Propose(ctx, kind, body); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return nil
}
