package placement

import "time"

// RecordFirstByte reports the first byte of an answer.
func (p *Placer) RecordFirstByte(c *Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.firstByteSeen {
		return
	}
	c.firstByteSeen = true
	m := c.member
	now := p.Clock()
	extra := max(0, float64(now.Sub(c.sentAt)-c.Expected)/float64(time.Millisecond)+c.includedWaitMS)
	// A mean of the decayed wait and the new one follows a change quickly and
	// still smooths single slow answers.
	m.waitMS = (m.currentWait(now) + extra) / 2
	m.waitAt = now
	m.down = false
}

// Result is what became of a request at a target.
type Result uint8

// The results of a request at a target.
const (
	// Answered is a whole answer.
	Answered Result = iota
	// Failed is an answer of failure, a broken answer or silence.
	Failed
	// Unreachable means that no connection could be made or it broke at once.
	Unreachable
	// Rejected means that the target has refused the request without running it.
	Rejected
	// Misdirected means that another target has the address.
	Misdirected
	// Canceled says nothing about the target: the caller has left.
	Canceled
)

// rejectedWaitMS is the wait assumed at a target that refuses requests.
const rejectedWaitMS = 400.0

// Done reports the end of a request.
func (p *Placer) Done(c *Choice, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := c.member
	m.inflight--
	now := p.Clock()
	if !c.firstByteSeen && result != Answered {
		m.addBacklog(now, -c.workMS)
	}
	c.firstByteSeen = true
	switch result {
	case Answered:
		m.recordOutcome(now, 0)
	case Failed:
		m.recordOutcome(now, 1)
	case Rejected:
		m.waitMS, m.waitAt = max(m.currentWait(now), rejectedWaitMS), now
	case Misdirected:
		// Until the registry knows of it.
		m.Closed, m.Gone = true, true
	case Unreachable:
		m.recordOutcome(now, 1)
		m.down = true
		p.announceUnreachable(m)
	}
}

// Paused returns the targets that could not be reached and have not been seen
// since.
func (p *Placer) Paused() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Target
	for _, s := range p.services {
		for _, m := range s.members {
			if m.down && !m.Closed {
				list = append(list, m.Target)
			}
		}
	}
	return list
}

// Reachable reports that a connection to a target could be made.
func (p *Placer) Reachable(id string) {
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

// failureSmoothing is the weight of one request in the share of failures.
const failureSmoothing = 0.2

func (m *member) recordOutcome(now time.Time, failed float64) {
	m.failureRate = m.currentFailureRate(now)*(1-failureSmoothing) + failed*failureSmoothing
	m.failureRateAt = now
}

// Targets returns all targets.
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

// SetWeights notes the version that a target has stated, which the registry
// does not know yet.
func (p *Placer) SetWeights(c *Choice, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.member.Weights != version {
		c.member.Weights = version
		clear(c.member.parts)
		p.rebuildEngineIndex()
	}
}
