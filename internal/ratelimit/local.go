package ratelimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// prefetchWindow is the period of recent demand for which a VM tries to
	// hold tokens, so that most requests are admitted without a call to the
	// root.
	prefetchWindow = 500 * time.Millisecond
	// demandDecay is the time constant of the demand estimate.
	demandDecay = 2 * time.Second
	// idleGrantTimeout is how long a workspace has no requests before its
	// granted tokens are returned to the root.
	idleGrantTimeout = time.Second
	// idleAccountTimeout is how long a workspace is idle before its account is
	// deleted.
	idleAccountTimeout = 10 * time.Minute
)

// LocalLimiter admits the requests of one VM. It is safe for concurrent use.
type LocalLimiter struct {
	mu         sync.Mutex
	holder     Holder
	slot       string
	started    time.Time
	sequence   uint64
	reportSent time.Time
	accounts   map[string]*account
}

// account holds the tokens of one workspace on one VM.
type account struct {
	limit Limit
	// granted comes from the root, borrowed from zone peers.
	granted  tokenLease
	borrowed []tokenLease
	// lent tokens were taken from granted, and zone peers may still spend them.
	lent  []tokenLease
	floor floor
	// debt is what requests used beyond their charge and no tokens have covered
	// yet.
	debt    float64
	waiters []*Waiter
	// demand is the exponentially decaying sum of the tokens requested.
	demand        float64
	demandUpdated time.Time
	lastRequest   time.Time
	// pendingRefund is sent to the root with the next report. oldestRefunded is
	// the earliest admission in it.
	pendingRefund  float64
	oldestRefunded time.Time
}

// Waiter is a request that waits for tokens.
type Waiter struct {
	// Ready is closed once the tokens have been charged.
	Ready chan struct{}

	tokens float64
}

// NewLocalLimiter returns the limiter of a VM that started at now. It holds no
// tokens.
func NewLocalLimiter(now time.Time, holder Holder, slot string) *LocalLimiter {
	return &LocalLimiter{holder: holder, slot: slot, started: now, accounts: make(map[string]*account)}
}

// Admit charges tokens and returns nil, or queues the request and returns its
// waiter. Requests of a workspace are admitted in order of arrival.
func (l *LocalLimiter) Admit(now time.Time, workspace string, limit Limit, tokens float64) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, workspace, limit)
	a.recordDemand(now, tokens)
	if len(a.waiters) == 0 && a.tryCharge(now, tokens) {
		return nil
	}
	w := &Waiter{Ready: make(chan struct{}), tokens: tokens}
	a.waiters = append(a.waiters, w)
	return w
}

// Cancel removes a waiter. It returns false if the tokens have already been
// charged.
func (l *LocalLimiter) Cancel(now time.Time, workspace string, w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return true
	}
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	// The next waiting request may need fewer tokens.
	a.admitWaiters(now)
	return true
}

// Settle replaces the charge of a request by the tokens that it used.
func (l *LocalLimiter) Settle(now time.Time, workspace string, admitted time.Time, charged, used float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	if used > charged {
		a.debt += used - charged
		a.payDebt(now)
		return
	}
	if used == charged {
		return
	}
	if a.pendingRefund == 0 || admitted.Before(a.oldestRefunded) {
		a.oldestRefunded = admitted
	}
	a.pendingRefund += charged - used
}

// AdmitWaiting admits waiting requests for which tokens have become available.
func (l *LocalLimiter) AdmitWaiting(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.admitWaiters(now)
	}
}

// Waiting reports whether any request waits for tokens.
func (l *LocalLimiter) Waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.waiters) > 0 {
			return true
		}
	}
	return false
}

// Report returns the next report to the root. It returns false if this VM holds
// no tokens and needs none. Only one report may be in flight.
func (l *LocalLimiter) Report(now time.Time) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.reportSent = now
	report := Report{
		Holder:   l.holder,
		Slot:     l.slot,
		Sequence: l.sequence,
		Uptime:   now.Sub(l.started),
	}
	for name, a := range l.accounts {
		if item, ok := a.reportItem(now, name); ok {
			report.Items = append(report.Items, item)
		} else if now.Sub(a.demandUpdated) > idleAccountTimeout {
			delete(l.accounts, name)
		}
	}
	return report, len(report.Items) > 0
}

// ApplyGrants applies the response to the report with the given sequence.
// Responses to earlier reports are ignored, because the root already treats
// their grants as lost.
func (l *LocalLimiter) ApplyGrants(now time.Time, sequence uint64, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence != l.sequence {
		return
	}
	expires := l.reportSent.Add(GrantTTL)
	for _, a := range l.accounts {
		if a.granted.tokens > 0 {
			a.granted.expires = expires
		}
	}
	for _, g := range grants {
		if a := l.accounts[g.Workspace]; a != nil {
			a.granted = tokenLease{a.unexpiredGrant(now) + g.Tokens, expires}
			a.admitWaiters(now)
		}
	}
}

// Lend gives up to want tokens to a zone peer. The peer must stop using them
// when ttl has passed since it sent its request. Nothing is lent while requests
// of this VM wait.
func (l *LocalLimiter) Lend(now time.Time, workspace string, want float64) (tokens float64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || len(a.waiters) > 0 || want <= 0 {
		return 0, 0
	}
	// Half is kept, so that two VMs do not pass the same tokens back and forth.
	a.floor.refill(now)
	tokens = a.floor.lend(now, min(want, a.floor.level/2))
	if granted := a.unexpiredGrant(now) / 2; granted > 0 && tokens < want {
		part := min(want-tokens, granted)
		a.granted.tokens -= part
		ttl := max(0, a.granted.expires.Sub(now))
		// The borrower's clock may run slower than this one.
		margin := time.Duration(2 * clockDrift * float64(ttl))
		a.lent = append(a.lent, tokenLease{part, now.Add(ttl + margin)})
		return tokens + part, ttl
	}
	return tokens, GrantTTL
}

// Borrow adds tokens that a zone peer lent in response to a request sent at
// sentAt.
func (l *LocalLimiter) Borrow(now, sentAt time.Time, workspace string, tokens float64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || tokens <= 0 {
		return
	}
	a.borrowed = append(a.borrowed, tokenLease{tokens, sentAt.Add(min(ttl, GrantTTL))})
	a.admitWaiters(now)
}

// Shortfall is the number of tokens that the first waiting request of a
// workspace lacks.
type Shortfall struct {
	Workspace string
	Tokens    float64
}

// Shortfalls lists the workspaces whose first waiting request lacks tokens.
func (l *LocalLimiter) Shortfalls(now time.Time) []Shortfall {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Shortfall
	for name, a := range l.accounts {
		if len(a.waiters) == 0 {
			continue
		}
		if shortfall := a.waiters[0].tokens + a.debt - a.available(now); shortfall > 0 {
			out = append(out, Shortfall{name, shortfall})
		}
	}
	return out
}

func (l *LocalLimiter) account(now time.Time, workspace string, limit Limit) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{demandUpdated: now}
		// The floor has been filling since the VM started.
		a.floor.lastRefill = l.started
		l.accounts[workspace] = a
	}
	if a.limit != limit {
		a.limit = limit
		rate, capacity := limit.floorLimit()
		a.floor.configure(now, rate, capacity)
	}
	return a
}
