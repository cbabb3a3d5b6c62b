package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// convergenceLimit is the documented maximum time to rebuild the membership
	// after a start.
	convergenceLimit = 3 * time.Second
	// detectionLimit covers one probe round of the zone, one probe interval, the
	// suspicion timeout and the propagation of the update.
	detectionLimit = 10 * time.Second
	// healLimit also covers the long interval between probes of dead members.
	healLimit = 30 * time.Second
)

// Guards against VMs that do not discover each other when all start at once, and
// against former incarnations that stay listed when all restart at once.
func TestSimultaneousStarts(t *testing.T) {
	t.Parallel()
	s := newSim(t, 1, 3, 15)
	t.Logf("first start: %v", s.waitUntil(convergenceLimit, "first start", s.converged))
	for _, v := range s.vms {
		s.start(v)
	}
	t.Logf("restart of all: %v", s.waitUntil(convergenceLimit, "restart of all", s.converged))
}

// Guards against a VM that restarts under its old address being taken for its
// former incarnation, or not being listed until that one is declared dead.
func TestRestartReplacesFormerIncarnation(t *testing.T) {
	t.Parallel()
	s := newSim(t, 2, 3, 5)
	s.waitUntil(convergenceLimit, "start", s.converged)
	s.start(s.vms[7])
	t.Logf("former incarnation replaced everywhere after %v", s.waitUntil(2*time.Second, "restart", s.converged))
}

// Guards against crashed VMs that stay listed, and against leaving VMs that are
// only detected by timeout.
func TestCrashAndLeave(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3, 3, 5)
	s.waitUntil(convergenceLimit, "start", s.converged)
	s.vms[4].core = nil
	t.Logf("crash detected everywhere after %v", s.waitUntil(detectionLimit, "crash", s.converged))
	left := s.vms[0]
	s.deliver(left, left.core.Leave(s.now))
	s.schedule(300*time.Millisecond, func() { left.core = nil })
	t.Logf("leave known everywhere after %v", s.waitUntil(2*time.Second, "leave", func() bool { return left.core == nil && s.converged() }))
}

// Guards against healthy VMs being declared dead because of packet loss, whether
// random or permanent in one direction between two VMs.
func TestPacketLossCausesNoFalseFailures(t *testing.T) {
	t.Parallel()
	s := newSim(t, 4, 3, 5)
	s.waitUntil(convergenceLimit, "start", s.converged)
	s.drops = func(from, to *vm) bool {
		oneWay := from == s.vms[0] && to == s.vms[3] || from == s.vms[7] && to == s.vms[4]
		return oneWay || s.rand.IntN(10) == 0
	}
	for range 600 {
		s.run(100 * time.Millisecond)
		if !s.converged() {
			t.Fatal(s.divergence())
		}
	}
}

// Guards against a partition that persists after the network has healed, even if
// both delegates known across the partition crashed meanwhile.
func TestZonePartitionHeals(t *testing.T) {
	t.Parallel()
	s := newSim(t, 5, 3, 5)
	s.waitUntil(convergenceLimit, "start", s.converged)
	s.drops = func(from, to *vm) bool { return (from.member.Zone == "z1") != (to.member.Zone == "z1") }
	s.vms[1].core, s.vms[4].core = nil, nil
	s.waitUntil(detectionLimit, "partition detected", func() bool {
		return len(s.vms[0].core.Members(s.now)) == 10 && len(s.vms[13].core.Members(s.now)) == 3
	})
	s.run(10 * time.Minute)
	s.drops = func(_, _ *vm) bool { return false }
	t.Logf("healed after %v", s.waitUntil(healLimit, "heal", s.converged))
}

// Guards against two halves of one zone that consider each other dead after a
// partition between them and do not merge again.
func TestPartitionInsideZoneHeals(t *testing.T) {
	t.Parallel()
	s := newSim(t, 6, 1, 6)
	s.waitUntil(convergenceLimit, "start", s.converged)
	half := func(v *vm) bool { return v.member.VM < "vm-003" }
	s.drops = func(from, to *vm) bool { return half(from) != half(to) }
	s.run(time.Minute)
	if n := len(s.vms[0].core.Members(s.now)); n != 3 {
		t.Fatalf("VM lists %d members during the partition, want 3", n)
	}
	s.drops = func(_, _ *vm) bool { return false }
	t.Logf("healed after %v", s.waitUntil(healLimit, "heal", s.converged))
}

