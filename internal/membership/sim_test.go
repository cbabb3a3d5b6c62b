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

// reporter is the common part of the test types of testing and rapid.
type reporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// vm is one simulated VM; core is nil while it is down.
type vm struct {
	member   membership.Member
	core     *membership.Core
	registry *target.Registry
	sent     int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim runs VMs in one goroutine under a simulated clock and network. Packets
// pass the real encoder and decoder.
type sim struct {
	t       reporter
	now     time.Time
	queue   events
	pushed  int
	rand    *rand.Rand
	vms     []*vm
	byAddr  map[string]*vm
	lose    func(from, to *vm) bool
	targets map[string]func()
}

func newSim(t reporter, seed uint64, zones, perZone int) *sim {
	s := &sim{
		t:       t,
		now:     time.Unix(1_700_000_000, 0),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		byAddr:  make(map[string]*vm),
		lose:    func(_, _ *vm) bool { return false },
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

func (s *sim) at(delay time.Duration, run func()) {
	s.pushed++
	heap.Push(&s.queue, event{s.now.Add(delay), s.pushed, run})
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
	// As in a service's settings, every VM is told two VMs to join.
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
		s.at(membership.TickInterval, tick)
	}
	s.at(time.Duration(s.rand.Int64N(int64(membership.TickInterval))), tick)
}

func (s *sim) deliver(from *vm, packets []membership.Packet) {
	for i := range packets {
		data, err := gossip.Encode([]byte("0123456789abcdef"), &packets[i].Message)
		if err != nil {
			s.t.Fatalf("encode %+v: %v", packets[i].Message, err)
		}
		from.sent += len(data)
		to := s.byAddr[packets[i].To]
		if to == nil || s.lose(from, to) {
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
		s.at(latency, func() {
			if to.core != nil {
				s.deliver(to, to.core.Receive(s.now, from.member.GossipAddress, m))
			}
		})
	}
}

// engine starts a target that announces itself to v every second; the result
// changes it, and stops it if it returns false.
func (s *sim) engine(id string, v *vm) (change func(func(*target.Announcement) bool)) {
	a := target.Announcement{
		ID: id, Incarnation: uint64(s.now.UnixMicro()), Kind: target.KindEngine, Zone: v.member.Zone, Region: v.member.Region,
		URL: "http://10.1.0.1:8000", Model: "gutachter", Version: "v1", Role: "mixed", BatchSlots: 16,
	}
	edit := func(*target.Announcement) bool { return true }
	var beat func()
	beat = func() {
		a.Sequence++
		a.Load.Running = s.rand.IntN(16)
		if !edit(&a) {
			return
		}
		if v.core != nil {
			v.core.Announce(a, v.registry.Announce(a, s.now), s.now)
		}
		s.at(target.HeartbeatInterval, beat)
	}
	s.at(time.Duration(s.rand.Int64N(int64(time.Second))), beat)
	return func(f func(*target.Announcement) bool) { edit = f }
}

func (s *sim) up() []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.core != nil {
			out = append(out, v)
		}
	}
	return out
}

func (s *sim) names(v *vm) string {
	var names []string
	for _, m := range v.core.Members(s.now) {
		names = append(names, fmt.Sprintf("%s/%d", m.VM, m.Incarnation))
	}
	return fmt.Sprint(names)
}

// disagreement names a VM that does not see exactly the running VMs.
func (s *sim) disagreement() string {
	var want []string
	for _, v := range s.up() {
		want = append(want, fmt.Sprintf("%s/%d", v.member.VM, v.member.Incarnation))
	}
	sort.Strings(want)
	for _, v := range s.up() {
		if got := s.names(v); got != fmt.Sprint(want) {
			return fmt.Sprintf("%s sees %s\nwant %v", v.member.VM, got, want)
		}
	}
	return ""
}

// until runs until ok holds and returns how long it took.
func (s *sim) until(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !ok() {
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("%s: not within %v: %s", what, limit, s.disagreement())
		}
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// agreed is disagreement without the text; it is asked every 10 ms.
func (s *sim) agreed() bool {
	up := s.up()
	for _, v := range up {
		members := v.core.Members(s.now)
		if len(members) != len(up) {
			return false
		}
		for i, m := range members {
			if m.VM != up[i].member.VM || m.Incarnation != up[i].member.Incarnation {
				return false
			}
		}
	}
	return true
}
