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

// Guards against the quarantine of requests and parts that have completed before, and were in the
// crashes of several fatal ones (soak, seed 308).
func TestWhatHasCompletedIsNotTheLikeliestCause(t *testing.T) {
	tracker := NewTracker()
	var fatal []string
	for i := range 9 {
		culprit := request(fmt.Sprint("fatal-", i%3), fmt.Sprint("own-", i%3))
		fatal = append(fatal, culprit.Key)
		crashOf(tracker, fmt.Sprint(i), 1+float64(i)/2, culprit, request("sound"), request(fmt.Sprint("other-", i), "topic"))
	}
	for _, sound := range []string{RequestKey("sound"), "topic"} {
		tracker.RecordCompletion(6*time.Second, Completion{sound, time.Second / 2})
	}
	if got := tracker.Due(7 * time.Second); !slices.Equal(got, fatal[:3]) {
		t.Errorf("due %q, want those that have never completed", got)
	}
}

// Guards against a sound request and a sound part that stay quarantined although completions
// which the fronts reported later leave few of their crashes, or although the cause of these was
// found later (soak, seed 308). What has never completed stays quarantined.
func TestReleasedByLaterEvidence(t *testing.T) {
	sound, fatal := RequestKey("sound"), RequestKey("fatal")
	tests := []struct {
		name   string
		report func(t *Tracker)
		want   []string
	}{
		{"nothing", func(*Tracker) {}, nil},
		{"a completion from before the crashes", func(t *Tracker) {
			t.RecordCompletion(9*time.Second, Completion{sound, time.Second / 2})
			t.RecordCompletion(9*time.Second, Completion{"topic", time.Second / 2})
		}, nil},
		{"a completion between the crashes", func(t *Tracker) {
			t.RecordCompletion(9*time.Second, Completion{sound, 3500 * time.Millisecond})
			t.RecordCompletion(9*time.Second, Completion{"topic", 3500 * time.Millisecond})
		}, []string{sound, "topic"}},
		{"a likelier cause", func(t *Tracker) {
			t.RecordCompletion(9*time.Second, Completion{sound, time.Second / 2})
			t.RecordCompletion(9*time.Second, Completion{"topic", time.Second / 2})
			for i := range 4 {
				crashOf(t, fmt.Sprint(i), 1+float64(i), request(fmt.Sprint("likelier-", i/2)))
			}
		}, []string{sound, "topic"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker()
			for i := range 4 {
				crashOf(tracker, fmt.Sprint(i), 1+float64(i), request("sound"), request(fmt.Sprint("other-", i), "topic"))
				crashOf(tracker, fmt.Sprint("alone ", i), 1.5+float64(i), request("fatal"))
			}
			tracker.SetQuarantined([]string{fatal, sound, "topic"})
			tracker.ObserveQuarantine(8 * time.Second)
			tt.report(tracker)
			if got := tracker.Released(); !slices.Equal(got, tt.want) {
				t.Errorf("released %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a sound request that stays quarantined for crashes which no process remembers:
// the leader that has quarantined it and the fronts that saw them were restarted.
func TestReleasedWithoutEvidence(t *testing.T) {
	tracker := NewTracker()
	sound := RequestKey("sound")
	tracker.SetQuarantined([]string{RequestKey("fatal"), sound})
	tracker.ObserveQuarantine(time.Second)
	tracker.RecordCompletion(2*time.Second, Completion{sound, time.Second / 2})
	if got := tracker.Released(); got != nil {
		t.Errorf("released %q before all fronts could report crashes, want none", got)
	}
	tracker.RecordCompletion(time.Second+crashReportTime, Completion{sound, time.Second / 2})
	if got := tracker.Released(); !slices.Equal(got, []string{sound}) {
		t.Errorf("released %q, want the request that has completed", got)
	}
}

// Guards against a sound request that stays quarantined although the causes of its crashes, a part
// and another request, were found later: none of the two was in all of them (soak, seed 16001).
func TestReleasedIfSeveralCausesExplainItsCrashes(t *testing.T) {
	sound, fatal := RequestKey("sound"), RequestKey("fatal")
	tracker := NewTracker()
	for i := range 4 {
		crashOf(tracker, fmt.Sprint("part ", i), 1+float64(i), request(fmt.Sprint("other-", i), "topic"))
		crashOf(tracker, fmt.Sprint("request ", i), 1.5+float64(i), request("fatal"))
	}
	crashOf(tracker, "part 0", 1, request("sound"))
	crashOf(tracker, "request 1", 2.5, request("sound"))
	crashOf(tracker, "request 2", 3.5, request("sound"))
	tracker.SetQuarantined([]string{fatal, sound})
	if got := tracker.Released(); got != nil {
		t.Errorf("released %q before the part was found, want none", got)
	}
	tracker.SetQuarantined([]string{fatal, sound, "topic"})
	if got := tracker.Released(); !slices.Equal(got, []string{sound}) {
		t.Fatalf("released %q, want the sound request", got)
	}
	tracker.Release(sound)
	tracker.SetQuarantined([]string{fatal, "topic"})
	if got := tracker.Due(8 * time.Second); got != nil {
		t.Errorf("due %q after the release, want none", got)
	}
	crashOf(tracker, "alone", 9, request("sound"))
	if got := tracker.Due(11 * time.Second); !slices.Equal(got, []string{sound}) {
		t.Errorf("due %q after a crash without another cause, want the request", got)
	}
}

// Guards against the release of a fatal request of whose crashes all but one have expired, because
// a quarantined part was in that one.
func TestOneCrashExoneratesNothing(t *testing.T) {
	tracker := NewTracker()
	for i := range 4 {
		crashOf(tracker, fmt.Sprint(i), 1+float64(i), request(fmt.Sprint("other-", i), "topic"))
	}
	crashOf(tracker, "0", 1, request("fatal"))
	tracker.SetQuarantined([]string{RequestKey("fatal"), "topic"})
	if got := tracker.Released(); got != nil {
		t.Errorf("released %q, want none", got)
	}
}
