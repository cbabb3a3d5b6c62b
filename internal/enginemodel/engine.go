// Package enginemodel is a small deterministic queueing model of engines for
// benchmarks that compare routing policies. It models one group of engines with
// one model in one region, in virtual time.
package enginemodel

import (
	"container/list"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// engine has a fixed number of batch slots, prefills one request at a time and
// caches a limited number of blocks.
type engine struct {
	sim          *simulation
	id           string
	index        int
	zone         string
	incarnation  uint64
	down         bool
	running      int
	waiting      []*request
	prefillQueue []*request
	prefillEnd   time.Duration
	cache        blockCache
	// pendingBlocks counts, for each block, the queued requests that will store
	// it.
	pendingBlocks        map[prefix.Hash]int
	announcementSequence uint64
	eventSequence        uint64
}

func newEngine(s *simulation, index int) *engine {
	zones := [...]string{"a", "b"}
	e := &engine{sim: s, index: index, id: engineID(index), zone: zones[index%len(zones)]}
	e.reset()
	return e
}

func (e *engine) reset() {
	e.incarnation++
	e.eventSequence = 1
	e.running, e.waiting, e.prefillQueue = 0, nil, nil
	e.cache = newBlockCache(e.sim.config.CacheBlocks)
	e.pendingBlocks = make(map[prefix.Hash]int)
}

func (e *engine) ref() target.Ref { return target.Ref{ID: e.id, Incarnation: e.incarnation} }

// accept queues a request.
func (e *engine) accept(r *request) {
	for _, h := range r.chain {
		e.pendingBlocks[h]++
	}
	r.plannedPrefillTokens = r.promptTokens - e.expectedHeldBlocks(r.chain)*e.sim.config.BlockTokens
	e.waiting = append(e.waiting, r)
	e.admit()
}

// admit moves waiting requests into free batch slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running < e.sim.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.prefillQueue = append(e.prefillQueue, r)
		if len(e.prefillQueue) == 1 {
			e.startPrefill()
		}
	}
}

// startPrefill computes the uncached tokens of the first request in the prefill
// queue.
func (e *engine) startPrefill() {
	r := e.prefillQueue[0]
	r.cachedTokens = min(e.cache.matchLength(r.chain)*e.sim.config.BlockTokens, r.promptTokens)
	took := e.sim.prefillTime(r.promptTokens - r.cachedTokens)
	e.prefillEnd = e.sim.now + took
	incarnation := e.incarnation
	e.sim.scheduleAfter(took, func() {
		if e.incarnation == incarnation && !e.down {
			e.completePrefill(r)
		}
	})
}

func (e *engine) completePrefill(r *request) {
	e.prefillQueue = e.prefillQueue[1:]
	for _, h := range r.chain {
		if e.pendingBlocks[h]--; e.pendingBlocks[h] == 0 {
			delete(e.pendingBlocks, h)
		}
	}
	added, evicted, age := e.cache.store(r.chain, e.sim.now)
	e.publishEvent(prefix.Stored, added, 0)
	e.sim.result.recordEvictions(len(evicted), age)
	e.publishEvent(prefix.Evicted, evicted, age)
	e.sim.recordFirstToken(r, e)
	incarnation := e.incarnation
	e.sim.scheduleAfter(time.Duration(r.outputTokens)*e.sim.config.TokenInterval, func() {
		if e.incarnation == incarnation && !e.down {
			e.running--
			e.sim.completeRequest(r)
			e.admit()
		}
	})
	if len(e.prefillQueue) > 0 {
		e.startPrefill()
	}
}

func (e *engine) publishEvent(kind prefix.EventKind, blocks []prefix.Hash, age time.Duration) {
	if len(blocks) == 0 {
		return
	}
	e.eventSequence++
	e.sim.deliverCacheEvent(e, prefix.Event{Sequence: e.eventSequence, Kind: kind, Root: blocks[0], Blocks: blocks, AgeMS: age.Milliseconds()})
}

