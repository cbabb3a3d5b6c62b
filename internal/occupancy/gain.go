package occupancy

import (
	"math"
	"time"
)

const (
	// gainHalfLife is the half-life of an observation in a Gain.
	gainHalfLife = 10 * time.Second
	// gainPrior is the gain before any observation. It counts like gainPriorWeight
	// observations whose predictions deviate by gainPriorMS from their mean.
	gainPrior       = 0.2
	gainPriorWeight = 10.0
	gainPriorMS     = 200.0
	// maxObservedMS limits a single wait.
	maxObservedMS = 3000.0
)

// Gain is the part of a difference between predicted waits that shows in the actual waits.
// The ends of requests of other processes are estimates, and a slot more or less changes the
// wait at a full engine by much, so that only a part does. The zero value is the prior.
type Gain struct {
	n, x, y, xx, xy float64
	seen            time.Time
}

// Record records a predicted wait, and how much longer than without one a request waited.
func (g *Gain) Record(now time.Time, predictedMS, actualMS float64) {
	x, y := min(predictedMS, maxObservedMS), min(max(actualMS, 0), maxObservedMS)
	k := math.Exp2(-float64(now.Sub(g.seen)) / float64(gainHalfLife))
	g.n, g.x, g.y, g.xx, g.xy, g.seen = k*g.n+1, k*g.x+x, k*g.y+y, k*g.xx+x*x, k*g.xy+x*y, now
}

// Factor returns the gain, from 0 to 1.
func (g *Gain) Factor() float64 {
	const prior = gainPriorWeight * gainPriorMS * gainPriorMS
	if g.n == 0 {
		return gainPrior
	}
	cov, variance := g.xy-g.x*g.y/g.n, max(g.xx-g.x*g.x/g.n, 0)
	return min(max((cov+gainPrior*prior)/(variance+prior), 0), 1)
}
