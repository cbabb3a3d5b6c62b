package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Store is a server that caches parts of prompts for all engines. It runs no
// requests.
type Store struct {
	Address string
	Zone    string
	Region  string
	// CapacityTokens is the capacity of the store.
	CapacityTokens int
	// TransferMSPerToken is the transfer time per token within a zone, in
	// milliseconds.
	TransferMSPerToken float64
}

// store tracks the parts that a Store is believed to hold. Engines save the
// parts that they prefill to a store of their region, so every front derives
// the content of the stores from the requests placed at engines.
type store struct {
	Store
	// target is the store as an origin of fetches.
	target Target
	hash   uint64
	held   holding
}

const (
	// maxStoreParts limits the parts tracked for one store.
	maxStoreParts = 1 << 16
	// resaveAge is the age from which a part is saved again. A store that
	// restarts is empty and does not announce it.
	resaveAge = 30 * time.Second
	// crossZoneFactor is the ratio of the transfer time between zones to the
	// time within a zone.
	crossZoneFactor = 2
)

// UpdateStores replaces the list of reachable stores. The tracked parts of a
// store that leaves the list are discarded, because a store that restarts is
// empty.
func (p *Placer) UpdateStores(list []Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*store)
	for _, s := range p.stores {
		known[s.Address] = s
	}
	p.stores = nil
	for _, s := range list {
		next := known[s.Address]
		if next == nil {
			next = &store{target: Target{ID: s.Address, Address: s.Address}, hash: xxhash.Sum64String(s.Address)}
		}
		next.Store = s
		p.stores = append(p.stores, next)
	}
}

// storeFor returns the store that an engine uses for a prompt, given the hash
// of the last shared part; nil if there is none. It is in the engine's region,
// because a transfer between regions takes longer than prefilling the part
// again. Rendezvous hashing lets all fronts choose the same store.
func (p *Placer) storeFor(m *member, last uint32) *store {
	var best *store
	weight := uint64(0)
	for _, s := range p.stores {
		if s.Region != m.Region {
			continue
		}
		if w := mix64(uint64(last) ^ s.hash); best == nil || w > weight {
			best, weight = s, w
		}
	}
	return best
}

// hasStore reports whether a store is in the region.
func (p *Placer) hasStore(region string) bool {
	return slices.ContainsFunc(p.stores, func(s *store) bool { return s.Region == region })
}

// storeKey identifies a part computed with the given weights.
func storeKey(part, weights uint64) uint32 {
	return uint32(mix64(uint64(uint32(part)) ^ mix64(weights)))
}

// heldTokens returns the number of leading tokens of the parts that can be
// fetched from the store at now.
func (s *store) heldTokens(now time.Time, parts []Part, weights uint64) int {
	sum := 0
	for _, part := range parts {
		if !s.held.hasReady(storeKey(part.ID, weights), now) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// lacks reports whether an engine that has the parts should save them: the store does not
// hold one of them, or has possibly lost it by a restart.
func (s *store) lacks(now time.Time, parts []Part, weights uint64) bool {
	return slices.ContainsFunc(parts, func(part Part) bool {
		saved, held := s.held.readySince(storeKey(part.ID, weights))
		return !held || now.Sub(saved) > resaveAge
	})
}

// recordSave records that an engine saves the parts of a prompt, of which it prefills the
// given number of tokens. The store has them when they are ready.
func (s *store) recordSave(now, ready time.Time, parts []Part, weights uint64, prefilled float64) {
	added := false
	for _, part := range slices.Backward(parts) {
		key, size := storeKey(part.ID, weights), float64(part.Tokens)
		if s.held.use(key, size, ready) {
			added = true
			prefilled -= size
		} else {
			s.held.renew(key, now)
		}
	}
	if added {
		s.held.useUnknown(prefilled)
	}
	s.held.evict(float64(s.CapacityTokens), maxStoreParts)
}

// recordFetch records that an engine fetches those of the parts that the store holds.
func (s *store) recordFetch(parts []Part, weights uint64) {
	for _, part := range slices.Backward(parts) {
		if key := storeKey(part.ID, weights); s.held.has(key) {
			s.held.use(key, float64(part.Tokens), time.Time{})
		}
	}
}

// transferMSPerToken returns the transfer time per token to an engine of the
// store's region.
func (s *store) transferMSPerToken(to *member) float64 {
	if s.Zone == to.Zone {
		return s.TransferMSPerToken
	}
	return crossZoneFactor * s.TransferMSPerToken
}

// recordStoreUse records, at the store of a prompt, that the prompt was placed at an engine
// that did not hold all of its shared parts.
func (p *Placer) recordStoreUse(now, ready time.Time, m *member, shared []Part, prefilled float64, saves bool) {
	if len(shared) == 0 {
		return
	}
	s := p.storeFor(m, uint32(shared[len(shared)-1].ID))
	switch {
	case s == nil:
	case saves:
		s.recordSave(now, ready, shared, m.Weights, prefilled)
	default:
		s.recordFetch(shared, m.Weights)
	}
}

// planTransfers sets in c where the engine fetches parts from and where it
// saves them. It returns how many tokens the engine fetches, and the duration
// of the fetch in milliseconds.
func (p *Placer) planTransfers(c *Choice, holders []cacheHolder, req *Request, now time.Time) (tokens int, fetchMS float64) {
	m, cached := c.member, c.CachedTokens
	if source := m.fetchSource(holders, cached); source != nil {
		tokens = source.tokens - cached
		fetchMS = fetchSetupMS + float64(tokens)*fetchMSPerToken(m, source.member)
		c.FetchFrom = &source.Target
	}
	shared := req.sharedParts()
	_, size := req.size()
	if m.Weights == 0 || size < minFetchTokens {
		return tokens, fetchMS
	}
	store := p.storeFor(m, uint32(shared[len(shared)-1].ID))
	if store == nil {
		return tokens, fetchMS
	}
	held := store.heldTokens(now, shared, m.Weights)
	if store.lacks(now, shared, m.Weights) {
		c.SaveTo = store.Address
	}
	more := held - cached
	if more >= max(minFetchTokens, tokens) {
		tokens, fetchMS = more, fetchSetupMS+float64(more)*store.transferMSPerToken(m)
		c.FetchFrom = nil
	}
	if c.FetchFrom == nil {
		// Query the store even if the engine is expected to hold the parts. A
		// miss costs a millisecond; a hit avoids the prefill of a part that the
		// engine has evicted without the front noticing.
		c.FetchFrom = &store.target
	}
	return tokens, fetchMS
}
