package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// agreeLimit is the stated time to rebuild membership after a start.
	agreeLimit = 3 * time.Second
	// failureLimit is one probe round of the zone, one probe interval, the
	// suspicion time-out and the way of the news.
	failureLimit = 10 * time.Second
	// healLimit adds the low rate of probes of members thought dead.
	healLimit = 30 * time.Second
)

// Guards against a fleet that does not find itself, and against a herd of
// restarts that leaves former selves behind.
func TestHerdOfStarts(t *testing.T) {
	t.Parallel()
	s := newSim(t, 1, 3, 15)
	t.Logf("first start: %v", s.until(agreeLimit, "first start", s.agreed))
	for _, v := range s.vms {
		s.start(v)
	}
	t.Logf("restart of all: %v", s.until(agreeLimit, "restart of all", s.agreed))
}

// Guards against a VM that returns under its old address being held for its
// former self, or kept waiting until that one is declared dead.
func TestRestartReplacesFormerSelf(t *testing.T) {
	t.Parallel()
	s := newSim(t, 2, 3, 5)
	s.until(agreeLimit, "start", s.agreed)
	s.start(s.vms[7])
	t.Logf("replaced everywhere after %v", s.until(2*time.Second, "restart", s.agreed))
}

// Guards against crashed VMs that stay listed and leaving VMs that are only
// found by time-out.
func TestCrashAndLeave(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3, 3, 5)
	s.until(agreeLimit, "start", s.agreed)
	s.vms[4].core = nil
	t.Logf("crash seen everywhere after %v", s.until(failureLimit, "crash", s.agreed))
	left := s.vms[0]
	s.deliver(left, left.core.Leave(s.now))
	s.at(300*time.Millisecond, func() { left.core = nil })
	t.Logf("leave seen everywhere after %v", s.until(2*time.Second, "leave", func() bool { return left.core == nil && s.agreed() }))
}

// Guards against healthy VMs being declared dead because packets get lost,
// at random or always in one direction of one pair.
func TestLossesKillNobody(t *testing.T) {
	t.Parallel()
	s := newSim(t, 4, 3, 5)
	s.until(agreeLimit, "start", s.agreed)
	s.lose = func(from, to *vm) bool {
		oneWay := from == s.vms[0] && to == s.vms[3] || from == s.vms[7] && to == s.vms[4]
		return oneWay || s.rand.IntN(10) == 0
	}
	for range 600 {
		s.run(100 * time.Millisecond)
		if !s.agreed() {
			t.Fatal(s.disagreement())
		}
	}
}

// Guards against a cut that stays after the network has healed, also when
// every VM known across the cut was replaced meanwhile as delegate.
func TestCutZoneHealsByItself(t *testing.T) {
	t.Parallel()
	s := newSim(t, 5, 3, 5)
	s.until(agreeLimit, "start", s.agreed)
	s.lose = func(from, to *vm) bool { return (from.member.Zone == "z1") != (to.member.Zone == "z1") }
	s.vms[1].core, s.vms[4].core = nil, nil
	s.until(failureLimit, "cut is seen", func() bool {
		return len(s.vms[0].core.Members(s.now)) == 10 && len(s.vms[13].core.Members(s.now)) == 3
	})
	s.run(10 * time.Minute)
	s.lose = func(_, _ *vm) bool { return false }
	t.Logf("healed after %v", s.until(healLimit, "heal", s.agreed))
}

// Guards against two halves of one zone that stay apart after a cut between
// them, each holding the other for dead.
func TestCutInsideAZoneHeals(t *testing.T) {
	t.Parallel()
	s := newSim(t, 6, 1, 6)
	s.until(agreeLimit, "start", s.agreed)
	half := func(v *vm) bool { return v.member.VM < "vm-003" }
	s.lose = func(from, to *vm) bool { return half(from) != half(to) }
	s.run(time.Minute)
	if n := len(s.vms[0].core.Members(s.now)); n != 3 {
		t.Fatalf("sees %d members during the cut, want 3", n)
	}
	s.lose = func(_, _ *vm) bool { return false }
	t.Logf("healed after %v", s.until(healLimit, "heal", s.agreed))
}

