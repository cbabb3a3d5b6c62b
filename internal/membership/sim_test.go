package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/gossip"
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
)

// testingT is the common subset of *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// vm is one simulated VM; core is nil while it is down.
type vm struct {
	member    membership.Member
	core      *membership.Core
	registry  *target.Registry
	sentBytes int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim runs VMs in one goroutine with a simulated clock and network. Packets pass
// through the real encoder and decoder.
type sim struct {
	t         testingT
	now       time.Time
	queue     events
	scheduled int
	rand      *rand.Rand
	vms       []*vm
	byAddr    map[string]*vm
	drops     func(from, to *vm) bool
	targets   map[string]func()
}

func newSim(t testingT, seed uint64, zones, perZone int) *sim {
	s := &sim{
		t:       t,
		now:     time.Unix(1_700_000_000, 0),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		byAddr:  make(map[string]*vm),
		drops:   func(_, _ *vm) bool { return false },
		targets: make(map[string]func()),
	}
	for i := range zones * perZone {
		zone := i % zones
		m := membership.Member{VM: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone/3)}
		m.GossipAddress = fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200)
		m.PeerAddress, m.AdminAddress, m.TargetAddress = m.GossipAddress, m.GossipAddress, m.GossipAddress
		s.vms = append(s.vms, &vm{member: m})
		s.byAddr[m.GossipAddress] = s.vms[i]
	}
	for _, v := range s.vms {
		s.start(v)
	}
	return s
}

func (s *sim) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{s.now.Add(delay), s.scheduled, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) start(v *vm) {
	v.member.Incarnation = uint64(s.now.UnixMicro())
	v.registry = target.NewRegistry()
	// Every VM has the same two join addresses, as in the settings of a service.
	join := []string{s.vms[0].member.GossipAddress, s.vms[len(s.vms)/2].member.GossipAddress}
	v.core = membership.New(membership.Config{
		Self: v.member, Join: join, Registry: v.registry, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
	}, s.now)
	core := v.core
	var tick func()
	tick = func() {
		if v.core != core {
			return
		}
		v.registry.Expire(s.now, time.Minute)
		s.deliver(v, core.Tick(s.now))
		s.schedule(membership.TickInterval, tick)
	}
	s.schedule(time.Duration(s.rand.Int64N(int64(membership.TickInterval))), tick)
}

func (s *sim) deliver(from *vm, packets []membership.Packet) {
	for i := range packets {
		data, err := gossip.Encode([]byte("0123456789abcdef"), &packets[i].Message)
		if err != nil {
			s.t.Fatalf("encode %+v: %v", packets[i].Message, err)
		}
		from.sentBytes += len(data)
		to := s.byAddr[packets[i].To]
		if to == nil || s.drops(from, to) {
			continue
		}
		latency := 500 * time.Microsecond
		if from.member.Region != to.member.Region {
			latency = 30 * time.Millisecond
		}
		m, err := gossip.Decode([]byte("0123456789abcdef"), data)
		if err != nil {
			s.t.Fatal(err)
		}
		s.schedule(latency, func() {
			if to.core != nil {
				s.deliver(to, to.core.Receive(s.now, from.member.GossipAddress, m))
			}
		})
	}
}

// startEngine starts a target that announces itself to v every second. The
// returned function sets a hook that edits each announcement; the engine stops
// when the hook returns false.
func (s *sim) startEngine(id string, v *vm) (change func(func(*target.Announcement) bool)) {
	a := target.Announcement{
		ID: id, Incarnation: uint64(s.now.UnixMicro()), Kind: target.KindEngine, Zone: v.member.Zone, Region: v.member.Region,
		URL: "http://10.1.0.1:8000", Model: "gutachter", Version: "v1", Role: "mixed", BatchSlots: 16,
	}
	edit := func(*target.Announcement) bool { return true }
	var heartbeat func()
	heartbeat = func() {
		a.Sequence++
		a.Load.Running = s.rand.IntN(16)
		if !edit(&a) {
			return
		}
		if v.core != nil {
			v.core.BroadcastTarget(a, v.registry.MergeAnnouncement(a, s.now), s.now)
		}
		s.schedule(target.HeartbeatInterval, heartbeat)
	}
	s.schedule(time.Duration(s.rand.Int64N(int64(time.Second))), heartbeat)
	return func(f func(*target.Announcement) bool) { edit = f }
}

func (s *sim) running() []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.core != nil {
			out = append(out, v)
		}
	}
	return out
}

func (s *sim) memberNames(v *vm) string {
	var names []string
	for _, m := range v.core.Members(s.now) {
		names = append(names, fmt.Sprintf("%s/%d", m.VM, m.Incarnation))
	}
	return fmt.Sprint(names)
}

// divergence describes a VM that does not list exactly the running VMs; it is
// empty if there is none.
func (s *sim) divergence() string {
	var want []string
	for _, v := range s.running() {
		want = append(want, fmt.Sprintf("%s/%d", v.member.VM, v.member.Incarnation))
	}
	sort.Strings(want)
	for _, v := range s.running() {
		if got := s.memberNames(v); got != fmt.Sprint(want) {
			return fmt.Sprintf("%s lists members %s\nwant %v", v.member.VM, got, want)
		}
	}
	return ""
}

// waitUntil runs the simulation until ok holds and returns how long it took.
func (s *sim) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !ok() {
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("%s: condition not met within %v: %s", what, limit, s.divergence())
		}
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// converged reports whether every VM lists exactly the running VMs. It skips the
// text of divergence because waitUntil calls it every 10 ms.
func (s *sim) converged() bool {
	running := s.running()
	for _, v := range running {
		members := v.core.Members(s.now)
		if len(members) != len(running) {
			return false
		}
		for i, m := range members {
			if m.VM != running[i].member.VM || m.Incarnation != running[i].member.Incarnation {
				return false
			}
		}
	}
	return true
}
