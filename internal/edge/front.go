package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/forward"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

const (
	// keyMargin is taken off the time for which keys are taken without a new
	// confirmation; it covers a request that waits inside this process.
	keyMargin = 500 * time.Millisecond
	// readyAge is how old the confirmed state may be while the front calls
	// itself ready. It outlasts a change of leader.
	readyAge = 4200 * time.Millisecond
	// firstState is how long after its start a front expects its first state,
	// and regainState how long it expects a lost core back after it has
	// stopped taking keys. Beyond that callers are told at once to go.
	firstState  = 3 * time.Second
	regainState = time.Second
	// firstServe bounds how long a start waits for the state before callers
	// are told to come back.
	firstServe = 400 * time.Millisecond
	// notReadyLead is the time between the first check that the load balancer
	// sees fail and the close of the listener: two checks a second apart, and
	// the connections already on their way.
	notReadyLead = 2600 * time.Millisecond
	// graceMargin is left of the grace time when the process ends.
	graceMargin = 600 * time.Millisecond
	// findInterval is the time between two looks at targets that could not be
	// reached. The connection that is opened is used by the next request.
	findInterval = 300 * time.Millisecond
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
	// headerBytes bounds the headers of a request while the document states
	// no limit.
	headerBytes = 64 << 10
	// idleSlack is added to the idle limit of callers' connections, so that a
	// request does not cross the close.
	idleSlack = 2 * time.Second
	// defaultIdle is the idle limit while there is no document.
	defaultIdle = 15 * time.Second
	// defaultHeaderTimeout bounds how long a caller may take for its headers.
	defaultHeaderTimeout = 3 * time.Second
)

// Front is one process that takes requests.
type Front struct {
	settings Settings
	logger   *zap.Logger
	decode   Decoder
	placer   *placement.Placer
	shares   *ratelimit.Shares
	pool     *targetconn.Pool
	counters *metrics.Set
	handler  *forward.Handler
	client   *http.Client
	started  int64
	// booted is the start of the process on the clock of leases.
	booted time.Duration

	state    atomic.Pointer[forward.State]
	registry *fleet.State
	peers    *frontPeers
	stale    *staleness
	// pendingWeights is set while an engine has older weights than named.
	pendingWeights bool
	// storesLost are the stores that the leader cannot reach.
	storesLost []string
	// leader is the one that has answered last.
	leader leaderView
	synced chan struct{}
	once   sync.Once
	// granted is set once the front has its parts of the rates.
	granted  atomic.Bool
	stopping atomic.Bool
}

// FrontOptions are the ports of a front process.
type FrontOptions struct {
	Logger *zap.Logger
	Decode Decoder
	Codec  forward.Codec
}

// RunFront runs a front process until ctx ends and its requests are answered.
func RunFront(ctx context.Context, s Settings, options FrontOptions) error {
	f := newFront(s, options)
	serveMetrics(&s, f.logger)
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { f.follow(duties) })
	running.Go(func() { f.sweep(duties) })
	running.Go(func() { f.findLost(duties) })
	if err := f.exchange(duties, &running); err != nil {
		return err
	}
	listener, err := listen(s.FrontAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := f.serveReady()
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
		placer:   placement.New(s.Zone, s.Region, time.Now),
		peers:    &frontPeers{},
		stale:    newStaleness(s.Bounds.Weights - weightsMargin),
		shares:   ratelimit.NewShares(s.Bounds.Quota),
		pool:     targetconn.New(),
		counters: metrics.New(s.VM),
		client:   peerClient(),
		started:  time.Now().UnixMilli(),
		booted:   boottime.Now(),
		registry: fleet.NewState(),
		synced:   make(chan struct{}),
	}
	f.counters.Gauge("connections_opened", func() any { return f.pool.Opened() })
	f.counters.Gauge("confirmed_age_ms", func() any { return (boottime.Now() - f.state.Load().Confirmed).Milliseconds() })
	f.state.Store(&forward.State{Confirmed: -time.Hour})
	f.handler = &forward.Handler{
		Codec: options.Codec, State: f.serving,
		Placer: f.placer, Quota: f.shares, Pool: f.pool, Logger: f.logger, Boot: boottime.Now,
		KeysValid: s.Bounds.Revoke - keyMargin, StateSoon: f.stateSoon, Stopping: f.stopping.Load, Observe: f.observe,
		Budget: &forward.Budget{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
	}
	return f
}

