package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

func engineName(i int) string { return fmt.Sprintf("engine-%03d", i) }

// usable reports whether a target is usable on some of the VMs and on all of them.
func (s *sim) usable(id string, vms []*vm) (some, all bool) {
	all = true
	for _, v := range vms {
		t, ok := v.registry.Get(id)
		u := ok && t.Usable(s.now)
		some = some || u
		all = all && u
	}
	return some, all
}

func (s *sim) unusableOn(id string, vms []*vm) func() bool {
	return func() bool {
		some, _ := s.usable(id, vms)
		return !some
	}
}

// newTargetSim returns a simulation of 45 VMs in 3 zones and 30 engines that
// loses 1% of the packets, and all packets in one direction between two VMs of
// one zone.
func newTargetSim(t *testing.T, seed uint64) (*sim, []func(func(*target.Announcement) bool)) {
	s := newSim(t, seed, 3, 15)
	s.drops = func(from, to *vm) bool { return from == s.vms[0] && to == s.vms[6] || s.rand.IntN(100) == 0 }
	var engines []func(func(*target.Announcement) bool)
	for i := range 30 {
		engines = append(engines, s.startEngine(engineName(i), s.vms[i%3]))
	}
	s.waitUntil(10*time.Second, "every engine usable everywhere", func() bool {
		for i := range 30 {
			if _, all := s.usable(engineName(i), s.vms); !all {
				return false
			}
		}
		return true
	})
	return s, engines
}

// Guards against engines that flap although they announce themselves regularly.
// The limits are on the share of checks in which a VM finds an engine unusable.
func TestHealthyEnginesStayUsable(t *testing.T) {
	t.Parallel()
	s, _ := newTargetSim(t, 11)
	var local, localBad, remote, remoteBad int
	for range 600 {
		s.run(100 * time.Millisecond)
		for i := range 30 {
			for _, v := range s.vms {
				e, ok := v.registry.Get(engineName(i))
				bad := !ok || !e.Usable(s.now)
				if v.member.Zone == s.vms[i%3].member.Zone {
					local++
					if bad {
						localBad++
					}
				} else {
					remote++
					if bad {
						remoteBad++
					}
				}
			}
		}
	}
	t.Logf("wrongly unusable: own zone %d of %d, other zones %d of %d", localBad, local, remoteBad, remote)
	if localBad*1000 > local || remoteBad*100 > remote {
		t.Fatal("engines were wrongly unusable in more than 0.1% of checks in their own zone or 1% in other zones")
	}
}

// Guards against a leaving target that a VM of its zone still uses after 2 s, or
// a VM of another zone after another 2 s.
func TestLeavingReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, engines := newTargetSim(t, 12)
	var left time.Time
	engines[0](func(a *target.Announcement) bool {
		if !a.Leaving {
			left = s.now
		}
		a.Leaving = true
		return true
	})
	s.waitUntil(time.Second+time.Millisecond, "leaving flag announced", func() bool { return !left.IsZero() })
	t.Logf("own zone %v", s.waitUntil(2*time.Second, "leaving in the zone", s.unusableOn(engineName(0), vmsInZone(s, "z0"))))
	t.Logf("other zones after another %v", s.waitUntil(2*time.Second, "leaving in other zones", s.unusableOn(engineName(0), s.vms)))
}

// Guards against a target that some VM still uses 3 s after its last heartbeat
// because transit delays add up.
func TestSilentTargetIsUnusableEverywhere(t *testing.T) {
	t.Parallel()
	s, engines := newTargetSim(t, 13)
	engines[3](func(*target.Announcement) bool { return false })
	e, _ := s.vms[0].registry.Get(engineName(3))
	s.run(e.LastHeartbeat.Add(target.HeartbeatTimeout).Sub(s.now))
	if some, _ := s.usable(engineName(3), s.vms); some {
		t.Fatal("target is usable 3 s after its last heartbeat")
	}
	s.run(time.Minute)
	if some, _ := s.usable(engineName(3), s.vms); some {
		t.Fatal("target became usable again without a heartbeat")
	}
}

// Guards against a new incarnation that other VMs take for the old one.
func TestNewIncarnationReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, engines := newTargetSim(t, 14)
	var started uint64
	engines[0](func(a *target.Announcement) bool {
		if started == 0 {
			started = uint64(s.now.UnixMicro())
			a.Sequence = 1
		}
		a.Incarnation = started
		return true
	})
	s.waitUntil(time.Second+time.Millisecond, "new incarnation announced", func() bool { return started != 0 })
	took := s.waitUntil(2*time.Second, "new incarnation", func() bool {
		for _, v := range s.vms {
			if e, ok := v.registry.Get(engineName(0)); !ok || e.Incarnation != started {
				return false
			}
		}
		return true
	})
	t.Logf("new incarnation known everywhere after %v", took)
}

// Guards against an operator's drain that applies on one VM only, is lost when a
// VM restarts, or cannot be undone from another VM.
func TestDrainReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, _ := newTargetSim(t, 15)
	s.vms[5].registry.Drain(engineName(0), true)
	t.Logf("own zone %v", s.waitUntil(2*time.Second, "drain in the zone", s.unusableOn(engineName(0), vmsInZone(s, "z0"))))
	t.Logf("other zones after another %v", s.waitUntil(2*time.Second, "drain in other zones", s.unusableOn(engineName(0), s.vms)))
	s.start(s.vms[9])
	s.run(10 * time.Second)
	if e, ok := s.vms[9].registry.Get(engineName(0)); !ok || !e.Draining {
		t.Fatal("restarted VM does not know the drain")
	}
	s.vms[9].registry.Drain(engineName(0), false)
	s.waitUntil(5*time.Second, "end of the drain", func() bool {
		_, all := s.usable(engineName(0), s.vms)
		return all
	})
}

func vmsInZone(s *sim, zone string) []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.member.Zone == zone {
			out = append(out, v)
		}
	}
	return out
}
