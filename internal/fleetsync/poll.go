package fleetsync

import "time"

// MaxWait is how long a member of the core holds a poll while nothing changes. It
// is short compared with the time after which a front without a confirmation stops
// serving requests with keys.
const MaxWait = 500 * time.Millisecond

// RolloutWait is how long a member of the core holds a poll at most while a rollout is
// running. A report arrives after it, so that the reports of a front are never 500 ms apart.
const RolloutWait = 200 * time.Millisecond

const (
	// urgentDelay is the time from an urgent change to the responses, so that
	// changes in quick succession share one response for each front.
	urgentDelay = 20 * time.Millisecond
	// ordinaryDelay is the same for changes that are not urgent: a front that
	// learns late of a new target only uses the others for longer.
	ordinaryDelay = 150 * time.Millisecond
)

// Version identifies a state that a front follows.
type Version struct {
	Document uint64
	// Revision is that of the registry. In the state of a member, Urgent is the
	// revision of the last urgent change.
	Revision uint64
	Urgent   uint64
}

// PollTimer determines when a member of the core responds to one poll. It is not
// safe for concurrent use.
type PollTimer struct {
	have     Version
	deadline time.Duration
	due      time.Duration
}

// NewPollTimer returns the timer of a poll that arrived at now from a front with
// the given state.
func NewPollTimer(now time.Duration, have Version) *PollTimer {
	return &PollTimer{have: have, deadline: now + MaxWait, due: now + MaxWait}
}

// Limit shortens the time for which the poll is held.
func (t *PollTimer) Limit(wait time.Duration) {
	t.due = min(t.due, t.deadline-MaxWait+wait)
}

// Due returns when the poll has to be answered, given the present state of the
// member. urgent is set if the front lacks another change that must not wait: it knows
// other unreachable stores or suspected parts of prompts than the member.
func (t *PollTimer) Due(now time.Duration, current Version, urgent bool) time.Duration {
	switch {
	case current.Document > t.have.Document || current.Urgent > t.have.Revision || urgent:
		t.due = min(t.due, now+urgentDelay)
	case current.Revision > t.have.Revision:
		t.due = min(t.due, now+ordinaryDelay)
	}
	return t.due
}
