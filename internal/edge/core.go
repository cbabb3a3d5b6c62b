package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/disk"
	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/adapter/stallwatch"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// proposeTimeout limits a proposal to the control log, not counting the time
	// that its bytes may take. Operators' tools try another VM after one second
	// without a response, or later with a large document.
	proposeTimeout = 950 * time.Millisecond
	// readTimeout limits a linearizable read.
	readTimeout = 900 * time.Millisecond
	// dialTimeout limits the time to connect to another VM.
	dialTimeout = 400 * time.Millisecond
	// leaderBarrierRetryDelay is the delay before a new leader retries its
	// first read barrier.
	leaderBarrierRetryDelay = 50 * time.Millisecond
	// logReopenDelay is the delay between a disk failure and the attempt to
	// reopen the control log.
	logReopenDelay = 500 * time.Millisecond
	// notifyDelay is the time from a change of the registry to the wake-up of those
	// who wait for it.
	notifyDelay = 10 * time.Millisecond
	// announceGather is how long the announcement of a target waits for others to
	// share its log entry, and announceInterval the shortest time between two such
	// entries.
	announceGather   = 3 * time.Millisecond
	announceInterval = 20 * time.Millisecond
)

// EngineAPI queries and changes the weights that engines run.
type EngineAPI interface {
	// Report returns the weights and the load of an engine.
	Report(ctx context.Context, t fleet.Target) (EngineReport, error)
	// SetWeights orders an engine to load other weights.
	SetWeights(ctx context.Context, t fleet.Target, order WeightsOrder) error
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	// Weights maps models to the version of the weights that the engine runs.
	Weights map[string]uint64
	// Busy is set while the engine executes an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted since
	// it started.
	AcceptedOrders uint64
	// Requests is the number of running and queued requests.
	Requests int
}

// WeightsOrder tells an engine which version of a model to run. Requests that
// are running at that time continue with the new weights.
type WeightsOrder struct {
	Model   string
	Version uint64
	// Holder is the VM that gives the order. FencingToken is its fencing token,
	// the Raft term.
	Holder       string
	FencingToken uint64
	// AcceptedOrders is the number of orders that the engine must have accepted
	// before this one. An engine with another count rejects the order, so that
	// a delayed order has no effect.
	AcceptedOrders uint64
}

// DocumentDecoder decodes the document that an operator has sent. Its error
// names the invalid part.
type DocumentDecoder func(raw []byte) (*gatewayconfig.Document, error)

// Core is a core process: one replica of the control log, with the tasks that
// the leader runs.
type Core struct {
	settings Settings
	logger   *zap.Logger
	decode   DocumentDecoder
	engines  EngineAPI
	document *gatewayconfig.StateMachine
	registry *fleet.Registry
	replica  *replica.Replica
	// lastAtStart is the index of the last entry of the log when it was opened.
	lastAtStart uint64
	log         *replica.Log
	client      *http.Client
	// addressZones has the zones of the members.
	addressZones addressZones
	barriers     *batcher[struct{}, uint64]
	relays       *batcher[*followv1.FrontReport, *relayedReport]
	announces    *batcher[fleet.Target, struct{}]
	// rejectedHeartbeats counts the heartbeats that name no usable target.
	rejectedHeartbeats rejections
	encoded            encodedState
	// uploads and downloads order the large bodies of the operators' calls.
	uploads, downloads *transferTurns
	storeHealth        *storeHealth
	counters           *metrics.Set
	// budget limits what clients take.
	budget *processBudget
	// bodyWait limits each wait for the body of a call.
	bodyWait time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	// calls is the context of all calls to this member; endCalls ends them.
	calls    context.Context
	endCalls context.CancelFunc
	// stopping is closed when the member has been told to stop.
	stopping chan struct{}
	stalls   *stallwatch.Watch
	tasks    sync.WaitGroup
	disk     disk.Options
	// logFailed is closed when the control log has failed.
	logFailed     chan struct{}
	logFailedOnce sync.Once

	// changingMembers is held during a membership change that this member makes as leader.
	changingMembers sync.Mutex

	// notifyPending is set while a wake-up is due.
	notifyPending atomic.Bool

	mu sync.Mutex
	// changed is closed and replaced whenever the replicated state or the Raft
	// role changes.
	changed   chan struct{}
	allocator *ratelimit.ShareAllocator
	fronts    *fleetsync.Fronts
	evidence  *crashEvidence
	rollouts  *rolloutEvidence
	// electedAt is when this replica became leader, on the boot clock; 0 if it
	// is not the leader.
	electedAt time.Duration
	// zones maps the peer addresses of core members to their zones, as far as
	// they have called this leader.
	zones map[string]string
	// leaderlessSince is when this replica lost its leader, on the boot clock; 0
	// while it knows one.
	leaderlessSince time.Duration
	// relayed is what the leader returned with the last relayed reports.
	relayed relayedState
}

