package ratelimit

import (
	"slices"
	"time"
)

// lot is an amount of tokens that expires.
type lot struct {
	tokens  float64
	expires time.Time
}

// dropExpired removes the lots that have expired by now.
func dropExpired(lots []lot, now time.Time) []lot {
	return slices.DeleteFunc(lots, func(l lot) bool { return !now.Before(l.expires) })
}

// floor is the bucket of one VM slot. The invariant is
// level + lent <= capacity. It starts empty, because an earlier process in the
// same slot may just have spent everything.
type floor struct {
	rate     float64
	capacity float64
	level    float64
	refilled time.Time
	lent     []lot
}

func (f *floor) configure(now time.Time, rate, capacity float64) {
	if f.capacity > 0 {
		f.refill(now)
	}
	f.rate = rate
	f.capacity = capacity
	f.refill(now)
}

// refill brings the bucket to now. Lent tokens expire one after the other, so
// that the bucket does not fill while they could still be spent.
func (f *floor) refill(now time.Time) {
	if f.refilled.IsZero() {
		f.refilled = now
	}
	for len(f.lent) > 0 && !now.Before(f.lent[0].expires) {
		f.fillUntil(f.lent[0].expires)
		f.lent = f.lent[1:]
	}
	f.fillUntil(now)
}

func (f *floor) fillUntil(t time.Time) {
	if elapsed := t.Sub(f.refilled); elapsed > 0 {
		f.level += f.rate * elapsed.Seconds()
		f.refilled = t
	}
	f.level = max(0, min(f.level, f.capacity-sumLots(f.lent)))
}

// lend takes up to want tokens out for a zone peer.
func (f *floor) lend(now time.Time, want float64) float64 {
	f.refill(now)
	tokens := min(want, f.level)
	if tokens <= 0 {
		return 0
	}
	f.level -= tokens
	// The borrower's clock may run slower than this one.
	f.lent = append(f.lent, lot{tokens, now.Add(reclaimAfter)})
	return tokens
}

func sumLots(lots []lot) float64 {
	sum := 0.0
	for _, l := range lots {
		sum += l.tokens
	}
	return sum
}
