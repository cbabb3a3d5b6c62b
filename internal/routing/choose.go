package routing

import (
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// choice is a candidate with its expected cost.
type choice struct {
	*candidate
	// cost is the expected time to first token plus the prefill penalty; see
	// prefillPenaltyDivisor.
	cost        time.Duration
	prefill     time.Duration
	heldBlocks  int
	importsKV   bool
	crossRegion bool
}

// timeToFirstToken returns the expected time to first token, which is the cost
// without the prefill penalty.
func (c *choice) timeToFirstToken() time.Duration { return c.cost - c.prefill/prefillPenaltyDivisor }

const (
	// prefillPenaltyDivisor sets the prefill penalty: a quarter of the prefill
	// time is added to the cost, because the prefill delays the requests queued
	// behind it. Without the penalty, half of the requests waiting for the
	// prefill of their prefix would be sent to another target and repeat it
	// there.
	prefillPenaltyDivisor = 4
	// tieTolerance is the fraction of the lowest cost within which candidates
	// are considered equal. Loads are estimates, so smaller differences are not
	// significant.
	tieTolerance = 0.05
	// maxTieTolerance prevents a tie between a target that lacks a block and one
	// that holds it: computing a block of 1,000 tokens takes 50 ms.
	maxTieTolerance = 5 * time.Millisecond
	minTieTolerance = time.Millisecond
)

// choose returns the best candidate. It considers other regions only if the
// home region cannot meet the latency objective of the route.
func (p *Picker) choose(q *query) (*choice, bool) {
	best, ok := p.cheapest(q, q.group.home, false)
	if len(q.group.crossRegion) == 0 || (ok && best.timeToFirstToken() <= firstTokenObjective(q.req.Call)) {
		return best, ok
	}
	snap := q.req.Call.Snapshot
	rate := float64(snap.Document.Limits.RegionLinkBytesPerSecond)
	if !p.regionLink.available(q.now, rate/float64(max(1, snap.VMSlots()))) {
		return best, ok
	}
	transfer := time.Duration(float64(len(q.req.Call.Body)) / rate * float64(time.Second))
	remote, found := p.cheapest(q, q.group.crossRegion, true)
	if !found {
		return best, ok
	}
	remote.cost += transfer
	if !ok || remote.cost < best.cost {
		return remote, true
	}
	return best, ok
}

// cheapest chooses at random among the candidates whose cost is close to the
// lowest, so that VMs with the same stale load report do not all choose the
// same target.
func (p *Picker) cheapest(q *query, candidates []candidate, crossRegion bool) (*choice, bool) {
	p.costs = resize(p.costs, len(candidates))
	least := time.Duration(-1)
	for i := range candidates {
		p.costs[i] = p.cost(q, candidates, i, crossRegion)
		if p.costs[i] >= 0 && (least < 0 || p.costs[i] < least) {
			least = p.costs[i]
		}
	}
	if least < 0 {
		return nil, false
	}
	limit := least + min(maxTieTolerance, max(minTieTolerance, time.Duration(tieTolerance*float64(least))))
	chosen := p.randomWithin(limit)
	return p.newChoice(q, candidates, chosen, crossRegion), true
}

// randomWithin returns the index of a random candidate whose cost is at most
// limit.
func (p *Picker) randomWithin(limit time.Duration) int {
	count := 0
	for _, cost := range p.costs {
		if cost >= 0 && cost <= limit {
			count++
		}
	}
	nth := p.Rand.IntN(count)
	for i, cost := range p.costs {
		if cost < 0 || cost > limit {
			continue
		}
		if nth == 0 {
			return i
		}
		nth--
	}
	panic("routing: no candidate with a cost within the limit")
}

// cost returns the expected time to first token plus the prefill penalty; it is
// negative if the candidate is excluded.
func (p *Picker) cost(q *query, candidates []candidate, i int, crossRegion bool) time.Duration {
	c := &candidates[i]
	if len(q.req.Exclude) > 0 && slices.Contains(q.req.Exclude, c.target.Ref()) {
		return -1
	}
	prefill, _ := q.prefillTime(c, p.heldBlocks(q, c, i, crossRegion))
	return c.fixedCost + c.load.expectedWait(q.elapsed, q.holdTime) + prefill + prefill/prefillPenaltyDivisor
}

// heldBlocks returns how many leading blocks of the chain candidate i is
// expected to hold.
func (p *Picker) heldBlocks(q *query, c *candidate, i int, crossRegion bool) int {
	if q.ownerResponded && !crossRegion {
		return p.ownerBlocks[i]
	}
	return matchedBlocks(&p.match, c)
}

// prefillTime returns the time to compute or import the missing blocks, given
// the number of leading blocks that the candidate holds. It reports true if
// blocks are imported from a KV store.
func (q *query) prefillTime(c *candidate, blocks int) (time.Duration, bool) {
	missing := time.Duration(len(q.chain) - blocks)
	gain := time.Duration(q.storeBlocks - blocks)
	if gain > 0 && c.target.Capabilities.KV && q.blockImport < q.blockPrefill {
		return (missing-gain)*q.blockPrefill + gain*q.blockImport + q.tailPrefill, true
	}
	return missing*q.blockPrefill + q.tailPrefill, false
}

func (p *Picker) newChoice(q *query, candidates []candidate, i int, crossRegion bool) *choice {
	c := &choice{candidate: &candidates[i], cost: p.costs[i], crossRegion: crossRegion}
	c.heldBlocks = p.heldBlocks(q, c.candidate, i, crossRegion)
	c.prefill, c.importsKV = q.prefillTime(c.candidate, c.heldBlocks)
	return c
}

const (
	// recentChoiceTTL is how long this VM adds its own choices to the owner's
	// responses. After that time the owner has received them.
	recentChoiceTTL  = 100 * time.Millisecond
	maxRecentChoices = 64
)

// recentChoices is a ring buffer of the chains that this VM dispatched and
// their targets.
type recentChoices struct {
	entries [maxRecentChoices]recentChoice
	next    int
}

type recentChoice struct {
	at    time.Time
	ref   target.Ref
	chain []prefix.Hash
}

func (r *recentChoices) add(now time.Time, ref target.Ref, chain []prefix.Hash) {
	r.entries[r.next] = recentChoice{now, ref, chain}
	r.next = (r.next + 1) % maxRecentChoices
}

// eachMatching calls f for each recent choice that shares leading blocks with
// chain, with the number of shared blocks.
func (r *recentChoices) eachMatching(now time.Time, chain []prefix.Hash, f func(ref target.Ref, blocks int)) {
	for i := range r.entries {
		e := &r.entries[i]
		if len(e.chain) == 0 || e.chain[0] != chain[0] || now.Sub(e.at) > recentChoiceTTL {
			continue
		}
		n := 0
		for n < len(chain) && n < len(e.chain) && chain[n] == e.chain[n] {
			n++
		}
		f(e.ref, n)
	}
}
