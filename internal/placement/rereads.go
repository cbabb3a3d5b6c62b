package placement

import (
	"slices"
	"time"
)

// RereadCause is why an engine prefills a shared part that requests have used before, as far
// as a front can tell when it places a request.
type RereadCause uint8

const (
	// RereadEvicted means that no engine and no store is believed to hold the part.
	RereadEvicted RereadCause = iota
	// RereadPassedOver means that the part is held, but that the engine that holds it, or one
	// that could fetch it, would respond much later.
	RereadPassedOver
	// RereadInProgress means that another engine is prefilling the part.
	RereadInProgress
	// RereadRetry means that the request is tried again at another target.
	RereadRetry

	rereadCauses
)

// RereadCauses lists all causes.
var RereadCauses = []RereadCause{RereadEvicted, RereadPassedOver, RereadInProgress, RereadRetry}

// String returns the name of the cause in metrics.
func (c RereadCause) String() string {
	return [...]string{"evicted", "passed_over", "in_progress", "retry"}[c]
}

// RereadTokens returns how many tokens of shared parts the requests of this VM are expected to
// have had prefilled again for a cause.
func (p *Placer) RereadTokens(cause RereadCause) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rereadTokens[cause]
}

// countRereads counts the shared parts that the chosen engine prefills although they were used
// before. It is called before the choice itself is recorded.
func (p *Placer) countRereads(c *Choice, req *Request, now time.Time) {
	end := 0
	for _, part := range req.sharedParts() {
		end += part.Tokens
		if _, used := p.uses.parts[uint32(part.ID)]; used && end > c.CachedTokens+c.fetchedTokens {
			p.rereadTokens[p.rereadCause(c.member, req, part, now)] += uint64(part.Tokens)
		}
	}
}

func (p *Placer) rereadCause(chosen *member, req *Request, part Part, now time.Time) RereadCause {
	if len(req.Exclude) > 0 {
		return RereadRetry
	}
	cause := RereadEvicted
	for _, m := range p.services[req.Service].members {
		if m == chosen || m.down || m.Terminating || m.Weights != chosen.Weights || !m.held.has(uint32(part.ID)) {
			continue
		}
		if m.held.hasReady(uint32(part.ID), now) {
			return RereadPassedOver
		}
		cause = RereadInProgress
	}
	key := storeKey(part.ID, chosen.Weights)
	if slices.ContainsFunc(p.stores, func(s *store) bool { return s.held.hasReady(key, now) }) {
		return RereadPassedOver
	}
	return cause
}
