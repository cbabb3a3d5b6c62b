package placement

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/occupancy"
)

// An engine admits a request if it has a free slot and memory for the prompt. This file
// applies the expected occupation of the engines to the choice. It has no effect on targets
// whose slots or memory are not known.

// outputOccupancy is the fraction of its output that a running request holds on average: the
// output grows evenly until the request ends.
const outputOccupancy = 0.5

// admissionWait is the predicted wait of a request until an engine admits it.
type admissionWait struct {
	ms float64
	// rawMS is the wait that follows from the estimated ends of the running requests.
	rawMS float64
	// never is set if the request needs more memory than the engine has.
	never bool
}

// penaltyMS returns the penalty for a target that cannot serve the request. Such a target is as
// bad as one that fails every request.
func (w admissionWait) penaltyMS() float64 {
	if w.never {
		return failurePenaltyMS
	}
	return 0
}

// capacity returns the capacity of the engine, and false if it is not known.
func (m *member) capacity() (occupancy.Capacity, bool) {
	return occupancy.Capacity{Tokens: float64(m.CacheTokens), Slots: float64(m.Slots)}, m.CacheTokens > 0 && m.Slots > 0
}

// blocked rounds tokens up to whole blocks of the engine's memory.
func blocked(tokens int) float64 {
	return float64((tokens + blockTokens - 1) / blockTokens * blockTokens)
}

// admissionWait predicts the wait of a request of which the engine has the given number of
// cached tokens.
func (m *member) admissionWait(req *Request, cached, all int, now time.Time) admissionWait {
	capacity, known := m.capacity()
	if !known || len(req.Parts) == 0 {
		return admissionWait{}
	}
	need := blocked(all)
	if need > capacity.Tokens {
		return admissionWait{never: true}
	}
	if m.occupancy == nil {
		return admissionWait{}
	}
	if used := m.occupancy.Used(now); cached > 0 && used.Tokens+need > capacity.Tokens {
		// The pinned parts matter only if the engine might not have memory for the whole
		// prompt.
		need = max(need-m.pinnedTokens(req, now), 0)
	}
	wait, _ := m.occupancy.Wait(now, occupancy.Need{Tokens: need, Priority: req.Priority}, capacity)
	raw := float64(wait) / float64(time.Millisecond)
	return admissionWait{ms: m.profile.gain.Factor() * raw, rawMS: raw}
}

// pinnedTokens returns the number of leading tokens of a prompt that running requests use.
func (m *member) pinnedTokens(req *Request, now time.Time) float64 {
	sum := 0
	for _, part := range req.sharedParts() {
		n, held := m.held.index[uint32(part.ID)]
		if !held {
			break
		}
		if occupancy.Pinned(now, m.held.parts[n].pin) {
			sum += part.Tokens
		}
	}
	return float64(sum)
}

// tracker returns the tracker of an engine whose capacity is known, or nil.
func (m *member) tracker() *occupancy.Tracker {
	if _, known := m.capacity(); known && m.occupancy == nil {
		m.occupancy = &occupancy.Tracker{}
	}
	return m.occupancy
}

// occupy records what a request of this VM takes at the chosen engine. It follows recordPrompt.
func (p *Placer) occupy(c *Choice, req *Request, now time.Time) {
	t := c.member.tracker()
	if t == nil {
		return
	}
	if req.MaxPause > 0 {
		c.member.profile.pauses.allowed = req.MaxPause
	}
	durations := &c.member.profile.durations
	lasts := durations.Expect(req.Class, req.Priority, req.OutputTokens)
	end := now.Add(c.Expected + c.member.lasting(lasts))
	output := float64(req.OutputTokens)
	if output == 0 {
		output = durations.Output(req.Priority)
	}
	shared := req.sharedParts()
	c.member.pin(now, end, shared)
	all, sharedTokens := req.size()
	own := blocked(all-sharedTokens) + outputOccupancy*output
	occupied := t.AddOwn(now, end, req.Priority, occupancy.Amount{Tokens: own, Slots: 1})
	c.stay = &stay{occupied: occupied, class: req.Class, outputTokens: req.OutputTokens, lasts: lasts}
}

