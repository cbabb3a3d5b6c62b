package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a refusal whose log line does not tell which target said what, when, and
// whether it said so to this VM.
func TestAdmissionFactsNameTheTargetTheAgeAndTheSource(t *testing.T) {
	for _, c := range []struct {
		name     string
		notice   Notice
		fromPeer bool
		want     string
	}{
		{"drain", Notice{Draining: true}, false, "t is draining, said 2s ago by the target"},
		{"drain from a peer", Notice{Draining: true}, true, "t is draining, said 2s ago by another VM"},
		{"pause", Notice{Pause: 5 * time.Second}, false, "t is paused, said 2s ago by the target, for 3s more"},
		{"limit", Notice{HasLimit: true}, false, "t is limited, said 2s ago by the target, for 10s more"},
		{"limit from a peer", Notice{HasLimit: true}, true, "t is limited, said 2s ago by another VM, for 10s more"},
		{"none", Notice{}, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p, choice := admissionPlacer(&now)
			if c.fromPeer {
				peer, peerChoice := admissionPlacer(&now)
				peer.RecordNotice(peerChoice, c.notice)
				for _, packet := range peer.TakeHints() {
					p.ApplyHints(packet)
				}
			} else {
				p.RecordNotice(choice, c.notice)
			}
			now = now.Add(2 * time.Second)
			choice.member.admission.nextSlot = now.Add(10 * time.Second)
			text := ""
			for _, fact := range p.AdmissionFacts("s") {
				text += fact.String()
			}
			if text != c.want {
				t.Errorf("%q, want %q", text, c.want)
			}
		})
	}
}

// Guards against log lines that grow with the number of targets.
func TestAdmissionFactsAreFew(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("z", "r", func() time.Time { return now })
	var targets []Target
	for i := range 100 {
		targets = append(targets, Target{ID: fmt.Sprint(i), Address: fmt.Sprint("a:", i), Started: 1})
	}
	p.Update(map[string][]Target{"s": targets})
	for range targets {
		if c, _ := p.Choose(Request{Service: "s"}); c != nil {
			p.RecordNotice(c, Notice{Draining: true})
		}
	}
	if n := len(p.AdmissionFacts("s")); n != maxAdmissionFacts {
		t.Errorf("%d facts, want %d", n, maxAdmissionFacts)
	}
}

// Guards against a pause that ends early, because a shorter one that overlaps it was asked
// for later, and against a longer one that is not kept.
func TestOverlappingPausesLastAsLongAsTheLongest(t *testing.T) {
	for _, pauses := range [][]time.Duration{{10 * time.Second, time.Second}, {time.Second, 10 * time.Second}} {
		now := time.Unix(1000, 0)
		p, choice := admissionPlacer(&now)
		for _, pause := range pauses {
			p.RecordNotice(choice, Notice{Pause: pause})
		}
		now = now.Add(9 * time.Second)
		if reason, wait := p.AdmittedAfter("s"); reason != PassPaused || wait != time.Second {
			t.Errorf("pauses of %v: %v for %v after 9s, want a pause for 1s", pauses, reason, wait)
		}
		now = now.Add(time.Second)
		if reason, _ := p.AdmittedAfter("s"); reason != Admitted {
			t.Errorf("pauses of %v: %v after 10s", pauses, reason)
		}
	}
}

// busyTarget is a target that drains, restarts and asks for pauses.
type busyTarget struct {
	Target
	draining bool
	leavesAt time.Time
	// drained and paused map each VM to what the target has told it.
	drained map[int]bool
	paused  map[int]time.Time
}

// busyFleet is a number of VMs that place requests at targets which drain and pause.
type busyFleet struct {
	t        *testing.T
	now      time.Time
	vms      []*Placer
	targets  []*busyTarget
	random   *rand.Rand
	restarts int
	sent     int
	refused  int
}

