package ratelimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// prefetchWindow is how much of the recent demand a VM tries to hold, so
	// that most requests are admitted without asking the root.
	prefetchWindow = 500 * time.Millisecond
	// demandDecay is the time constant of the demand estimate.
	demandDecay = 2 * time.Second
	// idleAfter is when unused tokens go back to the root.
	idleAfter = time.Second
	// forgetAfter is when the account of an idle workspace is dropped.
	forgetAfter = 10 * time.Minute
)

// Local admits the requests of one VM. It is safe for concurrent use.
type Local struct {
	mu       sync.Mutex
	holder   Holder
	slot     string
	started  time.Time
	sequence uint64
	sentAt   time.Time
	accounts map[string]*account
}

// account is what a VM holds of one workspace.
type account struct {
	plan Plan
	// granted comes from the root, borrowed from zone peers.
	granted  lot
	borrowed []lot
	// lent is the part of granted that zone peers may still spend.
	lent  []lot
	floor floor
	// debt is what requests used beyond their charge and no bucket covered.
	debt    float64
	waiters []*Waiter
	// demand is the decaying number of tokens charged.
	demand     float64
	demandAt   time.Time
	lastCharge time.Time
	returned   float64
	oldest     time.Time
}

// Waiter is a request that waits for tokens.
type Waiter struct {
	// Ready is closed once the tokens are charged.
	Ready chan struct{}

	tokens float64
}

// NewLocal returns the accounts of a VM that started at now, all empty.
func NewLocal(now time.Time, holder Holder, slot string) *Local {
	return &Local{holder: holder, slot: slot, started: now, accounts: make(map[string]*account)}
}

// Admit charges tokens and returns nil, or queues the request and returns its
// waiter. Requests of a workspace are admitted in order of arrival.
func (l *Local) Admit(now time.Time, workspace string, plan Plan, tokens float64) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, workspace, plan)
	a.note(now, tokens)
	if len(a.waiters) == 0 && a.spend(now, tokens) {
		return nil
	}
	w := &Waiter{Ready: make(chan struct{}), tokens: tokens}
	a.waiters = append(a.waiters, w)
	return w
}

// Cancel removes a waiter. It reports false if the tokens were charged before.
func (l *Local) Cancel(now time.Time, workspace string, w *Waiter) bool {
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
	// The next request may be smaller.
	a.wake(now)
	return true
}

// Settle replaces a charge by the tokens that were used.
func (l *Local) Settle(now time.Time, workspace string, admitted time.Time, charged, used float64) {
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
	if a.returned == 0 || admitted.Before(a.oldest) {
		a.oldest = admitted
	}
	a.returned += charged - used
}

// Wake admits waiters for whom tokens have come in meanwhile.
func (l *Local) Wake(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.wake(now)
	}
}

// Waiting reports whether any request waits for tokens.
func (l *Local) Waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.waiters) > 0 {
			return true
		}
	}
	return false
}

// Report returns what the root must know. It reports false if this VM holds
// nothing and wants nothing. Only one report may be in flight.
func (l *Local) Report(now time.Time) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.sentAt = now
	report := Report{
		Holder:   l.holder,
		Slot:     l.slot,
		Sequence: l.sequence,
		Uptime:   now.Sub(l.started),
	}
	for name, a := range l.accounts {
		if item, ok := a.report(now, name); ok {
			report.Items = append(report.Items, item)
		} else if now.Sub(a.demandAt) > forgetAfter {
			delete(l.accounts, name)
		}
	}
	return report, len(report.Items) > 0
}

// Credit takes the answer to the report with the given sequence. Answers to
// earlier reports are ignored: the root already assumes that their grants were
// lost.
func (l *Local) Credit(now time.Time, sequence uint64, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence != l.sequence {
		return
	}
	expires := l.sentAt.Add(GrantTTL)
	for _, a := range l.accounts {
		if a.granted.tokens > 0 {
			a.granted.expires = expires
		}
	}
	for _, g := range grants {
		if a := l.accounts[g.Workspace]; a != nil {
			a.granted = lot{a.liveGrant(now) + g.Tokens, expires}
			a.wake(now)
		}
	}
}

// Lend gives up to want tokens to a zone peer. The peer must stop using them
// after ttl, counted from when it asked. Waiting requests of this VM come
// first.
func (l *Local) Lend(now time.Time, workspace string, want float64) (tokens float64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || len(a.waiters) > 0 || want <= 0 {
		return 0, 0
	}
	// Half stays here, so that two VMs do not pass the same tokens back and
	// forth.
	a.floor.refill(now)
	tokens = a.floor.lend(now, min(want, a.floor.level/2))
	if granted := a.liveGrant(now) / 2; granted > 0 && tokens < want {
		part := min(want-tokens, granted)
		a.granted.tokens -= part
		ttl := max(0, a.granted.expires.Sub(now))
		// The borrower's clock may run slower than this one.
		margin := time.Duration(2 * clockDrift * float64(ttl))
		a.lent = append(a.lent, lot{part, now.Add(ttl + margin)})
		return tokens + part, ttl
	}
	return tokens, GrantTTL
}

// Borrow adds tokens that a zone peer lent to a request sent at sentAt.
func (l *Local) Borrow(now, sentAt time.Time, workspace string, tokens float64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || tokens <= 0 {
		return
	}
	a.borrowed = append(a.borrowed, lot{tokens, sentAt.Add(min(ttl, GrantTTL))})
	a.wake(now)
}

// Shortfall is what the waiting requests of a workspace lack.
type Shortfall struct {
	// Workspace names the workspace.
	Workspace string
	// Tokens is the amount.
	Tokens float64
}

// Shortfalls lists the workspaces whose first waiting request lacks tokens.
func (l *Local) Shortfalls(now time.Time) []Shortfall {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Shortfall
	for name, a := range l.accounts {
		if len(a.waiters) == 0 {
			continue
		}
		if lack := a.waiters[0].tokens + a.debt - a.available(now); lack > 0 {
			out = append(out, Shortfall{name, lack})
		}
	}
	return out
}

func (l *Local) account(now time.Time, workspace string, plan Plan) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{demandAt: now}
		// The floor has been filling since the VM started.
		a.floor.refilled = l.started
		l.accounts[workspace] = a
	}
	if a.plan != plan {
		a.plan = plan
		rate, capacity := plan.floorPart()
		a.floor.configure(now, rate, capacity)
	}
	return a
}
