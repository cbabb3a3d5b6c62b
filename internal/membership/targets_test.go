package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

func engineName(i int) string { return fmt.Sprintf("engine-%03d", i) }

// usable reports whether any of the VMs, or all of them, may use a target.
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

func (s *sim) unused(id string, vms []*vm) func() bool {
	return func() bool {
		some, _ := s.usable(id, vms)
		return !some
	}
}

// targetSim has 45 VMs in 3 zones and 30 engines, with one pair of VMs of a
// zone that never hears one another in one direction.
func targetSim(t *testing.T, seed uint64) (*sim, []func(func(*target.Announcement) bool)) {
	s := newSim(t, seed, 3, 15)
	s.lose = func(from, to *vm) bool { return from == s.vms[0] && to == s.vms[6] || s.rand.IntN(100) == 0 }
	var engines []func(func(*target.Announcement) bool)
	for i := range 30 {
		engines = append(engines, s.engine(engineName(i), s.vms[i%3]))
	}
	s.until(10*time.Second, "every engine usable everywhere", func() bool {
		for i := range 30 {
			if _, all := s.usable(engineName(i), s.vms); !all {
				return false
			}
		}
		return true
	})
	return s, engines
}

// Guards against engines that flap while they announce themselves regularly.
// The bound is the availability of an engine in the eyes of a VM.
func TestHealthyEnginesStayUsable(t *testing.T) {
	t.Parallel()
	s, _ := targetSim(t, 11)
	var near, nearBad, far, farBad int
	for range 600 {
		s.run(100 * time.Millisecond)
		for i := range 30 {
			for _, v := range s.vms {
				e, ok := v.registry.Get(engineName(i))
				bad := !ok || !e.Usable(s.now)
				if v.member.Zone == s.vms[i%3].member.Zone {
					near++
					if bad {
						nearBad++
					}
				} else {
					far++
					if bad {
						farBad++
					}
				}
			}
		}
	}
	t.Logf("wrongly unusable: own zone %d of %d, other zones %d of %d", nearBad, near, farBad, far)
	if nearBad*1000 > near || farBad*100 > far {
		t.Fatal("more than 0.1% in the own zone or 1% in other zones")
	}
}

// Guards against a leaving target that gets new work after 2 s on a VM of its
// zone, or after the way to other zones.
func TestLeavingReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, engines := targetSim(t, 12)
	var left time.Time
	engines[0](func(a *target.Announcement) bool {
		if !a.Leaving {
			left = s.now
		}
		a.Leaving = true
		return true
	})
	s.until(time.Second+time.Millisecond, "flag is announced", func() bool { return !left.IsZero() })
	t.Logf("own zone %v", s.until(2*time.Second, "leaving in the zone", s.unused(engineName(0), zoneOf(s, "z0"))))
	t.Logf("other zones further %v", s.until(2*time.Second, "leaving elsewhere", s.unused(engineName(0), s.vms)))
}

// Guards against a target that stays usable somewhere 3 s after its last
// heartbeat, because delays of the way add up.
func TestSilentTargetIsUnusableEverywhere(t *testing.T) {
	t.Parallel()
	s, engines := targetSim(t, 13)
	engines[3](func(*target.Announcement) bool { return false })
	e, _ := s.vms[0].registry.Get(engineName(3))
	s.run(e.LastHeard.Add(target.LiveFor).Sub(s.now))
	if some, _ := s.usable(engineName(3), s.vms); some {
		t.Fatal("usable 3 s after the last heartbeat")
	}
	s.run(time.Minute)
	if some, _ := s.usable(engineName(3), s.vms); some {
		t.Fatal("usable again without a heartbeat")
	}
}

// Guards against a new incarnation that other VMs hold for the old one.
func TestNewIncarnationReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, engines := targetSim(t, 14)
	var started uint64
	engines[0](func(a *target.Announcement) bool {
		if started == 0 {
			started = uint64(s.now.UnixMicro())
			a.Sequence = 1
		}
		a.Incarnation = started
		return true
	})
	s.until(time.Second+time.Millisecond, "announced", func() bool { return started != 0 })
	took := s.until(2*time.Second, "new incarnation", func() bool {
		for _, v := range s.vms {
			if e, ok := v.registry.Get(engineName(0)); !ok || e.Incarnation != started {
				return false
			}
		}
		return true
	})
	t.Logf("new incarnation known everywhere after %v", took)
}

// Guards against an operator's drain that holds on one VM only, is lost with a
// restart, or cannot be taken back from another VM.
func TestDrainReachesEveryVM(t *testing.T) {
	t.Parallel()
	s, _ := targetSim(t, 15)
	s.vms[5].registry.Drain(engineName(0), true)
	t.Logf("own zone %v", s.until(2*time.Second, "drain in the zone", s.unused(engineName(0), zoneOf(s, "z0"))))
	t.Logf("other zones further %v", s.until(2*time.Second, "drain elsewhere", s.unused(engineName(0), s.vms)))
	s.start(s.vms[9])
	s.run(10 * time.Second)
	if e, ok := s.vms[9].registry.Get(engineName(0)); !ok || !e.Draining {
		t.Fatal("a restarted VM does not know the drain")
	}
	s.vms[9].registry.Drain(engineName(0), false)
	s.until(5*time.Second, "end of the drain", func() bool {
		_, all := s.usable(engineName(0), s.vms)
		return all
	})
}

func zoneOf(s *sim, zone string) []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.member.Zone == zone {
			out = append(out, v)
		}
	}
	return out
}
