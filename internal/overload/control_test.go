package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const testObjective = 500 * time.Millisecond

// bed is a Control with a clock that the test advances.
type bed struct {
	*Control
	now time.Time
}

func newBed() *bed {
	b := &bed{now: time.Unix(1000, 0)}
	b.Control = New(func() time.Time { return b.now }, rand.New(rand.NewPCG(1, 1)).Float64)
	return b
}

func testRequest() Request {
	return Request{Service: "s", Workspace: "w", Objective: testObjective, Patience: 2 * time.Second, TimeLeft: 15 * time.Second}
}

// decide decides about a request that waits in a queue and takes 20 ms by itself.
func (b *bed) decide(r Request, wait time.Duration) Verdict {
	return b.Decide(r, Estimate{Expected: wait + 20*time.Millisecond, Work: 20 * time.Millisecond, Certain: true})
}

// overloaded returns a bed whose queue has been long for a while.
func overloaded(t *testing.T) *bed {
	b := newBed()
	for range 10 {
		b.now = b.now.Add(testObjective / 5)
		b.decide(testRequest(), time.Second)
	}
	if v := b.decide(testRequest(), time.Second); v.Reason != StandingQueue {
		t.Fatalf("a standing queue of 1 s gives %+v", v)
	}
	return b
}

// Guards against refusals because of a short burst, which costs only the requests in it, and of
// an estimate that nothing supports.
func TestShortOrUncertainQueueRefusesNothing(t *testing.T) {
	b := newBed()
	for range 40 {
		b.now = b.now.Add(testObjective / 5)
		if v := b.Decide(testRequest(), Estimate{Expected: 3 * time.Second}); v.Reason != Admitted {
			t.Fatalf("an uncertain estimate gives %+v", v)
		}
	}
	for burst := range 10 {
		for range 4 {
			b.now = b.now.Add(testObjective / 5)
			if v := b.decide(testRequest(), time.Second); v.Reason != Admitted {
				t.Fatalf("burst %d of less than an objective gives %+v", burst, v)
			}
		}
		b.now = b.now.Add(testObjective / 5)
		b.decide(testRequest(), 0)
	}
}

// Guards against a queue that stays as long as callers bear, in which all requests are late, and
// against refusals after it has gone.
func TestStandingQueueIsShortened(t *testing.T) {
	b := overloaded(t)
	if v := b.decide(testRequest(), testObjective/4); v.Reason != Admitted {
		t.Errorf("a request that begins in time gives %+v", v)
	}
	for range 30 {
		b.now = b.now.Add(testObjective / 5)
		b.decide(testRequest(), 0)
	}
	if v := b.decide(testRequest(), time.Second); v.Reason != Admitted {
		t.Errorf("the first long wait after a calm time gives %+v", v)
	}
}

// Guards against a request that is sent although its caller will have left, and against one
// whose wait so far is forgotten.
func TestWaitBeyondPatienceIsRefused(t *testing.T) {
	b := newBed()
	r := testRequest()
	if v := b.decide(r, 1900*time.Millisecond); v.Reason != Admitted {
		t.Errorf("a wait within the patience gives %+v", v)
	}
	r.Waited = 200 * time.Millisecond
	if v := b.decide(r, 1900*time.Millisecond); v.Reason != BeyondPatience || v.Limit != 1800*time.Millisecond {
		t.Errorf("a wait beyond the patience gives %+v", v)
	}
}

// Guards against an estimate that no request checks any more once it refuses them all.
func TestProbesCheckTheEstimate(t *testing.T) {
	b := newBed()
	probes := 0
	const seconds = 20
	for range 50 * seconds {
		b.now = b.now.Add(time.Second / 50)
		if v := b.decide(testRequest(), 5*time.Second); v.Reason == Probe {
			probes++
		}
	}
	if probes < seconds/2 || probes > seconds {
		t.Errorf("%d probes in %d s, want about one a second", probes, seconds)
	}
}

// Guards against callers that are told to wait longer than they do, that return before the queue
// is short, or that return together.
func TestRetryAfterIsTrueAndSpread(t *testing.T) {
	for _, c := range []struct{ wait, left, from, to time.Duration }{
		{2500 * time.Millisecond, 15 * time.Second, 520 * time.Millisecond, 5 * time.Second},
		{20 * time.Second, 6 * time.Second, time.Second, 2 * time.Second},
	} {
		distinct := make(map[string]bool)
		b := newBed()
		for range 40 {
			r := testRequest()
			r.TimeLeft = c.left
			v := b.decide(r, c.wait)
			if v.Reason != BeyondPatience || v.RetryAfter < c.from || v.RetryAfter > c.to {
				t.Errorf("wait of %v, %v left: %+v, want a retry after %v to %v", c.wait, c.left, v, c.from, c.to)
			}
			distinct[v.RetryAfter.Round(time.Millisecond).String()] = true
		}
		if len(distinct) < 30 {
			t.Errorf("%d different times for 40 refusals", len(distinct))
		}
	}
}

// Guards against requests that are served while those of a lower rank are refused, and against a
// rank or a workspace that gets nothing in a long overload.
func TestHigherRanksAreRefusedFirstButNotStarved(t *testing.T) {
	const urgent, later = 0, 1
	b := newBed()
	var offered, served [2]int
	workspaces := make(map[string]int)
	// Requests of both ranks find the same queue, which each of them makes longer.
	wait := time.Second
	for i := range 6000 {
		b.now = b.now.Add(5 * time.Millisecond)
		wait = max(wait-5*time.Millisecond, 0)
		r := testRequest()
		r.Rank, r.Workspace = i%2, fmt.Sprint(i%3)
		offered[r.Rank]++
		if v := b.decide(r, wait); !v.Refused() {
			served[r.Rank]++
			workspaces[r.Workspace]++
			wait += 8 * time.Millisecond
		}
	}
	share := func(p int) float64 { return float64(served[p]) / float64(offered[p]) }
	if share(urgent) <= share(later) || share(later) < share(urgent)/4 {
		t.Errorf("%.2f of the urgent requests are served, and %.2f of the others", share(urgent), share(later))
	}
	for name, n := range workspaces {
		if n < (served[0]+served[1])/6 {
			t.Errorf("workspace %s has %d of %d served requests", name, n, served[0]+served[1])
		}
	}
}

// Guards against refusals at a VM with few requests, where two that find a long queue, or two
// late responses, are far apart.
func TestFewRequestsAreNoStandingQueue(t *testing.T) {
	b := newBed()
	r := testRequest()
	for i := range 2 {
		if v := b.decide(r, testObjective); v.Reason != Admitted {
			t.Fatalf("request %d gives %+v", i, v)
		}
		b.Observe(r, Estimate{Expected: testObjective, Work: 20 * time.Millisecond, Certain: true}, 2*testObjective, true)
		b.now = b.now.Add(2 * testObjective)
	}
	for i := range 20 {
		if v := b.decide(r, testObjective/4); v.Reason != Admitted {
			t.Fatalf("request %d after two late ones gives %+v", i, v)
		}
	}
}
