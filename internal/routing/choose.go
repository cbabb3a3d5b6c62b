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
	// cost is the expected time to first token, with workWeight.
	cost    time.Duration
	prefill time.Duration
	blocks  int
	imports bool
	away    bool
}

// firstToken returns the expected time to first token.
func (c *choice) firstToken() time.Duration { return c.cost - c.prefill/workShare }

const (
	// workShare adds a quarter of the prefill work to the cost, because the
	// work delays the requests behind this one. Without it, half of the
	// requests that wait for a prefill would repeat it elsewhere.
	workShare = 4
	// nearEqual is the part of the best cost within which targets count as
	// equal; loads are estimates, so that smaller differences mean nothing.
	nearEqual = 0.05
	// maxNearEqual keeps a target that lacks a block from counting as equal
	// to one that holds it: a block of 1,000 tokens takes 50 ms.
	maxNearEqual = 5 * time.Millisecond
	minNearEqual = time.Millisecond
)

// choose returns the best target. It crosses the region only if the home
// region cannot meet the objective of the route.
func (p *Picker) choose(q *query) (*choice, bool) {
	best, ok := p.cheapest(q, q.group.home, false)
	if len(q.group.away) == 0 || (ok && best.firstToken() <= firstTokenObjective(q.req.Call)) {
		return best, ok
	}
	snap := q.req.Call.Snapshot
	rate := float64(snap.Document.Limits.RegionLinkBytesPerSecond)
	if !p.link.available(q.now, rate/float64(max(1, snap.Slots()))) {
		return best, ok
	}
	transfer := time.Duration(float64(len(q.req.Call.Body)) / rate * float64(time.Second))
	far, found := p.cheapest(q, q.group.away, true)
	if !found {
		return best, ok
	}
	far.cost += transfer
	if !ok || far.cost < best.cost {
		return far, true
	}
	return best, ok
}

// cheapest chooses at random among the candidates whose cost is near the
// least, so that VMs with the same stale report do not all choose the same.
func (p *Picker) cheapest(q *query, candidates []candidate, away bool) (*choice, bool) {
	p.costs = resize(p.costs, len(candidates))
	least := time.Duration(-1)
	for i := range candidates {
		p.costs[i] = p.cost(q, candidates, i, away)
		if p.costs[i] >= 0 && (least < 0 || p.costs[i] < least) {
			least = p.costs[i]
		}
	}
	if least < 0 {
		return nil, false
	}
	limit := least + min(maxNearEqual, max(minNearEqual, time.Duration(nearEqual*float64(least))))
	chosen := p.randomWithin(limit)
	return p.describe(q, candidates, chosen, away), true
}

// randomWithin returns the index of one of the costs up to limit.
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
	panic("routing: no cost within the limit")
}

// cost returns the expected time to first token and a share of the prefill
// work, negative if the candidate is
// excluded.
func (p *Picker) cost(q *query, candidates []candidate, i int, away bool) time.Duration {
	c := &candidates[i]
	if len(q.req.Exclude) > 0 && slices.Contains(q.req.Exclude, c.target.Ref()) {
		return -1
	}
	prefill, _ := q.prefill(c, p.held(q, c, i, away))
	return c.fixed + c.load.wait(q.instant, q.hold) + prefill + prefill/workShare
}

// held returns the leading blocks that candidate i is believed to hold.
func (p *Picker) held(q *query, c *candidate, i int, away bool) int {
	if q.answered && !away {
		return p.remote[i]
	}
	return matched(&p.match, c)
}

// prefill returns the time to compute, or import, what is missing.
func (q *query) prefill(c *candidate, blocks int) (time.Duration, bool) {
	missing := time.Duration(len(q.chain) - blocks)
	gain := time.Duration(q.stored - blocks)
	if gain > 0 && c.target.Capabilities.KV && q.kvBlock < q.block {
		return (missing-gain)*q.block + gain*q.kvBlock + q.rest, true
	}
	return missing*q.block + q.rest, false
}

func (p *Picker) describe(q *query, candidates []candidate, i int, away bool) *choice {
	c := &choice{candidate: &candidates[i], cost: p.costs[i], away: away}
	c.blocks = p.held(q, c.candidate, i, away)
	c.prefill, c.imports = q.prefill(c.candidate, c.blocks)
	return c
}

const (
	// recentFor is how long this VM's own choices are added to the owner's
	// answers; by then the owner has heard of them.
	recentFor     = 100 * time.Millisecond
	recentEntries = 64
)

// recentChoices remembers where this VM sent which chain.
type recentChoices struct {
	entries [recentEntries]recentChoice
	next    int
}

type recentChoice struct {
	at    time.Time
	ref   target.Ref
	chain []prefix.Hash
}

func (r *recentChoices) add(now time.Time, ref target.Ref, chain []prefix.Hash) {
	r.entries[r.next] = recentChoice{now, ref, chain}
	r.next = (r.next + 1) % recentEntries
}

// each calls f for the recent choices that share leading blocks with chain.
func (r *recentChoices) each(now time.Time, chain []prefix.Hash, f func(ref target.Ref, blocks int)) {
	for i := range r.entries {
		e := &r.entries[i]
		if len(e.chain) == 0 || e.chain[0] != chain[0] || now.Sub(e.at) > recentFor {
			continue
		}
		n := 0
		for n < len(chain) && n < len(e.chain) && chain[n] == e.chain[n] {
			n++
		}
		f(e.ref, n)
	}
}
