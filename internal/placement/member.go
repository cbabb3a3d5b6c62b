package placement

import (
	"math"
	"time"
)

// cachedTokens returns the leading tokens believed to be cached at m.
func (m *member) cachedTokens(req *Request) int {
	sum := 0
	for _, part := range req.Parts {
		used, ok := m.parts[uint32(part.ID)]
		if !ok || m.insertedTokens-used > m.cacheBudget() {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// cacheBudget is how many tokens can come in until a part has to yield.
func (m *member) cacheBudget() float64 {
	if m.CacheTokens > 0 {
		return cacheFraction * float64(m.CacheTokens)
	}
	return cacheFraction * defaultCacheTokens
}

// prefillShare is the part of its time that a busy engine spends on prompts; the
// rest goes into the tokens that it generates meanwhile.
const prefillShare = 0.85

// currentBacklog is the prompt work that the engine still has to do, in milliseconds
// of waiting.
func (m *member) currentBacklog(now time.Time) float64 {
	passed := float64(now.Sub(m.backlogAt)) / float64(time.Millisecond)
	return max(0, m.backlogMS-passed)
}

// addBacklog adds prompt work.
func (m *member) addBacklog(now time.Time, workMS float64) {
	m.backlogMS = max(0, m.currentBacklog(now)+workMS/prefillShare)
	m.backlogAt = now
}

func (m *member) currentWait(now time.Time) float64 {
	return decay(m.waitMS, now.Sub(m.waitAt), waitHalfLife)
}

func (m *member) currentFailureRate(now time.Time) float64 {
	return decay(m.failureRate, now.Sub(m.failureRateAt), failureHalfLife)
}

func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// maxMemberParts bounds the parts remembered of one target.
const maxMemberParts = 4096

func (m *member) evictParts() {
	for id, used := range m.parts {
		if m.insertedTokens-used > m.cacheBudget() {
			delete(m.parts, id)
		}
	}
	if len(m.parts) > maxMemberParts {
		clear(m.parts)
	}
}
