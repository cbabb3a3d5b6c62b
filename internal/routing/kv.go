package routing

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// kvBytesPerSecond is the assumed throughput between a KV store and an
	// engine of its region, 10 Gbit/s.
	kvBytesPerSecond = 1.25e9
	// exportShare is the part of that throughput that all VMs together use to
	// fill the stores.
	exportShare = 0.25
	// exportPause is how long a chain is not exported again; its events take
	// a moment to arrive, and an export may fail.
	exportPause = 5 * time.Second
	// maxExports bounds the chains that are remembered.
	maxExports = 1024
)

// Export asks a KV store to take blocks over from an engine.
type Export struct {
	// Store takes the blocks, Source holds them.
	Store, Source *target.Target
	// Scope and Blocks name them.
	Scope  prefix.ScopeDigest
	Blocks []prefix.Hash
}

// exports remembers what was exported lately.
type exports struct {
	budget linkBudget
	last   map[prefix.Hash]time.Time
}

// findStore looks for the KV store that holds most of the chain.
func (p *Picker) findStore(q *query, holdings []prefix.Holding) {
	if q.kvBlock >= q.block {
		return
	}
	for i := range q.group.stores {
		s := &q.group.stores[i]
		blocks := matched(&p.match, s)
		for _, h := range holdings {
			if h.Ref == s.target.Ref() {
				blocks = max(blocks, h.Blocks)
			}
		}
		if blocks > q.stored {
			q.stored, q.store = blocks, s
		}
	}
}

// export copies blocks to a store once they are reused: a second use shows
// that the prefix is shared. Blocks are not worth it where computing them is
// faster than importing them.
func (p *Picker) export(q *query, c *choice, scope prefix.ScopeDigest) {
	if p.Export == nil || c.away || q.kvBlock >= q.block || len(q.group.stores) == 0 || c.blocks <= q.stored || !c.target.Capabilities.KV {
		return
	}
	store := q.store
	if store == nil {
		store = &q.group.stores[0]
	}
	snap := q.req.Call.Snapshot
	blocks := q.chain[:c.blocks]
	rate := kvBytesPerSecond * exportShare / float64(max(1, snap.Slots()))
	if !store.target.Usable(q.now) || !p.kv.due(blocks[len(blocks)-1], q.now) || !p.kv.budget.available(q.now, rate) {
		return
	}
	p.kv.last[blocks[len(blocks)-1]] = q.now
	p.kv.budget.spend((c.blocks - q.stored) * blockBytes(snap, q.req.Call.Model))
	p.Export(Export{Store: store.target, Source: c.target, Scope: scope, Blocks: blocks})
}

// due reports whether the chain that ends with h was not exported lately.
func (e *exports) due(h prefix.Hash, now time.Time) bool {
	if len(e.last) >= maxExports {
		clear(e.last)
	}
	if e.last == nil {
		e.last = make(map[prefix.Hash]time.Time)
	}
	last, ok := e.last[h]
	return !ok || now.Sub(last) >= exportPause
}

func blockBytes(snap *config.Snapshot, model string) int {
	m := snap.Document.Models[model]
	return m.BlockTokens * m.KVBytesPerToken
}
