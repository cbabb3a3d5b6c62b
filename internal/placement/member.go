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

// currentBacklog returns the time in milliseconds that the engine still needs
// for the prompts sent to it.
func (m *member) currentBacklog(now time.Time) float64 {
	passed := float64(now.Sub(m.backlogAt)) / float64(time.Millisecond)
	return max(0, m.backlogMS-passed)
}

// addBacklog adds prefill work to the backlog. A negative amount removes work.
func (m *member) addBacklog(now time.Time, workMS float64) {
	m.backlogMS = max(0, m.currentBacklog(now)+workMS/prefillShare)
	m.backlogAt = now
}

// currentWait returns the observed wait, decayed to now.
func (m *member) currentWait(now time.Time) float64 {
	return decay(m.waitMS, now.Sub(m.waitAt), waitHalfLife)
}

// currentFailureRate returns the failure rate, decayed to now.
func (m *member) currentFailureRate(now time.Time) float64 {
	return decay(m.failureRate, now.Sub(m.failureRateAt), failureHalfLife)
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