// crash drops all requests. The next incarnation starts with an empty cache.
func (e *engine) crash() {
	lost := slices.Concat(e.waiting, e.prefillQueue)
	e.down = true
	e.reset()
	e.sim.scheduleAfter(e.sim.config.Restart, func() { e.down = false })
	for _, r := range lost {
		e.sim.redispatch(r, e)
	}
}

// prefillBacklog returns how long the prefill work ahead of a new request
// takes.
func (e *engine) prefillBacklog() time.Duration {
	tokens := 0
	for i, r := range e.prefillQueue {
		if i > 0 {
			tokens += r.plannedPrefillTokens
		}
	}
	for _, r := range e.waiting {
		tokens += r.plannedPrefillTokens
	}
	return max(0, e.prefillEnd-e.sim.now) + e.sim.prefillTime(tokens)
}

// expectedHeldBlocks returns how many leading blocks the cache will hold once
// the queued requests are done, for a request that pendingBlocks already
// counts.
func (e *engine) expectedHeldBlocks(chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.cache.has(h) && e.pendingBlocks[h] <= 1 {
			return i
		}
	}
	return len(chain)
}

// expectedHeldBlocksForNew is expectedHeldBlocks for a request that is not
// queued yet.
func (e *engine) expectedHeldBlocksForNew(chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.cache.has(h) && e.pendingBlocks[h] == 0 {
			return i
		}
	}
	return len(chain)
}

func (e *engine) announcement() target.Announcement {
	e.announcementSequence++
	tokens := int(e.prefillBacklog().Seconds() * e.sim.config.PrefillTokensPerSecond)
	return target.Announcement{
		ID: e.id, Incarnation: e.incarnation, Sequence: e.announcementSequence, Kind: target.KindEngine,
		Zone: e.zone, Region: region, Model: model, Version: version,
		BatchSlots: e.sim.config.Slots, CacheBlocks: e.sim.config.CacheBlocks, Loading: e.down,
		Load: target.Load{Running: e.running, Waiting: len(e.waiting), QueuedPrefillTokens: tokens},
	}
}

// blockCache is an LRU cache of blocks.
type blockCache struct {
	capacity int
	blocks   map[prefix.Hash]*list.Element
	recency  *list.List
}

type cachedBlock struct {
	hash     prefix.Hash
	lastUsed time.Duration
}

func newBlockCache(capacity int) blockCache {
	return blockCache{capacity: capacity, blocks: make(map[prefix.Hash]*list.Element), recency: list.New()}
}

func (c *blockCache) has(h prefix.Hash) bool {
	_, ok := c.blocks[h]
	return ok
}

func (c *blockCache) matchLength(chain []prefix.Hash) int {
	for i, h := range chain {
		if !c.has(h) {
			return i
		}
	}
	return len(chain)
}

// store adds the blocks of a chain. Eviction starts with the deepest blocks.
func (c *blockCache) store(chain []prefix.Hash, now time.Duration) (added, evicted []prefix.Hash, age time.Duration) {
	for i := len(chain) - 1; i >= 0; i-- {
		h := chain[i]
		if held, ok := c.blocks[h]; ok {
			held.Value.(*cachedBlock).lastUsed = now
			c.recency.MoveToFront(held)
			continue
		}
		c.blocks[h] = c.recency.PushFront(&cachedBlock{h, now})
		added = append(added, h)
	}
	for c.recency.Len() > c.capacity {
		b := c.recency.Remove(c.recency.Back()).(*cachedBlock)
		delete(c.blocks, b.hash)
		evicted = append(evicted, b.hash)
		age = now - b.lastUsed
	}
	return added, evicted, age
}

func (c *blockCache) hashes() []prefix.Hash {
	var all []prefix.Hash
	for e := c.recency.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*cachedBlock).hash)
	}
	return all
}