// Guards against a changed configuration revision or key digest that does not
// reach other VMs.
func TestPayloadReachesEveryVM(t *testing.T) {
	t.Parallel()
	s := newSim(t, 7, 3, 5)
	s.waitUntil(convergenceLimit, "start", s.converged)
	for _, v := range s.vms {
		v.core.UpdateSelf(s.now, 42, 7)
	}
	took := s.waitUntil(5*time.Second, "configuration revision", func() bool {
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

// Guards against any combination of crashes, restarts, leaves, partitions and
// packet loss after which VMs do not agree on the live members.
func TestConvergenceAfterAnyFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 3, 4)
		noLoss := s.drops
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
					s.schedule(0, func() { v.core = nil })
				}
			case 3:
				isolated := v.member.Zone
				s.drops = func(from, to *vm) bool { return (from.member.Zone == isolated) != (to.member.Zone == isolated) }
			case 4:
				s.drops = func(from, to *vm) bool { return from == v || s.rand.IntN(4) == 0 }
			}
		}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			step()
			s.run(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
		}
		s.drops = noLoss
		// The VMs whose addresses are the join addresses run at the end, so that
		// a VM that knows no other member can join.
		for _, v := range []*vm{s.vms[0], s.vms[len(s.vms)/2]} {
			if v.core == nil {
				s.start(v)
			}
		}
		s.waitUntil(2*healLimit, "convergence", s.converged)
	})
}

// Guards against a VM that stays unknown to another zone after a partition, a
// leave and crashes. The cause was two zones that never knew each other, although
// a third zone knew both.
func TestConvergenceAfterPartitionLeaveAndCrashes(t *testing.T) {
	t.Parallel()
	s := newSim(t, 0, 3, 4)
	noLoss := s.drops
	isolated := s.vms[5].member.Zone
	s.drops = func(from, to *vm) bool { return (from.member.Zone == isolated) != (to.member.Zone == isolated) }
	s.run(17156 * time.Millisecond)
	s.deliver(s.vms[0], s.vms[0].core.Leave(s.now))
	s.schedule(0, func() { s.vms[0].core = nil })
	s.run(11762 * time.Millisecond)
	s.vms[1].core = nil
	s.run(151 * time.Millisecond)
	lossy := s.vms[6]
	s.drops = func(from, to *vm) bool { return from == lossy || s.rand.IntN(4) == 0 }
	s.run(10748 * time.Millisecond)
	s.vms[4].core = nil
	s.run(7518 * time.Millisecond)
	s.drops = noLoss
	s.start(s.vms[0])
	s.waitUntil(2*healLimit, "convergence", s.converged)
}

// Guards against traffic per VM that grows with the fleet. The zones hold 3, 12,
// 30 and 44 VMs, as in the design.
func BenchmarkBytesPerNode(b *testing.B) {
	for _, c := range []struct {
		name                    string
		zones, perZone, engines int
	}{{"9", 3, 3, 7}, {"35", 3, 12, 20}, {"90", 3, 30, 50}, {"350", 8, 44, 75}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureTraffic(b, c.zones, c.perZone, c.engines)
			}
		})
	}
}

func measureTraffic(b *testing.B, zones, perZone, engines int) {
	const (
		warmUp = 30 * time.Second
		window = 10 * time.Second
	)
	s := newSim(b, 8, zones, perZone)
	for i := range zones * engines {
		s.startEngine(engineName(i), s.vms[i%len(s.vms)])
	}
	s.run(warmUp)
	for _, v := range s.vms {
		v.sentBytes = 0
	}
	s.run(window)
	total, maxSent := 0, 0
	for _, v := range s.vms {
		total += v.sentBytes
		maxSent = max(maxSent, v.sentBytes)
	}
	b.ReportMetric(float64(total)/float64(len(s.vms))/window.Seconds(), "B/s/node")
	b.ReportMetric(float64(maxSent)/window.Seconds(), "B/s/busiest")
	if d := s.divergence(); d != "" {
		b.Fatal(d)
	}
}