// CoreOptions are the dependencies of a core process.
type CoreOptions struct {
	Logger  *zap.Logger
	Decode  DocumentDecoder
	Engines EngineAPI
	// Disk replaces the function that opens files. Only tests set it.
	Disk disk.Options
	// Control returns the handler for operators and targets of a core.
	Control func(*Core) http.Handler

	// budget limits what clients take, over all runs of the core in this process.
	budget *processBudget
}

// errLogFailed means that a file of the control log could not be opened or
// written. The log has to be reopened and read from disk, because a failed write
// leaves the contents of the file undefined.
var errLogFailed = errors.New("control log failed")

// errLogDamaged means that the control log has damage that no crash can have caused.
var errLogDamaged = errors.New("control log is damaged")

// RunCore runs a core process until ctx is done. After a disk failure it reopens
// the control log: if the member stayed down, the core would lose its majority
// at the next failure. A member with a damaged log joins again like one that has lost
// its disk.
func RunCore(ctx context.Context, s Settings, options CoreOptions) error {
	options.budget = newProcessBudget(&s)
	options.budget.serveMetrics(&s, metrics.New(s.VM+"-metrics"), options.Logger)
	for {
		err := runCore(ctx, s, options)
		if err == nil || !errors.Is(err, errLogFailed) {
			return err
		}
		options.Logger.Warn("control log failed; reopening it", zap.Duration("after", logReopenDelay), zap.Error(err))
		if errors.Is(err, errLogDamaged) {
			// The replica ID of the first start must not be used again.
			s.FirstStart = false
			folder, err := setAsideControlLog(s.DataFolder)
			options.Logger.Error("damaged control log set aside; joining with a new replica ID", zap.String("folder", folder), zap.Error(err))
		}
		if !pause.For(ctx, logReopenDelay) {
			return nil
		}
	}
}

// runCore runs a core process until ctx is done or the control log fails.
func runCore(ctx context.Context, s Settings, options CoreOptions) error {
	c := &Core{
		settings: s, logger: options.Logger, decode: options.Decode, engines: options.Engines, disk: options.Disk,
		document: &gatewayconfig.StateMachine{}, registry: fleet.NewRegistry(), changed: make(chan struct{}), logFailed: make(chan struct{}),
		storeHealth: newStoreHealth(), zones: make(map[string]string),
		uploads: newTransferTurns(), downloads: newTransferTurns(),
		relayed:  relayedState{fronts: &fleetsync.FrontList{}},
		counters: metrics.New(s.VM), stopping: make(chan struct{}), stalls: stallwatch.New(options.Logger),
		budget: options.budget, bodyWait: coreHeaderTimeout,
	}
	c.client = peerClient(c.addressZones.meter(&c.settings, c.counters), trafficReplication)
	// The tasks keep running after ctx is done, so that shutdown can transfer
	// the leadership.
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer c.tasks.Wait()
	defer c.cancel()
	c.calls, c.endCalls = context.WithCancel(c.ctx)
	defer c.endCalls()
	c.document.OnChange = c.notify
	c.registry.OnChange = c.notifySoon
	if err := c.openReplica(); err != nil {
		return err
	}
	c.registerGauges()
	c.barriers = newBatcher(batchLimits{timeout: readTimeout}, c.runBarrier)
	c.startTask(c.stalls.Run)
	c.startTask(c.barriers.serve)
	c.relays = newBatcher(batchLimits{gather: relayGather, interval: relayInterval, timeout: relayTimeout, maxSize: maxRelayBytes}, c.relayReports)
	c.relays.size = func(report *followv1.FrontReport) int { return proto.Size(report) }
	c.startTask(c.relays.serve)
	c.startTask(c.contactLeader)
	c.announces = newBatcher(batchLimits{gather: announceGather, interval: announceInterval, timeout: proposeTimeout}, c.announceAll)
	c.startTask(c.announces.serve)
	c.startTask(c.repairMembers)
	c.startTask(c.join)
	c.startTask(c.updateWeights)
	c.startTask(c.recordSpending)
	c.startTask(c.probeStores)
	c.startTask(c.updateQuarantine)
	c.startTask(c.runRollouts)
	servers, err := c.serve(options.Control(c))
	if err != nil {
		return err
	}
	c.logger.Info("core started", zap.Bool("first_start", s.FirstStart), zap.String("replica", c.replica.Status().ID))
	select {
	case <-ctx.Done():
		c.shutdown(servers)
		return nil
	case <-c.logFailed:
	}
	servers.close()
	return errors.Mark(c.replica.Status().Failure, errLogFailed)
}

// registerGauges exports the state of this member as metrics.
func (c *Core) registerGauges() {
	set := c.counters
	c.stalls.Register(set.Gauge)
	c.budget.register(set)
	set.Gauge("leads", func() any { return c.replica.Status().Role == raft.Leader })
	set.Gauge("term", func() any { return c.replica.Status().Term })
	set.Gauge("commit", func() any { return c.replica.Status().Commit })
	set.Gauge("voters", func() any { return c.replica.Status().Members.VoterCount() })
	set.Gauge("document", func() any { return c.document.Current().Version })
	set.Gauge("targets", func() any { return c.registry.TargetCount() })
	set.Gauge("rollouts", c.rolloutGauge)
	set.Gauge("heartbeats_rejected", func() any { return c.rejectedHeartbeats.total() })
}

