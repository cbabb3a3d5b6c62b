package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testFleet is a fleet of fronts with one leader, without a network.
type testFleet struct {
	t           *testing.T
	now         time.Duration
	fronts      []*Observer
	leader      *Tracker
	quarantined []string
	crashes     int
	// requests numbers the requests, so that no two are alike.
	requests int
	// largestReport is the size of the names in the largest report of a front.
	largestReport int
	// record is what the leaders have recorded for their successors.
	record EvidenceRecord
}

// testWall is the time of day at which the clock of a fleet is 0.
var testWall = time.UnixMilli(1_700_000_000_000)

func newTestFleet(t *testing.T, fronts int) *testFleet {
	f := &testFleet{t: t, now: time.Minute, leader: NewTracker()}
	for range fronts {
		f.fronts = append(f.fronts, NewObserver(func() time.Duration { return f.now }))
	}
	return f
}

// request returns a new request with the parts.
func (f *testFleet) request(parts ...string) Request {
	f.requests++
	return Request{Key: RequestKey(fmt.Sprint(f.requests)), Parts: parts}
}

// crash ends an engine that runs the requests, the first at one front and the others at all
// fronts in turn.
func (f *testFleet) crash(requests ...Request) {
	seen := make([][]SentRequest, len(f.fronts))
	for i, r := range requests {
		front := (f.crashes + i) % len(f.fronts)
		seen[front] = append(seen[front], SentRequest{Request: r, SentAt: f.now - 50*time.Millisecond})
	}
	f.crashes++
	for i, list := range seen {
		f.fronts[i].RecordCrash(fmt.Sprint("engine/", f.crashes), f.now, list, false)
	}
}

// complete completes a request at the front with the number.
func (f *testFleet) complete(front int, r Request) {
	f.fronts[front%len(f.fronts)].RecordCompletion(r)
}

// advance passes time, in which the fronts report at each interval of a check.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += checkInterval
		f.exchange(false)
		f.decide()
	}
}

// exchange sends a report of each front to the leader.
func (f *testFleet) exchange(newLeader bool) {
	for _, o := range f.fronts {
		report := o.Report()
		f.largestReport = max(f.largestReport, reportBytes(report))
		for _, c := range report.Crashes {
			f.leader.RecordCrash(f.now, c)
		}
		for _, c := range report.Completions {
			f.leader.RecordCompletion(f.now, c)
		}
		o.Confirm(report, newLeader, f.leader.Suspects(f.now))
	}
}

// reportBytes returns the size of the names in the crashes of a report.
func reportBytes(r Report) int {
	size := 0
	for _, c := range r.Crashes {
		size += c.bytes()
	}
	return size
}

// decide changes the quarantine as the leader does.
func (f *testFleet) decide() {
	f.leader.SetQuarantined(f.quarantined)
	f.leader.ObserveQuarantine(f.now)
	for _, suspect := range f.leader.Released() {
		f.quarantined = slices.DeleteFunc(f.quarantined, func(q string) bool { return q == suspect })
		f.leader.Release(suspect)
	}
	f.quarantined = append(f.quarantined, f.leader.Due(f.now)...)
	f.leader.SetQuarantined(f.quarantined)
	for _, o := range f.fronts {
		o.SetQuarantined(f.quarantined)
	}
	u := f.leader.Unrecorded(f.now, testWall.Add(f.now))
	if u.IsEmpty() {
		return
	}
	f.record = f.record.Add(u.Record)
	f.leader.ConfirmRecorded(u)
}

// replaceLeader has a new leader take over from the record. The fronts report to it what they
// still have; with restart set they have lost all.
func (f *testFleet) replaceLeader(restart bool) {
	f.leader = NewTracker()
	f.leader.SetQuarantined(f.quarantined)
	f.leader.Restore(f.now, testWall.Add(f.now), f.record)
	for i, o := range f.fronts {
		if restart {
			f.fronts[i] = NewObserver(o.Clock)
		}
	}
	f.exchange(true)
}

// isRejected reports whether all fronts reject a request.
func (f *testFleet) isRejected(r Request) bool {
	for _, o := range f.fronts {
		if o.Decide(r).Verdict != Quarantined {
			return false
		}
	}
	return true
}

// isAdmitted reports whether all fronts admit a request.
func (f *testFleet) isAdmitted(r Request) bool {
	for _, o := range f.fronts {
		if o.Decide(r).Verdict != Admitted {
			return false
		}
	}
	return true
}

// names returns n names of parts with a prefix.
func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%06x", prefix, i)
	}
	return list
}

// maxFatalArrivals is how many requests with a fatal part may reach engines: five crashes, and
// three requests later.
const maxFatalArrivals = 8

// fatalInterval is the time between two requests with the fatal part.
const fatalInterval = 1500 * time.Millisecond

// sendFatal sends requests with a fatal part until they are rejected, and returns how many
// reached engines. before returns the parts of the nth request before the fatal one, and
// beside the requests that run at the engine of the nth one when it crashes. between is
// called after each crash.
func (f *testFleet) sendFatal(fatal string, before func(n int) []string, beside func(n int) []Request, between func(n int)) int {
	for n := range 4 * maxFatalArrivals {
		r := f.request(append(slices.Clone(before(n)), fatal)...)
		if f.isRejected(r) {
			return n
		}
		f.crash(append([]Request{r}, beside(n)...)...)
		f.advance(fatalInterval / 3)
		between(n)
		f.advance(fatalInterval - fatalInterval/3)
	}
	return 4 * maxFatalArrivals
}

func nothing(int) {}

// session has the sound requests of a caller, which share all parts but the fatal one.
type session struct {
	fleet *testFleet
	parts []string
}

// running returns sound requests that run at an engine when it crashes.
func (s session) running(n int) []Request {
	var requests []Request
	for range 3 {
		requests = append(requests, s.fleet.request(s.parts...))
	}
	return requests
}

// complete completes a sound request at one front.
func (s session) complete(n int) { s.fleet.complete(n, s.fleet.request(s.parts...)) }

// check reports a fatal part that is found late, and sound requests that are rejected.
func (f *testFleet) check(arrivals int, sound ...Request) {
	f.t.Helper()
	if arrivals > maxFatalArrivals {
		f.t.Errorf("%d requests with the fatal part reached engines, want %d at most", arrivals, maxFatalArrivals)
	}
	for _, r := range sound {
		if !f.isAdmitted(r) {
			f.t.Errorf("a sound request with %d parts is rejected; quarantined: %.200q", len(r.Parts), f.quarantined)
		}
	}
}
