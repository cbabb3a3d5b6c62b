package prefix

import (
	"sync"
	"time"
)

// placementTimeout is how long the first VM has to place its request before the
// placement counts as failed. A round trip inside the region takes 1 ms.
const placementTimeout = 10 * time.Millisecond

// Coalescer coalesces simultaneous requests for a cold prefix that arrive at
// several VMs: the owner of the chain lets the first VM choose a target, and
// the other VMs wait for that choice. It is safe for concurrent use.
type Coalescer struct {
	mu      sync.Mutex
	pending map[Hash]*placement
}

type placement struct {
	started time.Time
	done    chan struct{}
}

// NewCoalescer returns a Coalescer without pending placements.
func NewCoalescer() *Coalescer { return &Coalescer{pending: make(map[Hash]*placement)} }

// Begin registers the placement of a request for chain; held is the number of
// leading blocks that some target already holds. It returns nil for the first
// such request, and for later ones a channel that is closed when the first
// request has been placed or its placement has timed out. It also returns nil if
// all blocks are held.
func (c *Coalescer) Begin(chain []Hash, held int, now time.Time) <-chan struct{} {
	if held >= len(chain) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[chain[held]]; ok && now.Sub(p.started) < placementTimeout {
		return p.done
	}
	if p, ok := c.pending[chain[held]]; ok {
		close(p.done)
	}
	c.pending[chain[held]] = &placement{now, make(chan struct{})}
	return nil
}

// Complete ends the wait for all blocks of a chain.
func (c *Coalescer) Complete(chain []Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return
	}
	for _, h := range chain {
		if p, ok := c.pending[h]; ok {
			close(p.done)
			delete(c.pending, h)
		}
	}
}

// Expire removes placements that did not complete within placementTimeout and
// ends the wait for them.
func (c *Coalescer) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h, p := range c.pending {
		if now.Sub(p.started) >= placementTimeout {
			close(p.done)
			delete(c.pending, h)
		}
	}
}
