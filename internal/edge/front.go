package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/stallwatch"
	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/adapter/traffic"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/overload"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

const (
	// keyValidityMargin is subtracted from the time for which keys are accepted
	// after the last confirmation by a quorum. It covers a request that is
	// queued in this process.
	keyValidityMargin = 500 * time.Millisecond
	// maxReadyStateAge is the age of the confirmed state above which the front
	// fails its readiness check. It is longer than a change of leader takes.
	maxReadyStateAge = 4200 * time.Millisecond
	// initialStateTimeout is how long after its start a front expects the first
	// state. coreRecoveryTimeout is how long it expects an unreachable core to
	// recover after keys are no longer accepted. After these times requests
	// are rejected at once instead of waiting for the state.
	initialStateTimeout = 3 * time.Second
	coreRecoveryTimeout = time.Second
	// initialSyncWait limits how long a starting front waits for the state
	// before it accepts connections. Without the state, callers are told to
	// retry.
	initialSyncWait = 400 * time.Millisecond
	// targetProbeInterval is the time between two probes of an unreachable
	// target. The next request reuses the connection that a probe opens.
	targetProbeInterval = 300 * time.Millisecond
	// sweepInterval is the time between two sweeps of the idle connections.
	sweepInterval = time.Second
	// defaultHeadBytes limits the heads of requests if the document sets no limit, as the
	// handler does.
	defaultHeadBytes = 64 << 10
	// maxReadHeaderBytes limits the headers that the server reads, whatever limit the
	// document sets. The connections keep to the limit of the document.
	maxReadHeaderBytes = 256 << 10
	// idleTimeoutMargin is added to the idle timeout of caller connections. It
	// avoids the race between a new request and the close of an idle
	// connection.
	idleTimeoutMargin = 2 * time.Second
	// defaultIdleTimeout is the idle timeout of caller connections if the
	// document sets none.
	defaultIdleTimeout = 15 * time.Second
	// defaultHeaderTimeout limits the time to read the headers of a request if
	// the document sets no limit.
	defaultHeaderTimeout = 3 * time.Second
)

// Front is a front process: it accepts requests from callers and forwards them
// to targets.
type Front struct {
	settings Settings
	logger   *zap.Logger
	decode   DocumentDecoder
	overload *overload.Control
	placer   *placement.Placer
	rollouts *rolloutPlacer
	// quarantine keeps requests that crash engines away from them.
	quarantine *frontQuarantine
	shares     *ratelimit.ShareLimiter
	pool       *targetconn.Pool
	counters   *metrics.Set
	handler    *proxy.Handler
	// callers are the connections to callers.
	callers *httpconn.Tracker
	// budget limits what clients take.
	budget *processBudget
	client *http.Client
	// meter counts the bytes of the front's connections, by the zones of their other ends.
	meter *traffic.Meter
	zones addressZones
	// incarnation identifies this run of the process: its start in Unix
	// milliseconds.
	incarnation int64
	// startedAt is the start of the process on the boot clock, which leases
	// use as well.
	startedAt time.Duration

	state        atomic.Pointer[proxy.State]
	registry     *fleet.State
	peers        *frontPeers
	staleWeights *staleWeightsFilter
	// weightsPending is set while an engine is being updated or runs older
	// weights than required, and after a change of leader. While it is set,
	// each served poll updates placement.
	weightsPending bool
	// unreachableStores are the addresses of stores that the leader cannot
	// reach.
	unreachableStores []string
	// leader is the leader that confirmed the present state.
	leader leaderInfo
	// synced is closed once the front has received its first complete state.
	synced     chan struct{}
	syncedOnce sync.Once
	// sharesReceived is set once the front has its shares of the workspace rates.
	sharesReceived atomic.Bool
	stop           *stopClock
	stalls         *stallwatch.Watch
}

// FrontOptions are the dependencies of a front process.
type FrontOptions struct {
	Logger *zap.Logger
	Decode DocumentDecoder
	Codec  proxy.Codec
}

// RunFront runs a front process until ctx is done. It returns after the requests
// in flight have completed.
func RunFront(ctx context.Context, s Settings, options FrontOptions) error {
	f := newFront(s, options)
	f.budget.serveMetrics(&s, f.counters, f.logger, f.registerExplain)
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	f.quarantine.ctx = taskCtx
	tasks.Go(func() { f.stalls.Run(taskCtx) })
	tasks.Go(func() { f.followCore(taskCtx) })
	tasks.Go(func() { f.sweepConnections(taskCtx) })
	tasks.Go(func() { f.callers.WatchAcks(taskCtx) })
	tasks.Go(func() { f.probeUnreachableTargets(taskCtx) })
	if err := f.startPeerExchange(taskCtx, &tasks); err != nil {
		return err
	}
	listener, err := listenWith(s.FrontAddress, callerKeepAlive)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := f.serveReadiness()
	if err != nil {
		return err
	}
	defer ready.Close()
	f.logger.Info("front started", zap.String("zone", s.Zone), zap.Strings("seeds", s.Seeds))
	f.serve(ctx, listener)
	f.logger.Info("front stopped")
	return nil
}

