package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
	"github.com/cuminwing/cuminwing/internal/serving"
	ratev1 "github.com/cuminwing/cuminwing/proto/rate/v1"
)

const (
	// waiterCheckInterval is how often waiting requests are checked for tokens.
	waiterCheckInterval = 25 * time.Millisecond
	// rateReportInterval is how often a VM that holds tokens reports to the
	// root, the allocator on the leader of the control log. It must be well below
	// the time to live of grants.
	rateReportInterval = 400 * time.Millisecond
	// rateWaitingReportInterval is the report interval while requests wait for
	// tokens.
	rateWaitingReportInterval = 50 * time.Millisecond
	// rateCallTimeout limits a call to the root or to a zone peer. The one-way
	// latency between two regions is 30 ms.
	rateCallTimeout = 250 * time.Millisecond
)

// rateLimiter admits requests by the token rate of their workspace.
type rateLimiter struct {
	node        *Node
	local       *ratelimit.LocalLimiter
	waiterAdded chan struct{}

	mu   sync.Mutex
	root *ratelimit.RootAllocator
	term uint64
}

// startRates creates the rate limiter of this VM and serves the other VMs.
func (n *Node) startRates() error {
	holder := ratelimit.Holder{VM: n.settings.VM, Incarnation: n.incarnation}
	slot := fmt.Sprintf("%s/%d", n.settings.Zone, n.settings.Slot)
	n.rates = &rateLimiter{
		node:        n,
		local:       ratelimit.NewLocalLimiter(n.clock(), holder, slot),
		waiterAdded: make(chan struct{}, 1),
	}
	server := ratev1.NewRateServiceServer(n.rates)
	n.peerMux.Handle(server.PathPrefix(), server)
	n.background(n.rates.run)
	return nil
}

// Admit implements serving.Limiter.
func (r *rateLimiter) Admit(ctx context.Context, snap *config.Snapshot, workspace string, tokens int64, maxWait time.Duration) (serving.Reservation, *serving.Refusal) {
	limit, ok := rateLimit(snap, workspace)
	if !ok {
		return nil, &serving.Refusal{Status: http.StatusForbidden, Code: "no_rate", Message: "the workspace has no rate", Run: serving.NotRun}
	}
	if float64(tokens) > limit.Burst {
		return nil, &serving.Refusal{Status: http.StatusBadRequest, Code: "request_exceeds_burst", Message: "the request needs more tokens than the workspace's burst", Run: serving.NotRun}
	}
	waiter := r.local.Admit(r.node.clock(), workspace, limit, float64(tokens))
	if waiter != nil && !r.awaitTokens(ctx, workspace, waiter, maxWait) {
		return nil, rateRefusal(limit, tokens)
	}
	return &reservation{limiter: r, workspace: workspace, admitted: r.node.clock(), charged: tokens}, nil
}

// awaitTokens waits until the request gets its tokens. It returns false if
// maxWait or ctx ends first.
func (r *rateLimiter) awaitTokens(ctx context.Context, workspace string, w *ratelimit.Waiter, maxWait time.Duration) bool {
	select {
	case r.waiterAdded <- struct{}{}:
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.Ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !r.local.Cancel(r.node.clock(), workspace, w)
}

func rateRefusal(limit ratelimit.Limit, tokens int64) *serving.Refusal {
	wait := time.Duration(float64(tokens) / limit.Rate * float64(time.Second))
	return &serving.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       "rate_limit_exceeded",
		Message:    "the workspace has used its token rate and burst",
		Run:        serving.NotRun,
		RetryAfter: min(max(wait, time.Second), time.Minute),
	}
}

// reservation implements serving.Reservation.
type reservation struct {
	limiter   *rateLimiter
	workspace string
	admitted  time.Time
	charged   int64
	once      sync.Once
}

// Settle implements serving.Reservation.
func (r *reservation) Settle(actual int64) {
	r.once.Do(func() {
		r.limiter.local.Settle(r.limiter.node.clock(), r.workspace, r.admitted, float64(r.charged), float64(actual))
	})
}

func rateLimit(snap *config.Snapshot, workspace string) (ratelimit.Limit, bool) {
	rate, ok := snap.Document.Rates[workspace]
	if !ok {
		return ratelimit.Limit{}, false
	}
	return ratelimit.Limit{
		Rate:          rate.RateTokensPerSecond,
		Burst:         rate.BurstTokens,
		FloorFraction: rate.FloorFraction,
		Slots:         snap.VMSlots(),
	}, true
}

// run reports to the root and borrows from zone peers while requests wait. It
// is idle while this VM neither holds nor needs tokens.
func (r *rateLimiter) run(ctx context.Context) {
	var reported time.Time
	active := false
	for {
		interval := rateReportInterval
		switch {
		case r.local.Waiting():
			interval = waiterCheckInterval
		case !active:
			interval = time.Hour
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.waiterAdded:
		case <-timer.C:
		}
		timer.Stop()
		r.local.AdmitWaiting(r.node.clock())
		if time.Since(reported) < r.reportInterval() {
			active = true
			continue
		}
		reported = time.Now()
		active = r.report(ctx)
		r.borrow(ctx)
	}
}

