package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// successor returns the tracker of a leader that has only the record of the one before. The clock
// of its machine began later.
func successor(t *testing.T, before *Tracker, now time.Duration, quarantined ...string) *Tracker {
	t.Helper()
	wall := time.UnixMilli(1_700_000_000_000)
	u := before.Unrecorded(now, wall)
	before.ConfirmRecorded(u)
	if again := before.Unrecorded(now, wall); !again.IsEmpty() {
		t.Errorf("%v has to be recorded again", again.Record)
	}
	data, err := json.Marshal(EvidenceRecord{}.Add(u.Record))
	if err != nil {
		t.Fatal(err)
	}
	var record EvidenceRecord
	if err := json.Unmarshal(data, &record); err != nil {
		t.Fatal(err)
	}
	after := NewTracker()
	after.SetQuarantined(quarantined)
	after.Restore(now+successorOffset, wall.Add(100*time.Millisecond), record)
	return after
}

// successorOffset is the difference between the clocks of two leaders.
const successorOffset = 300 * time.Second

// Guards against a request that must crash three more engines because the leader, and the front
// that saw its crashes, are lost (soak, seeds 304 and 15004).
func TestEvidenceOutlivesTheLeader(t *testing.T) {
	first := NewTracker()
	crashOf(first, "0", 1, request("fatal"))
	crashOf(first, "1", 2, sentLater("fatal", 1.9))
	second := successor(t, first, 5*time.Second)
	// A front that was not lost reports the second crash again.
	at := successorOffset.Seconds() + 2
	crashOf(second, "1", at, sentLater("other", at-0.1))
	if n := len(second.suspects[RequestKey("fatal")].sightings); n != 2 {
		t.Errorf("the second leader knows %d crashes, want 2", n)
	}
	crashOf(second, "2", successorOffset.Seconds()+6, request("fatal"))
	if got := second.Due(successorOffset + 7*time.Second); !slices.Equal(got, []string{RequestKey("fatal")}) {
		t.Errorf("due %q after the third crash, want the fatal request", got)
	}
}

// Guards against sound requests and parts that a new leader suspects, as it does not know that
// they have completed, and against two reports of an engine that crashed twice under one name
// that a new leader takes for more.
func TestSuccessorKnowsCompletionsAndTellsCrashesApart(t *testing.T) {
	first := NewTracker()
	for i := range 3 {
		crashOf(first, fmt.Sprint(i), 1+float64(i), request("sound", "topic"))
	}
	crashOf(first, "engine", 4, sentLater("repeated", 3.9))
	crashOf(first, "engine", 6, sentLater("repeated", 5.9))
	for _, suspect := range []string{RequestKey("sound"), "topic"} {
		first.RecordCompletion(7*time.Second, Completion{suspect, 6 * time.Second})
	}
	second := successor(t, first, 10*time.Second)
	for _, suspect := range []string{RequestKey("sound"), "topic"} {
		if e := second.suspects[suspect]; e == nil || !e.isRefuted() {
			t.Errorf("the new leader has the evidence %+v about %s, want a completion only", e, suspect)
		}
	}
	for _, seconds := range []float64{4.05, 6.05} {
		at := successorOffset.Seconds() + seconds
		crashOf(second, "engine", at, sentLater("repeated", at-0.1))
	}
	if got := len(second.suspects[RequestKey("repeated")].sightings); got != 2 {
		t.Errorf("the new leader knows %d crashes with the repeated request, want 2", got)
	}
}

// Guards against a record that grows with the crashes, or keeps completions of what is in none.
func TestRecordIsLimited(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 * maxRecordedCrashes {
		crashOf(tracker, fmt.Sprint(i), float64(i)/10, request(fmt.Sprint(i)))
	}
	u := tracker.Unrecorded(30*time.Second, time.UnixMilli(0))
	u.Record.Completions["gone"] = 1
	record := u.Record.Add(u.Record)
	if n := len(record.Crashes); n != maxRecordedCrashes || len(record.Completions) != 0 {
		t.Errorf("%d crashes and the completions %v are kept, want %d and none", n, record.Completions, maxRecordedCrashes)
	}
	large := CrashRecord{Engine: "large"}
	for i := range 1 + maxRecordedBytes/MaxNameBytes {
		large.Requests = append(large.Requests, RequestRecord{Key: RequestKey(fmt.Sprintf("%0*d", MaxNameBytes, i))})
	}
	if n := len((EvidenceRecord{}).Add(EvidenceRecord{Crashes: []CrashRecord{large}}).Crashes); n != 0 {
		t.Errorf("%d crashes over the limit of bytes are kept", n)
	}
	for i := range 2 * maxRecordedRequests {
		crashOf(tracker, "engine", 40, request(fmt.Sprint("r", i)))
	}
	if n := len(tracker.recorded[crashID{"engine", 40 * time.Second}].requests); n != maxRecordedRequests {
		t.Errorf("%d requests of one crash are recorded, want %d", n, maxRecordedRequests)
	}
}

// Guards against a sound request that stays quarantined because a new leader does not know that
// quarantined parts were in its crashes (soak, seed 19008).
func TestSuccessorReleasesWhatPartsExplain(t *testing.T) {
	first := NewTracker()
	sound := RequestKey("sound")
	for i, part := range []string{"a", "a", "a", "a", "b", "b", "b", "b"} {
		engine, at := fmt.Sprint(i), 1+float64(i)
		if i == 1 || i == 4 {
			crashOf(first, engine, at, request("sound"))
		}
		crashOf(first, engine, at, request(fmt.Sprint("other-", i), part))
		if i == 0 {
			crashOf(first, engine, at, request("sound"))
		}
	}
	second := successor(t, first, 10*time.Second, "a", "b", sound)
	if got := second.Released(); !slices.Equal(got, []string{sound}) {
		t.Errorf("released %q, want the sound request", got)
	}
}