// answer checks a request of a VM at a target, and returns what the target says.
func (f *busyFleet) answer(vm int, target *busyTarget) Notice {
	if target.drained[vm] {
		f.t.Errorf("VM %d sent a request to target %s after it had heard of the drain", vm, target.ID)
	}
	if until := target.paused[vm]; f.now.Before(until) {
		f.t.Errorf("VM %d sent a request to target %s %v before the end of the pause", vm, target.ID, until.Sub(f.now))
	}
	notice := Notice{Draining: target.draining}
	if target.draining {
		target.drained[vm] = true
	}
	if f.random.Float64() < 0.02 {
		notice.Pause = 200*time.Millisecond + time.Duration(f.random.Int64N(int64(30*time.Second)))
		target.paused[vm] = f.now.Add(notice.Pause)
	}
	return notice
}

// restart starts a new incarnation of a target at the same address, under the same ID.
func (f *busyFleet) restart(target *busyTarget) {
	f.restarts++
	target.Started = f.now.UnixMilli()
	target.draining, target.drained, target.paused = false, make(map[int]bool), make(map[int]time.Time)
	var list []Target
	for _, other := range f.targets {
		list = append(list, other.Target)
	}
	for _, p := range f.vms {
		p.Update(map[string][]Target{"s": slices.Clone(list)})
	}
}

func (f *busyFleet) step() {
	for _, target := range f.targets {
		switch {
		case target.draining && !f.now.Before(target.leavesAt):
			f.restart(target)
		case !target.draining && f.random.Float64() < 0.002:
			target.draining, target.leavesAt = true, f.now.Add(4*time.Second)
		}
	}
	for vm, p := range f.vms {
		f.sent++
		c, _ := p.Choose(Request{Service: "s"})
		if c == nil {
			f.refused++
			if reason, wait := p.AdmittedAfter("s"); reason == Admitted || reason == PassPaused && wait <= 0 {
				f.t.Errorf("VM %d refuses a request while the targets are %v for %v", vm, reason, wait)
			}
			continue
		}
		i := slices.IndexFunc(f.targets, func(target *busyTarget) bool { return target.ID == c.Target.ID })
		p.RecordNotice(c, f.answer(vm, f.targets[i]))
		p.Done(c, Completed)
	}
	f.exchangeHints()
}

// exchangeHints passes the hints of each VM to the others. A tenth of them is lost.
func (f *busyFleet) exchangeHints() {
	for n, p := range f.vms {
		for _, packet := range p.TakeHints() {
			for other := range f.vms {
				if other != n && f.random.Float64() > 0.1 {
					f.vms[other].ApplyHints(packet)
				}
			}
		}
	}
}

// Guards against VMs of a large fleet that send requests to targets which have told them
// that they drain, or within a pause: under load, with pauses of 0.2 to 30 s that overlap,
// with targets that leave while they pause and restart under the same ID, and with lost
// hints. A restarted target owes nothing to what was said before (DRAIN, BUDGET).
func TestManyVMsObeyDrainsAndPauses(t *testing.T) {
	const (
		vms     = 40
		targets = 18
		seeds   = uint64(3)
		length  = 60 * time.Second
		step    = 100 * time.Millisecond
	)
	for seed := range seeds {
		f := &busyFleet{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2))}
		for range vms {
			p := New("z", "r", func() time.Time { return f.now })
			p.random = f.random.Float64
			f.vms = append(f.vms, p)
		}
		for i := range targets {
			f.targets = append(f.targets, &busyTarget{Target: Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("a:", i), Zone: "z", Region: "r"}})
		}
		for _, target := range f.targets {
			f.restart(target)
		}
		for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
			f.step()
		}
		// Without a restart, the drains alone would leave few of the targets.
		if f.restarts-targets < 5 || f.refused*4 > f.sent {
			t.Errorf("seed %d: %d restarts, %d of %d requests refused", seed, f.restarts-targets, f.refused, f.sent)
		}
	}
}
