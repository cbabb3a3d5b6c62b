package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// CacheOptions configures the prefix cache of a simulated engine or KV store.
type CacheOptions struct {
	// KVStore selects a KV store, which stores blocks but serves no completions.
	KVStore bool
	// CapacityBlocks is the cache capacity in blocks; zero disables the cache.
	CapacityBlocks int
	// BlockTokens is the number of tokens per block.
	BlockTokens int
	// PrefillTokensPerSecond is the prefill speed; with zero, prefill is
	// instantaneous.
	PrefillTokensPerSecond float64
	// ImportPerBlock is the time to import one block.
	ImportPerBlock time.Duration
	// EventLag delays cache events. EventLossRate is the fraction of them that
	// is dropped.
	EventLag      time.Duration
	EventLossRate float64
	// LoadLag delays load reports.
	LoadLag time.Duration
}

func (o CacheOptions) kind() target.Kind {
	if o.KVStore {
		return target.KindKVStore
	}
	return target.KindEngine
}

// blockKey identifies a cached block. The scope separates the blocks of
// different workspaces and weights even if their hashes collide.
type blockKey struct {
	scope string
	hash  prefix.Hash
}

type block struct {
	key      blockKey
	root     prefix.Hash
	lastUsed time.Time
}

// cache is an LRU cache of blocks.
type cache struct {
	capacity int
	events   *eventLog

	mu     sync.Mutex
	blocks map[blockKey]*list.Element
	lru    *list.List
}

func newCache(capacity int, events *eventLog) *cache {
	return &cache{capacity: capacity, events: events, blocks: make(map[blockKey]*list.Element), lru: list.New()}
}

// match returns the number of leading blocks of chain that are cached.
func (c *cache) match(scope string, chain []prefix.Hash) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range chain {
		if _, ok := c.blocks[blockKey{scope, h}]; !ok {
			return i
		}
	}
	return len(chain)
}

// store adds a chain. Its blocks are evicted from the last to the first, because
// the leading blocks remain usable without those that follow.
func (c *cache) store(scope string, chain []prefix.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain = chain[:min(len(chain), c.capacity)]
	var added []prefix.Hash
	now := time.Now()
	for i := len(chain) - 1; i >= 0; i-- {
		key := blockKey{scope, chain[i]}
		if held, ok := c.blocks[key]; ok {
			held.Value.(*block).lastUsed = now
			c.lru.MoveToFront(held)
			continue
		}
		c.blocks[key] = c.lru.PushFront(&block{key, chain[0], now})
		added = append(added, chain[i])
	}
	if len(added) > 0 {
		c.events.add(prefix.Event{Kind: prefix.Stored, Root: chain[0], Blocks: added})
	}
	c.evict(now)
}

func (c *cache) evict(now time.Time) {
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		b := c.lru.Remove(last).(*block)
		delete(c.blocks, b.key)
		c.events.add(prefix.Event{
			Kind: prefix.Evicted, Root: b.root, Blocks: []prefix.Hash{b.key.hash}, AgeMS: now.Sub(b.lastUsed).Milliseconds(),
		})
	}
}

// snapshot returns the cache content as events and the sequence number of the
// last logged event.
func (c *cache) snapshot() ([]prefix.Event, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byRoot := make(map[prefix.Hash][]prefix.Hash)
	for key, held := range c.blocks {
		root := held.Value.(*block).root
		byRoot[root] = append(byRoot[root], key.hash)
	}
	var events []prefix.Event
	for root, blocks := range byRoot {
		events = append(events, prefix.Event{Kind: prefix.Stored, Root: root, Blocks: blocks})
	}
	return events, c.events.lastSequence()
}
