package retry

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Guards against a retry storm: in a full outage after a long healthy time the
// extra attempts must stay under 10% of the first attempts, however often
// each request asks.
func TestExtraAttemptsInFullOutage(t *testing.T) {
	b := NewBudgets()
	for range 10_000 {
		b.Finished("yards", "gutachter")
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
		t.Errorf("%d extra attempts for %d requests", extra, first)
	}
	if !b.Allow("dispatch", "gutachter") {
		t.Error("the outage took the budget of another workspace")
	}
}

// testClock is a clock that tests move.
type testClock struct{ now time.Time }

func (c *testClock) time() time.Time { return c.now }

func engine(id string, incarnation uint64) *target.Target {
	return &target.Target{Announcement: target.Announcement{ID: id, Incarnation: incarnation, Model: "gutachter"}}
}

func attempt(h *Health, t *target.Target, err error, first time.Duration) {
	h.Begin(t)
	h.End(t, serving.AttemptResult{Err: err, FirstToken: first})
}

// Guards against targets that get work while they fail, that never come back,
// or that are flooded when they do.
func TestBreaker(t *testing.T) {
	clock := &testClock{now: time.Unix(1, 0)}
	h := NewHealth(clock.time)
	e := engine("e1", 1)
	broken := errors.New("broken")
	for range failuresInRow {
		if !h.Usable(e.Ref()) {
			t.Fatal("closed too early")
		}
		attempt(h, e, broken, 0)
	}
	if h.Usable(e.Ref()) {
		t.Error("usable after failures")
	}
	clock.now = clock.now.Add(firstOpen)
	if !h.Usable(e.Ref()) {
		t.Error("no probe after the breaker's time")
	}
	h.Begin(e)
	if h.Usable(e.Ref()) {
		t.Error("a second probe beside the first")
	}
	h.End(e, serving.AttemptResult{Err: broken})
	clock.now = clock.now.Add(firstOpen)
	if h.Usable(e.Ref()) {
		t.Error("the breaker's time did not grow after a failed probe")
	}
	clock.now = clock.now.Add(firstOpen)
	attempt(h, e, nil, time.Millisecond)
	early := h.Penalty(e.Ref())
	clock.now = clock.now.Add(slowReturn / 2)
	late := h.Penalty(e.Ref())
	if !h.Usable(e.Ref()) || early != returnPenalty || late != returnPenalty/2 {
		t.Errorf("slow return: penalties %s and %s", early, late)
	}
	if !h.Usable(engine("e1", 2).Ref()) {
		t.Error("a new incarnation inherited the breaker")
	}
}

// Guards against breakers that open by what is no fault of the target, and
// against a refused dial that is tried for long.
func TestWhatOpensBreakers(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		times int
		open  bool
	}{
		"refused dial":     {&serving.DialError{Err: errors.New("refused")}, dialFailures, true},
		"stall":            {serving.ErrStalled, failuresInRow, true},
		"bad request":      {&serving.StatusError{Status: 400}, 100, false},
		"overload":         {&serving.StatusError{Status: 429}, 100, false},
		"abandoned":        {serving.ErrAbandoned, 100, false},
		"caller gone":      {serving.ErrCallerGone, 100, false},
		"server error":     {&serving.StatusError{Status: 500}, failuresInRow, true},
		"a single failure": {serving.ErrStalled, 1, false},
	} {
		h := NewHealth((&testClock{now: time.Unix(1, 0)}).time)
		for range c.times {
			attempt(h, engine("e1", 1), c.err, 0)
		}
		if open := !h.Usable(engine("e1", 1).Ref()); open != c.open {
			t.Errorf("%s: open %t", name, open)
		}
	}
}

// Guards against one slow target that sets the tail of all requests.
func TestOutlier(t *testing.T) {
	h := NewHealth((&testClock{now: time.Unix(1, 0)}).time)
	for range minSamples {
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			attempt(h, engine(id, 1), nil, 100*time.Millisecond)
		}
		attempt(h, engine("slow", 1), nil, time.Second)
	}
	if p := h.Penalty(engine("slow", 1).Ref()); p < 800*time.Millisecond {
		t.Errorf("penalty of the slow target: %s", p)
	}
	if p := h.Penalty(engine("e1", 1).Ref()); p != 0 {
		t.Errorf("penalty of a usual target: %s", p)
	}
}

// BenchmarkPenalty measures what routing asks for every target of a view. At
// 600 targets a view is rebuilt every 20 ms.
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
