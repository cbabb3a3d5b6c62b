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
	// rateTick is how often waiting requests are looked at.
	rateTick = 25 * time.Millisecond
	// rateReportInterval is how often a VM that holds tokens reports. It must
	// be well below the time to live of grants.
	rateReportInterval = 400 * time.Millisecond
	// rateAskInterval is the same while requests wait.
	rateAskInterval = 50 * time.Millisecond
	// rateCallTimeout bounds a call to the root or to a zone peer. Two
	// regions are 30 ms apart, one way.
	rateCallTimeout = 250 * time.Millisecond
)

// rates is the duty that admits requests by the rate of their workspace.
type rates struct {
	node  *Node
	local *ratelimit.Local
	wake  chan struct{}

	mu   sync.Mutex
	root *ratelimit.Root
	term uint64
}

// startRates creates the limiter of this VM and serves the other VMs.
func (n *Node) startRates() error {
	holder := ratelimit.Holder{VM: n.settings.VM, Incarnation: n.incarnation}
	slot := fmt.Sprintf("%s/%d", n.settings.Zone, n.settings.Slot)
	n.rates = &rates{
		node:  n,
		local: ratelimit.NewLocal(n.clock(), holder, slot),
		wake:  make(chan struct{}, 1),
	}
	server := ratev1.NewRateServiceServer(n.rates)
	n.peerMux.Handle(server.PathPrefix(), server)
	n.duty(n.rates.run)
	return nil
}

// Admit implements serving.Limiter.
func (r *rates) Admit(ctx context.Context, snap *config.Snapshot, workspace string, tokens int64, maxWait time.Duration) (serving.Reservation, *serving.Refusal) {
	plan, ok := planOf(snap, workspace)
	if !ok {
		return nil, &serving.Refusal{Status: http.StatusForbidden, Code: "no_rate", Message: "the workspace has no rate", Run: serving.NotRun}
	}
	if float64(tokens) > plan.Burst {
		return nil, &serving.Refusal{Status: http.StatusBadRequest, Code: "request_exceeds_burst", Message: "the request needs more tokens than the workspace's burst", Run: serving.NotRun}
	}
	waiter := r.local.Admit(r.node.clock(), workspace, plan, float64(tokens))
	if waiter != nil && !r.await(ctx, workspace, waiter, maxWait) {
		return nil, rateRefusal(plan, tokens)
	}
	return &reservation{rates: r, workspace: workspace, admitted: r.node.clock(), charged: tokens}, nil
}