func newFront(s Settings, options FrontOptions) *Front {
	f := &Front{
		settings: s, logger: options.Logger, decode: options.Decode,
		placer:       placement.New(s.Zone, s.Region, time.Now),
		overload:     overload.New(time.Now, rand.Float64),
		peers:        newFrontPeers(),
		staleWeights: newStaleWeightsFilter(s.Guarantees.StaleWeights - staleWeightsMargin),
		shares:       ratelimit.NewShareLimiter(s.Guarantees.Quota),
		pool:         targetconn.New(),
		counters:     metrics.New(s.VM),
		stop:         newStopClock(s.Guarantees.GracePeriod),
		incarnation:  time.Now().UnixMilli(),
		startedAt:    boottime.Now(),
		registry:     fleet.NewState(),
		synced:       make(chan struct{}),
		stalls:       stallwatch.New(options.Logger),
		budget:       newProcessBudget(&s),
	}
	f.rollouts = newRolloutPlacer(f.placer, options.Logger)
	f.rollouts.confirmed = func() time.Duration { return f.state.Load().Confirmed }
	f.rollouts.count = func(name string) { f.counters.Add(name, 1) }
	f.budget.register(f.counters)
	f.pool.Memory, f.pool.Descriptors = f.budget.memory, f.budget.connections
	f.budget.connections.LimitSockets(httpconn.DescriptorSockets(), f.pool.CloseIdle)
	f.meter = f.zones.meter(&f.settings, f.counters)
	f.client = peerClient(f.meter, trafficCore)
	f.pool.DialContext = f.meter.Dial(trafficTargets, f.pool.DialContext)
	f.stalls.Register(f.counters.Gauge)
	f.callers = &httpconn.Tracker{
		Limits: f.callerLimits, Logger: f.logger, AckTimeout: ackTimeout, Budget: f.budget.connections,
		Count: func(name string) { f.counters.Add("caller_"+name, 1) },
	}
	f.placer.OnNotice = f.logNotice
	f.placer.OnFirstByte, f.placer.OnUnanswered = f.recordFirstByte, f.recordUnanswered
	f.placer.Stopping = f.stop.stopping
	for _, reason := range []placement.PassReason{placement.PassDraining, placement.PassPaused, placement.PassLimited} {
		f.counters.Gauge("targets_passed_over_"+reason.String(), func() any { return f.placer.PassedOver(reason) })
	}
	for _, reason := range []overload.Reason{overload.BeyondPatience, overload.StandingQueue, overload.LateResponses, overload.Probe} {
		f.counters.Gauge("overload_"+reason.String(), func() any { return f.overload.Count(reason) })
	}
	for _, cause := range placement.RereadCauses {
		f.counters.Gauge("shared_tokens_read_again_"+cause.String(), func() any { return f.placer.RereadTokens(cause) })
	}
	f.counters.Gauge("unseen_work_since_hints_ms", func() any { return f.placer.UnseenWork() })
	f.quarantine = newFrontQuarantine(f.pool.Probe, f.logger)
	f.quarantine.leaves = f.placer.Leaves
	f.counters.Gauge("connections_opened", func() any { return f.pool.OpenedConnections() })
	f.counters.Gauge("target_connections", func() any { return f.budget.connections.TargetConnections() })
	f.counters.Gauge("confirmed_age_ms", func() any { return (boottime.Now() - f.state.Load().Confirmed).Milliseconds() })
	f.state.Store(&proxy.State{Confirmed: -time.Hour})
	f.handler = &proxy.Handler{
		Codec: options.Codec, State: f.servingState,
		Placer: f.rollouts, Quarantine: f.quarantine, Quota: f.shares, Pool: f.pool, Logger: f.logger, BootClock: boottime.Now,
		Memory: f.budget.memory, OfferPlace: httpconn.OfferPlace,
		Overload: f.overload,
		KeyLease: s.Guarantees.KeyRevocation - keyValidityMargin, DenialLease: s.Guarantees.DocumentDelay, StateExpected: f.stateExpected, Shutdown: f.stop, Observe: f.recordRequest,
		CountBackup: func(e proxy.BackupEvent) { f.counters.Add("stream_backups_"+e.String(), 1) },
		Budget:      &proxy.Budget{Ratio: s.Guarantees.RetryRatio, Slack: s.Guarantees.RetrySlack, Window: s.Guarantees.RetryWindow},
	}
	return f
}

// logNotice logs a change of what a target accepts.
func (f *Front) logNotice(change placement.NoticeChange) {
	f.logger.Info("target changed what it accepts", zap.String("target", change.Target), zap.Bool("draining", change.Draining),
		zap.Duration("pause", change.Pause), zap.Bool("limited", change.HasLimit), zap.Float64("limit", change.Limit),
		zap.Bool("from_peer", change.FromPeer))
}

// kindLabels are the names of the run kinds in metrics.
var kindLabels = map[gatewayconfig.RunKind]string{
	gatewayconfig.RunOnce: "once", gatewayconfig.RunIdempotent: "idempotent", gatewayconfig.RunStream: "stream",
}

