package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a fatal part that is not found because of its name, which callers choose, or
// because it stands before many others, and against the rejection of sound parts whose names
// are similar.
func TestFatalPartIsFoundWhateverItsName(t *testing.T) {
	long := strings.Repeat("x", 12000)
	for i, fatal := range []string{strings.Repeat("x", 33), strings.Repeat("y", 257), strings.Repeat("z", 298), long, "", "\xff\xfe", "request:forged", "part:forged", "größe"} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			f := newTestFleet(t, 3)
			s := session{f, append(names("session-", 5), long+"y", "\xff", "forged")}
			arrivals := f.sendFatal(fatal, func(int) []string { return s.parts }, s.running, s.complete)
			f.check(arrivals, f.request(s.parts...))
			for _, name := range f.quarantined {
				if len(name) > MaxNameBytes {
					t.Errorf("a name of %d bytes is quarantined, want %d at most", len(name), MaxNameBytes)
				}
			}
		})
	}
}

// Guards against parts with long names that are admitted again when a front is newer than the
// leader that has quarantined them, and against two IDs of one part in the reports of fronts of
// two versions.
func TestNamesOfTheVersionBefore(t *testing.T) {
	long := strings.Repeat("x", 200)
	o, _ := newTestObserver()
	o.SetQuarantined([]string{long})
	if got := o.Decide(Request{Key: RequestKey("r"), Parts: []string{long}}); got.Verdict != Quarantined {
		t.Errorf("a part with a long name that an older leader has quarantined gets %v", got)
	}
	for _, id := range []string{"part", RequestKey("r"), partID(long)} {
		if got := ReportedID(id); got != id {
			t.Errorf("%q is reported as %q", id, got)
		}
	}
	if got := ReportedID(long); got != partID(long) {
		t.Errorf("the name that an older front reports is %q, want the digest %q", got, partID(long))
	}
}

// Guards against a fatal part that is not found because of the number of parts before it
// (review/8), and against the rejection of sound requests with these.
func TestFatalPartIsFoundBehindAnyNumberOfParts(t *testing.T) {
	for _, count := range []int{0, 1, 63, 64, 65, 300, 1000, 4000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newTestFleet(t, 3)
			s := session{f, names("session-", count)}
			arrivals := f.sendFatal("fatal", func(int) []string { return s.parts }, s.running, s.complete)
			f.check(arrivals, f.request(s.parts...), f.request("topic"))
		})
	}
}

// Guards against evidence that is left out because requests with many parts run at the same
// engine: all of it is reported, in whichever order the requests are.
func TestRequestsWithManyPartsPushOutNoEvidence(t *testing.T) {
	f := newTestFleet(t, 1)
	long := strings.Repeat("x", 200)
	var running []Request
	for i := range 8 {
		running = append(running, f.request(names(fmt.Sprint(long, i, "-"), 1000)...))
	}
	parts := append(names(long, 60), "fatal")
	running = append(running, f.request(parts...))
	f.crash(running...)
	reported := 0
	for report := f.fronts[0].Report(); len(report.Crashes) > 0; report = f.fronts[0].Report() {
		for _, c := range report.Crashes {
			for _, r := range c.Requests {
				if r.Key == running[len(running)-1].Key {
					reported += len(r.Parts)
				}
			}
		}
		f.fronts[0].Confirm(report, false, nil)
	}
	if reported != len(parts) {
		t.Errorf("%d parts of the last request are reported, want %d", reported, len(parts))
	}
}

// Guards against a fatal part that is not found beside, or within, requests with so many parts
// that not all can be reported, and against memory and messages that grow with these.
func TestFatalPartIsFoundBesideMorePartsThanAreReported(t *testing.T) {
	f := newTestFleet(t, 3)
	shared := session{f, names("session-", 4000)}
	for _, tt := range []struct {
		name   string
		before func(n int) []string
	}{
		{"beside", func(int) []string { return []string{"common", "topic"} }},
		{"behind shared ones", func(int) []string { return shared.parts }},
		{"behind its own ones", func(n int) []string { return names(fmt.Sprintf("fatal-%d-", n), 4000) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f = newTestFleet(t, 3)
			shared.fleet = f
			many := func(int) []Request {
				var requests []Request
				for range 12 {
					requests = append(requests, f.request(names(fmt.Sprintf("own-%d-", f.requests), 4000)...))
				}
				return requests
			}
			arrivals := f.sendFatal("fatal", tt.before, many, shared.complete)
			f.check(arrivals, f.request(shared.parts...), f.request(names("own-1-", 4000)...))
			if f.largestReport > maxReportBytes {
				t.Errorf("a report has %d bytes of names, want %d at most", f.largestReport, maxReportBytes)
			}
			for _, o := range f.fronts {
				if n := o.crashes.partCount(); n > maxKeptParts {
					t.Errorf("a front keeps %d parts, want %d at most", n, maxKeptParts)
				}
			}
		})
	}
}

