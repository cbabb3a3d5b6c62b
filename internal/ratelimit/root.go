package ratelimit

import (
	"sync"
	"time"
)

// reservationTTL is how long the root reserves tokens for a VM whose waiting
// request needs more than is available. VMs with waiting requests report more
// often than this.
const reservationTTL = 300 * time.Millisecond

// prefetchDivisor limits one prefetch to 1/prefetchDivisor of the tokens
// available for prefetching, so that one VM cannot take them all before the
// others have asked.
const prefetchDivisor = 4

// prefetchReserve is the fraction of the capacity that is never prefetched.
// Scarce tokens are granted only to waiting requests, because small amounts
// held by many VMs do not add up to the tokens of one request.
const prefetchReserve = 0.25

// RootAllocator grants the tokens of all workspaces to VMs. It runs on the
// leader of the control log and must be discarded when the leader's lease ends.
// It is safe for concurrent use.
type RootAllocator struct {
	mu            sync.Mutex
	started       time.Time
	buckets       map[string]*rootBucket
	lastSequence  map[Holder]uint64
	reportedSlots map[string]bool
	// heldWorkspaces lists the workspaces of which a VM holds tokens.
	heldWorkspaces map[Holder]map[string]struct{}
}

// rootBucket is the root's token bucket for one workspace. The invariant is
// level + outstanding <= capacity.
type rootBucket struct {
	rate       float64
	capacity   float64
	level      float64
	lastRefill time.Time
	// holdings are the tokens that each VM may still spend.
	holdings map[Holder]holding
	// outstanding is the sum of the holdings. nextExpiry is no later than the
	// earliest expiry of a holding.
	outstanding float64
	nextExpiry  time.Time
	// reservedFor is the VM whose waiting request is served next.
	// reservedTokens are kept for it until reservedUntil.
	reservedFor    Holder
	reservedTokens float64
	reservedUntil  time.Time
	fillPeaks      peakHistory
}

type holding struct {
	tokens  float64
	expires time.Time
}

// NewRootAllocator returns an allocator for a lease that began at now. It
// counts the whole capacity of each workspace as outstanding, because an
// earlier leader may have granted it, until every slot has reported or all
// earlier grants have expired.
func NewRootAllocator(now time.Time) *RootAllocator {
	return &RootAllocator{
		started:        now,
		buckets:        make(map[string]*rootBucket),
		lastSequence:   make(map[Holder]uint64),
		reportedSlots:  make(map[string]bool),
		heldWorkspaces: make(map[Holder]map[string]struct{}),
	}
}

// Handle processes one report and returns the grants. limitOf returns the limit
// of a workspace, or false if it has none.
func (r *RootAllocator) Handle(now time.Time, report Report, limitOf func(workspace string) (Limit, bool)) []Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Sequence <= r.lastSequence[report.Holder] {
		return nil
	}
	r.lastSequence[report.Holder] = report.Sequence
	if report.Uptime > reclaimAfter {
		// The lent tokens of an earlier process in the same slot have expired by
		// then.
		r.reportedSlots[report.Slot] = true
	}
	r.dropUnreported(now, report)
	grants := make([]Grant, 0, len(report.Items))
	for _, item := range report.Items {
		limit, ok := limitOf(item.Workspace)
		if !ok {
			continue
		}
		b := r.bucket(now, item.Workspace, limit)
		b.advance(now, r.recovering(now, limit.Slots))
		if tokens := b.handleItem(now, report.Holder, item); tokens > 0 {
			grants = append(grants, Grant{Workspace: item.Workspace, Tokens: tokens})
		}
	}
	return grants
}

// Level returns the level of a workspace's bucket.
func (r *RootAllocator) Level(workspace string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.buckets[workspace]; ok {
		return b.level
	}
	return 0
}

// dropUnreported drops the holdings of workspaces that the report does not
// list: a report lists all tokens that the VM holds.
func (r *RootAllocator) dropUnreported(now time.Time, report Report) {
	listed := make(map[string]struct{}, len(report.Items))
	for _, item := range report.Items {
		listed[item.Workspace] = struct{}{}
	}
	for name := range r.heldWorkspaces[report.Holder] {
		if _, ok := listed[name]; ok {
			continue
		}
		b := r.buckets[name]
		b.advance(now, false)
		b.dropHolding(report.Holder)
	}
	r.heldWorkspaces[report.Holder] = listed
	if len(listed) == 0 {
		delete(r.heldWorkspaces, report.Holder)
	}
}

