package placement

import (
	"slices"
	"time"
)

// Cohort tells, during a rollout, whether a target has the old or the new software version
// of its service. Outside of rollouts all targets are of AnyCohort.
type Cohort uint8

// The cohorts of targets and requests.
const (
	AnyCohort Cohort = iota
	BaselineCohort
	CanaryCohort
)

// matches reports whether a target of cohort c may get a request for cohort wanted. Only a
// request that is meant for the new version gets there. While a front learns of a rollout,
// requests and targets may not both have a cohort yet.
func (c Cohort) matches(wanted Cohort) bool {
	if wanted == CanaryCohort {
		return c != BaselineCohort
	}
	return c != CanaryCohort
}

// CurrentTarget returns what is now known of the target of a choice, and its service. It
// reports false if the target has left or was replaced by another incarnation.
func (p *Placer) CurrentTarget(c *Choice) (serviceName string, t Target, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[c.service]
	if s == nil || !slices.Contains(s.members, c.member) {
		return c.service, Target{}, false
	}
	return c.service, c.member.Target, true
}

// MaySend reports whether the target of a choice may still get the request. Only rollouts,
// which a Placer does not know, withdraw a choice.
func (p *Placer) MaySend(*Choice) bool { return true }

// streamTimes are the times of the events of a response.
type streamTimes struct {
	first, last time.Time
	events      int
}

// RecordEvent records an event of the response. Nothing is recorded outside of rollouts.
func (c *Choice) RecordEvent(now time.Time) {
	if c.Target.Cohort == AnyCohort {
		return
	}
	if c.stream.events == 0 {
		c.stream.first = now
		if c.OnFirstEvent != nil {
			c.OnFirstEvent()
		}
	}
	c.stream.last = now
	c.stream.events++
}

// EventInterval returns the mean time between the events of the response. It reports false
// if there were fewer than two.
func (c *Choice) EventInterval() (time.Duration, bool) {
	if c.stream.events < 2 {
		return 0, false
	}
	return c.stream.last.Sub(c.stream.first) / time.Duration(c.stream.events-1), true
}

// InFlight returns the number of requests of this VM that are in flight at the targets of a
// service with a cohort.
func (p *Placer) InFlight(service string, cohort Cohort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return 0
	}
	sum := 0
	for _, m := range s.members {
		if m.Cohort == cohort {
			sum += m.inflight
		}
	}
	return sum
}
