package placement

import (
	"math"
	"time"
)

// cachedTokens returns the number of leading prompt tokens believed to be in
// the member's cache.
func (m *member) cachedTokens(req *Request) int {
	sum := 0
	for _, part := range req.Parts {
		lastUse, ok := m.parts[uint32(part.ID)]
		if !ok || m.insertedTokens-lastUse > m.cacheBudget() {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// cacheBudget returns how many tokens can be inserted after the last use of a
// part before the part is evicted.
func (m *member) cacheBudget() float64 {
	if m.CacheTokens > 0 {
		return cacheFraction * float64(m.CacheTokens)
	}
	return cacheFraction * defaultCacheTokens
}

// prefillShare is the fraction of its time that a busy engine spends on
// prefill. It spends the rest on decoding.
const prefillShare = 0.85

// addBacklog adds prefill work to the backlog. A negative amount removes work.
func (m *member) addBacklog(now time.Time, priority int, workMS float64) {
	m.state.AddBacklog(now, priority, workMS/prefillShare)
}

func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// maxMemberParts limits the parts tracked for one target.
const maxMemberParts = 4096

// evictParts removes the parts that the engine has evicted, or all of them if
// too many are left.
func (m *member) evictParts() {
	for id, lastUse := range m.parts {
		if m.insertedTokens-lastUse > m.cacheBudget() {
			delete(m.parts, id)
		}
	}
	if len(m.parts) > maxMemberParts {
		clear(m.parts)
	}
}
