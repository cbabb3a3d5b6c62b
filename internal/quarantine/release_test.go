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