// Guards against a changed configuration revision that others do not see.
func TestPayloadSpreads(t *testing.T) {
	t.Parallel()
	s := newSim(t, 7, 3, 5)
	s.until(agreeLimit, "start", s.agreed)
	for _, v := range s.vms {
		v.core.UpdateSelf(s.now, 42, 7)
	}
	took := s.until(5*time.Second, "revision", func() bool {
		for _, v := range s.vms {
			for _, m := range v.core.Members(s.now) {
				if m.ConfigRevision != 42 || m.KeyDigest != 7 {
					return false
				}
			}
		}
		return true
	})
	t.Logf("revision known everywhere after %v", took)
}

// Guards against any mixture of crashes, restarts, leaves, cuts and losses
// after which VMs do not agree on who is live.
func TestAgreementAfterAnyFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 3, 4)
		whole := s.lose
		step := func() {
			v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(rt, "vm")]
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				v.core = nil
			case 1:
				s.start(v)
			case 2:
				if v.core != nil {
					s.deliver(v, v.core.Leave(s.now))
					s.at(0, func() { v.core = nil })
				}
			case 3:
				cut := v.member.Zone
				s.lose = func(from, to *vm) bool { return (from.member.Zone == cut) != (to.member.Zone == cut) }
			case 4:
				s.lose = func(from, to *vm) bool { return from == v || s.rand.IntN(4) == 0 }
			}
		}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			step()
			s.run(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
		}
		s.lose = whole
		// The VMs that all others are told to join come back at last, so that
		// a VM that knows nobody has somebody to ask.
		for _, v := range []*vm{s.vms[0], s.vms[len(s.vms)/2]} {
			if v.core == nil {
				s.start(v)
			}
		}
		s.until(2*healLimit, "agreement", s.agreed)
	})
}

// Guards against a VM that stays unknown to another zone after a cut, a leave
// and crashes: two zones that never knew each other, while a third knew both.
func TestAgreementAfterCutLeaveAndCrashes(t *testing.T) {
	t.Parallel()
	s := newSim(t, 0, 3, 4)
	whole := s.lose
	cut := s.vms[5].member.Zone
	s.lose = func(from, to *vm) bool { return (from.member.Zone == cut) != (to.member.Zone == cut) }
	s.run(17156 * time.Millisecond)
	s.deliver(s.vms[0], s.vms[0].core.Leave(s.now))
	s.at(0, func() { s.vms[0].core = nil })
	s.run(11762 * time.Millisecond)
	s.vms[1].core = nil
	s.run(151 * time.Millisecond)
	lossy := s.vms[6]
	s.lose = func(from, to *vm) bool { return from == lossy || s.rand.IntN(4) == 0 }
	s.run(10748 * time.Millisecond)
	s.vms[4].core = nil
	s.run(7518 * time.Millisecond)
	s.lose = whole
	s.start(s.vms[0])
	s.until(2*healLimit, "agreement", s.agreed)
}

// Guards against bytes per VM that grow with the fleet. The zones hold 3, 12,
// 30 and 44 VMs, as in the figures of the design.
func BenchmarkBytesPerNode(b *testing.B) {
	for _, c := range []struct {
		name                    string
		zones, perZone, engines int
	}{{"9", 3, 3, 7}, {"35", 3, 12, 20}, {"90", 3, 30, 50}, {"350", 8, 44, 75}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measure(b, c.zones, c.perZone, c.engines)
			}
		})
	}
}

func measure(b *testing.B, zones, perZone, engines int) {
	const (
		warmUp = 30 * time.Second
		window = 10 * time.Second
	)
	s := newSim(b, 8, zones, perZone)
	for i := range zones * engines {
		s.engine(engineName(i), s.vms[i%len(s.vms)])
	}
	s.run(warmUp)
	for _, v := range s.vms {
		v.sent = 0
	}
	s.run(window)
	total, most := 0, 0
	for _, v := range s.vms {
		total += v.sent
		most = max(most, v.sent)
	}
	b.ReportMetric(float64(total)/float64(len(s.vms))/window.Seconds(), "B/s/node")
	b.ReportMetric(float64(most)/window.Seconds(), "B/s/busiest")
	if d := s.disagreement(); d != "" {
		b.Fatal(d)
	}
}
