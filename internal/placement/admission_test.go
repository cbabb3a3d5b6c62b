package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// toleratedRequests returns how many requests within limitWindow a target with a limit
// tolerates: half more than the limit allows, and five.
func toleratedRequests(limit float64) float64 { return 1.5*limit*limitWindow.Seconds() + 5 }

// limitedFleet is a number of VMs that place requests at two targets, the first of which
// has a limit.
type limitedFleet struct {
	now    time.Time
	vms    []*Placer
	random *rand.Rand
	// visible is the number of VMs that exchange hints with each other.
	visible int
	// sent is when requests were placed at the target with the limit.
	sent []time.Time
}

var limitedTargets = map[string][]Target{"s": {{ID: "limited", Zone: "z", Region: "r"}, {ID: "other", Zone: "z", Region: "far"}}}

func newLimitedFleet(vms, visible int, seed uint64) *limitedFleet {
	f := &limitedFleet{now: time.Unix(1000, 0), visible: visible, random: rand.New(rand.NewPCG(seed, 1))}
	for range vms {
		p := New("z", "r", func() time.Time { return f.now })
		p.random = f.random.Float64
		p.SetFrontCount(vms, visible)
		p.Update(limitedTargets)
		f.vms = append(f.vms, p)
	}
	return f
}

// place places a request of a VM. The target with the limit names it in its response.
func (f *limitedFleet) place(p *Placer, limit float64) {
	c, _ := p.Choose(Request{Service: "s"})
	if c != nil && c.Target.ID == "limited" {
		f.sent = append(f.sent, f.now)
		p.RecordNotice(c, Notice{Limit: limit, HasLimit: true})
	}
	if c != nil {
		p.Done(c, Completed)
	}
}

// run lets each VM place requests at the given mean rate.
func (f *limitedFleet) run(d time.Duration, limit, perSecond float64) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, p := range f.vms {
			if f.random.Float64() < perSecond*step.Seconds() {
				f.place(p, limit)
			}
		}
		f.exchangeHints()
	}
}

// exchangeHints passes the hints of each VM to those of its group.
func (f *limitedFleet) exchangeHints() {
	for n, p := range f.vms {
		group := n / f.visible * f.visible
		for _, packet := range p.TakeHints() {
			for other := group; other < min(group+f.visible, len(f.vms)); other++ {
				if other != n {
					f.vms[other].ApplyHints(packet)
				}
			}
		}
	}
}

