package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Store keeps parts of prompts for all engines. It runs no requests.
type Store struct {
	Address string
	Zone    string
	Region  string
	// Tokens is the memory of the store.
	Tokens int
	// TokenMS is how long the transfer of a token takes within a zone, in
	// milliseconds.
	TokenMS float64
}

// store is a store with the parts that it is believed to hold. Engines save
// what they read to a store of their region, so every front follows what the
// stores hold from what is sent to engines.
type store struct {
	Store
	hash uint64
	// insertedTokens is the number of tokens saved so far.
	insertedTokens float64
	parts          map[uint64]savedPart
}

// savedPart is the last save of a part.
type savedPart struct {
	// insertedTokens is the number of tokens that the store had taken by then.
	insertedTokens float64
	savedAt        time.Time
}

const (
	// maxStoreParts bounds the parts remembered of one store.
	maxStoreParts = 1 << 16
	// resaveAge is the age from which a part is saved again: a store that
	// restarts is empty and tells nobody.
	resaveAge = 30 * time.Second
	// crossZoneFactor is how much longer a transfer between zones takes.
	crossZoneFactor = 2
)

// UpdateStores replaces the list of stores that can be reached. What is known
// of one that was not in the list is forgotten, because a store that restarts
// is empty.
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
			next = &store{hash: xxhash.Sum64String(s.Address), parts: make(map[uint64]savedPart)}
		}
		next.Store = s
		p.stores = append(p.stores, next)
	}
}

// storeFor returns the store of a prompt for an engine: one of the engine's
// region, because a transfer between regions takes longer than to read the
// part again. All fronts agree on it by rendezvous hashing.
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

// storeKey names a part that was made with some weights.
func storeKey(part uint32, weights uint64) uint64 { return mix64(uint64(part) ^ mix64(weights)) }

// heldTokens returns the leading tokens of the parts that the store holds.
func (s *store) heldTokens(now time.Time, parts []Part, weights uint64) int {
	sum := 0
	for _, part := range parts {
		saved, ok := s.parts[storeKey(uint32(part.ID), weights)]
		if !ok || s.mayBeEvicted(now, saved) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// mayBeEvicted reports whether a part may have yielded to others.
func (s *store) mayBeEvicted(now time.Time, p savedPart) bool {
	return now.Sub(p.savedAt) > resaveAge || s.insertedTokens-p.insertedTokens > cacheFraction*float64(s.Tokens)
}

// recordSave notes that an engine saves the parts of a prompt, of which it reads the
// number of tokens given.
func (s *store) recordSave(now time.Time, parts []uint32, weights uint64, read float64) {
	s.insertedTokens += read
	for _, part := range parts {
		s.parts[storeKey(part, weights)] = savedPart{s.insertedTokens, now}
	}
	if len(s.parts) > maxStoreParts {
		s.evictParts(now)
	}
}

func (s *store) evictParts(now time.Time) {
	for key, saved := range s.parts {
		if s.mayBeEvicted(now, saved) {
			delete(s.parts, key)
		}
	}
	if len(s.parts) > maxStoreParts {
		clear(s.parts)
	}
}

// transferMSPerToken is the time of the transfer of a token to an engine of the region.
func (s *store) transferMSPerToken(to *member) float64 {
	if s.Zone == to.Zone {
		return s.TokenMS
	}
	return crossZoneFactor * s.TokenMS
}

// recordSave notes that a prompt was sent to an engine that saves what it reads.
func (p *Placer) recordSave(now time.Time, m *member, shared []uint32, read float64) {
	if len(shared) == 0 {
		return
	}
	if s := p.storeFor(m, shared[len(shared)-1]); s != nil {
		s.recordSave(now, shared, m.Weights, read)
	}
}

// planTransfers notes in c where the engine should fetch parts from and save them to.
// It returns how many tokens the engine fetches and how long that takes.
func (p *Placer) planTransfers(c *Choice, s *service, req *Request, now time.Time) (tokens int, took float64) {
	m, cached := c.member, c.CachedTokens
	if source := m.fetchSource(s, req, cached); source != nil {
		tokens = source.cachedTokens(req) - cached
		took = fetchSetupMS + float64(tokens)*fetchMSPerToken(m, source)
		target := source.Target
		c.FetchFrom = &target
	}
	shared := req.sharedParts()
	size := totalTokens(shared)
	if m.Weights == 0 || size < minFetchTokens {
		return tokens, took
	}
	store := p.storeFor(m, uint32(shared[len(shared)-1].ID))
	if store == nil {
		return tokens, took
	}
	held := store.heldTokens(now, shared, m.Weights)
	if held < size {
		c.SaveTo = store.Address
	}
	more := held - cached
	if more >= max(minFetchTokens, tokens) {
		tokens, took = more, fetchSetupMS+float64(more)*store.transferMSPerToken(m)
		c.FetchFrom = nil
	}
	if c.FetchFrom == nil {
		// The store is asked also if the engine is expected to hold the parts:
		// a request that finds nothing there loses a millisecond, but a part
		// that has yielded unnoticed is not read again.
		c.FetchFrom = &Target{ID: store.Address, Address: store.Address}
	}
	return tokens, took
}
