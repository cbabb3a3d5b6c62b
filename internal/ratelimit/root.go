package ratelimit

import (
	"sync"
	"time"
)

// needHold is how long the root keeps tokens back for a VM whose waiting
// request is larger than the level. VMs with waiting requests report more
// often than this.
const needHold = 300 * time.Millisecond

// prefetchDivisor limits one prefetch to this part of the level, so that one
// VM cannot take all tokens before the others have asked.
const prefetchDivisor = 4

// prefetchReserve is the part of the capacity that is never prefetched. What
// is scarce goes only to waiting requests, because small holdings at many VMs
// do not add up to the tokens of one request.
const prefetchReserve = 0.25

// Root divides the tokens of all workspaces between VMs. It lives on the
// leader of the control log and must be dropped when the lease ends. It is
// safe for concurrent use.
type Root struct {
	mu       sync.Mutex
	started  time.Time
	buckets  map[string]*rootBucket
	sequence map[Holder]uint64
	heard    map[string]bool
	// held lists the workspaces of which a VM holds tokens.
	held map[Holder]map[string]struct{}
}

// rootBucket is the root bucket of one workspace. The invariant is
// level + outstanding <= capacity.
type rootBucket struct {
	rate     float64
	capacity float64
	level    float64
	refilled time.Time
	// holdings is what each VM may still spend.
	holdings map[Holder]holding
	// outstanding is the sum of the holdings; nextExpiry is not after the
	// first of them expires.
	outstanding float64
	nextExpiry  time.Time
	// first is the VM whose waiting request is served next.
	first     Holder
	firstNeed float64
	firstTill time.Time
	fill      peaks
}

type holding struct {
	tokens  float64
	expires time.Time
}

// NewRoot returns a root for a lease that began at now. Until every slot has
// reported or all earlier grants have expired, it counts the whole capacity of
// each workspace as outstanding, because an earlier leader may have granted
// it.
func NewRoot(now time.Time) *Root {
	return &Root{
		started:  now,
		buckets:  make(map[string]*rootBucket),
		sequence: make(map[Holder]uint64),
		heard:    make(map[string]bool),
		held:     make(map[Holder]map[string]struct{}),
	}
}

// Handle takes one report and returns the grants. Plan returns the plan of a
// workspace and false if it has none.
func (r *Root) Handle(now time.Time, report Report, plan func(workspace string) (Plan, bool)) []Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Sequence <= r.sequence[report.Holder] {
		return nil
	}
	r.sequence[report.Holder] = report.Sequence
	if report.Uptime > reclaimAfter {
		// A younger process may have had a predecessor that lent tokens.
		r.heard[report.Slot] = true
	}
	r.dropUnlisted(now, report)
	grants := make([]Grant, 0, len(report.Items))
	for _, item := range report.Items {
		p, ok := plan(item.Workspace)
		if !ok {
			continue
		}
		b := r.bucket(now, item.Workspace, p)
		b.advance(now, r.closed(now, p.Slots))
		if tokens := b.handle(now, report.Holder, item); tokens > 0 {
			grants = append(grants, Grant{Workspace: item.Workspace, Tokens: tokens})
		}
	}
	return grants
}

// Level returns the level of a workspace's bucket, for reports and tests.
func (r *Root) Level(workspace string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.buckets[workspace]; ok {
		return b.level
	}
	return 0
}

// dropUnlisted frees what the holder no longer reports: a report lists all of
// its tokens.
func (r *Root) dropUnlisted(now time.Time, report Report) {
	listed := make(map[string]struct{}, len(report.Items))
	for _, item := range report.Items {
		listed[item.Workspace] = struct{}{}
	}
	for name := range r.held[report.Holder] {
		if _, ok := listed[name]; ok {
			continue
		}
		b := r.buckets[name]
		b.advance(now, false)
		b.drop(report.Holder)
	}
	r.held[report.Holder] = listed
	if len(listed) == 0 {
		delete(r.held, report.Holder)
	}
}

func (r *Root) bucket(now time.Time, workspace string, p Plan) *rootBucket {
	rate, capacity := p.rootPart()
	b, ok := r.buckets[workspace]
	if !ok {
		b = &rootBucket{rate: rate, capacity: capacity, refilled: now, holdings: make(map[Holder]holding)}
		if known := r.started.Add(reclaimAfter); known.Before(now) {
			// Nothing has been granted since then, so the bucket has filled.
			b.refilled = known
		}
		r.buckets[workspace] = b
	}
	if b.rate != rate || b.capacity != capacity {
		b.advance(now, false)
		b.rate = rate
		b.capacity = capacity
	}
	return b
}

