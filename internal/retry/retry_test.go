package retry

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Guards against a retry storm: in a full outage after a long healthy period,
// extra attempts must stay under 10% of the first attempts, however many each
// request asks for.
func TestExtraAttemptsInFullOutage(t *testing.T) {
	b := NewBudgets()
	for range 10_000 {
		b.RecordSuccess("yards", "gutachter")
	}
	const first, attempts = 400, 3
	extra := 0
	for range first {
		for range attempts - 1 {
			if b.Allow("yards", "gutachter") {
				extra++
			}
		}
	}
	if extra >= first/10 {
		t.Errorf("%d extra attempts allowed for %d requests, want under 10%%", extra, first)
	}
	if !b.Allow("dispatch", "gutachter") {
		t.Error("the outage used up the budget of another workspace")
	}
}

// testClock is a clock that a test sets.
type testClock struct{ now time.Time }

func (c *testClock) time() time.Time { return c.now }

func engine(id string, incarnation uint64) *target.Target {
	return &target.Target{Announcement: target.Announcement{ID: id, Incarnation: incarnation, Model: "gutachter"}}
}

func attempt(h *Health, t *target.Target, err error, firstToken time.Duration) {
	h.Begin(t)
	h.End(t, serving.AttemptResult{Err: err, FirstToken: firstToken})
}

// Guards against sending requests to a failing target, never using it again
// after it recovers, and overloading it when it recovers.
func TestBreaker(t *testing.T) {
	clock := &testClock{now: time.Unix(1, 0)}
	h := NewHealth(clock.time)
	e := engine("e1", 1)
	broken := errors.New("broken")
	for range failureThreshold {
		if !h.Usable(e.Ref()) {
			t.Fatal("the breaker opened before failureThreshold failures")
		}
		attempt(h, e, broken, 0)
	}
	if h.Usable(e.Ref()) {
		t.Error("the target is usable after failureThreshold failures")
	}
	clock.now = clock.now.Add(initialOpenTime)
	if !h.Usable(e.Ref()) {
		t.Error("no probe is allowed after the open time of the breaker")
	}
	h.Begin(e)
	if h.Usable(e.Ref()) {
		t.Error("a second probe is allowed during the first")
	}
	h.End(e, serving.AttemptResult{Err: broken})
	clock.now = clock.now.Add(initialOpenTime)
	if h.Usable(e.Ref()) {
		t.Error("the open time did not grow after a failed probe")
	}
	clock.now = clock.now.Add(initialOpenTime)
	attempt(h, e, nil, time.Millisecond)
	early := h.Penalty(e.Ref())
	clock.now = clock.now.Add(slowStartTime / 2)
	late := h.Penalty(e.Ref())
	if !h.Usable(e.Ref()) || early != slowStartPenalty || late != slowStartPenalty/2 {
		t.Errorf("slow start: penalties %s and %s", early, late)
	}
	if !h.Usable(engine("e1", 2).Ref()) {
		t.Error("a new incarnation inherited the breaker")
	}
}

// Guards against breakers that open on errors that are not the fault of the
// target, and against many attempts to dial a target that refuses connections.
func TestBreakerOpensOnTargetFailuresOnly(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		times int
		open  bool
	}{
		"refused dial":     {&serving.DialError{Err: errors.New("refused")}, dialFailureThreshold, true},
		"stall":            {serving.ErrStalled, failureThreshold, true},
		"bad request":      {&serving.StatusError{Status: 400}, 100, false},
		"overload":         {&serving.StatusError{Status: 429}, 100, false},
		"abandoned":        {serving.ErrAbandoned, 100, false},
		"caller gone":      {serving.ErrCallerDisconnected, 100, false},
		"server error":     {&serving.StatusError{Status: 500}, failureThreshold, true},
		"a single failure": {serving.ErrStalled, 1, false},
	} {
		h := NewHealth((&testClock{now: time.Unix(1, 0)}).time)
		for range c.times {
			attempt(h, engine("e1", 1), c.err, 0)
		}
		if open := !h.Usable(engine("e1", 1).Ref()); open != c.open {
			t.Errorf("%s: breaker open: %t", name, open)
		}
	}
}

// Guards against one slow target that determines the tail latency of all
// requests.
func TestOutlier(t *testing.T) {
	h := NewHealth((&testClock{now: time.Unix(1, 0)}).time)
	for range minSamples {
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			attempt(h, engine(id, 1), nil, 100*time.Millisecond)
		}
		attempt(h, engine("slow", 1), nil, time.Second)
	}
	if p := h.Penalty(engine("slow", 1).Ref()); p < 800*time.Millisecond {
		t.Errorf("penalty of the slow target: %s, want at least 800ms", p)
	}
	if p := h.Penalty(engine("e1", 1).Ref()); p != 0 {
		t.Errorf("penalty of a normal target: %s, want 0", p)
	}
}

// BenchmarkPenalty measures the queries that routing makes for all targets of a
// view, here 600. A view is rebuilt every 20 ms.
func BenchmarkPenalty(b *testing.B) {
	const targets = 600
	h := NewHealth(time.Now)
	all := make([]*target.Target, targets)
	for i := range all {
		all[i] = engine(strconv.Itoa(i), 1)
		for range minSamples {
			attempt(h, all[i], nil, 100*time.Millisecond)
		}
	}
	for b.Loop() {
		for _, t := range all {
			if h.Usable(t.Ref()) {
				h.Penalty(t.Ref())
			}
		}
	}
}
