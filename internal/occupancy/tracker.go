// Package occupancy estimates how much memory and how many slots of an engine the running
// requests of all processes take, and when the next request can be admitted. The package does
// no I/O. Its types are not safe for concurrent use.
package occupancy

import (
	"math"
	"time"
)

const (
	// bucketTime is the resolution of the expected ends, and buckets their number. Requests
	// that last longer than all buckets together are expected to end in the last one.
	bucketTime = 100 * time.Millisecond
	buckets    = 80
	// overdueBuckets is the number of buckets over which requests of this process are
	// expected to end that have lasted longer than expected.
	overdueBuckets = 4
	// levels is the number of priorities that are told apart. Lower ones count as the last.
	levels = 10
	// deviations is the deviation of the number of running requests of others from the
	// estimate, in units of the root of that number: each has ended or not with a probability
	// around one half, and the deviation that stands for the tail is 1.4 times the standard one.
	deviations = 0.7
	// earlyMargin is how much earlier than predicted a request must be admitted to show that
	// others have ended early.
	earlyMargin = bucketTime
)

// Amount is an amount of memory, in tokens, and of slots.
type Amount struct{ Tokens, Slots float64 }

func (a *Amount) add(b Amount) { a.Tokens, a.Slots = a.Tokens+b.Tokens, a.Slots+b.Slots }

func (a *Amount) subtract(b Amount) {
	a.Tokens, a.Slots = max(a.Tokens-b.Tokens, 0), max(a.Slots-b.Slots, 0)
}

// Capacity is the memory and the slots of an engine.
type Capacity struct {
	Tokens, Slots float64
}

// Need is what a request needs in order to be admitted.
type Need struct {
	// Tokens is the memory for the part of the prompt that no running request uses.
	Tokens float64
	// Priority is the priority of the request; 0 is the highest.
	Priority int
}

// Handle identifies a request of this process that a Tracker counts.
type Handle struct {
	bucket int64
	level  int
	amount Amount
	live   bool
}

// bucket has the amounts that are expected to become free within bucketTime. It is small,
// because each engine has many.
type bucket struct {
	own    small
	others [levels]small
	pinned float32
}

type small struct{ tokens, slots float32 }

func (s *small) add(a Amount) {
	s.tokens, s.slots = s.tokens+float32(a.Tokens), s.slots+float32(a.Slots)
}

func (s *small) subtract(a Amount) {
	s.tokens, s.slots = max(s.tokens-float32(a.Tokens), 0), max(s.slots-float32(a.Slots), 0)
}

func (s small) amount() Amount { return Amount{float64(s.tokens), float64(s.slots)} }

// Tracker counts the requests at one engine, those that it runs and those that wait there. The
// ends of the requests of this process are known; those of other processes are estimated. The
// zero value is an idle engine.
type Tracker struct {
	// base is the number of the bucket of the latest update. Bucket n is ring[n%buckets].
	base int64
	ring [buckets]bucket
	// own and others are the sums over the requests of this process and of other ones, by
	// priority, overdue that over the requests of this process that have lasted longer than
	// expected, and pinned the tokens of shared parts that requests use.
	own, others [levels]Amount
	overdue     Amount
	pinned      float64
}

func level(priority int) int { return min(max(priority, 0), levels-1) }

func number(at time.Time) int64 { return at.UnixNano() / int64(bucketTime) }

// advance removes what other processes are expected to have released until now.
func (t *Tracker) advance(now time.Time) {
	current := number(now)
	if current-t.base > buckets {
		t.base = current - buckets
	}
	for ; t.base < current; t.base++ {
		b := &t.ring[t.base%buckets]
		for l := range b.others {
			t.others[l].subtract(b.others[l].amount())
		}
		t.pinned = max(t.pinned-float64(b.pinned), 0)
		t.overdue.add(b.own.amount())
		*b = bucket{}
	}
}

// slot returns the number of the bucket of an end.
func (t *Tracker) slot(end time.Time) int64 {
	return min(max(number(end), t.base), t.base+buckets-1)
}

// Add records a request of another process that is expected to end at the given time.
func (t *Tracker) Add(now, end time.Time, priority int, a Amount) {
	t.advance(now)
	t.others[level(priority)].add(a)
	t.ring[t.slot(end)%buckets].others[level(priority)].add(a)
}

// AddOwn is like Add for a request of this process. It counts until it is released.
func (t *Tracker) AddOwn(now, end time.Time, priority int, a Amount) Handle {
	t.advance(now)
	t.own[level(priority)].add(a)
	n := t.slot(end)
	t.ring[n%buckets].own.add(a)
	return Handle{n, level(priority), a, true}
}

// Reschedule changes the expected end of a request of this process.
func (t *Tracker) Reschedule(now, end time.Time, h *Handle) {
	if !h.live {
		return
	}
	t.advance(now)
	t.take(h)
	h.bucket = t.slot(end)
	t.ring[h.bucket%buckets].own.add(h.amount)
}

// take removes what a request of this process takes from the expected ends.
func (t *Tracker) take(h *Handle) {
	if h.bucket >= t.base {
		t.ring[h.bucket%buckets].own.subtract(h.amount)
	} else {
		t.overdue.subtract(h.amount)
	}
}

// Release records the end of a request of this process.
func (t *Tracker) Release(now time.Time, h *Handle) {
	if !h.live {
		return
	}
	h.live = false
	t.advance(now)
	t.own[h.level].subtract(h.amount)
	t.take(h)
}

