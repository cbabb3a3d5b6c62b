package targetstate

import "time"

const (
	// speedHalfLife is the half-life of an observation of the speed.
	speedHalfLife = time.Second
	// targetPriorMS and groupPriorMS are the nominal times with which the prior counts: the
	// slowdown of the group for a target, and none for a group. They outweigh single slow
	// responses.
	targetPriorMS = 400.0
	groupPriorMS  = 200.0
	// maxSlowdown limits a slowdown. What exceeds it is silence rather than slowness.
	maxSlowdown = 16.0
	// slowdownTolerance is how far a slowdown may exceed 1 without meaning anything: the
	// nominal times of sound targets are not exact.
	slowdownTolerance = 0.5
)

// speed estimates how many times longer than nominal a target takes, from the sums of the
// observed and of the nominal times.
type speed struct {
	observedMS, nominalMS float64
	seen                  time.Time
}

func (s *speed) add(now time.Time, observedMS, nominalMS float64) {
	kept := halved(now.Sub(s.seen), speedHalfLife)
	s.observedMS = s.observedMS*kept + min(observedMS, maxSlowdown*nominalMS)
	s.nominalMS = s.nominalMS*kept + nominalMS
	s.seen = now
}

// factor returns the estimate, given a prior that counts like priorMS of nominal time.
func (s *speed) factor(now time.Time, prior, priorMS float64) float64 {
	if s.nominalMS == 0 {
		return prior
	}
	kept := halved(now.Sub(s.seen), speedHalfLife)
	return (s.observedMS*kept + prior*priorMS) / (s.nominalMS*kept + priorMS)
}

// withoutTolerance returns the slowdown to reckon with.
func withoutTolerance(raw float64) float64 { return max(1, raw-slowdownTolerance) }
