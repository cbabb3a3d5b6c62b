package placement

import (
	"math"
	"time"
)

// A target can say in its responses that it drains, that it wants no requests from this
// VM for a while, or how many requests a second it accepts from all VMs together. This
// file keeps what a VM knows of that. All requests go through Choose, so retries,
// resumed streams and requests on pooled connections obey it as well.

const (
	// frontCountMemory is how long a higher number of VMs counts. A new leader of the
	// core learns of the VMs one after the other.
	frontCountMemory = 10 * time.Second
	// noticeInterval is the shortest time between two hints that repeat a limit.
	noticeInterval = time.Second
	// noEnd is the wait for a target whose state has no known end.
	noEnd = time.Duration(math.MaxInt64)
)

// Notice is what a target says about the requests that it accepts.
type Notice struct {
	// Draining means that the target wants no new requests until it ends.
	Draining bool
	// Pause is how long the target wants no requests from this VM.
	Pause time.Duration
	// Limit is the number of requests per second that the target accepts from all VMs
	// together. HasLimit is false if it names none.
	Limit    float64
	HasLimit bool
}

// PassReason is why a target gets no request at present.
type PassReason uint8

// Reasons to pass a target over.
const (
	Admitted PassReason = iota
	PassDraining
	PassPaused
	PassLimited
	passReasons
)

// String returns the name of the reason in logs and metrics.
func (r PassReason) String() string {
	return [...]string{"admitted", "draining", "paused", "limited"}[r]
}

// NoticeChange is a change of what this VM knows of a target.
type NoticeChange struct {
	Target string
	Notice
	// FromPeer is set if another VM has passed it on, and not the target itself.
	FromPeer bool
}

// admission is what this VM knows of the requests that a target accepts.
type admission struct {
	draining    bool
	pausedUntil time.Time
	// drainSeen is when this VM learned that the target drains, and pauseSeen when the
	// target asked for the pause.
	drainSeen, pauseSeen time.Time
	// drainFromPeer and limitFromPeer are set if another VM has passed on the drain or
	// the limit.
	drainFromPeer, limitFromPeer bool
	// limited is set while the target names a limit. limitSeen is when it was named
	// last, announced when it was last passed on to the other VMs.
	limited   bool
	limit     float64
	limitSeen time.Time
	announced time.Time
	// known counts the requests of this VM, and those of other VMs that hints have
	// named, since the target has a limit.
	known requestCounter
	// nextSlot is when the first slot that has not expired opens.
	nextSlot time.Time
}

// check returns why the target gets no request at now, and how long that lasts.
func (a *admission) check(now time.Time, f fleet) (PassReason, time.Duration) {
	switch {
	case a.draining:
		return PassDraining, noEnd
	case now.Before(a.pausedUntil):
		return PassPaused, a.pausedUntil.Sub(now)
	case a.limited:
		if wait := a.limitWait(now, f); wait > 0 {
			return PassLimited, wait
		}
	}
	return Admitted, 0
}

// apply applies a notice of the target itself, and reports whether anything has changed.
func (a *admission) apply(now time.Time, n Notice, f fleet) bool {
	changed := n.Draining && a.setDraining(now, false)
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(a.pausedUntil) {
		a.pausedUntil, a.pauseSeen = until, now
		changed = true
	}
	if n.HasLimit {
		a.limitFromPeer = false
		return a.setLimit(now, n.Limit, f) || changed
	}
	return a.endLimit(now) || changed
}

// keepPause keeps the pause of an earlier incarnation at the same address if it was asked for
// after the start of the present one: a target that restarts under its ID responds before the
// registry has the restart.
func (a *admission) keepPause(earlier *admission, started time.Time) {
	if !earlier.pauseSeen.Before(started) {
		a.pausedUntil, a.pauseSeen = earlier.pausedUntil, earlier.pauseSeen
	}
}

// setDraining records that the target drains, and reports whether that is new.
func (a *admission) setDraining(now time.Time, fromPeer bool) bool {
	if a.draining {
		return false
	}
	a.draining, a.drainSeen, a.drainFromPeer = true, now, fromPeer
	return true
}

// RecordNotice records what the target of a choice says with a response. The other VMs
// are told of a drain and of a limit; a pause is meant for this VM only.
func (p *Placer) RecordNotice(c *Choice, n Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	m := c.member
	hadLimit := m.admission.limited
	changed := m.admission.apply(now, n, p.fleet())
	if changed {
		p.reportChange(m, n, false)
	}
	switch {
	case changed && n.Draining:
		p.queueNoticeHint(m, hintDraining, 0)
	case hadLimit && !m.admission.limited:
		p.queueNoticeHint(m, hintNoLimit, 0)
	case n.HasLimit && (changed || now.Sub(m.admission.announced) >= noticeInterval):
		m.admission.announced = now
		p.queueNoticeHint(m, hintLimit, m.admission.limit)
	}
}

func (p *Placer) reportChange(m *member, n Notice, fromPeer bool) {
	if p.OnNotice != nil {
		p.OnNotice(NoticeChange{Target: m.ID, Notice: n, FromPeer: fromPeer})
	}
}

// SetFrontCount sets the number of VMs that share the limits of targets, and how many of
// them exchange hints with this VM, including itself.
func (p *Placer) SetFrontCount(fronts, visible int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.Clock(); fronts >= p.frontCount || now.Sub(p.frontCountSeen) > frontCountMemory {
		p.frontCount, p.frontCountSeen = fronts, now
	}
	p.visibleFronts = visible
}

// AdmittedAfter returns why no target of a service accepts a request, and the time after
// which one does; 0 if that is not known. The reason is that of the target that accepts
// one first, and Admitted if a target accepts requests already or none exists.
func (p *Placer) AdmittedAfter(service string) (PassReason, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return Admitted, 0
	}
	now := p.Clock()
	first, shortest := Admitted, noEnd
	for _, m := range s.members {
		if m.Excluded {
			continue
		}
		reason, wait := m.admission.check(now, p.fleet())
		if reason == Admitted {
			return Admitted, 0
		}
		if first == Admitted || wait < shortest {
			first, shortest = reason, wait
		}
	}
	if shortest == noEnd {
		return first, 0
	}
	return first, shortest
}

// PassedOver returns how often targets were passed over for a reason.
func (p *Placer) PassedOver(reason PassReason) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passedOver[reason]
}
