package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Trial is what the registry holds about the trials of a quarantined request or part, in which
// one request shows whether it still crashes engines.
type Trial struct {
	// Open is set while fronts may send a request for the trial.
	Open bool `json:"open,omitempty"`
	// Failed is the number of trials that ended with the crash of an engine.
	Failed int `json:"failed,omitempty"`
}

const (
	// maxFailedTrials is the number of trials after which a request or part stays quarantined.
	// A sound one may fail once because its engine was lost for another reason. Each trial of
	// a fatal one crashes an engine.
	maxFailedTrials = 2
	// trialDelay is how long something is quarantined before its first trial.
	trialDelay = time.Second
	// quietTime is the time without crashes before trials begin. Beside requests that crash
	// engines, a trial would break off with them.
	quietTime = time.Second
	// At most maxNewTrials trials begin within trialInterval, because those of fatal requests
	// take engines out of service.
	maxNewTrials  = 3
	trialInterval = time.Second
)

// trials is what a leader knows about the trials that are open.
type trials struct {
	// openSince maps what is on trial to the time since which it may be. failed holds what
	// was in a crash since.
	openSince map[string]time.Duration
	failed    map[string]bool
	// lastCrash is the time of the last crash of an engine, and opened holds the times at
	// which the latest trials were opened.
	lastCrash time.Duration
	opened    []time.Duration
}

// recordCrash notes which trials have failed. It reports whether any has.
func (t *trials) recordCrash(c Crash) (anyFailed bool) {
	t.lastCrash = max(t.lastCrash, c.At)
	for _, r := range c.Requests {
		for _, suspect := range r.suspects() {
			if since, open := t.openSince[suspect]; open && c.At > since {
				t.failed[suspect], anyFailed = true, true
			}
		}
	}
	return anyFailed
}

// suspects returns the key and the parts of a request.
func (r Request) suspects() []string { return append([]string{r.Key}, r.Parts...) }

// observe updates the open trials, given those of the registry.
func (t *trials) observe(now time.Duration, registered map[string]Trial) {
	for suspect, trial := range registered {
		if _, known := t.openSince[suspect]; trial.Open && !known {
			t.openSince[suspect] = now
		}
	}
	for suspect := range t.openSince {
		if !registered[suspect].Open {
			delete(t.openSince, suspect)
			delete(t.failed, suspect)
		}
	}
	t.opened = slices.DeleteFunc(t.opened, func(at time.Duration) bool { return now-at > trialInterval })
}

// TrialChanges returns what gets a trial, and whose trial has failed, given the trials of the
// registry.
func (t *Tracker) TrialChanges(now time.Duration, registered map[string]Trial) (open, failed []string) {
	t.trials.observe(now, registered)
	failed = slices.Sorted(maps.Keys(t.trials.failed))
	if now-t.trials.lastCrash < quietTime {
		return nil, failed
	}
	var waiting []string
	for suspect, since := range t.quarantinedSince {
		trial := registered[suspect]
		if !trial.Open && trial.Failed < maxFailedTrials && now-since >= trialDelay {
			waiting = append(waiting, suspect)
		}
	}
	slices.SortFunc(waiting, func(a, b string) int {
		return cmp.Or(cmp.Compare(registered[a].Failed, registered[b].Failed), cmp.Compare(t.ownCrashes(a), t.ownCrashes(b)), cmp.Compare(a, b))
	})
	open = waiting[:min(len(waiting), max(maxNewTrials-len(t.trials.opened), 0))]
	for _, suspect := range open {
		t.trials.openSince[suspect] = now
		t.trials.opened = append(t.trials.opened, now)
	}
	return open, failed
}

// ownCrashes returns the number of crashes that a quarantined request or part was in without
// another one that is quarantined.
func (t *Tracker) ownCrashes(suspect string) int {
	e := t.suspects[suspect]
	if e == nil {
		return 0
	}
	return distinctCrashes(without(e.sightings, func(s sighting) bool {
		for other := range t.quarantined {
			if o := t.suspects[other]; other != suspect && o != nil && o.inCrash(s.crash) {
				return true
			}
		}
		return t.explained[s.crash]
	}))
}

// ObserveQuarantine notes since when the quarantined requests and parts are known to be.
func (t *Tracker) ObserveQuarantine(now time.Duration) {
	for suspect := range t.quarantined {
		if _, known := t.quarantinedSince[suspect]; !known {
			t.quarantinedSince[suspect] = now
		}
	}
	for suspect := range t.quarantinedSince {
		if !t.quarantined[suspect] {
			delete(t.quarantinedSince, suspect)
			delete(t.cleared, suspect)
		}
	}
}

// IsRefuted reports whether a request or part has completed after all its crashes, so that it
// must not be quarantined because of them.
func (t *Tracker) IsRefuted(suspect string) bool {
	e := t.suspects[suspect]
	return e != nil && e.isRefuted()
}

// IsCleared reports whether a quarantined request or part has completed since its quarantine or
// its crashes.
func (t *Tracker) IsCleared(suspect string) bool { return t.cleared[suspect] || t.IsRefuted(suspect) }

// QuarantineOver returns the sorted requests and parts that were quarantined long enough.
func (t *Tracker) QuarantineOver(now time.Duration) []string {
	var over []string
	for suspect, since := range t.quarantinedSince {
		if now-since >= Time {
			over = append(over, suspect)
		}
	}
	slices.Sort(over)
	return over
}

// latestQuarantined returns up to maxSuspects of the quarantined requests and parts, those
// that were quarantined last.
func (t *Tracker) latestQuarantined() []string {
	list := slices.SortedFunc(maps.Keys(t.quarantinedSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.quarantinedSince[b], t.quarantinedSince[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxSuspects)]
}
