package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// CacheOptions describe the prefix cache of a stand-in engine or KV store.
type CacheOptions struct {
	// KVStore is true for a KV store, which keeps blocks but answers nothing.
	KVStore bool
	// Blocks is how many blocks fit; zero turns the cache off.
	Blocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// PrefillTokensPerSecond is the prefill speed; zero takes no time.
	PrefillTokensPerSecond float64
	// ImportPerBlock is how long the transfer of a block takes.
	ImportPerBlock time.Duration
	// EventLag delays cache events, EventLoss is the part that is lost.
	EventLag  time.Duration
	EventLoss float64
	// LoadLag delays load reports.
	LoadLag time.Duration
}

func (o CacheOptions) kind() target.Kind {
	if o.KVStore {
		return target.KindKVStore
	}
	return target.KindEngine
}

// blockKey keeps the blocks of workspaces and weights apart, also if their
// hashes collide.
type blockKey struct {
	scope string
	hash  prefix.Hash
}

type block struct {
	key  blockKey
	root prefix.Hash
	used time.Time
}

// cache holds blocks, least recently used ones are evicted.
type cache struct {
	capacity int
	events   *eventLog

	mu     sync.Mutex
	blocks map[blockKey]*list.Element
	order  *list.List
}

func newCache(capacity int, events *eventLog) *cache {
	return &cache{capacity: capacity, events: events, blocks: make(map[blockKey]*list.Element), order: list.New()}
}

// match returns how many leading blocks of chain are held.
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

// store adds a chain. The last block is the first to be evicted, because the
// blocks before it are useful without it.
func (c *cache) store(scope string, chain []prefix.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain = chain[:min(len(chain), c.capacity)]
	var added []prefix.Hash
	now := time.Now()
	for i := len(chain) - 1; i >= 0; i-- {
		key := blockKey{scope, chain[i]}
		if held, ok := c.blocks[key]; ok {
			held.Value.(*block).used = now
			c.order.MoveToFront(held)
			continue
		}
		c.blocks[key] = c.order.PushFront(&block{key, chain[0], now})
		added = append(added, chain[i])
	}
	if len(added) > 0 {
		c.events.add(prefix.Event{Kind: prefix.Stored, Root: chain[0], Blocks: added})
	}
	c.evict(now)
}

func (c *cache) evict(now time.Time) {
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		b := c.order.Remove(last).(*block)
		delete(c.blocks, b.key)
		c.events.add(prefix.Event{
			Kind: prefix.Evicted, Root: b.root, Blocks: []prefix.Hash{b.key.hash}, AgeMS: now.Sub(b.used).Milliseconds(),
		})
	}
}

// snapshot returns the whole content and the number of the last event.
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
	return events, c.events.last()
}
