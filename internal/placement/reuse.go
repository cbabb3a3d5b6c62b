package placement

import "time"

// Prices of what a placement costs other requests, as multiples of the prefill time of the
// tokens concerned. They add to the time to the first byte in the choice of a target, and not
// to what is expected of it.
const (
	// rereadPrice is the price of shared tokens that the engine prefills although another one
	// or a store holds them.
	rereadPrice = 6.0
	// copyPrice is the price of the last shared part if the engine does not hold it yet,
	// whether it prefills or fetches it: another copy takes memory from other parts. The
	// parts before it have no such price, or prompts with the same first part would crowd on
	// the engine that holds it.
	copyPrice = 1.2
	// unsavedPrice is the price of shared tokens that no store holds at an engine that has no
	// store in its region: they are lost when that engine evicts them.
	unsavedPrice = 0.8
	// maxReuseWaitMS is how much later than at the fastest target a request may begin to be
	// answered because of the prices.
	maxReuseWaitMS = 250.0
)

// reusePriceMS returns the prices of a choice in milliseconds.
func (p *Placer) reusePriceMS(c *Choice, holders []cacheHolder, req *Request, now time.Time) float64 {
	shared := req.sharedParts()
	_, size := req.size()
	if size == 0 {
		return 0
	}
	reread := min(size, p.availableTokens(c.member, holders, shared, now)) - c.CachedTokens - c.fetchedTokens
	copied := min(size-c.CachedTokens, shared[len(shared)-1].Tokens)
	tokens := rereadPrice*float64(max(reread, 0)) + copyPrice*float64(max(copied, 0))
	if size >= minBackedTokens && len(p.stores) > 0 && !p.hasStore(c.member.Region) {
		tokens += unsavedPrice * float64(size-p.savedTokens(shared, c.member.Weights))
	}
	return tokens / prefillTokensPerMS
}

// availableTokens returns the number of leading tokens of the parts that an engine with the
// weights of m, or a store, holds now, wherever it is.
func (p *Placer) availableTokens(m *member, holders []cacheHolder, shared []Part, now time.Time) int {
	most := 0
	for _, h := range holders {
		if h.Weights == m.Weights {
			most = max(most, h.tokens)
		}
	}
	for _, s := range p.stores {
		most = max(most, s.heldTokens(now, shared, m.Weights))
	}
	return most
}

// savedTokens returns the number of leading tokens of the parts that one of the stores holds
// or is about to get.
func (p *Placer) savedTokens(shared []Part, weights uint64) int {
	most := 0
	for _, s := range p.stores {
		sum := 0
		for _, part := range shared {
			if !s.held.has(storeKey(part.ID, weights)) {
				break
			}
			sum += part.Tokens
		}
		most = max(most, sum)
	}
	return most
}

// maxSendDelay limits SendDelay. A request that waits longer at this VM would lose its place
// in the queue of the engine.
const maxSendDelay = 300 * time.Millisecond

// sendDelay returns how long a request should wait before it is sent to the chosen member, so
// that it arrives when the member has prefilled the shared parts that an earlier request made
// it prefill. If it came sooner, the engine would prefill these parts again.
func (p *Placer) sendDelay(m *member, req *Request, now time.Time) time.Duration {
	var ready time.Time
	for _, part := range req.sharedParts() {
		at, held := m.held.readySince(uint32(part.ID))
		if !held {
			break
		}
		if at.After(ready) {
			ready = at
		}
	}
	way := time.Duration(p.roundTripMS(m) / 2 * float64(time.Millisecond))
	delay := ready.Sub(now) - way
	if ready.IsZero() || delay < 0 || delay > maxSendDelay {
		return 0
	}
	return delay
}
