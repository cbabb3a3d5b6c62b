package quarantine

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// trialSpread is the time, for each front, over which the fronts begin with a trial at
	// random. It is longer than the leader needs to end the trial after a crash, so that few
	// fronts send a fatal request.
	trialSpread = 500 * time.Millisecond
	// trialRenewal is the time after which a front may send a further request for a trial
	// that the leader has not ended: the one before it has neither completed nor crashed an
	// engine.
	trialRenewal = 2 * time.Second
)

// neverAgain is the time of a trial that has failed at this front.
const neverAgain = time.Duration(math.MaxInt64)

// SetTrials replaces what is on trial, given the number of fronts.
func (o *Observer) SetTrials(suspects []string, fronts int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.trialFrom
	o.trialFrom = make(map[string]time.Duration, len(suspects))
	for _, suspect := range suspects {
		from, ok := known[suspect]
		if !ok {
			from = o.Clock() + rand.N(trialSpread*time.Duration(max(fronts, 1)))
		}
		o.trialFrom[suspect] = from
	}
}

// StartTrial reports whether a request that is quarantined is sent for a trial. A request with
// several quarantined suspects is not, as its result would count for all of them.
func (o *Observer) StartTrial(r Request) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	tried := ""
	for _, suspect := range r.suspects() {
		if !o.quarantined[suspect] {
			continue
		}
		if tried != "" && suspect != tried {
			return false
		}
		tried = suspect
	}
	now := o.Clock()
	from, open := o.trialFrom[tried]
	if !open || now < from {
		return false
	}
	o.trialFrom[tried] = now + trialRenewal
	return true
}

// endTrials makes a front send no further requests for the trials of what was in a crash.
func (o *Observer) endTrials(c Crash) {
	for _, r := range c.Requests {
		for _, suspect := range r.suspects() {
			if _, open := o.trialFrom[suspect]; open {
				o.trialFrom[suspect] = neverAgain
			}
		}
	}
}
