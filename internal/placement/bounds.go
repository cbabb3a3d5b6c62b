package placement

import "time"

// Bounds are times beyond which a target is a bad choice; 0 stands for no bound.
type Bounds struct {
	// First bounds the expected time to the first byte, and Wait the part of it that the
	// request spends in queues.
	First, Wait time.Duration
}

// latePenaltyMS is the penalty for a target that is expected to exceed a bound, in
// milliseconds. Such a target is as bad as one that fails every request.
const latePenaltyMS = failurePenaltyMS

func (b Bounds) penaltyMS(c *Choice) float64 {
	if b.First > 0 && c.Expected > b.First || b.Wait > 0 && c.Expected-c.Work() > b.Wait {
		return latePenaltyMS
	}
	return 0
}

// Work returns the part of Expected that the request itself takes at the target, at its present
// speed.
func (c *Choice) Work() time.Duration {
	return time.Duration(c.slowdown * c.workMS * float64(time.Millisecond))
}

// claimMS returns the least time to the first byte that must be certain for a refusal: an
// expectation far beyond a bound needs no better evidence than the bound.
func (b Bounds) claimMS(c *Choice) float64 {
	claim := c.Expected
	if b.First > 0 {
		claim = min(claim, b.First)
	}
	if b.Wait > 0 {
		claim = min(claim, b.Wait+c.Work())
	}
	return float64(claim) / float64(time.Millisecond)
}