// Pin records that a request uses tokens until an end. They are counted until the latest end.
// It returns a number that the next call for the same tokens passes as before; the first one
// passes 0.
func (t *Tracker) Pin(now time.Time, before int64, end time.Time, tokens float64) int64 {
	t.advance(now)
	n := t.slot(end)
	if n <= before {
		return before
	}
	if old := &t.ring[before%buckets]; before >= t.base && old.pinned >= float32(tokens) {
		old.pinned -= float32(tokens)
	} else {
		t.pinned += tokens
	}
	t.ring[n%buckets].pinned += float32(tokens)
	return n
}

// Pinned reports whether tokens are counted, given the result of the latest call of Pin.
func Pinned(now time.Time, pin int64) bool { return pin >= number(now) }

// Withdraw records that a request of another process has ended before its time. Which one is
// not known: the last one of its priority to end is taken, with the mean memory of those that
// end with it.
func (t *Tracker) Withdraw(now time.Time, priority int) {
	t.advance(now)
	l := level(priority)
	for n := t.base + buckets - 1; n >= t.base; n-- {
		b := &t.ring[n%buckets].others[l]
		if b.slots < 1 {
			continue
		}
		a := Amount{float64(b.tokens / b.slots), 1}
		b.subtract(a)
		t.others[l].subtract(a)
		return
	}
}

// Admitted records that a request of this process has been admitted, which was predicted for
// the given time. If it came much sooner, the requests of others that were to end until then
// have ended already.
func (t *Tracker) Admitted(now, predicted time.Time) {
	if predicted.Sub(now) < earlyMargin {
		return
	}
	t.advance(now)
	for n := t.base; n <= t.slot(predicted); n++ {
		b := &t.ring[n%buckets]
		for l := range b.others {
			t.others[l].subtract(b.others[l].amount())
			b.others[l] = small{}
		}
	}
}

// Used returns what all requests take that are at the engine.
func (t *Tracker) Used(now time.Time) Amount {
	t.advance(now)
	return t.used(levels-1, Capacity{Tokens: math.Inf(1), Slots: math.Inf(1)})
}

// used returns what the requests take that are admitted before a new one of a level: all
// that run, and those in the queue that are as urgent. The queue is what exceeds the
// capacity, the least urgent requests first.
func (t *Tracker) used(l int, c Capacity) Amount {
	sum, behind := Amount{Tokens: t.pinned}, Amount{}
	for n := range levels {
		a := t.own[n]
		a.add(t.others[n])
		sum.add(a)
		if n > l {
			behind.add(a)
		}
	}
	queued := Amount{max(sum.Tokens-c.Tokens, 0), max(sum.Slots-c.Slots, 0)}
	if queued.Tokens > 0 && behind.Slots > 0 {
		// The memory that is left is on average half of that which the next request needs.
		queued.Tokens += behind.Tokens / behind.Slots / 2
	}
	sum.subtract(Amount{min(queued.Tokens, behind.Tokens), min(queued.Slots, behind.Slots)})
	return sum
}

// Wait returns how long a request that comes now waits until it is admitted. A request that
// needs more memory than the engine has is never admitted; the second result is then false.
func (t *Tracker) Wait(now time.Time, need Need, c Capacity) (time.Duration, bool) {
	if need.Tokens > c.Tokens {
		return 0, false
	}
	t.advance(now)
	used := t.used(level(need.Priority), c)
	excess := Amount{used.Tokens + need.Tokens - c.Tokens, used.Slots + 1 - c.Slots}
	spread := t.spread()
	if excess.Tokens+spread.Tokens <= 0 && excess.Slots+spread.Slots <= 0 {
		return 0, true
	}
	// The mean over what others may really take, so that the wait grows steadily with the
	// load and not only from the point at which the engine is expected to be full.
	free := t.untilFree(now, [...]Amount{
		{excess.Tokens - spread.Tokens, excess.Slots - spread.Slots}, excess,
		{excess.Tokens + spread.Tokens, excess.Slots + spread.Slots},
	})
	return (free[0] + 2*free[1] + free[2]) / 4, true
}

// spread returns how far what the requests of others take may deviate from the estimate.
func (t *Tracker) spread() Amount {
	var others Amount
	for _, a := range t.others {
		others.add(a)
	}
	if others.Slots < 1 {
		return Amount{}
	}
	deviation := deviations * math.Sqrt(others.Slots)
	return Amount{deviation * others.Tokens / others.Slots, deviation}
}

// untilFree returns the times until amounts become free, the least amount first.
func (t *Tracker) untilFree(now time.Time, amounts [3]Amount) (times [3]time.Duration) {
	begin := time.Duration(t.base)*bucketTime - time.Duration(now.UnixNano())
	next := 0
	for next < len(amounts) && amounts[next].Tokens <= 0 && amounts[next].Slots <= 0 {
		next++
	}
	var before Amount
	for n := range int64(buckets) {
		b := &t.ring[(t.base+n)%buckets]
		free := b.own.amount()
		free.Tokens += float64(b.pinned)
		for l := range b.others {
			free.add(b.others[l].amount())
		}
		if n < overdueBuckets {
			free.add(Amount{t.overdue.Tokens / overdueBuckets, t.overdue.Slots / overdueBuckets})
		}
		for ; next < len(amounts); next++ {
			left := Amount{amounts[next].Tokens - before.Tokens, amounts[next].Slots - before.Slots}
			if free.Tokens < left.Tokens || free.Slots < left.Slots {
				break
			}
			part := max(share(left.Tokens, free.Tokens), share(left.Slots, free.Slots))
			times[next] = max(begin+time.Duration(n)*bucketTime+time.Duration(part*float64(bucketTime)), 0)
		}
		if next == len(amounts) {
			return times
		}
		before.add(free)
	}
	for ; next < len(amounts); next++ {
		times[next] = buckets * bucketTime
	}
	return times
}

func share(a, all float64) float64 {
	if a <= 0 {
		return 0
	}
	return a / all
}