// kindNames name the kinds of run in counters.
var kindNames = map[gateway.RunKind]string{
	gateway.RunOnce: "once", gateway.RunIdempotent: "idempotent", gateway.RunStream: "stream",
}

func (f *Front) observe(kind gateway.RunKind, code string, took time.Duration) {
	name := kindNames[kind]
	f.counters.Add("requests_"+name+"_"+code, 1)
	f.counters.Add("request_time_"+name+"_"+latencyBucket(took), 1)
}

// stateSoon reports whether the core is expected to answer soon.
func (f *Front) stateSoon() bool {
	state := f.serving()
	if state.Table == nil {
		return boottime.Now()-f.booted < firstState
	}
	return boottime.Now()-state.Confirmed < f.handler.KeysValid+regainState
}

// serveReady answers the checks of the load balancer.
func (f *Front) serveReady() (*http.Server, error) {
	listener, err := listen(f.settings.ReadyAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for checks")
	}
	mux := http.NewServeMux()
	addMetrics(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout}
	go serveUntilClosed(f.logger, s, listener)
	return s, nil
}

func (f *Front) ready() bool {
	state := f.serving()
	return !f.stopping.Load() && state.Table != nil && boottime.Now()-state.Confirmed < readyAge
}

// serve takes callers until ctx ends, and then answers what is under way.
func (f *Front) serve(ctx context.Context, listener net.Listener) {
	select {
	case <-f.synced:
	case <-time.After(firstServe):
	case <-ctx.Done():
	}
	server := f.callerServer()
	go serveUntilClosed(f.logger, server, listener)
	<-ctx.Done()
	begun := time.Now()
	f.stopping.Store(true)
	f.logger.Info("front stops", zap.String("reason", "signal"))
	time.Sleep(notReadyLead)
	deadline, cancel := context.WithDeadline(context.Background(), begun.Add(f.settings.Bounds.Grace-graceMargin))
	defer cancel()
	if err := server.Shutdown(deadline); err != nil {
		f.logger.Warn("requests were cut off at the end of the grace time", zap.Error(err))
		_ = server.Close()
	}
}

// callerServer returns the server for callers, with the limits of the document
// that is in force at the start.
func (f *Front) callerServer() *http.Server {
	server := &http.Server{
		Handler: f.handler, MaxHeaderBytes: headerBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle + idleSlack,
		ErrorLog: zap.NewStdLog(f.logger),
	}
	state := f.state.Load()
	if state.Table == nil {
		return server
	}
	limits := state.Table.Document.Limits
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout + idleSlack
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = limits.MaxHeaderBytes
	}
	return server
}

// findLost looks for targets that could not be reached, so that no request has
// to find out whether they are back.
func (f *Front) findLost(ctx context.Context) {
	for pause.For(ctx, findInterval) {
		var waiting sync.WaitGroup
		for _, t := range f.placer.Paused() {
			waiting.Go(func() { f.tryTarget(ctx, t) })
		}
		waiting.Wait()
	}
}

func (f *Front) tryTarget(ctx context.Context, t placement.Target) {
	if err := f.pool.Try(ctx, t.Address); err != nil {
		return
	}
	f.placer.Reachable(t.ID)
	f.logger.Info("target regained", zap.String("target", t.ID), zap.String("address", t.Address))
}

// sweep closes connections that are not needed any more.
func (f *Front) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		live := make(map[string]bool)
		for _, t := range f.placer.Targets() {
			live[t.Address] = !t.Closed
		}
		f.pool.Sweep(live)
	}
}
