package placement

import (
	"math"
	"time"
)

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
