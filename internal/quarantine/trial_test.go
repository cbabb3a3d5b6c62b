package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a sound part that stays quarantined although requests with it that were sent
// before have completed since (soak, seed 11).
func TestCompletionReleasesWhatIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	for i := range minPartCrashes {
		crash(tracker, fmt.Sprint(i), float64(i), "sound")
	}
	const quarantinedAt = 6 * time.Second
	if got := tracker.Due(quarantinedAt); !slices.Equal(got, []string{"sound"}) {
		t.Fatalf("due %q, want the part", got)
	}
	tracker.SetQuarantined([]string{"sound"})
	tracker.ObserveQuarantine(quarantinedAt)
	if got := tracker.Suspects(quarantinedAt); !slices.Equal(got, []string{"sound"}) {
		t.Fatalf("fronts report completions of %q, want those of the quarantined part too", got)
	}
	tracker.RecordCompletion(quarantinedAt, Completion{"sound", quarantinedAt - 10*time.Second})
	if got := tracker.Released(); got != nil {
		t.Errorf("released %q after a completion from before the quarantine, want none", got)
	}
	tracker.RecordCompletion(7*time.Second, Completion{"sound", quarantinedAt + time.Millisecond})
	if got := tracker.Released(); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("released %q, want the part", got)
	}
}

// Guards against a part that stays quarantined although it had completed after its crashes,
// while its quarantine was being committed, and against evidence from before that completion
// which is reported after it (soak, seed 11).
func TestCompletionBeforeTheQuarantineIsCommitted(t *testing.T) {
	tracker := NewTracker()
	for i := range minPartCrashes {
		crash(tracker, fmt.Sprint(i), float64(i), "sound")
	}
	if got := tracker.Due(6 * time.Second); !slices.Equal(got, []string{"sound"}) {
		t.Fatalf("due %q, want the part", got)
	}
	tracker.RecordCompletion(6*time.Second, Completion{"sound", 5 * time.Second})
	if !tracker.IsRefuted("sound") {
		t.Error("the part has completed after its crashes, but its quarantine would be proposed again")
	}
	tracker.Due(7 * time.Second)
	for i := range minPartCrashes {
		crash(tracker, fmt.Sprint("late ", i), float64(i), "sound")
	}
	tracker.SetQuarantined([]string{"sound"})
	tracker.ObserveQuarantine(8 * time.Second)
	if got := tracker.Released(); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("released %q, want the part", got)
	}
}

// newQuarantinedTracker returns a tracker of what is quarantined since one second.
func newQuarantinedTracker(suspects ...string) *Tracker {
	tracker := NewTracker()
	tracker.SetQuarantined(suspects)
	tracker.ObserveQuarantine(time.Second)
	return tracker
}

// Guards against sound requests that stay rejected for an hour because nothing can show that
// they are sound once they are quarantined, and against trials beside crashes.
func TestTrialOfASoundRequest(t *testing.T) {
	sound := RequestKey("sound")
	tracker := newQuarantinedTracker(sound)
	if open, _ := tracker.TrialChanges(1500*time.Millisecond, nil); open != nil {
		t.Errorf("trial of %q 0.5 s after the quarantine, want none yet", open)
	}
	crashOf(tracker, "0", 2, request("other"))
	if open, _ := tracker.TrialChanges(2500*time.Millisecond, nil); open != nil {
		t.Errorf("trial of %q 0.5 s after a crash, want none yet", open)
	}
	if open, _ := tracker.TrialChanges(4*time.Second, nil); !slices.Equal(open, []string{sound}) {
		t.Fatalf("trial of %q, want the request", open)
	}
	tracker.RecordCompletion(5*time.Second, Completion{sound, 5 * time.Second})
	if got := tracker.Released(); !slices.Equal(got, []string{sound}) || !tracker.IsCleared(sound) {
		t.Errorf("released %q, want the request that has completed in its trial", got)
	}
}

// Guards against a fatal request that is tried again and again, and against one whose trial
// counts against the sound requests beside it.
func TestTrialOfAFatalRequest(t *testing.T) {
	fatal := RequestKey("fatal")
	tracker := newQuarantinedTracker(fatal)
	now := 3 * time.Second
	registered := make(map[string]Trial)
	for n := range 2 * maxFailedTrials {
		now += 5 * time.Second
		open, _ := tracker.TrialChanges(now, registered)
		if n >= maxFailedTrials {
			if open != nil {
				t.Fatalf("trial of %q after %d failed ones", open, n)
			}
			continue
		}
		if !slices.Equal(open, []string{fatal}) {
			t.Fatalf("trial of %q, want the request", open)
		}
		registered[fatal] = Trial{Open: true, Failed: n}
		crashOf(tracker, fmt.Sprint(n), now.Seconds()+0.5, request("fatal"), request("sound"))
		if _, failed := tracker.TrialChanges(now+time.Second, registered); !slices.Equal(failed, []string{fatal}) {
			t.Fatalf("failed trials %q, want that of the request", failed)
		}
		registered[fatal] = Trial{Failed: n + 1}
	}
	if e := tracker.suspects[RequestKey("sound")]; e != nil && len(e.sightings) > 0 {
		t.Errorf("the request beside it was in %d crashes, want none that count", len(e.sightings))
	}
}

// Guards against trials of many fatal requests that take all engines of a service out of
// service at once.
func TestFewTrialsBeginAtATime(t *testing.T) {
	var suspects []string
	for i := range 5 * maxNewTrials {
		suspects = append(suspects, RequestKey(fmt.Sprint(i)))
	}
	tracker := newQuarantinedTracker(suspects...)
	registered := make(map[string]Trial)
	for i := range 4 {
		now := 3*time.Second + time.Duration(i)*trialInterval/4
		open, _ := tracker.TrialChanges(now, registered)
		for _, suspect := range open {
			registered[suspect] = Trial{Open: true}
		}
	}
	if len(registered) != maxNewTrials {
		t.Errorf("%d trials began within %v, want %d", len(registered), trialInterval, maxNewTrials)
	}
}

// Guards against a trial in which several requests of one front crash engines, one that hangs
// because its request has neither completed nor crashed an engine, and one that shows nothing
// because another quarantined suspect was in it.
func TestFrontSendsOneRequestForATrial(t *testing.T) {
	o, now := newTestObserver()
	r := Request{Key: RequestKey("r"), Parts: []string{"part"}}
	o.SetQuarantined([]string{r.Key})
	if o.StartTrial(r) {
		t.Error("a request is sent without a trial")
	}
	o.SetTrials([]string{r.Key}, 1)
	*now += trialSpread
	if !o.StartTrial(r) {
		t.Fatal("no request is sent for the trial")
	}
	if o.StartTrial(r) {
		t.Error("a second request is sent at the same time")
	}
	*now += trialRenewal
	if !o.StartTrial(r) {
		t.Error("no further request is sent although the first one showed nothing")
	}
	o.RecordCrash("engine", *now, []SentRequest{{Request: r}}, false)
	*now += trialRenewal
	if o.StartTrial(r) {
		t.Error("a request is sent after one has crashed an engine")
	}
	o.SetTrials(nil, 1)
	o.SetQuarantined([]string{r.Key, "part"})
	o.SetTrials([]string{r.Key, "part"}, 1)
	*now += trialSpread
	if o.StartTrial(r) {
		t.Error("a request is sent for two trials at once")
	}
	if !o.StartTrial(Request{Key: RequestKey("other"), Parts: r.Parts}) {
		t.Error("no request is sent for the trial of the part")
	}
}
