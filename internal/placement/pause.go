package placement

import (
	"time"
)

// Pauses between the events of a stream come from the chunks of prompts that an engine prefills
// between the steps of its running streams, from steps that take longer with more running
// requests, and from slow engines. This file estimates the longest pause of a stream, and adds
// the pauses that a choice is expected to cause to its cost. It has no effect on routes without
// a longest pause.

const (
	// stepGrowth is the number of running requests with which a step takes twice as long as
	// with one.
	stepGrowth = 32.0
	// latePauseMS is the cost of a stream that is late because of a pause. It loses a fifth of
	// its value, as does one whose engine runs older weights.
	latePauseMS = staleWeightsPenaltyMS
	// batchPriceMS is the price for each request at the engine. By the growth of the steps, one
	// more request delays each of the others by some 13 ms over 90 tokens; the price is about a
	// tenth of that.
	batchPriceMS = 1.5
	// surePause and noPause are the expected longest pauses, in units of the allowed one, from
	// which a stream is late for sure and up to which it is not.
	surePause = 1.4
	noPause   = 0.6
	// pauseSmoothing is the weight of one stream in the ratio of observed and estimated
	// pauses, and maxPauseRatio limits that ratio: a longer pause has other causes.
	pauseSmoothing = 0.05
	maxPauseRatio  = 6.0
)

// pauses is what streams of a service have shown of their longest pauses.
type pauses struct {
	// ratio is the mean ratio of observed and estimated longest pauses; 0 before the first.
	ratio float64
	// allowed is the longest pause that the routes of recent streams allow.
	allowed time.Duration
}

func (s *pauses) factor() float64 {
	if s.ratio == 0 {
		return 1
	}
	return s.ratio
}

// record records the longest pause of a complete stream, and what was estimated before the
// factor.
func (s *pauses) record(observed time.Duration, estimatedMS float64) {
	if observed <= 0 || estimatedMS <= 0 {
		return
	}
	ratio := min(float64(observed)/float64(time.Millisecond)/estimatedMS, maxPauseRatio)
	s.ratio = s.factor() + pauseSmoothing*(ratio-s.factor())
}

// stepMS returns the estimated time of a step beside running requests, and chunkMS the time by
// which a chunk of a prompt extends it, both before the factor of the observed pauses.
func (m *member) stepMS(running float64) float64 {
	return m.relativePace() * prefillStepMS * (1 + running/stepGrowth)
}

func (m *member) chunkMS(tokens int) float64 {
	scale, _ := m.profile.rate.Line()
	return m.relativePace() * scale * float64(min(tokens, prefillChunkTokens)) / prefillTokensPerMS
}

// lateShare returns the probability that a stream is late whose longest pause is expected to
// be ms.
func lateShare(ms float64, allowed time.Duration) float64 {
	limit := float64(allowed) / float64(time.Millisecond)
	return min(max((ms/limit-noPause)/(surePause-noPause), 0), 1)
}

// pausePenaltyMS returns the cost of the pauses of the request itself, and of those that its
// prompt causes in the streams that run at the engine.
func (p *Placer) pausePenaltyMS(c *Choice, req *Request, now time.Time) float64 {
	m := c.member
	if m.occupancy == nil {
		return 0
	}
	profile := m.profile
	running := min(m.occupancy.Used(now).Slots, float64(m.Slots))
	step, factor := m.stepMS(running), profile.pauses.factor()
	cost := 0.0
	if req.MaxPause > 0 {
		c.pauseMS = step
		if running >= 1 {
			c.pauseMS += m.chunkMS(prefillChunkTokens)
		}
		cost = latePauseMS * lateShare(factor*c.pauseMS, req.MaxPause)
	}
	fresh := int(c.insertedTokens) - c.fetchedTokens
	if profile.pauses.allowed > 0 && fresh > 0 && m.state.Backlog(now, lowestPriority) == 0 {
		// While the engine prefills other prompts, its streams have such pauses already.
		with := lateShare(factor*(step+m.chunkMS(fresh)), profile.pauses.allowed)
		cost += running * latePauseMS * (with - lateShare(factor*step, profile.pauses.allowed))
	}
	return cost
}

// lowestPriority stands for requests that wait for all others.
const lowestPriority = 1 << 10

// recordPause records the longest pause of the stream of a choice.
func (c *Choice) recordPause() {
	if c.pauseMS > 0 {
		c.member.profile.pauses.record(c.LongestPause, c.pauseMS)
	}
}

// batchPriceMS returns the price of one more request in the batch of the engine. Each step takes
// longer for all of them, and a fuller engine is more likely to make the next request wait. It
// is not a part of the expected time.
func (m *member) batchPriceMS(now time.Time) float64 {
	if m.occupancy == nil {
		return 0
	}
	return batchPriceMS * m.occupancy.Used(now).Slots
}
