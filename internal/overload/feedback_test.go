package overload

import (
	"testing"
	"time"
)

var testEstimate = Estimate{Expected: 50 * time.Millisecond, Work: 20 * time.Millisecond}

// meet lets requests have their first byte after the given time for a while, and returns the
// share of those that are refused in the last quarter of it.
func (b *bed) meet(e Estimate, first, during time.Duration) float64 {
	const interval = 20 * time.Millisecond
	refused, decided := 0.0, 0.0
	for passed := time.Duration(0); passed < during; passed += interval {
		b.now = b.now.Add(interval)
		b.Observe(testRequest(), e, first, true)
		v := b.Decide(testRequest(), e)
		if passed >= during*3/4 {
			decided++
			if v.Refused() {
				refused++
			}
		}
	}
	return refused / decided
}

// Guards against targets that have all become slow, which no estimate knows yet: every response is
// late, and nothing is refused.
func TestLateResponsesRefuseAGrowingShare(t *testing.T) {
	b := newBed()
	early := b.meet(testEstimate, time.Second, 2*testObjective)
	later := b.meet(testEstimate, time.Second, 8*testObjective)
	if early > 0.3 || later < 0.6 || later > 0.9 {
		t.Errorf("%.2f are refused at first and %.2f later, want few and then most, but not all", early, later)
	}
	if after := b.meet(testEstimate, testObjective/2, 8*testObjective); after > 0 {
		t.Errorf("%.2f are refused after the responses are in time again", after)
	}
}

// Guards against refusals at a service whose requests simply take long, and against those that
// a target accepts under its limit.
func TestLateResponsesMeanNothingWithoutAQueue(t *testing.T) {
	unknown := Estimate{Expected: 50 * time.Millisecond}
	if refused := newBed().meet(unknown, time.Second, 10*testObjective); refused > 0 {
		t.Errorf("%.2f are refused although the time for the requests themselves is not known", refused)
	}
	long := Estimate{Expected: time.Second, Work: 900 * time.Millisecond, Certain: true}
	if refused := newBed().meet(long, time.Second, 10*testObjective); refused > 0 {
		t.Errorf("%.2f are refused although they are late because of their size", refused)
	}
	b := newBed()
	b.meet(testEstimate, time.Second, 10*testObjective)
	limited := testEstimate
	limited.Limited = true
	if v := b.Decide(testRequest(), limited); v.Refused() {
		t.Errorf("a target with room under its limit gives %+v", v)
	}
}

// Guards against a queue that counts as short because a target has room under its limit now and
// then, while all others stay full.
func TestRoomUnderALimitDoesNotEndAQueue(t *testing.T) {
	b := newBed()
	refused := false
	for i := range 40 {
		b.now = b.now.Add(testObjective / 10)
		if i%3 == 0 {
			b.Decide(testRequest(), Estimate{Expected: 20 * time.Millisecond, Work: 20 * time.Millisecond, Limited: true, Certain: true})
			continue
		}
		refused = b.decide(testRequest(), time.Second).Reason == StandingQueue
	}
	if !refused {
		t.Error("the standing queue of the other targets refuses nothing")
	}
}

// Guards against second tries that make an overload worse: an engine that says nothing for as long
// as the others is not silent.
func TestSilenceThatOthersMeetCausesNoSecondTry(t *testing.T) {
	b := newBed()
	expected, left := 20*time.Millisecond, 2*time.Second
	if got := b.SilenceLimit(testRequest(), expected, left); got < 4*expected || got > testObjective/2 {
		t.Errorf("limit %v for an expected time of %v", got, expected)
	}
	b.Observe(testRequest(), testEstimate, 1500*time.Millisecond, true)
	if got := b.SilenceLimit(testRequest(), expected, left); got != 0 {
		t.Errorf("limit %v while others wait for 1.5 s, want no second try", got)
	}
}