// mostInWindow returns the highest number of requests in a window of limitWindow that
// starts at from or later.
func (f *limitedFleet) mostInWindow(from time.Time) int {
	most, first := 0, 0
	for last, at := range f.sent {
		for f.sent[first].Before(from) && first < last || at.Sub(f.sent[first]) > limitWindow {
			first++
		}
		if !f.sent[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against a target in need that gets more requests from all VMs together than
// the limit that it has named allows: with few and many VMs, after idle times, when VMs
// restart, when the limit changes, and without any message between the VMs (LIMIT).
func TestAllVMsTogetherStayWithinTheLimitOfATarget(t *testing.T) {
	const seeds = uint64(2)
	for _, fleet := range []fleet{
		{fronts: 1, visible: 1}, {fronts: 3, visible: 1}, {fronts: 3, visible: 3}, {fronts: 8, visible: 8},
		{fronts: 24, visible: 1}, {fronts: 24, visible: 24}, {fronts: 120, visible: 1}, {fronts: 120, visible: 40},
	} {
		for _, limit := range []float64{0, 0.3, 1, 2.6, 10, 80} {
			t.Run(fmt.Sprintf("%d VMs, %d visible, limit %v", fleet.fronts, fleet.visible, limit), func(t *testing.T) {
				for seed := range seeds {
					f := newLimitedFleet(fleet.fronts, fleet.visible, seed)
					demand := max(4*limit/float64(fleet.fronts), 2)
					for _, p := range f.vms {
						c, _ := p.Choose(Request{Service: "s"})
						p.RecordNotice(c, Notice{Limit: limit, HasLimit: true})
						completeRequest(p, c)
					}
					started := f.now
					f.run(12*time.Second, limit, demand)
					f.now = f.now.Add(15 * time.Second)
					f.run(6*time.Second, limit, 10*demand)
					tolerated := toleratedRequests(limit)
					if most := f.mostInWindow(started); float64(most) > tolerated {
						t.Errorf("seed %d: %d requests within %v, at most %.1f are tolerated", seed, most, limitWindow, tolerated)
					}
					if used := float64(len(f.sent)) / 18; fleet.visible == fleet.fronts && used < 0.5*limit-0.2 {
						t.Errorf("seed %d: only %.2f requests per second of the limit were used", seed, used)
					}
				}
			})
		}
	}
}

// Guards against a lower limit that applies late, and against VMs that return with the
// slots of the time before.
func TestLowerLimitAndRestartedVMsStayWithinTheLimit(t *testing.T) {
	const vms, high, low = 24, 40.0, 2.0
	f := newLimitedFleet(vms, 1, 1)
	f.run(10*time.Second, high, 4)
	for n, p := range f.vms {
		p.RecordNotice(chooseLimited(t, p, f), Notice{Limit: low, HasLimit: true})
		if n%6 == 0 {
			again := New("z", "r", func() time.Time { return f.now })
			again.random = f.random.Float64
			again.SetFrontCount(vms, 1)
			again.Update(limitedTargets)
			f.vms[n] = again
		}
	}
	changed := f.now
	f.run(20*time.Second, low, 4)
	tolerated := int(toleratedRequests(low))
	// A VM that has restarted learns of the limit with its first request.
	if most := f.mostInWindow(changed); most > tolerated+vms/6 {
		t.Errorf("%d requests within %v, at most %v are tolerated", most, limitWindow, tolerated)
	}
}

// chooseLimited returns a choice of the target with the limit. Time passes until there is one.
func chooseLimited(t *testing.T, p *Placer, f *limitedFleet) *Choice {
	t.Helper()
	for range 10_000 {
		c, _ := p.Choose(Request{Service: "s", Exclude: []string{"other"}})
		if c != nil {
			p.Done(c, Completed)
			return c
		}
		f.now = f.now.Add(time.Millisecond)
	}
	t.Fatal("the target with the limit gets no request")
	return nil
}

// admissionPlacer returns a placer of one VM with one target, which has accepted a
// request.
func admissionPlacer(now *time.Time) (*Placer, *Choice) {
	p := New("z", "r", func() time.Time { return *now })
	p.SetFrontCount(1, 1)
	p.Update(map[string][]Target{"s": {{ID: "t", Address: "a:1", Started: 1}}})
	c, _ := p.Choose(Request{Service: "s"})
	return p, c
}

// noticeTime is when the target of TestNoticesOfATarget responds.
var noticeTime = time.Unix(1000, 0)

// Guards against requests to a target that drains or has asked for a pause, against a
// pause without an end, against a restarted target that gets no requests because of
// what the one before it said, and against requests in the pause of one that has restarted
// shortly before (DRAIN, BUDGET; soak, seeds 5021 and 16011).
func TestNoticesOfATarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice Notice
		after  time.Duration
		update []Target
		want   PassReason
		wait   time.Duration
	}{
		{name: "none"},
		{name: "drains", notice: Notice{Draining: true}, after: time.Hour, want: PassDraining},
		{name: "pauses", notice: Notice{Pause: 3 * time.Second}, after: 2 * time.Second, want: PassPaused, wait: time.Second},
		{name: "has paused", notice: Notice{Pause: 3 * time.Second}, after: 3 * time.Second},
		{name: "restarted after a drain", notice: Notice{Draining: true}, update: []Target{{ID: "t", Address: "a:1", Started: 2}}},
		{name: "restarted after a pause", notice: Notice{Pause: time.Hour}, update: []Target{{ID: "t", Address: "a:1", Started: noticeTime.UnixMilli() + 1}}},
		{
			name: "asked for a pause before the registry had its restart", notice: Notice{Pause: time.Hour},
			update: []Target{{ID: "t", Address: "a:1", Started: noticeTime.UnixMilli() - 4}}, want: PassPaused, wait: time.Hour,
		},
		{
			name: "asked for a pause before another one had its ID", notice: Notice{Pause: time.Hour},
			update: []Target{{ID: "t", Address: "b:1", Started: noticeTime.UnixMilli() - 4}},
		},
		{name: "restarted after a limit", notice: Notice{HasLimit: true}, update: []Target{{ID: "t", Address: "a:1", Started: 2}}},
		{
			name: "still drains after a change of the registry", notice: Notice{Draining: true},
			update: []Target{{ID: "t", Address: "a:1", Started: 1, Weights: 7}}, want: PassDraining,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := noticeTime
			p, choice := admissionPlacer(&now)
			p.RecordNotice(choice, c.notice)
			if c.update != nil {
				p.Update(map[string][]Target{"s": c.update})
			}
			now = now.Add(c.after)
			if reason, wait := p.AdmittedAfter("s"); reason != c.want || wait != c.wait {
				t.Errorf("%v for %v, want %v for %v", reason, wait, c.want, c.wait)
			}
			if chosen, _ := p.Choose(Request{Service: "s"}); (chosen != nil) != (c.want == Admitted) {
				t.Errorf("choice %v while the target is %v", chosen, c.want)
			}
		})
	}
}

