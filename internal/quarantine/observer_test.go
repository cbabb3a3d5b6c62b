package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// newTestObserver returns an Observer and the clock that it reads.
func newTestObserver() (*Observer, *time.Duration) {
	now := time.Second
	return NewObserver(func() time.Duration { return now }), &now
}

// recordCrash records the crash of an engine at the present time, with one request that
// has the parts.
func recordCrash(o *Observer, engine string, parts ...string) {
	r := Request{Key: RequestKey(engine), Parts: parts}
	o.RecordCrash(engine, o.Clock(), []SentRequest{{Request: r}}, false)
}

// ids returns the IDs of parts.
func ids(parts []Part) []string {
	var list []string
	for _, part := range parts {
		list = append(list, part.ID)
	}
	return list
}

func engines(r Report) []string {
	var list []string
	for _, c := range r.Crashes {
		list = append(list, c.Engine)
	}
	return list
}

// Guards against evidence that is lost with a failed report or with the leader, and
// against evidence that is reported for ever.
func TestCrashesAreReportedUntilTheLeaderHasThem(t *testing.T) {
	o, now := newTestObserver()
	recordCrash(o, "a", "p")
	if got := engines(o.Report()); !slices.Equal(got, []string{"a"}) {
		t.Errorf("first report has %q, want a", got)
	}
	sent := o.Report()
	recordCrash(o, "b", "p")
	o.Confirm(sent, false, nil)
	if got := engines(o.Report()); !slices.Equal(got, []string{"b"}) {
		t.Errorf("after the confirmation of a the report has %q, want b", got)
	}
	o.Confirm(o.Report(), true, nil)
	if got := engines(o.Report()); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("the report to a new leader has %q, want a and b", got)
	}
	*now += reportLifetime + time.Second
	if got := engines(o.Report()); got != nil {
		t.Errorf("the report has %q after their lifetime, want none", got)
	}
}

// Guards against completions that the leader did not ask for, or lacks.
func TestCompletionsOfSuspectsAreReported(t *testing.T) {
	o, now := newTestObserver()
	o.RecordCompletion(Request{Key: RequestKey("1"), Parts: []string{"a", "b"}})
	*now += time.Second
	o.RecordCompletion(Request{Key: RequestKey("2"), Parts: []string{"b"}})
	o.Confirm(o.Report(), false, []string{"b", "c"})
	want := []Completion{{"b", *now}}
	if got := o.Report().Completions; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// Guards against memory that grows with the parts of prompts and with crashes.
func TestObserverIsLimited(t *testing.T) {
	o, now := newTestObserver()
	for i := range 2*maxCompleted + 1 {
		*now += time.Millisecond
		o.RecordCompletion(Request{Key: RequestKey(fmt.Sprint(i)), Parts: []string{fmt.Sprint(i)}})
	}
	if n := len(o.completed.at); n > maxCompleted {
		t.Errorf("%d completions are kept, want %d at most", n, maxCompleted)
	}
	for i := range 2 * maxKeptPieces {
		recordCrash(o, fmt.Sprint(i), "p")
	}
	if got := o.Report().Crashes; len(got) != maxKeptPieces || got[len(got)-1].Engine != fmt.Sprint(2*maxKeptPieces-1) {
		t.Errorf("%d crashes are kept, the last at %s; want the last %d", len(got), got[len(got)-1].Engine, maxKeptPieces)
	}
}

// Guards against memory that grows with the names that callers choose.
func TestLongNamesOfPartsAreNotKept(t *testing.T) {
	o, _ := newTestObserver()
	parts := []string{strings.Repeat("x", MaxNameBytes+1), "part"}
	o.RecordCompletion(Request{Key: RequestKey("r"), Parts: parts})
	recordCrash(o, "a", parts...)
	for _, name := range ids(o.Report().Crashes[0].Requests[0].Parts) {
		if len(name) > MaxNameBytes {
			t.Errorf("a name of %d bytes is kept, want %d at most", len(name), MaxNameBytes)
		}
	}
}

// Guards against requests that are kept away without a quarantined part, or not with one.
func TestBlocked(t *testing.T) {
	o, _ := newTestObserver()
	o.SetQuarantined([]string{"fatal"})
	if got := o.Decide(Request{Parts: []string{"common", "fatal"}}); got.Verdict != Quarantined || got.Suspect != "fatal" {
		t.Errorf("got %v, want the fatal part", got)
	}
	if got := o.Decide(Request{Parts: []string{"common"}}); got.Verdict != Admitted {
		t.Errorf("a sound request gets %v", got)
	}
	o.SetQuarantined(nil)
	if got := o.Decide(Request{Parts: []string{"fatal"}}); got.Verdict != Admitted {
		t.Errorf("got %v after the release of the part", got)
	}
}

// Guards against a report that cannot be encoded or is rejected as a whole because of the
// name of one part, which callers choose, or because of an old completion.
func TestReportsHaveUsableNamesAndAges(t *testing.T) {
	o, now := newTestObserver()
	o.RecordCompletion(Request{Key: RequestKey("1"), Parts: []string{"old"}})
	*now += 48 * time.Hour
	unusable := []string{"\xff", strings.Repeat("x", MaxNameBytes+1), "", RequestKey("forged")}
	recordCrash(o, "a", append([]string{"p"}, unusable...)...)
	recordCrash(o, "b", unusable...)
	o.Confirm(Report{}, false, []string{"old"})
	r := o.Report()
	if len(r.Crashes) != 2 {
		t.Fatalf("reported crashes %v, want both", r.Crashes)
	}
	for i, want := range []int{1 + len(unusable), len(unusable)} {
		got := ids(r.Crashes[i].Requests[0].Parts)
		if len(slices.Compact(slices.Sorted(slices.Values(got)))) != want {
			t.Errorf("crash %d has the parts %q, want %d different ones", i, got, want)
		}
		for _, name := range got {
			if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) || IsRequestKey(name) {
				t.Errorf("crash %d has a part with the unusable name %q", i, name)
			}
		}
	}
	if len(r.Completions) != 0 {
		t.Errorf("reported completions %v, want none", r.Completions)
	}
}

// Guards against a sound part that is quarantined because the leader has the crashes of a front,
// but not the completions between them, of which it asks only once it suspects the part.
func TestCrashesAreReportedWithCompletions(t *testing.T) {
	o, now := newTestObserver()
	tracker := NewTracker()
	for i := range minPartCrashes + 1 {
		parts := []string{"sound", fmt.Sprint("other-", i)}
		o.RecordCrash(fmt.Sprint(i), *now, []SentRequest{{Request: Request{Key: RequestKey(fmt.Sprint(i)), Parts: parts}}}, false)
		*now += distinctCrashTime / 2
		o.RecordCompletion(Request{Key: RequestKey(fmt.Sprint("completed-", i)), Parts: parts[:1]})
		*now += distinctCrashTime
	}
	report := o.Report()
	for _, c := range report.Crashes {
		tracker.RecordCrash(*now, c)
	}
	for _, c := range report.Completions {
		tracker.RecordCompletion(*now, c)
	}
	if got := tracker.Due(*now + 2*completionReportTime); got != nil {
		t.Errorf("due %q, want none", got)
	}
}
