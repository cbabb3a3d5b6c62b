package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// newTestObserver returns an Observer and the clock that it reads.
func newTestObserver() (*Observer, *time.Duration) {
	now := time.Second
	return NewObserver(func() time.Duration { return now }), &now
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
	o.RecordCrash(Crash{Engine: "a", At: *now, Parts: []string{"p"}})
	if got := engines(o.Report()); !slices.Equal(got, []string{"a"}) {
		t.Errorf("first report has %q, want a", got)
	}
	sent := o.Report()
	o.RecordCrash(Crash{Engine: "b", At: *now, Parts: []string{"p"}})
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
	o.RecordCompletion([]string{"a", "b"})
	*now += time.Second
	o.RecordCompletion([]string{"b"})
	o.Confirm(o.Report(), false, []string{"b", "c"})
	want := []Completion{{"b", *now}}
	if got := o.Report().Completions; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// Guards against memory that grows with the parts of prompts and with crashes.
func TestObserverIsLimited(t *testing.T) {
	o, now := newTestObserver()
	for i := range 2*maxCompletedParts + 1 {
		*now += time.Millisecond
		o.RecordCompletion([]string{fmt.Sprint(i)})
	}
	if n := len(o.completed); n > maxCompletedParts {
		t.Errorf("%d completions are kept, want %d at most", n, maxCompletedParts)
	}
	for i := range 2 * maxKeptCrashes {
		o.RecordCrash(Crash{Engine: fmt.Sprint(i), At: *now, Parts: []string{"p"}})
	}
	if got := o.Report().Crashes; len(got) != maxKeptCrashes || got[len(got)-1].Engine != fmt.Sprint(2*maxKeptCrashes-1) {
		t.Errorf("%d crashes are kept, the last at %s; want the last %d", len(got), got[len(got)-1].Engine, maxKeptCrashes)
	}
}

// Guards against requests that are kept away without a quarantined part, or not with one.
func TestBlocked(t *testing.T) {
	o, _ := newTestObserver()
	o.SetQuarantined([]string{"fatal"})
	if part, blocked := o.Blocked([]string{"common", "fatal"}); !blocked || part != "fatal" {
		t.Errorf("got %q, %v; want the fatal part", part, blocked)
	}
	if part, blocked := o.Blocked([]string{"common"}); blocked {
		t.Errorf("part %q is blocked", part)
	}
	o.SetQuarantined(nil)
	if part, blocked := o.Blocked([]string{"fatal"}); blocked {
		t.Errorf("part %q is blocked after its release", part)
	}
}

// Guards against a report that cannot be encoded or is rejected as a whole because of the
// name of one part, which callers choose, or because of an old completion.
func TestReportsHaveUsableNamesAndAges(t *testing.T) {
	o, now := newTestObserver()
	o.RecordCompletion([]string{"old"})
	*now += 48 * time.Hour
	unusable := []string{"\xff", strings.Repeat("x", MaxNameBytes+1), ""}
	o.RecordCrash(Crash{Engine: "a", At: *now, Parts: append([]string{"p"}, unusable...)})
	o.RecordCrash(Crash{Engine: "b", At: *now, Parts: unusable})
	o.Confirm(Report{}, false, []string{"old"})
	r := o.Report()
	if len(r.Crashes) != 1 || !slices.Equal(r.Crashes[0].Parts, []string{"p"}) {
		t.Errorf("reported crashes %q, want the usable name only", r.Crashes)
	}
	if len(r.Completions) != 0 {
		t.Errorf("reported completions %v, want none", r.Completions)
	}
}
