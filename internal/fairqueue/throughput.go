package fairqueue

import (
	"math"
	"time"
)

// throughput estimates the work finished per second with exponential decay.
type throughput struct {
	work  float64
	total float64
	since time.Time
	at    time.Time
}

func (t *throughput) add(now time.Time, cost float64) {
	if t.since.IsZero() {
		t.since = now
	}
	t.decay(now)
	t.work += cost
	t.total += cost
}

// perSecond reports false while too little work has been seen. The decaying
// sum approaches rate x time constant, so a young estimate is scaled up.
func (t *throughput) perSecond(now time.Time) (float64, bool) {
	t.decay(now)
	age := now.Sub(t.since)
	if t.total < minThroughputSample || age < throughputDecay/10 {
		return 0, false
	}
	window := throughputDecay.Seconds() * (1 - math.Exp(-age.Seconds()/throughputDecay.Seconds()))
	rate := t.work / window
	return rate, rate > 0
}

func (t *throughput) decay(now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	if !t.at.IsZero() {
		t.work *= math.Exp(-elapsed.Seconds() / throughputDecay.Seconds())
	}
	t.at = now
}
