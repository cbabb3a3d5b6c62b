package ratelimit

import (
	"math"
	"time"
)

// note counts demand, which decides how much the VM prefetches.
func (a *account) note(now time.Time, tokens float64) {
	a.decayDemand(now)
	a.demand += tokens
	a.lastCharge = now
}

func (a *account) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	if elapsed <= 0 {
		return
	}
	a.demand *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
	a.demandAt = now
}

// available returns what can be charged at now.
func (a *account) available(now time.Time) float64 {
	a.floor.refill(now)
	a.borrowed = dropExpired(a.borrowed, now)
	return a.floor.level + a.liveGrant(now) + sumLots(a.borrowed)
}

// liveGrant drops the grant once it has expired.
func (a *account) liveGrant(now time.Time) float64 {
	if !now.Before(a.granted.expires) {
		a.granted.tokens = 0
	}
	return a.granted.tokens
}

// spend charges tokens if all of them are there. What expires first is used
// first; the floor comes last, because it stays.
func (a *account) spend(now time.Time, tokens float64) bool {
	if a.available(now) < tokens+a.debt {
		return false
	}
	a.take(tokens + a.debt)
	a.debt = 0
	return true
}

// payDebt uses what there is for the debt.
func (a *account) payDebt(now time.Time) {
	paid := min(a.debt, a.available(now))
	a.take(paid)
	a.debt -= paid
}

// take removes tokens that are known to be available.
func (a *account) take(tokens float64) {
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

// wake admits waiters in order while tokens last.
func (a *account) wake(now time.Time) {
	for len(a.waiters) > 0 && a.spend(now, a.waiters[0].tokens) {
		close(a.waiters[0].Ready)
		a.waiters = a.waiters[1:]
	}
}

// report returns the entry for the root; false if there is nothing to say.
func (a *account) report(now time.Time, workspace string) (ReportItem, bool) {
	a.decayDemand(now)
	a.lent = dropExpired(a.lent, now)
	held := a.liveGrant(now)
	givenBack := 0.0
	if len(a.waiters) == 0 && now.Sub(a.lastCharge) > idleAfter {
		// From now on this VM does not spend them. A lost report loses them.
		givenBack, held = held, 0
		a.granted.tokens = 0
	}
	item := ReportItem{
		Workspace:   workspace,
		GivenBack:   givenBack,
		Outstanding: held + sumLots(a.lent),
		First:       a.lack(now, 1),
		Need:        a.lack(now, len(a.waiters)),
		Prefetch:    a.prefetch(held),
		Returned:    a.returned,
	}
	if a.returned > 0 {
		item.ReturnedAge = now.Sub(a.oldest)
		// A lost report loses the refund; sending it twice could double it.
		a.returned = 0
	}
	return item, item.Outstanding > 0 || item.Need > 0 || item.Prefetch > 0 || item.Returned > 0 || item.GivenBack > 0
}

// lack returns what the first n waiting requests are short of.
func (a *account) lack(now time.Time, n int) float64 {
	if len(a.waiters) == 0 {
		return a.debt
	}
	sum := a.debt
	for _, w := range a.waiters[:n] {
		sum += w.tokens
	}
	return max(0, sum-a.available(now))
}

// prefetch is the part of the recent demand that is not held yet.
func (a *account) prefetch(held float64) float64 {
	rate := a.demand / demandDecay.Seconds()
	want := rate*prefetchWindow.Seconds() - held
	if want < 1 {
		return 0
	}
	return want
}