// Guards against a limit that is kept after the target has stopped naming it, and against
// one that ends because a response from before it arrives late.
func TestLimitEndsWithTheFirstLaterResponseWithoutIt(t *testing.T) {
	now := time.Unix(1000, 0)
	p, choice := admissionPlacer(&now)
	p.RecordNotice(choice, Notice{Limit: 0.1, HasLimit: true})
	now = now.Add(limitReorder)
	p.RecordNotice(choice, Notice{})
	if !choice.member.admission.limited {
		t.Error("a response that was overtaken has ended the limit")
	}
	now = now.Add(time.Millisecond)
	p.RecordNotice(choice, Notice{})
	if reason, _ := p.AdmittedAfter("s"); reason != Admitted {
		t.Errorf("the target is still %v", reason)
	}
}

// Guards against VMs that learn of a drain or a limit only from their own requests, and
// against a pause that binds other VMs than the one that it was meant for.
func TestNoticesReachTheOtherVMs(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice Notice
		want   PassReason
	}{
		{"drain", Notice{Draining: true}, PassDraining},
		{"limit", Notice{Limit: 0, HasLimit: true}, PassLimited},
		{"pause", Notice{Pause: time.Hour}, Admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p, choice := admissionPlacer(&now)
			peer, peerChoice := admissionPlacer(&now)
			p.TakeHints()
			p.RecordNotice(choice, c.notice)
			backlog := peerChoice.member.state.Backlog(now, 0)
			for _, packet := range p.TakeHints() {
				peer.ApplyHints(packet)
			}
			peerChoice.member.admission.nextSlot = now.Add(time.Hour)
			if reason, _ := peer.AdmittedAfter("s"); reason != c.want {
				t.Errorf("the target is %v at the other VM, want %v", reason, c.want)
			}
			if peerChoice.member.state.Backlog(now, 0) != backlog {
				t.Error("the notice counts as work of the target")
			}
		})
	}
}

// Guards against a hint that sets a limit which no target can have named.
func TestMalformedNoticeChangesNothing(t *testing.T) {
	for _, limit := range []float64{math.NaN(), math.Inf(1), -1, 2 * MaxLimit} {
		now := time.Unix(1000, 0)
		p, choice := admissionPlacer(&now)
		p.TakeHints()
		p.queueNoticeHint(choice.member, hintLimit, limit)
		for _, packet := range p.TakeHints() {
			p.ApplyHints(packet)
		}
		if got := choice.member.admission; got.limited {
			t.Errorf("limit %v was accepted as %v", limit, got.limit)
		}
	}
}

// Guards against targets that all have a limit and whose requests all wait for one of
// them: what is over the limit is refused, with the time of the next slot.
func TestNextSlotIsKnownWhenAllTargetsAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	p, choice := admissionPlacer(&now)
	p.RecordNotice(choice, Notice{Limit: 0.5, HasLimit: true})
	reason, wait := p.AdmittedAfter("s")
	if reason == PassLimited {
		now = now.Add(wait)
	}
	if c, _ := p.Choose(Request{Service: "s"}); c == nil {
		t.Fatalf("no slot is open %v after the limit was named", wait)
	}
	if reason, wait = p.AdmittedAfter("s"); reason != PassLimited || wait <= 0 || wait > 2*time.Second {
		t.Errorf("%v for %v after the slot was used, want %v for at most 2s", reason, wait, PassLimited)
	}
}
