package ratelimit

import (
	"slices"
	"time"
)

// tokenLease is an amount of tokens that can be spent until it expires.
type tokenLease struct {
	tokens  float64
	expires time.Time
}

// dropExpired removes the leases that have expired by now.
func dropExpired(leases []tokenLease, now time.Time) []tokenLease {
	return slices.DeleteFunc(leases, func(l tokenLease) bool { return !now.Before(l.expires) })
}

// floor is the token bucket of one VM slot. The invariant is
// level + lent <= capacity. The bucket starts empty, because an earlier process
// in the same slot may have just spent its whole capacity.
type floor struct {
	rate       float64
	capacity   float64
	level      float64
	lastRefill time.Time
	lent       []tokenLease
}

func (f *floor) configure(now time.Time, rate, capacity float64) {
	if f.capacity > 0 {
		f.refill(now)
	}
	f.rate = rate
	f.capacity = capacity
	f.refill(now)
}

// refill advances the bucket to now. Lent tokens expire one lease at a time, so
// that the bucket does not refill while they could still be spent.
func (f *floor) refill(now time.Time) {
	if f.lastRefill.IsZero() {
		f.lastRefill = now
	}
	for len(f.lent) > 0 && !now.Before(f.lent[0].expires) {
		f.refillUntil(f.lent[0].expires)
		f.lent = f.lent[1:]
	}
	f.refillUntil(now)
}

func (f *floor) refillUntil(t time.Time) {
	if elapsed := t.Sub(f.lastRefill); elapsed > 0 {
		f.level += f.rate * elapsed.Seconds()
		f.lastRefill = t
	}
	f.level = max(0, min(f.level, f.capacity-sumTokens(f.lent)))
}

// lend removes up to want tokens and returns how many a zone peer may spend.
func (f *floor) lend(now time.Time, want float64) float64 {
	f.refill(now)
	tokens := min(want, f.level)
	if tokens <= 0 {
		return 0
	}
	f.level -= tokens
	// The borrower's clock may run slower than this one.
	f.lent = append(f.lent, tokenLease{tokens, now.Add(reclaimAfter)})
	return tokens
}

func sumTokens(leases []tokenLease) float64 {
	sum := 0.0
	for _, l := range leases {
		sum += l.tokens
	}
	return sum
}
