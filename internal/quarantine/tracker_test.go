package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// crash records the crash of an engine at a number of seconds, with a request of its own
// for the parts.
func crash(t *Tracker, engine string, seconds float64, parts ...string) {
	key := RequestKey(fmt.Sprint(engine, " ", seconds, " ", parts))
	crashOf(t, engine, seconds, BrokenRequest{Key: key, Parts: brokenParts(parts)})
}

// crashOf records the crash of an engine that ran the requests.
func crashOf(t *Tracker, engine string, seconds float64, requests ...BrokenRequest) {
	at := time.Duration(seconds * float64(time.Second))
	t.RecordCrash(at, Crash{Engine: engine, At: at, Requests: requests})
}

// request returns a broken request.
func request(digest string, parts ...string) BrokenRequest {
	return BrokenRequest{Key: RequestKey(digest), Parts: brokenParts(parts)}
}

// resent returns a broken request that was sent after another crash with it.
func resent(digest string, parts ...string) BrokenRequest {
	r := request(digest, parts...)
	r.Resent = true
	return r
}

// Guards against a part that crashes engines and is not found, and against the
// quarantine of parts for another reason: all crashes at the same time, a completed
// request in between, too few crashes, or crashes that another part explains.
func TestDue(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	tests := []struct {
		name   string
		record func(t *Tracker)
		want   []string
	}{
		{"four crashes", func(t *Tracker) {
			for i := range 4 {
				crash(t, fmt.Sprint(i), float64(i), "fatal")
			}
		}, []string{"fatal"}},
		{"three crashes", func(t *Tracker) {
			for i := range 3 {
				crash(t, fmt.Sprint(i), float64(i), "part")
			}
		}, nil},
		{"a rack of engines is lost", func(t *Tracker) {
			for i := range 8 {
				crash(t, fmt.Sprint(i), 1+float64(i)/100, "part")
			}
		}, nil},
		{"an engine that crashes again before it has registered", func(t *Tracker) {
			for i := range 4 {
				crash(t, "engine", float64(i)*sameCrashTime.Seconds()-15, "fatal")
			}
		}, []string{"fatal"}},
		{"one engine, seen by several fronts", func(t *Tracker) {
			for i := range 8 {
				crash(t, "engine", 1+float64(i)/2, "part")
			}
		}, nil},
		{"a completed request in between", func(t *Tracker) {
			for i := range 6 {
				crash(t, fmt.Sprint(i), float64(i), "part")
			}
			t.RecordCompletion(seconds(5), Completion{"part", seconds(4.5)})
		}, nil},
		{"a completed request before the first crash", func(t *Tracker) {
			for i := range 4 {
				crash(t, fmt.Sprint(i), float64(i+1), "fatal")
			}
			t.RecordCompletion(seconds(5), Completion{"fatal", seconds(0.5)})
		}, []string{"fatal"}},
		{"a part of the same requests", func(t *Tracker) {
			for i := range 5 {
				crash(t, fmt.Sprint(i), float64(i), "fatal")
				if i > 0 {
					crash(t, fmt.Sprint(i), float64(i), "other")
				}
			}
		}, []string{"fatal"}},
		{"a part of other requests in the same crashes", func(t *Tracker) {
			for i := range 5 {
				crash(t, fmt.Sprint(i), float64(i), "fatal")
				crash(t, fmt.Sprint(i), float64(i), "other")
			}
		}, nil},
		{"parts that cannot be told apart", func(t *Tracker) {
			for i := range maxTiedCrashes {
				crash(t, fmt.Sprint(i), float64(i)/2, "fatal")
				crash(t, fmt.Sprint(i), float64(i)/2, "other")
			}
		}, []string{"fatal", "other"}},
		{"a part that follows another one in the same prompts", func(t *Tracker) {
			for i := range minPartCrashes {
				crash(t, fmt.Sprint(i), float64(i), "common", "topic", "fatal")
			}
		}, []string{"fatal"}},
		{"a part whose sound requests were in one more crash", func(t *Tracker) {
			for i := range minPartCrashes {
				crash(t, fmt.Sprint(i), float64(i)/2, "topic", "fatal")
			}
			crash(t, "4", 4, "topic")
		}, []string{"fatal"}},
		{"a part that different ones follow", func(t *Tracker) {
			for i := range 8 {
				crash(t, fmt.Sprint(i), float64(i)/2, "fatal", fmt.Sprint("topic-", i%2))
			}
		}, []string{"fatal"}},
		{"two parts in different requests", func(t *Tracker) {
			for i := range 8 {
				crash(t, fmt.Sprint(i), float64(i)/2, []string{"fatal-1", "fatal-2"}[i%2])
			}
		}, []string{"fatal-1", "fatal-2"}},
		{"old crashes", func(t *Tracker) {
			for i := range 4 {
				crash(t, fmt.Sprint(i), float64(i)-evidenceLifetime.Seconds(), "part")
			}
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker()
			tt.record(tracker)
			if got := tracker.Due(seconds(6)); !slices.Equal(got, tt.want) {
				t.Errorf("due %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a quarantine before the fronts could report completed requests.
func TestSuspectIsNotQuarantinedAtOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range 4 {
		crash(tracker, fmt.Sprint(i), 1+float64(i)*distinctCrashTime.Seconds(), "part")
	}
	if got := tracker.Suspects(2 * time.Second); !slices.Equal(got, []string{"part"}) {
		t.Errorf("suspects %q, want the part", got)
	}
	if got := tracker.Due(1600 * time.Millisecond); got != nil {
		t.Errorf("due %q 400 ms after the second crash, want none", got)
	}
}

// Guards against a sound part that stays quarantined, and a fatal one that is not found
// because of it: the sound part was in as many crashes at first.
func TestMistakeIsCorrected(t *testing.T) {
	tracker := NewTracker()
	for i := range 4 {
		crash(tracker, fmt.Sprint(i), float64(i), "sound")
		if i > 0 {
			crash(tracker, fmt.Sprint(i), float64(i), "fatal")
		}
	}
	if got := tracker.Due(5 * time.Second); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("due %q, want the part that was in most crashes", got)
	}
	tracker.SetQuarantined([]string{"sound"})
	if got := tracker.Due(6 * time.Second); got != nil {
		t.Errorf("due %q without a further crash, want none", got)
	}
	crash(tracker, "0", 0, "fatal")
	for i := 4; i < 6; i++ {
		crash(tracker, fmt.Sprint(i), float64(i)+3, "fatal")
	}
	if got := tracker.Due(9 * time.Second); !slices.Equal(got, []string{"fatal"}) {
		t.Errorf("due %q after further crashes, want the fatal part", got)
	}
	tracker.SetQuarantined([]string{"fatal", "sound"})
	if got := tracker.Released(); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("released %q, want the sound part", got)
	}
}

// Guards against a sound part that stays quarantined because it always followed a fatal one
// at first, and against a fatal part that is found late because of it.
func TestPartThatFollowsAFatalOneIsReleased(t *testing.T) {
	tracker := NewTracker()
	for i := range minPartCrashes {
		crash(tracker, fmt.Sprint(i), float64(i), "fatal", "sound")
	}
	if got := tracker.Due(4 * time.Second); !slices.Equal(got, []string{"sound"}) {
		t.Fatalf("due %q, want the part at the highest position", got)
	}
	tracker.SetQuarantined([]string{"sound"})
	crash(tracker, "4", 5, "fatal", "other")
	if got := tracker.Due(5 * time.Second); !slices.Equal(got, []string{"fatal"}) {
		t.Fatalf("due %q after a crash without the quarantined part, want the fatal one", got)
	}
	tracker.SetQuarantined([]string{"fatal", "sound"})
	if got := tracker.Released(); !slices.Equal(got, []string{"sound"}) {
		t.Errorf("released %q, want the sound part", got)
	}
}

// Guards against crashes of an engine that came back under its old name, and crashed again
// before the fronts knew its new start, taken for one crash.
func TestEngineThatIsBackCrashesAgain(t *testing.T) {
	tracker := NewTracker()
	for i := range minRequestCrashes {
		at := 1 + float64(i)*1.1
		crashOf(tracker, "engine", at, sentLater("fatal", at-0.1))
		// A front that notices the crash later has sent its request before it.
		crashOf(tracker, "engine", at+0.9, sentLater("sound", at-0.1))
	}
	if got := tracker.Due(6 * time.Second); !slices.Contains(got, RequestKey("fatal")) {
		t.Errorf("due %q, want the fatal request", got)
	}
	if got := distinctCrashes(tracker.suspects[RequestKey("sound")].sightings); got != minRequestCrashes {
		t.Errorf("the request beside it was in %d crashes, want %d", got, minRequestCrashes)
	}
	if got := len(tracker.crashes["engine"]); got != minRequestCrashes {
		t.Errorf("%d crashes are told apart, want %d", got, minRequestCrashes)
	}
}

// Guards against crashes that count for other parts although a quarantined part, of a
// request that was sent before, has caused them.
func TestCrashOfAQuarantinedPartCountsForNoOther(t *testing.T) {
	tracker := NewTracker()
	tracker.SetQuarantined([]string{"fatal"})
	for i := range 6 {
		engine := fmt.Sprint(i)
		// The front that does not see the fatal request reports first at every
		// second engine.
		if i%2 == 0 {
			crash(tracker, engine, float64(i), "part")
		}
		crash(tracker, engine, float64(i), "fatal", "part")
		crash(tracker, engine, float64(i), "part")
	}
	if got := tracker.Due(8 * time.Second); got != nil {
		t.Errorf("due %q, want none", got)
	}
}

// Guards against memory that grows with the parts of prompts.
func TestTrackedPartsAreLimited(t *testing.T) {
	tracker := NewTracker()
	for i := range 5 {
		crash(tracker, fmt.Sprint(i), float64(i), "fatal")
	}
	for i := range maxFirstSightings + 1000 {
		crash(tracker, "engine", 10, fmt.Sprint(i))
	}
	for i := range maxTrackedParts + 1000 {
		crash(tracker, "a", 9, fmt.Sprint("twice-", i))
		crash(tracker, "b", 10, fmt.Sprint("twice-", i))
	}
	if n := len(tracker.first.parts); n > maxFirstSightings {
		t.Errorf("%d parts that were in one crash are tracked, want %d at most", n, maxFirstSightings)
	}
	if n := tracker.partCount; n > maxTrackedParts {
		t.Errorf("%d parts that were in several crashes are tracked, want %d at most", n, maxTrackedParts)
	}
	if n := len(tracker.suspects) - tracker.partCount; n > maxTrackedRequests {
		t.Errorf("%d requests are tracked, want %d at most", n, maxTrackedRequests)
	}
	if got := tracker.Due(11 * time.Second); !slices.Equal(got, []string{"fatal"}) {
		t.Errorf("due %q, want the part with the most crashes", got)
	}
}

// sentLater returns a broken request that was sent at a number of seconds.
func sentLater(digest string, seconds float64) BrokenRequest {
	r := request(digest)
	r.SentAt = time.Duration(seconds * float64(time.Second))
	return r
}

// fleetRun is a simulated fleet of fronts and engines under prompts of which some have a
// fatal part.
type fleetRun struct {
	rand    *rand.Rand
	tracker *Tracker
	// running maps each engine to its requests; each request is the list of its parts.
	running     map[int][][]string
	incarnation map[int]int
	downUntil   map[int]time.Duration
	crashes     int
}

const (
	simulatedStep = 10 * time.Millisecond
	// checkInterval is the time between two checks of the evidence.
	checkInterval = 100 * time.Millisecond
)

// step starts and ends requests, and crashes the engines that begin to answer a fatal one.
func (f *fleetRun) step(now time.Duration, fatalShare float64) {
	const engines = 9
	engine := f.rand.IntN(engines)
	if now < f.downUntil[engine] {
		return
	}
	parts := []string{"common", fmt.Sprint("topic-", int(120*f.rand.Float64()*f.rand.Float64()))}
	if f.rand.Float64() < fatalShare {
		parts = append(parts, "fatal")
	}
	if f.tracker.quarantined["fatal"] && len(parts) == 3 {
		return
	}
	requests := append(f.running[engine], parts)
	// An engine answers a request after a second.
	if len(requests) > 11 {
		answered := requests[0]
		requests = requests[1:]
		if len(answered) == 3 {
			f.crash(now, engine, append(requests, answered))
			return
		}
		for _, part := range answered {
			f.tracker.RecordCompletion(now, Completion{part, now})
		}
	}
	f.running[engine] = requests
}

// crash ends the requests at an engine. Each front reports its own.
func (f *fleetRun) crash(now time.Duration, engine int, requests [][]string) {
	const fronts = 8
	f.crashes++
	id := fmt.Sprintf("%d/%d", engine, f.incarnation[engine])
	seen := make([][]BrokenRequest, fronts)
	for i, parts := range requests {
		front := f.rand.IntN(fronts)
		seen[front] = append(seen[front], request(fmt.Sprint(id, " ", i), parts...))
	}
	for _, requests := range seen {
		f.tracker.RecordCrash(now, Crash{Engine: id, At: now, Requests: requests})
	}
	f.running[engine] = nil
	f.incarnation[engine]++
	f.downUntil[engine] = now + 3*time.Second
}

// Load pattern: requests of one kind crash one engine after the other while many sound
// requests run at the same engines. Guards against parts that are found too late or not
// at all, and against sound parts that are quarantined with them.
func TestFatalPartIsFoundAmongSoundOnes(t *testing.T) {
	for seed := range uint64(50) {
		for _, share := range []float64{0.01, 0.05, 0.2} {
			f := &fleetRun{
				rand: rand.New(rand.NewPCG(seed, 0)), tracker: NewTracker(), running: make(map[int][][]string),
				incarnation: make(map[int]int), downUntil: make(map[int]time.Duration),
			}
			var quarantined []string
			for now := time.Second; now < 60*time.Second; now += simulatedStep {
				f.step(now, share)
				if now%checkInterval == 0 {
					quarantined = append(quarantined, f.tracker.Due(now)...)
					f.tracker.SetQuarantined(quarantined)
				}
			}
			if len(quarantined) != 1 || quarantined[0] != "fatal" {
				t.Errorf("seed %d, share %v: quarantined %q after %d crashes, want the fatal part", seed, share, quarantined, f.crashes)
			}
		}
	}
}
