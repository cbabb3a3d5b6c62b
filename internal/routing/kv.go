package routing

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// kvBytesPerSecond is the assumed throughput between a KV store and an
	// engine of its region: 10 Gbit/s.
	kvBytesPerSecond = 1.25e9
	// exportBandwidthShare is the fraction of that throughput that all VMs
	// together use for exports.
	exportBandwidthShare = 0.25
	// exportCooldown is the minimum time between two exports of a chain. The
	// cache events that confirm an export arrive with a delay. After the
	// cooldown, an export that failed can be repeated.
	exportCooldown = 5 * time.Second
	// maxRecentExports limits the size of the map of recent exports.
	maxRecentExports = 1024
)

// Export is a request to copy blocks from an engine to a KV store.
type Export struct {
	// Store imports the blocks from Source.
	Store, Source *target.Target
	// Scope and Blocks identify the blocks.
	Scope  prefix.ScopeDigest
	Blocks []prefix.Hash
}

// exportLimiter limits the bandwidth of exports and the rate at which one chain
// is exported.
type exportLimiter struct {
	bucket     byteBucket
	lastExport map[prefix.Hash]time.Time
}

// findStore finds the KV store that holds the most leading blocks of the chain.
// It finds none if importing a block is not faster than computing it.
func (p *Picker) findStore(q *query, holdings []prefix.Holding) {
	if q.blockImport >= q.blockPrefill {
		return
	}
	for i := range q.group.stores {
		s := &q.group.stores[i]
		blocks := matchedBlocks(&p.match, s)
		for _, h := range holdings {
			if h.Ref == s.target.Ref() {
				blocks = max(blocks, h.Blocks)
			}
		}
		if blocks > q.storeBlocks {
			q.storeBlocks, q.store = blocks, s
		}
	}
}

// exportToStore requests a copy of blocks to a KV store when they are reused,
// because a second use shows that the prefix is shared. Blocks that are faster
// to compute than to import are not exported.
func (p *Picker) exportToStore(q *query, c *choice, scope prefix.ScopeDigest) {
	if p.OnExport == nil || c.crossRegion || q.blockImport >= q.blockPrefill || len(q.group.stores) == 0 || c.heldBlocks <= q.storeBlocks || !c.target.Capabilities.KV {
		return
	}
	store := q.store
	if store == nil {
		store = &q.group.stores[0]
	}
	snap := q.req.Call.Snapshot
	blocks := q.chain[:c.heldBlocks]
	rate := kvBytesPerSecond * exportBandwidthShare / float64(max(1, snap.VMSlots()))
	if !store.target.Usable(q.now) || !p.exportLimiter.cooldownElapsed(blocks[len(blocks)-1], q.now) || !p.exportLimiter.bucket.available(q.now, rate) {
		return
	}
	p.exportLimiter.lastExport[blocks[len(blocks)-1]] = q.now
	p.exportLimiter.bucket.take((c.heldBlocks - q.storeBlocks) * kvBlockBytes(snap, q.req.Call.Model))
	p.OnExport(Export{Store: store.target, Source: c.target, Scope: scope, Blocks: blocks})
}

// cooldownElapsed reports whether the chain ending with h may be exported
// again.
func (e *exportLimiter) cooldownElapsed(h prefix.Hash, now time.Time) bool {
	if len(e.lastExport) >= maxRecentExports {
		clear(e.lastExport)
	}
	if e.lastExport == nil {
		e.lastExport = make(map[prefix.Hash]time.Time)
	}
	last, ok := e.lastExport[h]
	return !ok || now.Sub(last) >= exportCooldown
}

func kvBlockBytes(snap *config.Snapshot, model string) int {
	m := snap.Document.Models[model]
	return m.BlockTokens * m.KVBytesPerToken
}