// startTask runs f in the background until the core shuts down.
func (c *Core) startTask(f func(context.Context)) {
	c.tasks.Go(func() { f(c.ctx) })
}

func (c *Core) openReplica() error {
	id, bootstrap, err := loadIdentity(&c.settings)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "load the replica ID"), errLogFailed)
	}
	url := func(address string) string { return "http://" + address }
	r, err := replica.Open(replica.Config{
		ID:            id,
		Folder:        c.settings.DataFolder,
		Disk:          c.disk,
		Bootstrap:     bootstrap,
		StateMachines: map[control.Kind]control.StateMachine{control.KindDocument: c.document, control.KindFleet: c.registry},
		Transport:     &replica.TwirpTransport{Self: c.settings.selfPeerAddress(), URL: url, Client: c.client, Go: c.startTask, Logger: c.logger},
		Clock:         time.Now,
		ElectionClock: boottime.Now,
		OnChange:      c.onReplicaStatus,
	})
	if err != nil {
		err = errors.Mark(errors.Wrap(err, "open the control log"), errLogFailed)
		var corrupt *disk.CorruptError
		if errors.As(err, &corrupt) {
			err = errors.Mark(err, errLogDamaged)
		}
		return err
	}
	c.replica, c.lastAtStart = r, r.Status().Last
	c.log = &replica.Log{Replica: r, Voters: initialVoters(&c.settings), URL: url, Client: c.client}
	c.startTask(r.Run)
	return nil
}

// notify wakes all goroutines that wait for a state change.
func (c *Core) notify() {
	c.mu.Lock()
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
}

// notifySoon wakes all waiting goroutines after notifyDelay. Changes of the registry
// come in quick succession while a deployment starts, and share one wake-up.
func (c *Core) notifySoon() {
	if c.notifyPending.CompareAndSwap(false, true) {
		time.AfterFunc(notifyDelay, func() {
			c.notifyPending.Store(false)
			c.notify()
		})
	}
}

// changeSignal returns a channel that is closed at the next state change.
func (c *Core) changeSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// isMember reports whether this replica is a member of the control log and has
// not failed, so that its state follows the log.
func (c *Core) isMember() bool {
	status := c.replica.Status()
	_, ok := status.Members.Find(status.ID)
	return ok && status.Failure == nil
}

// ErrUnavailable means that the core cannot respond at present. A proposal that
// ends with it has no effect, unless the error is ErrUncertain too.
var ErrUnavailable = errors.New("the control log is not reachable")

// ErrUncertain means that a proposal may have been accepted, or may be later. It comes with
// ErrUnavailable.
var ErrUncertain = errors.New("the outcome of the proposal is unknown")

// proposalError marks the error of a proposal.
func proposalError(err error) error {
	if !errors.Is(err, control.ErrNotCommitted) && !errors.Is(err, errOverloaded) {
		err = errors.Mark(err, ErrUncertain)
	}
	return errors.Mark(err, ErrUnavailable)
}

// readBarrier blocks until this replica has applied all entries that were
// committed before the call, and returns a log index that covers them.
func (c *Core) readBarrier(ctx context.Context) (uint64, error) {
	if !c.isMember() {
		return 0, errors.Mark(errors.New("this VM is not a member of the control log"), ErrUnavailable)
	}
	return c.awaitBarrier(ctx)
}

// awaitBarrier is readBarrier for a replica that was a member when the read began.
func (c *Core) awaitBarrier(ctx context.Context) (uint64, error) {
	index, err := c.log.Barrier(ctx)
	if err == nil {
		// A replica that is removed from the log during the call and joins again gets
		// the index, but has not applied it yet.
		err = c.replica.WaitApplied(ctx, index)
	}
	if err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	return index, nil
}

// runBarrier carries out a batch of read barriers as one.
func (c *Core) runBarrier(ctx context.Context, calls []struct{}) ([]uint64, error) {
	index, err := c.readBarrier(ctx)
	if err != nil {
		return nil, err
	}
	return slices.Repeat([]uint64{index}, len(calls)), nil
}

// proposalTimeout returns the time limit of a proposal with the given size in bytes.
func proposalTimeout(size int) time.Duration { return proposeTimeout + replica.TransferTime(size) }

// propose appends a command to the control log and waits until it is committed.
func (c *Core) propose(ctx context.Context, kind control.Kind, body []byte) error {
	_, err := c.proposeForResult(ctx, kind, body)
	return err
}

// proposeForResult is like propose, and returns the response of the state machine.
func (c *Core) proposeForResult(ctx context.Context, kind control.Kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout(len(body)))
	defer cancel()
	response, err := c.log.Propose(ctx, kind, body)
	if err != nil {
		return nil, proposalError(err)
	}
	return response, nil
}
