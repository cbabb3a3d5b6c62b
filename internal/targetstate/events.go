package targetstate

import "time"

const (
	// reportInterval is the shortest time between two reports of a suspicion or slowdown of
	// one target, and suspicionTime how long one of another process counts.
	reportInterval = 400 * time.Millisecond
	suspicionTime  = time.Second
	// reportedSlowdown is the slowdown from which other processes are told.
	reportedSlowdown = 2.0
	// peerSlownessMS is the nominal time with which a reported slowdown counts. One is taken
	// from all other processes together within peerSlownessInterval.
	peerSlownessMS       = 200.0
	peerSlownessInterval = 200 * time.Millisecond
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events.
const (
	// Suspected means that the target may have swallowed a request that has not ended yet,
	// and Cleared that it has answered the last such request.
	Suspected Kind = iota + 1
	Cleared
	// Ejected means that the target has swallowed a request. The value is the level of the
	// ejection.
	Ejected
	// TrialAnswered means that the target has answered a trial.
	TrialAnswered
	// Slow means that the target takes longer than nominal. The value is how many times.
	Slow
)

// Event is what other processes that use the target should know.
type Event struct {
	Target *Target
	Kind   Kind
	Value  float64
}

func (g *Group) report(e Event) { g.events = append(g.events, e) }

// TakeEvents returns the events since the last call.
func (g *Group) TakeEvents() []Event {
	events := g.events
	g.events = nil
	return events
}

// reportSlowness reports a marked slowdown.
func (t *Target) reportSlowness(now time.Time) {
	slowdown := t.Slowdown(now)
	if slowdown < reportedSlowdown || now.Sub(t.slownessReported) < reportInterval {
		return
	}
	t.slownessReported = now
	t.group.report(Event{Target: t, Kind: Slow, Value: slowdown})
}

// Apply applies an event that another process reports. One with an impossible value changes
// nothing.
func (t *Target) Apply(now time.Time, kind Kind, value float64) {
	switch {
	case kind == Suspected:
		t.peerSuspicionEnd = now.Add(suspicionTime)
	case kind == Cleared:
		t.peerSuspicionEnd = time.Time{}
	case kind == Ejected && value >= 1 && value <= maxEjectionLevel:
		if !now.Before(t.peer.until) && t.group.mayEject(now, t) {
			t.peer.begin(now, min(int(value), maxPeerLevel), t.group.trialDelay())
		}
	case kind == TrialAnswered:
		if t.peer.trials > 0 {
			t.peer.trials--
		}
	case kind == Slow && value >= 1 && value <= maxSlowdown:
		if now.Sub(t.peerSlownessSeen) >= peerSlownessInterval {
			t.peerSlownessSeen = now
			t.speed.add(now, value*peerSlownessMS, peerSlownessMS)
			t.group.speed.add(now, value*peerSlownessMS, peerSlownessMS)
		}
	}
}