// await waits for tokens. It reports false if they did not come in time.
func (r *rates) await(ctx context.Context, workspace string, w *ratelimit.Waiter, maxWait time.Duration) bool {
	select {
	case r.wake <- struct{}{}:
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

func rateRefusal(plan ratelimit.Plan, tokens int64) *serving.Refusal {
	wait := time.Duration(float64(tokens) / plan.Rate * float64(time.Second))
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
	rates     *rates
	workspace string
	admitted  time.Time
	charged   int64
	once      sync.Once
}

// Settle implements serving.Reservation.
func (r *reservation) Settle(actual int64) {
	r.once.Do(func() {
		r.rates.local.Settle(r.rates.node.clock(), r.workspace, r.admitted, float64(r.charged), float64(actual))
	})
}

func planOf(snap *config.Snapshot, workspace string) (ratelimit.Plan, bool) {
	rate, ok := snap.Document.Rates[workspace]
	if !ok {
		return ratelimit.Plan{}, false
	}
	return ratelimit.Plan{
		Rate:          rate.RateTokensPerSecond,
		Burst:         rate.BurstTokens,
		FloorFraction: rate.FloorFraction,
		Slots:         snap.Slots(),
	}, true
}

// run reports to the root and borrows from zone peers while requests wait. It
// sleeps while nothing is held or wanted.
func (r *rates) run(ctx context.Context) {
	var reported time.Time
	active := false
	for {
		interval := rateReportInterval
		switch {
		case r.local.Waiting():
			interval = rateTick
		case !active:
			interval = time.Hour
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
		r.local.Wake(r.node.clock())
		if time.Since(reported) < r.reportInterval() {
			active = true
			continue
		}
		reported = time.Now()
		active = r.report(ctx)
		r.borrow(ctx)
	}
}

func (r *rates) reportInterval() time.Duration {
	if r.local.Waiting() {
		return rateAskInterval
	}
	return rateReportInterval
}

// report exchanges one report with the root. It reports whether this VM holds
// or wants anything.
func (r *rates) report(ctx context.Context) bool {
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
	r.local.Credit(r.node.clock(), report.Sequence, decodeGrants(response.GetGrants()))
	return true
}

// rootAddress returns the peer address of the leader of the control log.
func (r *rates) rootAddress() (string, bool) {
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
	address, ok := r.node.settings.Voters[leader]
	return address, ok
}

// borrow asks zone peers for what waiting requests lack.
func (r *rates) borrow(ctx context.Context) {
	for _, lack := range r.local.Shortfalls(r.node.clock()) {
		for _, m := range r.node.members() {
			if m.Zone != r.node.settings.Zone || m.VM == r.node.settings.VM {
				continue
			}
			lack.Tokens -= r.borrowFrom(ctx, m.PeerAddress, lack)
			if lack.Tokens <= 0 {
				break
			}
		}
	}
}

func (r *rates) borrowFrom(ctx context.Context, address string, lack ratelimit.Shortfall) float64 {
	ctx, cancel := context.WithTimeout(ctx, rateCallTimeout)
	defer cancel()
	client := ratev1.NewRateServiceProtobufClient(r.node.peerURL(address), r.node.peerClient)
	sent := r.node.clock()
	response, err := client.Lend(ctx, &ratev1.LendRequest{Workspace: lack.Workspace, Tokens: lack.Tokens})
	if err != nil {
		return 0
	}
	ttl := time.Duration(response.GetTtlMs()) * time.Millisecond
	r.local.Borrow(r.node.clock(), sent, lack.Workspace, response.GetTokens(), ttl)
	return response.GetTokens()
}

// Acquire implements ratev1.RateService on the leader of the control log.
func (r *rates) Acquire(_ context.Context, request *ratev1.AcquireRequest) (*ratev1.AcquireResponse, error) {
	snap := r.node.Snapshot()
	root := r.currentRoot()
	if root == nil || snap == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this VM does not hold the lease of the control log")
	}
	plan := func(workspace string) (ratelimit.Plan, bool) { return planOf(snap, workspace) }
	grants := root.Handle(r.node.clock(), decodeReport(request), plan)
	if !r.node.log.HoldsLease() {
		// The lease may have ended in between; a successor may be granting.
		return nil, twirp.NewError(twirp.Unavailable, "the lease of the control log has ended")
	}
	return &ratev1.AcquireResponse{Grants: encodeGrants(grants)}, nil
}

// currentRoot returns the root of this lease; nil without a lease. A lease of
// another term gets a new root, because other leaders may have granted tokens
// in between.
func (r *rates) currentRoot() *ratelimit.Root {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node.replica == nil || r.node.log == nil || !r.node.log.HoldsLease() {
		r.root = nil
		return nil
	}
	term := r.node.replica.Status().Term
	if r.root == nil || r.term != term {
		r.root = ratelimit.NewRoot(r.node.clock())
		r.term = term
	}
	return r.root
}

// Lend implements ratev1.RateService.
func (r *rates) Lend(_ context.Context, request *ratev1.LendRequest) (*ratev1.LendResponse, error) {
	tokens, ttl := r.local.Lend(r.node.clock(), request.GetWorkspace(), request.GetTokens())
	return &ratev1.LendResponse{Tokens: tokens, TtlMs: ttl.Milliseconds()}, nil
}
