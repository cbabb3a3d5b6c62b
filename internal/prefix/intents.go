package prefix

import (
	"sync"
	"time"
)

// intentFor is how long a VM that asked may take until its choice counts as
// failed. A round trip inside the region takes 1 ms.
const intentFor = 10 * time.Millisecond

// Intents coalesces requests for one cold prefix that reach several VMs at
// once: the owner of the chain lets the first VM choose, and the others wait
// for its choice. It is safe for concurrent use.
type Intents struct {
	mu      sync.Mutex
	pending map[Hash]*intent
}

type intent struct {
	since  time.Time
	placed chan struct{}
}

// NewIntents returns an empty set.
func NewIntents() *Intents { return &Intents{pending: make(map[Hash]*intent)} }

// Begin notes that a request for chain, of which the first blocks are held
// somewhere, is being placed. It returns nil for the first such request, and
// otherwise a channel that is closed once the first was placed.
func (i *Intents) Begin(chain []Hash, held int, now time.Time) <-chan struct{} {
	if held >= len(chain) {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if p, ok := i.pending[chain[held]]; ok && now.Sub(p.since) < intentFor {
		return p.placed
	}
	if p, ok := i.pending[chain[held]]; ok {
		close(p.placed)
	}
	i.pending[chain[held]] = &intent{now, make(chan struct{})}
	return nil
}

// Placed ends the wait for all blocks of a chain.
func (i *Intents) Placed(chain []Hash) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.pending) == 0 {
		return
	}
	for _, h := range chain {
		if p, ok := i.pending[h]; ok {
			close(p.placed)
			delete(i.pending, h)
		}
	}
}

// Expire forgets requests that were never placed.
func (i *Intents) Expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for h, p := range i.pending {
		if now.Sub(p.since) >= intentFor {
			close(p.placed)
			delete(i.pending, h)
		}
	}
}
