package placement

import (
	"github.com/cuminwing/cuminwing/internal/targetstate"
)

// RecordFirstByte records the time to the first byte of a response.
func (p *Placer) RecordFirstByte(c *Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.firstByteSeen {
		return
	}
	c.firstByteSeen = true
	m := c.member
	now := p.Clock()
	if !c.NotRun {
		m.recordAdmitted(c, now)
		p.learnPace(c, now)
	}
	m.state.Answered(now, c.attempt)
	p.queueStateHints(p.services[c.service])
	if p.OnFirstByte != nil {
		p.OnFirstByte(c.Expected, now.Sub(c.sentAt))
	}
	m.down = false
}

// Result is the outcome of a request at a target.
type Result uint8

const (
	// Completed means that the target sent a complete response.
	Completed Result = iota
	// Failed means an error response, a truncated response or a timeout.
	Failed
	// Unreachable means that no connection could be opened, or that it broke
	// before the request was sent.
	Unreachable
	// Rejected means that the target refused the request without running it.
	Rejected
	// Misdirected means that the address now belongs to another target.
	Misdirected
	// Canceled says nothing about the target: the request ended for another
	// reason, for example because the engine runs other weights.
	Canceled
	// Unused means that nothing was sent to the target.
	Unused
	// Abandoned means that the caller disconnected, or the deadline passed, after the
	// request was sent. If no byte of the response had arrived, the wait is a censored
	// observation: the target would have taken at least as long.
	Abandoned
	// Silent means that this VM ended the attempt, to try another target, because the
	// target had not begun to respond for far longer than expected.
	Silent
)

// outcomes are the results as a target's state distinguishes them.
var outcomes = [...]targetstate.Outcome{
	Completed: targetstate.Completed, Failed: targetstate.Failed, Unreachable: targetstate.Failed, Rejected: targetstate.Rejected,
	Misdirected: targetstate.Unused, Canceled: targetstate.Unused, Unused: targetstate.Unused,
	Abandoned: targetstate.Abandoned, Silent: targetstate.Abandoned,
}

// Done records the end of a request.
func (p *Placer) Done(c *Choice, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := c.member
	m.inflight--
	now := p.Clock()
	c.vacate(result, now)
	c.releaseBackup(result, now)
	if !c.firstByteSeen && result != Completed {
		m.addBacklog(now, c.priority, -c.workMS)
		p.queueWithdrawnHint(c)
	}
	if !c.firstByteSeen && (result == Abandoned || result == Silent) {
		if s := p.services[c.service]; s != nil {
			s.group.Review(now)
		}
		c.Unanswered = p.unanswered(c, now)
		if p.OnUnanswered != nil {
			p.OnUnanswered(c.Expected, c.Unanswered.Cause)
		}
	}
	c.firstByteSeen = true
	outcome := outcomes[result]
	if result == Rejected && (c.wait.never || c.FromCopy) {
		// The target has no room for this request, whatever else it runs, or no copy of the run.
		outcome = targetstate.Unused
	}
	m.state.End(now, c.attempt, outcome)
	p.queueStateHints(p.services[c.service])
	switch result {
	case Misdirected:
		// Exclude the target until the next registry update.
		m.Excluded, m.Terminating, m.ExcludedFor = true, true, ExcludedMoved
	case Unreachable:
		m.down = true
		p.queueUnreachableHint(m)
	}
}

// UnreachableTargets returns the targets that are down and not excluded.
func (p *Placer) UnreachableTargets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Target
	for _, s := range p.services {
		for _, m := range s.members {
			if m.down && !m.Excluded {
				list = append(list, m.Target)
			}
		}
	}
	return list
}

// RecordReachable records that a connection to the target could be opened.
func (p *Placer) RecordReachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		for _, m := range s.members {
			if m.ID == id {
				m.down = false
			}
		}
	}
}

// Targets returns the targets of all services.
func (p *Placer) Targets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Target
	for _, s := range p.services {
		for _, m := range s.members {
			list = append(list, m.Target)
		}
	}
	return list
}

// Leaves reports whether a target drains or has left.
func (p *Placer) Leaves(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		for _, m := range s.members {
			if m.ID == id {
				return m.Terminating
			}
		}
	}
	return true
}

// SetWeights records the weight version that a target has reported and that the
// registry does not have yet. The cache of other weights is discarded.
func (p *Placer) SetWeights(c *Choice, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.member.Weights != version {
		c.member.Weights = version
		c.member.held = holding{}
		p.rebuildEngineIndex()
	}
}
