package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// trialRun is a simulated fleet whose callers repeat sound requests and fatal ones. It has one
// front, whose trials an Observer decides.
type trialRun struct {
	repeatRun
	now      time.Duration
	observer *Observer
	trials   map[string]Trial
	// lastCrash is the time of the last crash.
	lastCrash time.Duration
	// refused maps sound requests to the time at which they were last refused.
	refused map[string]time.Duration
}

func newTrialRun(seed uint64) *trialRun {
	f := &trialRun{
		repeatRun: repeatRun{
			rand: rand.New(rand.NewPCG(seed, 0)), tracker: NewTracker(), running: make(map[int][]string), started: make(map[int]int),
			downUntil: make(map[int]time.Duration), crashedAt: make(map[string][]time.Duration), sentAt: make(map[string][]time.Duration),
		},
		trials: make(map[string]Trial), refused: make(map[string]time.Duration),
	}
	f.observer = NewObserver(func() time.Duration { return f.now })
	return f
}

// send sends a request to an engine, which answers its oldest one if it has several.
func (f *trialRun) send(digest string) {
	const engines, waiting = 3, 5
	engine := f.rand.IntN(engines)
	r := Request{Key: RequestKey(digest)}
	if f.now < f.downUntil[engine] {
		return
	}
	if f.observer.Decide(r).Verdict == Quarantined && !f.observer.StartTrial(r) {
		f.refused[digest] = f.now
		return
	}
	f.running[engine] = append(f.running[engine], digest)
	f.sentAt[digest] = append(f.sentAt[digest], f.now)
	if len(f.running[engine]) <= waiting {
		return
	}
	answered := f.running[engine][0]
	if strings.HasPrefix(answered, "fatal") {
		f.observer.RecordCrash(fmt.Sprint(engine, "/", f.started[engine]), f.now, sentRequests(f.running[engine]), false)
		f.crash(f.now, engine, answered)
		f.lastCrash = f.now
		return
	}
	f.running[engine] = f.running[engine][1:]
	f.tracker.RecordCompletion(f.now, Completion{RequestKey(answered), f.now})
	f.tracker.RecordCompletion(f.now, Completion{"common", f.now})
}

func sentRequests(digests []string) []SentRequest {
	var list []SentRequest
	for _, digest := range digests {
		list = append(list, SentRequest{Request: Request{Key: RequestKey(digest)}})
	}
	return list
}

// review changes the quarantine and its trials as the leader does.
func (f *trialRun) review(quarantined map[string]bool) {
	f.tracker.ObserveQuarantine(f.now)
	for _, suspect := range f.tracker.Released() {
		f.trials[suspect] = Trial{Failed: f.trials[suspect].Failed + 1}
		if f.tracker.IsCleared(suspect) {
			delete(f.trials, suspect)
		}
		delete(quarantined, suspect)
	}
	for _, suspect := range f.tracker.Due(f.now) {
		quarantined[suspect] = true
	}
	open, failed := f.tracker.TrialChanges(f.now, f.trials)
	for _, suspect := range failed {
		f.trials[suspect] = Trial{Failed: f.trials[suspect].Failed + 1}
	}
	var onTrial []string
	for _, suspect := range open {
		f.trials[suspect] = Trial{Open: true, Failed: f.trials[suspect].Failed}
	}
	for suspect, trial := range f.trials {
		if trial.Open {
			onTrial = append(onTrial, suspect)
		}
	}
	f.observer.SetTrials(onTrial, 1)
	f.observer.SetQuarantined(slices.Collect(maps.Keys(quarantined)))
	f.tracker.SetQuarantined(slices.Collect(maps.Keys(quarantined)))
}

// Load pattern: callers repeat sound requests and several fatal ones at few engines, so that the
// sound ones are in many crashes. Guards against sound requests that stay rejected after the last
// crash, and against trials that let fatal requests reach engines too often.
func TestSoundRepeatsAreServedAgain(t *testing.T) {
	const soundRequests, fatalRequests, length = 12, 5, 60 * time.Second
	mistakes := 0
	for seed := range uint64(50) {
		f := newTrialRun(seed)
		quarantined := make(map[string]bool)
		for f.now = time.Second; f.now < length; f.now += simulatedStep {
			digest := fmt.Sprint("sound-", f.rand.IntN(soundRequests))
			if f.rand.Float64() < 0.1 {
				digest = fmt.Sprint("fatal-", f.rand.IntN(fatalRequests))
			}
			f.send(digest)
			if f.now%checkInterval == 0 {
				f.review(quarantined)
			}
		}
		for digest := range f.crashedAt {
			if n := f.arrivalsAfter(digest, 3, contactTime); n > 3 {
				t.Errorf("seed %d, %s: %d arrivals later than %v after its third crash, want 3 at most", seed, digest, n, contactTime)
			}
		}
		for digest, at := range f.refused {
			if strings.HasPrefix(digest, "fatal") {
				continue
			}
			mistakes++
			if limit := f.lastCrash + 2*contactTime; at > limit {
				t.Errorf("seed %d, %s: refused at %v, want none later than %v", seed, digest, at, limit)
			}
		}
	}
	if mistakes == 0 {
		t.Error("no sound request was refused, so the test shows nothing")
	}
}
