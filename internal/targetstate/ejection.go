package targetstate

import "time"

const (
	// firstEjection is how long a target is ejected that has swallowed a request. The time
	// doubles with each repetition up to maxEjectionLevel.
	firstEjection    = time.Second
	maxEjectionLevel = 5
	// maxPeerLevel limits the ejection on the word of other processes, whose links to the
	// target may be worse.
	maxPeerLevel = 3
	// ejectionMemory is how long after its return a target must swallow nothing to start
	// with the shortest ejection again.
	ejectionMemory = 10 * time.Second
	// trialInterval is how long a request that another process sends to a target that
	// returns keeps this process from trying it as well.
	trialInterval = 500 * time.Millisecond
	// maxTrialDelay limits the random delay of the first trial, which grows with the number
	// of processes by trialDelayPerProcess.
	maxTrialDelay        = time.Second
	trialDelayPerProcess = 15 * time.Millisecond
)

// ejection keeps requests away from a target that swallows some, for a time that grows with
// repetition. The target is then tried with one request at a time.
type ejection struct {
	level int
	from  time.Time
	until time.Time
	// trials is the number of answers that the target still owes before it is used as
	// usual.
	trials int
	// nextTrial is when the target may be tried next.
	nextTrial time.Time
}

// begin starts an ejection of a level.
func (e *ejection) begin(now time.Time, level int, delay time.Duration) {
	e.level, e.from = level, now
	e.until = now.Add(firstEjection << (level - 1))
	e.trials = 2*level - 1
	e.nextTrial = e.until.Add(delay)
}

// present returns the level from which a repetition counts.
func (e *ejection) present(now time.Time) int {
	if now.Sub(e.until) > ejectionMemory {
		return 0
	}
	return e.level
}

// inForce reports whether the target is ejected or is being tried.
func (e *ejection) inForce(now time.Time) bool { return e.trials > 0 || now.Before(e.until) }

// recordTrial records an answer of the target, and reports whether it was to a trial.
func (e *ejection) recordTrial(sentAt time.Time) bool {
	if e.trials == 0 || sentAt.Before(e.until) {
		return false
	}
	e.trials--
	return true
}

// Ejected reports whether the target is ejected or is being tried.
func (t *Target) Ejected(now time.Time) bool { return t.own.inForce(now) || t.peer.inForce(now) }

// Usable reports whether a request may be sent to the target without need: it is not
// ejected, or can be tried now.
func (t *Target) Usable(now time.Time) bool {
	return t.own.usable(now, t) && t.peer.usable(now, t)
}

func (e *ejection) usable(now time.Time, t *Target) bool {
	switch {
	case !e.inForce(now):
		return true
	case now.Before(e.nextTrial):
		return false
	}
	last := len(t.waiting) - 1
	return last < 0 || t.waiting[last].sentAt.Before(e.until)
}

// RecordPeerRequest records that another process sends a request to the target, which
// serves as the trial of all.
func (t *Target) RecordPeerRequest(now time.Time) {
	for _, e := range []*ejection{&t.own, &t.peer} {
		if e.trials > 0 && !now.Before(e.until) {
			e.nextTrial = now.Add(trialInterval)
		}
	}
}

// strike ejects the target because it has swallowed a request. Requests that were sent
// before the ejection began belong to the same incident.
func (t *Target) strike(now time.Time, a *Attempt) {
	if !t.own.from.IsZero() && a.sentAt.Before(t.own.from) || !t.group.mayEject(now, t) {
		return
	}
	level := min(max(t.own.present(now), t.peer.present(now))+1, maxEjectionLevel)
	t.own.begin(now, level, t.group.trialDelay())
	t.group.report(Event{Target: t, Kind: Ejected, Value: float64(level)})
}

func (t *Target) recordTrial(a *Attempt) {
	own, peer := t.own.recordTrial(a.sentAt), t.peer.recordTrial(a.sentAt)
	if own || peer {
		t.group.report(Event{Target: t, Kind: TrialAnswered})
	}
}
