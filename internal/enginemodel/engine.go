// Package enginemodel is a small deterministic queue model of engines, with
// which policies of routing are compared. It is made for benchmarks: one group
// of engines of one model, one region, virtual time.
package enginemodel

import (
	"container/list"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// engine has a number of batch slots, prefills one request at a time and keeps
// blocks in a cache of limited size.
type engine struct {
	sim         *simulation
	id          string
	index       int
	zone        string
	incarnation uint64
	down        bool
	running     int
	waiting     []*request
	prefills    []*request
	prefilled   time.Duration
	cache       blockCache
	// pending counts the queued requests that will leave a block behind.
	pending  map[prefix.Hash]int
	sequence uint64
	events   uint64
}

func newEngine(s *simulation, index int) *engine {
	zones := [...]string{"a", "b"}
	e := &engine{sim: s, index: index, id: engineID(index), zone: zones[index%len(zones)]}
	e.start()
	return e
}

func (e *engine) start() {
	e.incarnation++
	e.events = 1
	e.running, e.waiting, e.prefills = 0, nil, nil
	e.cache = newBlockCache(e.sim.config.CacheBlocks)
	e.pending = make(map[prefix.Hash]int)
}

func (e *engine) ref() target.Ref { return target.Ref{ID: e.id, Incarnation: e.incarnation} }

// accept queues a request.
func (e *engine) accept(r *request) {
	for _, h := range r.chain {
		e.pending[h]++
	}
	r.planned = r.tokens - e.heldSoon(r.chain)*e.sim.config.BlockTokens
	e.waiting = append(e.waiting, r)
	e.admit()
}

// admit moves waiting requests into free batch slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running < e.sim.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.prefills = append(e.prefills, r)
		if len(e.prefills) == 1 {
			e.prefill()
		}
	}
}

// prefill computes the missing tokens of the first request in the queue.
func (e *engine) prefill() {
	r := e.prefills[0]
	r.cached = min(e.cache.match(r.chain)*e.sim.config.BlockTokens, r.tokens)
	took := e.sim.prefillTime(r.tokens - r.cached)
	e.prefilled = e.sim.now + took
	incarnation := e.incarnation
	e.sim.after(took, func() {
		if e.incarnation == incarnation && !e.down {
			e.firstToken(r)
		}
	})
}

func (e *engine) firstToken(r *request) {
	e.prefills = e.prefills[1:]
	for _, h := range r.chain {
		if e.pending[h]--; e.pending[h] == 0 {
			delete(e.pending, h)
		}
	}
	added, evicted, age := e.cache.store(r.chain, e.sim.now)
	e.publish(prefix.Stored, added, 0)
	e.sim.result.evicted(len(evicted), age)
	e.publish(prefix.Evicted, evicted, age)
	e.sim.first(r, e)
	incarnation := e.incarnation
	e.sim.after(time.Duration(r.output)*e.sim.config.TokenInterval, func() {
		if e.incarnation == incarnation && !e.down {
			e.running--
			e.sim.finished(r)
			e.admit()
		}
	})
	if len(e.prefills) > 0 {
		e.prefill()
	}
}

func (e *engine) publish(kind prefix.EventKind, blocks []prefix.Hash, age time.Duration) {
	if len(blocks) == 0 {
		return
	}
	e.events++
	e.sim.cacheEvent(e, prefix.Event{Sequence: e.events, Kind: kind, Root: blocks[0], Blocks: blocks, AgeMS: age.Milliseconds()})
}

// crash drops all work; the cache of the next incarnation is empty.
func (e *engine) crash() {
	lost := slices.Concat(e.waiting, e.prefills)
	e.down = true
	e.start()
	e.sim.after(e.sim.config.Restart, func() { e.down = false })
	for _, r := range lost {
		e.sim.failed(r, e)
	}
}

// wait is the prefill work ahead of a new request.
func (e *engine) wait() time.Duration {
	tokens := 0
	for i, r := range e.prefills {
		if i > 0 {
			tokens += r.planned
		}
	}
	for _, r := range e.waiting {
		tokens += r.planned
	}
	return max(0, e.prefilled-e.sim.now) + e.sim.prefillTime(tokens)
}

// heldSoon is the number of leading blocks held when the queue is done.
func (e *engine) heldSoon(chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.cache.has(h) && e.pending[h] <= 1 {
			return i
		}
	}
	return len(chain)
}

// heldForNew is heldSoon for a request that is not queued yet.
func (e *engine) heldForNew(chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.cache.has(h) && e.pending[h] == 0 {
			return i
		}
	}
	return len(chain)
}

func (e *engine) announcement() target.Announcement {
	e.sequence++
	tokens := int(e.wait().Seconds() * e.sim.config.PrefillTokensPerSecond)
	return target.Announcement{
		ID: e.id, Incarnation: e.incarnation, Sequence: e.sequence, Kind: target.KindEngine,
		Zone: e.zone, Region: region, Model: model, Version: version,
		BatchSlots: e.sim.config.Slots, CacheBlocks: e.sim.config.CacheBlocks, Loading: e.down,
		Load: target.Load{Running: e.running, Waiting: len(e.waiting), QueuedPrefillTokens: tokens},
	}
}

// blockCache keeps the most recently used blocks.
type blockCache struct {
	capacity int
	blocks   map[prefix.Hash]*list.Element
	order    *list.List
}

type cachedBlock struct {
	hash prefix.Hash
	used time.Duration
}

func newBlockCache(capacity int) blockCache {
	return blockCache{capacity: capacity, blocks: make(map[prefix.Hash]*list.Element), order: list.New()}
}

func (c *blockCache) has(h prefix.Hash) bool {
	_, ok := c.blocks[h]
	return ok
}

func (c *blockCache) match(chain []prefix.Hash) int {
	for i, h := range chain {
		if !c.has(h) {
			return i
		}
	}
	return len(chain)
}

// store adds a chain; the deepest blocks are evicted first.
func (c *blockCache) store(chain []prefix.Hash, now time.Duration) (added, evicted []prefix.Hash, age time.Duration) {
	for i := len(chain) - 1; i >= 0; i-- {
		h := chain[i]
		if held, ok := c.blocks[h]; ok {
			held.Value.(*cachedBlock).used = now
			c.order.MoveToFront(held)
			continue
		}
		c.blocks[h] = c.order.PushFront(&cachedBlock{h, now})
		added = append(added, h)
	}
	for c.order.Len() > c.capacity {
		b := c.order.Remove(c.order.Back()).(*cachedBlock)
		delete(c.blocks, b.hash)
		evicted = append(evicted, b.hash)
		age = now - b.used
	}
	return added, evicted, age
}

func (c *blockCache) content() []prefix.Hash {
	var all []prefix.Hash
	for e := c.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*cachedBlock).hash)
	}
	return all
}