// closed reports whether VMs may still hold tokens of an earlier leader. The
// whole capacity then counts as outstanding.
func (r *Root) closed(now time.Time, slots int) bool {
	if now.Sub(r.started) >= reclaimAfter {
		return false
	}
	return slots == 0 || len(r.heard) < slots
}

// advance brings the bucket to now. Holdings expire one after the other, so
// that the bucket does not fill while their tokens could still be spent.
func (b *rootBucket) advance(now time.Time, closed bool) {
	for !now.Before(b.nextExpiry) {
		h, held, ok := b.earliest()
		if !ok || now.Before(held.expires) {
			break
		}
		b.refill(held.expires)
		b.drop(h)
	}
	b.refill(now)
	if closed {
		b.level = 0
		b.fill.note(now, b.capacity)
		return
	}
	b.fill.note(now, b.level+b.outstanding)
}

// earliest returns the holding that expires first and notes when that is. At
// expiry its capacity is free again; its tokens are not, because they may have
// been spent.
func (b *rootBucket) earliest() (h Holder, first holding, ok bool) {
	for candidate, held := range b.holdings {
		if !ok || held.expires.Before(first.expires) {
			h, first, ok = candidate, held, true
		}
	}
	b.nextExpiry = first.expires
	return h, first, ok
}

// drop forgets what h holds.
func (b *rootBucket) drop(h Holder) {
	b.outstanding -= b.holdings[h].tokens
	delete(b.holdings, h)
	if len(b.holdings) == 0 {
		b.outstanding = 0
	}
}

// hold replaces what h holds.
func (b *rootBucket) hold(h Holder, tokens float64, expires time.Time) {
	b.outstanding += tokens - b.holdings[h].tokens
	b.holdings[h] = holding{tokens, expires}
	if len(b.holdings) == 1 || expires.Before(b.nextExpiry) {
		b.nextExpiry = expires
	}
}

func (b *rootBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.level += b.rate * elapsed.Seconds()
		b.refilled = now
	}
	b.level = max(0, min(b.level, b.capacity-b.outstanding))
}

func (b *rootBucket) handle(now time.Time, h Holder, item ReportItem) float64 {
	expires := now.Add(reclaimAfter)
	held := max(0, item.Outstanding)
	known := b.holdings[h].tokens
	b.hold(h, held, expires)
	if back := min(item.GivenBack, known-held); back > 0 {
		// The tokens move from the holding to the level.
		b.level += back
	}
	// The holding may be from an earlier leader or a larger capacity.
	b.level = max(0, min(b.level, b.capacity-b.outstanding))
	b.refund(now, item)
	tokens := b.take(now, h, item)
	if held+tokens == 0 {
		b.drop(h)
		return 0
	}
	b.hold(h, held+tokens, expires)
	return tokens
}

// refund adds returned tokens as far as the bucket would stand if they had
// never been charged.
func (b *rootBucket) refund(now time.Time, item ReportItem) {
	if item.Returned <= 0 {
		return
	}
	age := item.ReturnedAge + time.Duration(2*clockDrift*float64(item.ReturnedAge))
	charged := now.Add(-age)
	room := min(b.capacity-b.fill.since(charged), b.capacity-b.level-b.outstanding)
	if room <= 0 {
		return
	}
	tokens := min(item.Returned, room)
	b.fill.raise(charged, tokens)
	b.level += tokens
	b.fill.note(now, b.level+b.outstanding)
}

// take removes the tokens that h gets from the level. The need of the first
// waiting request is granted whole or not at all, because parts of it would
// stand idle at several VMs.
func (b *rootBucket) take(now time.Time, h Holder, item ReportItem) float64 {
	if now.After(b.firstTill) || (b.first == h && item.First == 0) {
		b.firstNeed = 0
	}
	reserved := b.firstNeed
	if b.first == h {
		reserved = 0
	}
	free := max(0, b.level-reserved)
	if item.First > free {
		if b.firstNeed == 0 || b.first == h {
			b.first, b.firstNeed, b.firstTill = h, min(item.First, b.capacity), now.Add(needHold)
		}
		return 0
	}
	if b.first == h {
		b.firstNeed = 0
	}
	tokens := min(max(0, item.Need), free)
	if rest := free - tokens - b.capacity*prefetchReserve; rest > 0 && item.Prefetch > 0 {
		tokens += min(item.Prefetch, rest/prefetchDivisor)
	}
	b.level -= tokens
	return tokens
}
