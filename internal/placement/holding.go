package placement

import (
	"slices"
	"time"
)

const (
	// cacheFraction is the fraction of an engine's memory that holds prompts. Generated
	// tokens, which no front knows in advance, use the rest.
	cacheFraction = 0.9
	// defaultCacheTokens is the memory, in tokens, assumed for engines whose
	// memory is not known.
	defaultCacheTokens = 80_000
	// maxMemberParts limits the parts tracked for one target.
	maxMemberParts = 4096
)

// holding is what an engine is believed to have in memory, in the order of the last use: the
// parts of prompts and, between them, tokens of prompts whose parts are not known. The
// least recently used tokens yield first. The zero value is empty.
type holding struct {
	index map[uint32]int32
	// parts is a circular list in order of use. The first element is its head: its newer
	// neighbour is the least recently used part, its older one the most recently used.
	parts []heldPart
	free  []int32
	// tokens is the sum over all parts and the unknown tokens.
	tokens float64
}

type heldPart struct {
	id           uint32
	older, newer int32
	// tokens is the size of the part; 0 if it is not known.
	tokens float64
	// unknown is the number of tokens of unknown parts that were used after this part and
	// before the next newer one.
	unknown float64
	// ready is when the engine is expected to have the part.
	ready time.Time
	// pin tells until when running requests use the part. See occupancy.Tracker.Pin.
	pin int64
}

// use records the use of a part and reports whether the engine did not hold it. The engine
// then has it when it is ready.
func (h *holding) use(id uint32, tokens float64, ready time.Time) bool {
	if h.index == nil {
		h.index, h.parts = make(map[uint32]int32), make([]heldPart, 1)
	}
	n, held := h.index[id]
	if held {
		h.unlink(n)
	} else {
		n = h.allocate()
		h.index[id] = n
		h.parts[n] = heldPart{id: id, ready: ready}
	}
	part := &h.parts[n]
	if part.tokens < tokens {
		h.tokens += tokens - part.tokens
		part.tokens = tokens
	}
	h.linkNewest(n)
	return !held
}

// useUnknown records the use of tokens of unknown parts.
func (h *holding) useUnknown(tokens float64) {
	if h.index == nil || tokens <= 0 {
		return
	}
	h.parts[h.parts[0].older].unknown += tokens
	h.tokens += tokens
}

// evict removes the least recently used tokens beyond the capacity, and the least recently
// used parts beyond maxParts.
func (h *holding) evict(capacity float64, maxParts int) {
	for h.tokens > capacity || len(h.index) > maxParts {
		if old := h.parts[0].unknown; old > 0 {
			yielded := min(old, h.tokens-capacity)
			if yielded > 0 {
				h.parts[0].unknown -= yielded
				h.tokens -= yielded
				continue
			}
		}
		n := h.parts[0].newer
		if n == 0 {
			return
		}
		h.unlink(n)
		h.tokens -= h.parts[n].tokens
		delete(h.index, h.parts[n].id)
		h.free = append(h.free, n)
	}
}

// has reports whether the engine holds the part or will hold it when the requests sent to it
// earlier have been prefilled.
func (h *holding) has(id uint32) bool {
	_, ok := h.index[id]
	return ok
}

// hasReady reports whether other engines can fetch the part at now.
func (h *holding) hasReady(id uint32, now time.Time) bool {
	n, ok := h.index[id]
	return ok && !now.Before(h.parts[n].ready)
}

// readySince returns when the part was ready, and whether it is held.
func (h *holding) readySince(id uint32) (time.Time, bool) {
	n, ok := h.index[id]
	if !ok {
		return time.Time{}, false
	}
	return h.parts[n].ready, true
}

// renew records that a part that is ready has been written anew.
func (h *holding) renew(id uint32, now time.Time) {
	if n, ok := h.index[id]; ok && h.parts[n].ready.Before(now) {
		h.parts[n].ready = now
	}
}

func (h *holding) allocate() int32 {
	if last := len(h.free) - 1; last >= 0 {
		n := h.free[last]
		h.free = h.free[:last]
		return n
	}
	h.parts = append(h.parts, heldPart{})
	return int32(len(h.parts) - 1)
}

// unlink takes a part out of the order. The unknown tokens after it stay in theirs.
func (h *holding) unlink(n int32) {
	part := &h.parts[n]
	h.parts[part.older].newer, h.parts[part.newer].older = part.newer, part.older
	h.parts[part.older].unknown += part.unknown
	part.unknown = 0
}

func (h *holding) linkNewest(n int32) {
	newest := h.parts[0].older
	h.parts[n].older, h.parts[n].newer = newest, 0
	h.parts[newest].newer, h.parts[0].older = n, n
}

// cachedTokens returns the number of leading prompt tokens believed to be in
// the member's cache once it has prefilled what was sent to it earlier.
func (m *member) cachedTokens(req *Request) int {
	sum := 0
	for _, part := range req.Parts {
		if !m.held.has(uint32(part.ID)) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// fetchableTokens returns the number of leading prompt tokens that others can fetch from the
// member at now. Parts that it is still prefilling are not among them.
func (m *member) fetchableTokens(req *Request, now time.Time) int {
	sum := 0
	for _, part := range req.Parts {
		if !m.held.hasReady(uint32(part.ID), now) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// cacheBudget returns the number of tokens of prompts that the engine holds.
func (m *member) cacheBudget() float64 {
	if m.CacheTokens > 0 {
		return cacheFraction * float64(m.CacheTokens)
	}
	return cacheFraction * defaultCacheTokens
}

// recordPrompt records a prompt that was placed at the member, with the number of tokens that
// it adds to the memory, and reports whether the member did not hold all shared parts. It has
// them when they are ready. A shared part of unknown size counts among the unknown tokens
// until a request of this VM names its size.
func (m *member) recordPrompt(now, ready time.Time, shared, unique []Part, inserted float64) (added bool) {
	m.insertion.add(now, inserted)
	// Of the parts of a prompt the last ones yield first.
	for _, part := range slices.Backward(unique) {
		if m.held.use(uint32(part.ID), float64(part.Tokens), ready) {
			inserted -= float64(part.Tokens)
		}
	}
	for _, part := range slices.Backward(shared) {
		if m.held.use(uint32(part.ID), float64(part.Tokens), ready) {
			added = true
			inserted -= float64(part.Tokens)
		}
	}
	m.held.useUnknown(inserted)
	m.held.evict(m.cacheBudget(), maxMemberParts)
	return added
}