// recordRequest counts a completed request and its latency.
func (f *Front) recordRequest(kind gatewayconfig.RunKind, code string, took time.Duration) {
	name := kindLabels[kind]
	f.counters.Add("requests_"+name+"_"+code, 1)
	f.counters.Add("request_time_"+name+"_"+latencyBucket(took), 1)
}

// recordFirstByte counts a response by the expected and the actual time to its first byte.
func (f *Front) recordFirstByte(expected, actual time.Duration) {
	f.counters.Add("first_byte_expected_"+latencyBucket(expected)+"_actual_"+latencyBucket(actual), 1)
}

// recordUnanswered counts an attempt that ended without a first byte by the expected time
// to it, and by cause.
func (f *Front) recordUnanswered(expected time.Duration, cause placement.Cause) {
	f.counters.Add("first_byte_expected_"+latencyBucket(expected)+"_actual_none", 1)
	f.counters.Add("unanswered_"+cause.String(), 1)
}

// stateExpected reports whether the core is expected to respond soon, so that a
// request should wait for a usable state.
func (f *Front) stateExpected() bool {
	state := f.servingState()
	if state.Table == nil {
		return boottime.Now()-f.startedAt < initialStateTimeout
	}
	return boottime.Now()-state.Confirmed < f.handler.KeyLease+coreRecoveryTimeout
}

// serveReadiness starts the server for the load balancer's readiness checks.
func (f *Front) serveReadiness() (*http.Server, error) {
	listener, err := listen(f.settings.ReadyAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness checks")
	}
	mux := http.NewServeMux()
	registerMetrics(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return f.budget.serveInternal(f.logger, f.counters, "ready", listener, mux), nil
}

func (f *Front) ready() bool {
	state := f.servingState()
	return !f.stop.stopping() && state.Table != nil && boottime.Now()-state.Confirmed < maxReadyStateAge
}

// serve accepts caller connections until ctx is done. It then fails the
// readiness check and drains the requests in flight.
func (f *Front) serve(ctx context.Context, listener net.Listener) {
	select {
	case <-f.synced:
	case <-time.After(initialSyncWait):
	case <-ctx.Done():
	}
	server := f.newServer()
	go serveUntilClosed(f.logger, server, f.callers.Listen(listener))
	<-ctx.Done()
	stopStarted := time.Now()
	f.stop.begin(stopStarted)
	f.logger.Info("front stops", zap.String("reason", "signal"))
	if err := f.callers.Drain(f.stop.connectionsEnded(), listener, stopStarted.Add(f.stop.minListenTime()), f.stop.requestsEnd()); err != nil {
		f.logger.Warn("grace period ended with open connections; closing them", zap.Error(err))
	}
	_ = server.Close()
}

// newServer returns the HTTP server for callers. The time limits are those of its
// connections, and the handler limits the headers.
func (f *Front) newServer() *http.Server {
	return &http.Server{
		Handler: f.handler, MaxHeaderBytes: maxReadHeaderBytes, ConnState: f.callers.ConnState, ConnContext: f.callers.ConnContext,
		ErrorLog: zap.NewStdLog(f.logger),
	}
}

// callerLimits returns the limits of the document in force.
func (f *Front) callerLimits() httpconn.Limits {
	limits := httpconn.Limits{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout + idleTimeoutMargin, HeadBytes: defaultHeadBytes}
	table := f.state.Load().Table
	if table == nil {
		return limits
	}
	limits.Document = table.Document.Version
	if timeout := table.Document.Limits.HeaderTimeout; timeout > 0 {
		limits.Header = timeout
	}
	if timeout := table.Document.Limits.IdleTimeout; timeout > 0 {
		limits.Idle = timeout + idleTimeoutMargin
	}
	if bytes := table.Document.Limits.MaxHeaderBytes; bytes > 0 {
		limits.HeadBytes = bytes
	}
	return limits
}

// probeUnreachableTargets probes targets that could not be reached, so that no
// request is spent on finding out whether they are reachable again.
func (f *Front) probeUnreachableTargets(ctx context.Context) {
	for pause.For(ctx, targetProbeInterval) {
		var probes sync.WaitGroup
		for _, t := range f.placer.UnreachableTargets() {
			probes.Go(func() { f.probeTarget(ctx, t) })
		}
		probes.Wait()
	}
}

// probeTarget connects to a target and returns it to placement if that succeeds.
func (f *Front) probeTarget(ctx context.Context, t placement.Target) {
	if err := f.pool.Probe(ctx, t.Address); err != nil {
		return
	}
	f.placer.RecordReachable(t.ID)
	f.logger.Info("target regained", zap.String("target", t.ID), zap.String("address", t.Address))
}

// sweepConnections closes the idle connections that are no longer needed.
func (f *Front) sweepConnections(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		live := make(map[string]bool)
		for _, t := range f.placer.Targets() {
			live[t.Address] = !t.Excluded
		}
		f.pool.Sweep(live)
	}
}