// Guards against a fatal part that is not found, and a sound one that is quarantined in its place,
// because more parts are suspected than fronts are asked for: the answers to sound requests with
// these parts take so long that none completes between the crashes.
func TestFatalPartIsFoundAmongMoreSuspectsThanAreAskedFor(t *testing.T) {
	for _, count := range []int{100, 1000} {
		for _, fatal := range []string{"a-fatal", "z-fatal"} {
			f := newTestFleet(t, 3)
			s := session{f, names("session-", count)}
			arrivals := f.sendFatal(fatal, func(int) []string { return s.parts }, s.running, nothing)
			f.check(arrivals, f.request(s.parts...))
		}
	}
}

// Guards against a sound part that is quarantined because its completions are forgotten, or not
// reported, while requests with thousands of parts complete: it was in several crashes that it did
// not cause.
func TestCompletionsOutliveThoseOfManyParts(t *testing.T) {
	f := newTestFleet(t, 1)
	for n := range 2 * minPartCrashes {
		f.crash(f.request("topic"))
		f.now += time.Second
		f.complete(0, f.request("topic"))
		for i := range 10 {
			f.now += time.Millisecond
			f.complete(0, f.request(names(fmt.Sprintf("own-%d-%d-", n, i), 4000)...))
		}
		f.advance(time.Second)
	}
	f.check(0, f.request("topic"))
}

// Guards against a sound part that is quarantined because its completions are not among those that
// a front reports with the crashes: the front is lost before the leader asks for them.
func TestCompletionsOfAllPartsAreReportedWithTheCrashes(t *testing.T) {
	f := newTestFleet(t, 1)
	s := session{f, names("session-", 1000)}
	for n := range minPartCrashes {
		f.crash(s.running(n)...)
		f.now += time.Second
		s.complete(n)
	}
	for report := f.fronts[0].Report(); len(report.Crashes) > 0; report = f.fronts[0].Report() {
		for _, c := range report.Crashes {
			f.leader.RecordCrash(f.now, c)
		}
		for _, c := range report.Completions {
			f.leader.RecordCompletion(f.now, c)
		}
		f.fronts[0].Confirm(report, false, nil)
	}
	f.fronts[0] = NewObserver(f.fronts[0].Clock)
	f.advance(2 * completionReportTime)
	f.check(0, f.request(s.parts...))
}

// Guards against a fatal part that is found late because the leader is lost, with the fronts that
// saw the crashes or without them, and the next one gets the evidence on few of many parts.
func TestEvidenceOnManyPartsOutlivesTheLeader(t *testing.T) {
	for _, restart := range []bool{false, true} {
		f := newTestFleet(t, 3)
		s := session{f, names("session-", 2000)}
		beside := func(n int) []Request {
			return append(s.running(n), f.request(names(fmt.Sprintf("own-%d-", n), 4000)...))
		}
		before := func(n int) []string { return names(fmt.Sprintf("fatal-%d-", n), 3000) }
		arrivals := f.sendFatal("fatal", before, beside, func(n int) {
			s.complete(n)
			f.advance(fatalInterval / 3)
			if n == 1 || n == 3 || n == 5 {
				f.replaceLeader(restart)
			}
		})
		f.check(arrivals, f.request(s.parts...), f.request(names("own-1-", 4000)...))
		if size := recordBytes(f.record); size > maxRecordedBytes {
			t.Errorf("the record has %d bytes of names, want %d at most", size, maxRecordedBytes)
		}
	}
}

// recordBytes returns the size of the names in a record.
func recordBytes(r EvidenceRecord) int {
	size := 0
	for _, c := range r.Crashes {
		size += c.bytes()
	}
	return size
}

// Guards against evidence that is left out of the report of a crash without a trace in the log.
func TestLeftOutPartsAreCounted(t *testing.T) {
	o, _ := newTestObserver()
	var requests []SentRequest
	for i := range 20 {
		r := Request{Key: RequestKey(fmt.Sprint(i)), Parts: append(names(fmt.Sprint(i, "-"), 4000), "shared")}
		requests = append(requests, SentRequest{Request: r})
	}
	if n := o.RecordCrash("a", o.Clock(), requests[:10], false); n != 0 {
		t.Errorf("%d parts are left out of a report within the limits", n)
	}
	// The equal shares of the requests are rounded down, and "shared" is in some of them.
	want, tolerance := 20*4000-maxCrashParts, len(requests)+maxRequestsPerSighting
	if n := o.RecordCrash("b", o.Clock(), requests, false); n < want || n > want+tolerance {
		t.Errorf("%d parts are left out of a report, want %d", n, want)
	}
}