// occupyForPeer records what a request of another VM takes, and returns its expected end. It
// precedes recordPrompt, because inserted includes the shared parts that the engine does not
// hold yet.
func (m *member) occupyForPeer(now time.Time, priority int, workMS, inserted float64, shared []Part) time.Time {
	t := m.tracker()
	if t == nil {
		return now
	}
	for _, part := range shared {
		if !m.held.has(uint32(part.ID)) {
			inserted -= float64(part.Tokens)
		}
	}
	inserted = max(inserted, 0)
	ahead := time.Duration(m.state.Backlog(now, priority) * float64(time.Millisecond))
	work := time.Duration(workMS * m.state.Slowdown(now) * float64(time.Millisecond))
	unknown := time.Duration(m.state.Wait(now) * float64(time.Millisecond))
	capacity, _ := m.capacity()
	wait, _ := t.Wait(now, occupancy.Need{Tokens: min(inserted, capacity.Tokens), Priority: priority}, capacity)
	stays := max(ahead, wait) + unknown + work + m.lasting(m.profile.durations.Expect("", priority, 0))
	end := now.Add(stays)
	own := inserted + outputOccupancy*m.profile.durations.Output(priority)
	t.Add(now, end, priority, occupancy.Amount{Tokens: own, Slots: 1})
	return end
}

// pin records that a running request uses shared parts until an end. It follows recordPrompt.
func (m *member) pin(now, end time.Time, shared []Part) {
	if m.occupancy == nil {
		return
	}
	for _, part := range shared {
		n, held := m.held.index[uint32(part.ID)]
		if held && m.held.parts[n].tokens > 0 {
			h := &m.held.parts[n]
			h.pin = m.occupancy.Pin(now, h.pin, end, h.tokens)
		}
	}
}

// recordAdmitted records that the engine has admitted the request of a choice, which has its
// first byte now.
func (m *member) recordAdmitted(c *Choice, now time.Time) {
	if c.stay == nil {
		return
	}
	c.stay.firstByteAt = now
	m.occupancy.Reschedule(now, now.Add(m.lasting(c.stay.lasts)), &c.stay.occupied)
	m.recordWait(c, now)
	if c.wait.rawMS > 0 {
		m.occupancy.Admitted(now, c.sentAt.Add(time.Duration(c.wait.rawMS*float64(time.Millisecond))))
	}
}

// recordWait records how long a request of this VM has waited that has its first byte now, or
// that ends without one.
func (m *member) recordWait(c *Choice, now time.Time) {
	if c.nominalMS > 0 {
		m.profile.gain.Record(now, c.wait.rawMS, float64(now.Sub(c.sentAt))/float64(time.Millisecond)-c.expectation.KnownMS())
	}
}

// vacate records that the request of a choice has ended.
func (c *Choice) vacate(result Result, now time.Time) {
	if c.stay == nil {
		return
	}
	m := c.member
	m.occupancy.Release(now, &c.stay.occupied)
	switch {
	case !c.firstByteSeen && result == Abandoned:
		m.recordWait(c, now)
	case result == Completed && !c.stay.firstByteAt.IsZero() && !c.FromCopy:
		c.recordPause()
		m.recordDuration(c.stay, c.priority, now.Sub(c.stay.firstByteAt), now)
	}
}

// recordDuration learns from the duration of a complete response.
func (m *member) recordDuration(s *stay, priority int, took time.Duration, now time.Time) {
	durations := &m.profile.durations
	if expected := durations.Expect(s.class, priority, s.outputTokens); expected > 0 && durations.Known(priority) {
		m.recordPace(now, float64(took)/float64(expected))
	}
	durations.Record(s.class, priority, time.Duration(float64(took)/m.relativePace()), s.outputTokens)
}
