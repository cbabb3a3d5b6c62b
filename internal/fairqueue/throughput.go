package fairqueue

import (
	"math"
	"time"
)

// throughput estimates the finished work per second, with exponential decay.
type throughput struct {
	decayedWork float64
	totalWork   float64
	firstAdd    time.Time
	lastDecay   time.Time
}

func (t *throughput) add(now time.Time, cost float64) {
	if t.firstAdd.IsZero() {
		t.firstAdd = now
	}
	t.decay(now)
	t.decayedWork += cost
	t.totalWork += cost
}

// perSecond returns false until enough work has been finished over a long enough
// period. The decaying sum approaches rate x time constant over time, so an
// estimate from a short period is scaled up.
func (t *throughput) perSecond(now time.Time) (float64, bool) {
	t.decay(now)
	age := now.Sub(t.firstAdd)
	if t.totalWork < minThroughputSample || age < throughputTimeConstant/10 {
		return 0, false
	}
	window := throughputTimeConstant.Seconds() * (1 - math.Exp(-age.Seconds()/throughputTimeConstant.Seconds()))
	rate := t.decayedWork / window
	return rate, rate > 0
}

func (t *throughput) decay(now time.Time) {
	elapsed := now.Sub(t.lastDecay)
	if elapsed <= 0 {
		return
	}
	if !t.lastDecay.IsZero() {
		t.decayedWork *= math.Exp(-elapsed.Seconds() / throughputTimeConstant.Seconds())
	}
	t.lastDecay = now
}
