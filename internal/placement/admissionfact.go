package placement

import (
	"fmt"
	"time"
)

// maxAdmissionFacts limits the facts on the targets of a service that are returned.
const maxAdmissionFacts = 8

// AdmissionFact is why a target accepts no request at present, as far as this VM knows.
type AdmissionFact struct {
	Target string
	Reason PassReason
	// Age is the time since this VM has learned of it.
	Age time.Duration
	// Wait is how long it lasts; 0 if that is not known.
	Wait time.Duration
	// FromPeer is set if another VM has passed it on, and not the target itself.
	FromPeer bool
}

// String returns the fact as text for a log line.
func (f AdmissionFact) String() string {
	source := "the target"
	if f.FromPeer {
		source = "another VM"
	}
	text := fmt.Sprintf("%s is %v, said %v ago by %s", f.Target, f.Reason, f.Age.Round(time.Millisecond), source)
	if f.Wait > 0 {
		text += fmt.Sprintf(", for %v more", f.Wait.Round(time.Millisecond))
	}
	return text
}

// AdmissionFacts returns why targets of a service accept no request at present, for a few
// of them.
func (p *Placer) AdmissionFacts(service string) []AdmissionFact {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return nil
	}
	now := p.Clock()
	var facts []AdmissionFact
	for _, m := range s.members {
		reason, wait := m.admission.check(now, p.fleet())
		if m.Excluded || reason == Admitted {
			continue
		}
		if len(facts) == maxAdmissionFacts {
			break
		}
		facts = append(facts, m.admission.fact(m.ID, reason, wait, now))
	}
	return facts
}

func (a *admission) fact(target string, reason PassReason, wait time.Duration, now time.Time) AdmissionFact {
	f := AdmissionFact{Target: target, Reason: reason, Wait: wait}
	switch reason {
	case PassDraining:
		f.Age, f.FromPeer, f.Wait = now.Sub(a.drainSeen), a.drainFromPeer, 0
	case PassPaused:
		f.Age = now.Sub(a.pauseSeen)
	case PassLimited:
		f.Age, f.FromPeer = now.Sub(a.limitSeen), a.limitFromPeer
	}
	return f
}