func (r *RootAllocator) bucket(now time.Time, workspace string, limit Limit) *rootBucket {
	rate, capacity := limit.rootLimit()
	b, ok := r.buckets[workspace]
	if !ok {
		b = &rootBucket{rate: rate, capacity: capacity, lastRefill: now, holdings: make(map[Holder]holding)}
		if expired := r.started.Add(reclaimAfter); expired.Before(now) {
			// All earlier grants had expired by then and nothing has been
			// granted since, so the bucket has been filling.
			b.lastRefill = expired
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

// recovering reports whether VMs may still hold tokens granted by an earlier
// leader. The whole capacity then counts as outstanding.
func (r *RootAllocator) recovering(now time.Time, slots int) bool {
	if now.Sub(r.started) >= reclaimAfter {
		return false
	}
	return slots == 0 || len(r.reportedSlots) < slots
}

// advance advances the bucket to now. Holdings expire one at a time, so that
// the bucket does not refill while their tokens could still be spent.
func (b *rootBucket) advance(now time.Time, recovering bool) {
	for !now.Before(b.nextExpiry) {
		h, held, ok := b.earliestExpiry()
		if !ok || now.Before(held.expires) {
			break
		}
		b.refill(held.expires)
		b.dropHolding(h)
	}
	b.refill(now)
	if recovering {
		b.level = 0
		b.fillPeaks.record(now, b.capacity)
		return
	}
	b.fillPeaks.record(now, b.level+b.outstanding)
}

// earliestExpiry returns the holding that expires first and updates nextExpiry.
// Expiry frees the capacity of a holding, but its tokens do not return to the
// level, because they may have been spent.
func (b *rootBucket) earliestExpiry() (h Holder, first holding, ok bool) {
	for candidate, held := range b.holdings {
		if !ok || held.expires.Before(first.expires) {
			h, first, ok = candidate, held, true
		}
	}
	b.nextExpiry = first.expires
	return h, first, ok
}

// dropHolding removes the holding of h.
func (b *rootBucket) dropHolding(h Holder) {
	b.outstanding -= b.holdings[h].tokens
	delete(b.holdings, h)
	if len(b.holdings) == 0 {
		b.outstanding = 0
	}
}

// setHolding replaces the holding of h.
func (b *rootBucket) setHolding(h Holder, tokens float64, expires time.Time) {
	b.outstanding += tokens - b.holdings[h].tokens
	b.holdings[h] = holding{tokens, expires}
	if len(b.holdings) == 1 || expires.Before(b.nextExpiry) {
		b.nextExpiry = expires
	}
}

func (b *rootBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.level += b.rate * elapsed.Seconds()
		b.lastRefill = now
	}
	b.level = max(0, min(b.level, b.capacity-b.outstanding))
}

func (b *rootBucket) handleItem(now time.Time, h Holder, item ReportItem) float64 {
	expires := now.Add(reclaimAfter)
	held := max(0, item.Outstanding)
	known := b.holdings[h].tokens
	b.setHolding(h, held, expires)
	if back := min(item.ReturnedTokens, known-held); back > 0 {
		// Returned tokens move from the holding to the level.
		b.level += back
	}
	// The holding may date from an earlier leader or a larger capacity.
	b.level = max(0, min(b.level, b.capacity-b.outstanding))
	b.refund(now, item)
	tokens := b.grant(now, h, item)
	if held+tokens == 0 {
		b.dropHolding(h)
		return 0
	}
	b.setHolding(h, held+tokens, expires)
	return tokens
}

// refund adds unused tokens, as far as the bucket would have filled if they had
// never been charged.
func (b *rootBucket) refund(now time.Time, item ReportItem) {
	if item.Refund <= 0 {
		return
	}
	age := item.RefundAge + time.Duration(2*clockDrift*float64(item.RefundAge))
	charged := now.Add(-age)
	room := min(b.capacity-b.fillPeaks.maxSince(charged), b.capacity-b.level-b.outstanding)
	if room <= 0 {
		return
	}
	tokens := min(item.Refund, room)
	b.fillPeaks.addSince(charged, tokens)
	b.level += tokens
	b.fillPeaks.record(now, b.level+b.outstanding)
}

// grant takes the tokens for h from the level. The shortfall of the first
// waiting request is granted in full or not at all, because partial grants
// would stay unused at several VMs.
func (b *rootBucket) grant(now time.Time, h Holder, item ReportItem) float64 {
	if now.After(b.reservedUntil) || (b.reservedFor == h && item.FirstShortfall == 0) {
		b.reservedTokens = 0
	}
	reserved := b.reservedTokens
	if b.reservedFor == h {
		reserved = 0
	}
	free := max(0, b.level-reserved)
	if item.FirstShortfall > free {
		if b.reservedTokens == 0 || b.reservedFor == h {
			b.reservedFor, b.reservedTokens, b.reservedUntil = h, min(item.FirstShortfall, b.capacity), now.Add(reservationTTL)
		}
		return 0
	}
	if b.reservedFor == h {
		b.reservedTokens = 0
	}
	tokens := min(max(0, item.TotalShortfall), free)
	if rest := free - tokens - b.capacity*prefetchReserve; rest > 0 && item.Prefetch > 0 {
		tokens += min(item.Prefetch, rest/prefetchDivisor)
	}
	b.level -= tokens
	return tokens
}
