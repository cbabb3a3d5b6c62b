package placement

import (
	"slices"
	"time"
)

const (
	// Milliseconds per token to fetch cached tokens from another engine,
	// derived from the link rates.
	fetchSameZoneMS    = 0.002
	fetchCrossZoneMS   = 0.004
	fetchCrossRegionMS = 0.02
	// fetchSetupMS is the fixed cost of a fetch.
	fetchSetupMS = 2.0
	// minFetchTokens is the number of tokens from which a fetch is worth its
	// fixed cost.
	minFetchTokens = 128
)

// cacheHolder is a member that holds parts of a prompt.
type cacheHolder struct {
	*member
	tokens int
}

// holdersByZone returns the members from which others can fetch parts of a prompt: those
// that hold most in each zone, for each version of the weights. Within a zone all members
// are reached at the same cost, so that no other one is a better source. The work grows
// with the number of members, and not with its square.
func (s *service) holdersByZone(req *Request, now time.Time) []cacheHolder {
	var holders []cacheHolder
	if len(req.Parts) == 0 {
		return nil
	}
	for _, m := range s.members {
		if m.Weights == 0 || m.Terminating || m.down {
			continue
		}
		tokens := m.fetchableTokens(req, now)
		if tokens < minFetchTokens {
			continue
		}
		i := slices.IndexFunc(holders, func(h cacheHolder) bool { return h.Zone == m.Zone && h.Weights == m.Weights })
		switch {
		case i < 0:
			holders = append(holders, cacheHolder{m, tokens})
		case tokens > holders[i].tokens:
			holders[i] = cacheHolder{m, tokens}
		}
	}
	return holders
}

// fetchSource returns the holder with the same weights from which m gains most by
// fetching the parts that it does not have; nil if no gain is large enough.
func (m *member) fetchSource(holders []cacheHolder, cached int) *cacheHolder {
	var best *cacheHolder
	bestGain := 0.0
	for i := range holders {
		h := &holders[i]
		more := h.tokens - cached
		if h.member == m || h.Weights != m.Weights || more < minFetchTokens {
			continue
		}
		if gain := float64(more) * (2/prefillTokensPerMS - fetchMSPerToken(m, h.member)); gain > bestGain {
			best, bestGain = h, gain
		}
	}
	return best
}

// fetchMSPerToken returns the time to fetch a token. Where the links of the engines are known,
// the constants give only the ratios of the distances.
func fetchMSPerToken(to, from *member) float64 {
	scale := 1.0
	if link := max(to.TransferMSPerToken, from.TransferMSPerToken); link > 0 {
		scale = link / fetchSameZoneMS
	}
	switch {
	case to.Zone == from.Zone:
		return scale * fetchSameZoneMS
	case to.Region == from.Region:
		return scale * fetchCrossZoneMS
	}
	return scale * fetchCrossRegionMS
}
