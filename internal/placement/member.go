package placement

import (
	"math"
	"time"
)

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
