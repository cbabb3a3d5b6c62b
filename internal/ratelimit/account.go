package ratelimit

import (
	"math"
	"time"
)

// recordDemand adds tokens to the demand estimate, which determines how many
// tokens the VM prefetches.
func (a *account) recordDemand(now time.Time, tokens float64) {
	a.decayDemand(now)
	a.demand += tokens
	a.lastRequest = now
}

func (a *account) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandUpdated)
	if elapsed <= 0 {
		return
	}
	a.demand *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
	a.demandUpdated = now
}

// available returns the number of tokens that can be charged at now.
func (a *account) available(now time.Time) float64 {
	a.floor.refill(now)
	a.borrowed = dropExpired(a.borrowed, now)
	return a.floor.level + a.unexpiredGrant(now) + sumTokens(a.borrowed)
}

// unexpiredGrant returns the granted tokens. It sets them to zero once the
// grant has expired.
func (a *account) unexpiredGrant(now time.Time) float64 {
	if !now.Before(a.granted.expires) {
		a.granted.tokens = 0
	}
	return a.granted.tokens
}

// tryCharge charges tokens and the debt if the available tokens cover both.
// Tokens that expire first are used first. Floor tokens are used last, because
// they do not expire.
func (a *account) tryCharge(now time.Time, tokens float64) bool {
	if a.available(now) < tokens+a.debt {
		return false
	}
	a.deduct(tokens + a.debt)
	a.debt = 0
	return true
}

// payDebt pays as much of the debt as the available tokens cover.
func (a *account) payDebt(now time.Time) {
	paid := min(a.debt, a.available(now))
	a.deduct(paid)
	a.debt -= paid
}

// deduct removes tokens that the caller knows to be available.
func (a *account) deduct(tokens float64) {
	for len(a.borrowed) > 0 && tokens > 0 {
		part := min(tokens, a.borrowed[0].tokens)
		a.borrowed[0].tokens -= part
		tokens -= part
		if a.borrowed[0].tokens == 0 {
			a.borrowed = a.borrowed[1:]
		}
	}
	part := min(tokens, a.granted.tokens)
	a.granted.tokens -= part
	a.floor.level = max(0, a.floor.level-(tokens-part))
}

// admitWaiters admits waiting requests in order of arrival while tokens last.
func (a *account) admitWaiters(now time.Time) {
	for len(a.waiters) > 0 && a.tryCharge(now, a.waiters[0].tokens) {
		close(a.waiters[0].Ready)
		a.waiters = a.waiters[1:]
	}
}

// reportItem returns the entry for the report to the root. It returns false if
// there is nothing to report.
func (a *account) reportItem(now time.Time, workspace string) (ReportItem, bool) {
	a.decayDemand(now)
	a.lent = dropExpired(a.lent, now)
	held := a.unexpiredGrant(now)
	givenBack := 0.0
	if len(a.waiters) == 0 && now.Sub(a.lastRequest) > idleGrantTimeout {
		// This VM must not spend these tokens any more. They are lost if the
		// report is lost.
		givenBack, held = held, 0
		a.granted.tokens = 0
	}
	item := ReportItem{
		Workspace:      workspace,
		ReturnedTokens: givenBack,
		Outstanding:    held + sumTokens(a.lent),
		FirstShortfall: a.shortfall(now, 1),
		TotalShortfall: a.shortfall(now, len(a.waiters)),
		Prefetch:       a.prefetchAmount(held),
		Refund:         a.pendingRefund,
	}
	if a.pendingRefund > 0 {
		item.RefundAge = now.Sub(a.oldestRefunded)
		// A lost report loses the refund. Sending it again could credit it
		// twice.
		a.pendingRefund = 0
	}
	return item, item.Outstanding > 0 || item.TotalShortfall > 0 || item.Prefetch > 0 || item.Refund > 0 || item.ReturnedTokens > 0
}

// shortfall returns the tokens that the first n waiting requests and the debt
// need beyond what is available. It returns the debt if no request waits.
func (a *account) shortfall(now time.Time, n int) float64 {
	if len(a.waiters) == 0 {
		return a.debt
	}
	sum := a.debt
	for _, w := range a.waiters[:n] {
		sum += w.tokens
	}
	return max(0, sum-a.available(now))
}

// prefetchAmount returns the tokens beyond those held that are needed to cover
// prefetchWindow at the recent rate of demand.
func (a *account) prefetchAmount(held float64) float64 {
	rate := a.demand / demandDecay.Seconds()
	want := rate*prefetchWindow.Seconds() - held
	if want < 1 {
		return 0
	}
	return want
}
