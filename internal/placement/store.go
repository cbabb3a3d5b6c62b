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
	// inserted is the number of tokens saved so far.
	inserted float64
	parts    map[uint64]savedPart
}

// savedPart is the last save of a part.
type savedPart struct {
	// inserted is the number of tokens that the store had taken by then.
	inserted float64
	at       time.Time
}

const (
	// maxStoreParts bounds the parts remembered of one store.
	maxStoreParts = 1 << 16
	// saveAgain is the age from which a part is saved again: a store that
	// restarts is empty and tells nobody.
	saveAgain = 30 * time.Second
	// storeOtherZone is how much longer a transfer between zones takes.
	storeOtherZone = 2
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

// storeOf returns the store of a prompt for an engine: one of the engine's
// region, because a transfer between regions takes longer than to read the
// part again. All fronts agree on it by rendezvous hashing.
func (p *Placer) storeOf(m *member, last uint32) *store {
	var best *store
	weight := uint64(0)
	for _, s := range p.stores {
		if s.Region != m.Region {
			continue
		}
		if w := mix(uint64(last) ^ s.hash); best == nil || w > weight {
			best, weight = s, w
		}
	}
	return best
}

// storeKey names a part that was made with some weights.
func storeKey(part uint32, weights uint64) uint64 { return mix(uint64(part) ^ mix(weights)) }

// held returns the leading tokens of the parts that the store holds.
func (s *store) held(now time.Time, parts []Part, weights uint64) int {
	sum := 0
	for _, part := range parts {
		saved, ok := s.parts[storeKey(uint32(part.ID), weights)]
		if !ok || s.dropped(now, saved) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// dropped reports whether a part may have yielded to others.
func (s *store) dropped(now time.Time, p savedPart) bool {
	return now.Sub(p.at) > saveAgain || s.inserted-p.inserted > retainedPart*float64(s.Tokens)
}

// save notes that an engine saves the parts of a prompt, of which it reads the
// number of tokens given.
func (s *store) save(now time.Time, parts []uint32, weights uint64, read float64) {
	s.inserted += read
	for _, part := range parts {
		s.parts[storeKey(part, weights)] = savedPart{s.inserted, now}
	}
	if len(s.parts) > maxStoreParts {
		s.forget(now)
	}
}

func (s *store) forget(now time.Time) {
	for key, saved := range s.parts {
		if s.dropped(now, saved) {
			delete(s.parts, key)
		}
	}
	if len(s.parts) > maxStoreParts {
		clear(s.parts)
	}
}

// perToken is the time of the transfer of a token to an engine of the region.
func (s *store) perToken(to *member) float64 {
	if s.Zone == to.Zone {
		return s.TokenMS
	}
	return storeOtherZone * s.TokenMS
}

// saved notes that a prompt was sent to an engine that saves what it reads.
func (p *Placer) saved(now time.Time, m *member, shared []uint32, read float64) {
	if len(shared) == 0 {
		return
	}
	if s := p.storeOf(m, shared[len(shared)-1]); s != nil {
		s.save(now, shared, m.Weights, read)
	}
}

// fetch notes in c where the engine should fetch parts from and save them to.
// It returns how many tokens the engine fetches and how long that takes.
func (p *Placer) fetch(c *Choice, s *service, want *Want, now time.Time) (tokens int, took float64) {
	m, cached := c.member, c.CachedTokens
	if source := m.source(s, want, cached); source != nil {
		tokens = source.cached(want) - cached
		took = fetchSetupMS + float64(tokens)*perToken(m, source)
		target := source.Target
		c.Source = &target
	}
	shared := want.shared()
	size := total(shared)
	if m.Weights == 0 || size < minFetch {
		return tokens, took
	}
	store := p.storeOf(m, uint32(shared[len(shared)-1].ID))
	if store == nil {
		return tokens, took
	}
	held := store.held(now, shared, m.Weights)
	if held < size {
		c.Save = store.Address
	}
	more := held - cached
	if more >= max(minFetch, tokens) {
		tokens, took = more, fetchSetupMS+float64(more)*store.perToken(m)
		c.Source = nil
	}
	if c.Source == nil {
		// The store is asked also if the engine is expected to hold the parts:
		// a request that finds nothing there loses a millisecond, but a part
		// that has yielded unnoticed is not read again.
		c.Source = &Target{ID: store.Address, Address: store.Address}
	}
	return tokens, took
}