func (r *rateLimiter) reportInterval() time.Duration {
	if r.local.Waiting() {
		return rateWaitingReportInterval
	}
	return rateReportInterval
}

// report sends one report to the root and credits the grants. It returns
// whether this VM holds or needs tokens.
func (r *rateLimiter) report(ctx context.Context) bool {
	report, ok := r.local.Report(r.node.clock())
	if !ok {
		return false
	}
	address, ok := r.rootAddress()
	if !ok {
		r.node.observer.metrics.Add("rate_reports_without_root", 1)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, rateCallTimeout)
	defer cancel()
	var response *ratev1.AcquireResponse
	var err error
	if address == r.node.settings.PeerAddress {
		response, err = r.Acquire(ctx, encodeReport(report))
	} else {
		client := ratev1.NewRateServiceProtobufClient(r.node.peerURL(address), r.node.peerClient)
		response, err = client.Acquire(ctx, encodeReport(report))
	}
	if err != nil {
		r.node.observer.metrics.Add("rate_report_errors", 1)
		return true
	}
	r.node.observer.metrics.Add("rate_reports", 1)
	r.local.ApplyGrants(r.node.clock(), report.Sequence, decodeGrants(response.GetGrants()))
	return true
}

// rootAddress returns the peer address of the root, which runs on the leader of
// the control log.
func (r *rateLimiter) rootAddress() (string, bool) {
	if r.node.log == nil {
		return "", false
	}
	leader, ok := r.node.log.Leader()
	if !ok {
		return "", false
	}
	for _, m := range r.node.members() {
		if m.VM == leader {
			return m.PeerAddress, true
		}
	}
	address, ok := r.node.settings.InitialVoters[leader]
	return address, ok
}

// borrow asks zone peers for the tokens that waiting requests still need.
func (r *rateLimiter) borrow(ctx context.Context) {
	for _, shortfall := range r.local.Shortfalls(r.node.clock()) {
		for _, m := range r.node.members() {
			if m.Zone != r.node.settings.Zone || m.VM == r.node.settings.VM {
				continue
			}
			shortfall.Tokens -= r.borrowFrom(ctx, m.PeerAddress, shortfall)
			if shortfall.Tokens <= 0 {
				break
			}
		}
	}
}

func (r *rateLimiter) borrowFrom(ctx context.Context, address string, shortfall ratelimit.Shortfall) float64 {
	ctx, cancel := context.WithTimeout(ctx, rateCallTimeout)
	defer cancel()
	client := ratev1.NewRateServiceProtobufClient(r.node.peerURL(address), r.node.peerClient)
	sent := r.node.clock()
	response, err := client.Lend(ctx, &ratev1.LendRequest{Workspace: shortfall.Workspace, Tokens: shortfall.Tokens})
	if err != nil {
		return 0
	}
	ttl := time.Duration(response.GetTtlMs()) * time.Millisecond
	r.local.Borrow(r.node.clock(), sent, shortfall.Workspace, response.GetTokens(), ttl)
	return response.GetTokens()
}

// Acquire implements ratev1.RateService. Only the leader of the control log
// grants tokens.
func (r *rateLimiter) Acquire(_ context.Context, request *ratev1.AcquireRequest) (*ratev1.AcquireResponse, error) {
	snap := r.node.Snapshot()
	root := r.currentRoot()
	if root == nil || snap == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this VM does not hold the lease of the control log")
	}
	limitOf := func(workspace string) (ratelimit.Limit, bool) { return rateLimit(snap, workspace) }
	grants := root.Handle(r.node.clock(), decodeReport(request), limitOf)
	if !r.node.log.HoldsLease() {
		// The lease may have expired while the root handled the report, and a new
		// leader may already be granting tokens.
		return nil, twirp.NewError(twirp.Unavailable, "the lease of the control log has ended")
	}
	return &ratev1.AcquireResponse{Grants: encodeGrants(grants)}, nil
}

// currentRoot returns the root for the current leader lease, or nil without a
// lease. A lease in another term gets a new root, because other leaders may
// have granted tokens in the meantime.
func (r *rateLimiter) currentRoot() *ratelimit.RootAllocator {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node.replica == nil || r.node.log == nil || !r.node.log.HoldsLease() {
		r.root = nil
		return nil
	}
	term := r.node.replica.Status().Term
	if r.root == nil || r.term != term {
		r.root = ratelimit.NewRootAllocator(r.node.clock())
		r.term = term
	}
	return r.root
}

// Lend implements ratev1.RateService.
func (r *rateLimiter) Lend(_ context.Context, request *ratev1.LendRequest) (*ratev1.LendResponse, error) {
	tokens, ttl := r.local.Lend(r.node.clock(), request.GetWorkspace(), request.GetTokens())
	return &ratev1.LendResponse{Tokens: tokens, TtlMs: ttl.Milliseconds()}, nil
}
