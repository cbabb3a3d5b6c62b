package placement

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/occupancy"
	"github.com/cuminwing/cuminwing/internal/prefillrate"
)

// This file applies what has been learned of the engines of a service to the work of a
// request. The constants of prefillMS are the prior. Nothing is learned of targets whose slots
// or memory are not known.

// alone is the largest part of the time to the first byte, as a multiple of the own work, that
// a request may be expected to wait if its time is to show how fast the engine is.
const alone = 0.2

// engineProfile is what has been learned of the engines of a service.
type engineProfile struct {
	durations occupancy.Durations
	rate      prefillrate.Model
	pauses    pauses
	// gain is the part of the predicted waits to reckon with.
	gain occupancy.Gain
	// meanPace is the mean pace of the engines, weighted by responses; 0 before the first.
	meanPace float64
	// copyTokens is the memory that the copies of this VM's runs take.
	copyTokens float64
}

// meanPaceSmoothing is the weight of one response in the mean pace.
const meanPaceSmoothing = 0.02

// engineState is what has been learned of one engine.
type engineState struct {
	profile *engineProfile
	// occupancy is what running requests take; nil before the first one.
	occupancy *occupancy.Tracker
	// pace is how many times longer than at other engines its requests take.
	pace prefillrate.Pace
}

// engineChoice is the part of a Choice that concerns the engine model.
type engineChoice struct {
	// wait is the predicted wait until the request is admitted.
	wait admissionWait
	// nominalMS is the time to prefill the prompt by the constants, scaledMS that at an
	// engine of the mean pace, and fixedMS the fixed time to the first byte.
	nominalMS, scaledMS, fixedMS float64
	// pauseMS is the estimated longest pause of a stream, before the factor of the observed
	// pauses.
	pauseMS float64
	// stay is set when the request is placed at an engine whose capacity is known.
	stay *stay
}

// stay is what a request of this VM takes at its engine. It is apart from the Choice, which is
// filled in for each candidate.
type stay struct {
	occupied     occupancy.Handle
	class        string
	outputTokens int
	firstByteAt  time.Time
	// lasts is the expected time from the first byte to the end at an engine of the mean pace.
	lasts time.Duration
}

// workMS returns the time that the engine needs for a request, and sets the fixed time. While
// engines prefill at about the nominal rate, the nominal time is the better estimate: what is
// learned includes queueing, and would drive requests away from engines that hold their prompts.
func (m *member) workMS(c *Choice, nominalMS, fetchMS float64) float64 {
	if m.Slots <= 0 {
		return nominalMS + fetchMS
	}
	if !m.profile.rate.Differs() {
		c.nominalMS, c.scaledMS = nominalMS, nominalMS
		return nominalMS + fetchMS
	}
	scale, fixedMS := m.profile.rate.Line()
	c.nominalMS, c.scaledMS, c.fixedMS = nominalMS, scale*nominalMS, fixedMS
	return prefillrate.Marked(m.relativePace())*c.scaledMS + fetchMS
}

// learnPace learns from the first byte of a request that had the engine nearly to itself.
func (p *Placer) learnPace(c *Choice, now time.Time) {
	m := c.member
	waited := c.expectation.MS - c.workMS - c.fixedMS - p.roundTripMS(m)
	if m.Slots <= 0 || c.nominalMS <= 0 || c.fetchedTokens > 0 || c.SendDelay > 0 || waited > alone*c.workMS {
		return
	}
	observed := float64(now.Sub(c.sentAt))/float64(time.Millisecond) - p.roundTripMS(m)
	m.profile.rate.Add(now, c.nominalMS, observed)
	m.recordPace(now, (observed-c.fixedMS)/c.scaledMS)
}

// lasting returns how long a response lasts at the engine that lasts d at one of the mean pace.
func (m *member) lasting(d time.Duration) time.Duration {
	return time.Duration(m.relativePace() * float64(d))
}

// paceCode returns the code of the pace that this VM reports to the others.
func (m *member) paceCode() uint8 {
	pace, enough := m.pace.Own()
	if !enough {
		return 0
	}
	return prefillrate.Encode(pace)
}

// recordPeerPace records the pace that another VM reports.
func (m *member) recordPeerPace(now time.Time, code uint8) {
	if pace, known := prefillrate.Decode(code); known && m.Slots > 0 {
		m.pace.AddPeer(now, pace)
	}
}

// recordPace records the ratio of an observed time and of that expected at the mean pace.
func (m *member) recordPace(now time.Time, ratio float64) {
	m.pace.Add(now, ratio, 1)
	if m.profile.meanPace == 0 {
		m.profile.meanPace = 1
	}
	m.profile.meanPace += meanPaceSmoothing * (m.pace.Factor() - m.profile.meanPace)
}

// relativePace returns the pace of the engine relative to the mean, which keeps the paces of
// all engines from rising while the expected times fall, or the reverse.
func (m *member) relativePace() float64 {
	if m.profile.meanPace == 0 {
		return m.pace.Factor()
	}
	return m.pace.Factor() / m.profile.meanPace
}

// tokenFactor returns how many times longer than by the constants the engines take at present
// for the tokens of a prompt.
func (s *service) tokenFactor() float64 {
	scale, _ := s.profile.rate.Line()
	return s.group.Slowdown() * scale
}
