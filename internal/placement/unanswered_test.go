package placement

import (
	"testing"
	"time"
)

// Guards against waits that no response ended and whose cause cannot be told afterwards.
func TestEndWithoutFirstByteNamesItsCause(t *testing.T) {
	for _, c := range []struct {
		want   Cause
		waited time.Duration
		before func(p *Placer)
	}{
		{CauseEarly, time.Millisecond, func(*Placer) {}},
		{CauseQueue, 2 * time.Second, func(*Placer) {}},
		{CauseSilent, 2 * time.Second, func(p *Placer) { completeRequest(p, mustChoose(t, p, shortPrompt(2))) }},
		{CauseLimit, 2 * time.Second, func(p *Placer) { p.services["model"].members[0].admission.limited = true }},
		{CauseStop, 2 * time.Second, func(p *Placer) { p.Stopping = func() bool { return true } }},
	} {
		clock := newFakeClock()
		p := newTestPlacer(clock, 1)
		counted := Cause(255)
		p.OnUnanswered = func(_ time.Duration, cause Cause) { counted = cause }
		choice := mustChoose(t, p, shortPrompt(1))
		clock.advance(time.Millisecond)
		c.before(p)
		clock.advance(c.waited)
		p.Done(choice, Abandoned)
		u := choice.Unanswered
		if u == nil || u.Cause != c.want || counted != c.want || u.Waited < c.waited {
			t.Errorf("got %+v and counted %v, want the cause %v after %v", u, counted, c.want, c.waited)
		}
	}
}

// Guards against a histogram of first bytes that misses responses or counts them twice.
func TestFirstByteIsReportedOnceWithItsExpectation(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 1)
	reported := 0
	p.OnFirstByte = func(expected, actual time.Duration) {
		reported++
		if expected <= 0 || actual != 70*time.Millisecond {
			t.Errorf("reported %v instead of the expected %v, want 70ms", actual, expected)
		}
	}
	c := mustChoose(t, p, shortPrompt(1))
	clock.advance(70 * time.Millisecond)
	p.RecordFirstByte(c)
	p.RecordFirstByte(c)
	p.Done(c, Completed)
	if reported != 1 || c.Unanswered != nil {
		t.Errorf("first byte was reported %d times, and as missing: %v", reported, c.Unanswered)
	}
}
