package placement

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/targetstate"
)

// swallowingFleet is fronts whose requests an engine swallows, all of them if every is 1,
// or one in a number.
type swallowingFleet struct {
	clock  *fakeClock
	fronts []*Placer
	bad    string
	every  int
	// got counts the requests that reached the bad engine, and swallowed those of them
	// that it did not answer.
	got, swallowed int
}

// run lets the fronts take turns with a request each every 20 ms. Sound engines answer
// after the expected time; callers leave after 2 s.
func (f *swallowingFleet) run(t *testing.T, requests int) {
	t.Helper()
	type flight struct {
		front  *Placer
		choice *Choice
		silent bool
	}
	var flights []flight
	for i := range requests {
		front := f.fronts[i%len(f.fronts)]
		request := sharedPrompt(uint64(i%4), uint64(i%30), uint64(i))
		request.Class = "route"
		c := mustChoose(t, front, request)
		silent := false
		if c.Target.ID == f.bad {
			f.got++
			if silent = f.got%f.every == 0; silent {
				f.swallowed++
			}
		}
		flights = append(flights, flight{front, c, silent})
		f.clock.advance(20 * time.Millisecond)
		exchangeHints(f.fronts)
		kept := flights[:0]
		for _, x := range flights {
			age := f.clock.now.Sub(x.choice.sentAt)
			switch {
			case !x.silent && age >= x.choice.Expected:
				completeRequest(x.front, x.choice)
			case x.silent && age >= 2*time.Second:
				x.front.Done(x.choice, Abandoned)
			default:
				kept = append(kept, x)
			}
		}
		flights = kept
	}
}

// Guards against an engine that swallows a part of its requests, looks idle and draws as
// many as before, from each front anew.
func TestEngineThatSwallowsRequestsDrawsFew(t *testing.T) {
	for _, every := range []int{1, 2, 3} {
		f := &swallowingFleet{clock: newFakeClock(), bad: "e0", every: every}
		for range 8 {
			f.fronts = append(f.fronts, newTestPlacer(f.clock, 9))
		}
		for _, p := range f.fronts {
			p.SetFrontCount(8, 8)
		}
		// 20 s.
		f.run(t, 1000)
		if f.swallowed > 14 {
			t.Errorf("one in %d is swallowed: %d of 1,000 requests to 9 engines, want at most 14", every, f.swallowed)
		}
	}
}

// Guards against a hint about the state of an earlier incarnation, and against a malformed
// one that changes anything.
func TestStateHintsOfOtherIncarnationsAndMalformedOnesAreIgnored(t *testing.T) {
	hint := func(started int64, kind uint16, values ...float32) []byte {
		target := testEngines(4, 1)["model"][0]
		target.Started = started
		b := binary.LittleEndian.AppendUint32(nil, stateHash(&target))
		b = binary.LittleEndian.AppendUint16(b, stateWork)
		b = append(binary.LittleEndian.AppendUint16(b, kind), 0, byte(len(values)))
		for _, v := range values {
			b = binary.LittleEndian.AppendUint32(b, math.Float32bits(v))
		}
		return b
	}
	ejected := uint16(targetstate.Ejected)
	for name, c := range map[string]struct {
		packet []byte
		want   bool
	}{
		"valid":               {hint(0, ejected, 1), true},
		"earlier incarnation": {hint(7, ejected, 1), false},
		"no value":            {hint(0, ejected), false},
		"two values":          {hint(0, ejected, 1, 1), false},
		"not a number":        {hint(0, ejected, float32(math.NaN())), false},
		"unknown kind":        {hint(0, 256+ejected, 1), false},
		"truncated":           {hint(0, ejected, 1)[:12], false},
	} {
		clock := newFakeClock()
		p := newTestPlacer(clock, 4)
		p.ApplyHints(c.packet)
		if got := p.services["model"].members[0].state.Ejected(clock.now); got != c.want {
			t.Errorf("%s: target ejected %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an urgent request that is kept away from an engine because another front
// has sent less urgent work there.
func TestHintsCarryThePriority(t *testing.T) {
	clock := newFakeClock()
	fronts := []*Placer{newTestPlacer(clock, 1), newTestPlacer(clock, 1)}
	work := sharedPrompt(1, 1, 1)
	work.Priority = 1
	mustChoose(t, fronts[0], work)
	exchangeHints(fronts)
	urgent, normal := sharedPrompt(2, 2, 2), sharedPrompt(3, 3, 3)
	normal.Priority = 1
	first := mustChoose(t, fronts[1], urgent)
	fronts[1].Done(first, Unused)
	if second := mustChoose(t, fronts[1], normal); second.Expected < first.Expected+100*time.Millisecond {
		t.Errorf("urgent request is expected after %v, another one after %v, want at least 100ms more", first.Expected, second.Expected)
	}
}

// Guards against work that the other fronts expect of an engine although its callers have
// left, and against a malformed hint that changes the backlog.
func TestWithdrawnWorkLeavesTheBacklogOfTheOtherFronts(t *testing.T) {
	clock := newFakeClock()
	fronts := []*Placer{newTestPlacer(clock, 1), newTestPlacer(clock, 1)}
	state := fronts[1].services["model"].members[0].state
	c := mustChoose(t, fronts[0], sharedPrompt(1, 1, 1))
	exchangeHints(fronts)
	if state.Backlog(clock.now, 0) < 100 {
		t.Fatal("the other front does not know of the work")
	}
	for _, value := range []float64{math.NaN(), math.Inf(1), -1000} {
		before := state.Backlog(clock.now, 0)
		fronts[0].queueStateHint(c.member, withdrawnKind, 0, value)
		exchangeHints(fronts)
		if after := state.Backlog(clock.now, 0); after != before {
			t.Errorf("withdrawn work of %v ms changes the backlog from %v to %v ms", value, before, after)
		}
	}
	fronts[0].Done(c, Abandoned)
	exchangeHints(fronts)
	if left := state.Backlog(clock.now, 0); left > 2 {
		t.Errorf("%v ms are left of withdrawn work", left)
	}
}

// Guards against ejections that make the other engines so busy that more requests fail
// than the ejected one would swallow.
func TestEjectedEngineIsUsedWhileTheOthersAreMuchBusier(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 4)
	members := p.services["model"].members
	members[0].state.Apply(clock.now, targetstate.Ejected, 1)
	if c := mustChoose(t, p, shortPrompt(1)); c.member == members[0] {
		t.Error("an ejected engine gets a request although others are idle")
	}
	for _, m := range members[1:] {
		m.addBacklog(clock.now, 0, 2*ejectedPenaltyMS)
	}
	if c := mustChoose(t, p, shortPrompt(2)); c.member != members[0] {
		t.Errorf("the ejected engine gets no request although all others are busy for more than %v ms", 2*ejectedPenaltyMS)
	}
}
