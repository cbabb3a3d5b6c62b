package orders

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/target"
	ordersv1 "github.com/cuminwing/cuminwing/proto/orders/v1"
)

const model = "pisarz"

// simFleet simulates engines that execute orders.
type simFleet struct {
	t            *rapid.T
	now          time.Time
	stateMachine *StateMachine
	engines      []*target.Target
	loadingUntil map[string]time.Time
	models       map[string]config.Model
	limit        int
}

func (f *simFleet) propose(c *ordersv1.Command) bool {
	body, err := proto.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	var a ordersv1.Answer
	if err := proto.Unmarshal(f.stateMachine.Apply(1, f.now, body), &a); err != nil {
		f.t.Fatal(err)
	}
	return a.GetAccepted()
}

func (f *simFleet) acquire(vm string) uint64 {
	if !f.propose(&ordersv1.Command{Kind: &ordersv1.Command_Acquire{Acquire: &ordersv1.Acquire{Vm: vm, Incarnation: 1}}}) {
		f.t.Fatal("lease was refused")
	}
	return f.stateMachine.State().FencingToken
}

// leaderRound runs one planning round of a lease holder. It calls delivered for
// each open order to decide whether the order reaches its engine.
func (f *simFleet) leaderRound(fence uint64, delivered func() bool) {
	plan := NextPlan(f.engines, f.models, f.stateMachine.State(), f.now)
	f.propose(&ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fence, Ids: plan.Done, Done: true}}})
	f.propose(&ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fence, Ids: plan.Failed}}})
	f.propose(&ordersv1.Command{Kind: &ordersv1.Command_Issue{Issue: &ordersv1.Issue{Fence: fence, Orders: plan.Issue}}})
	if fence != f.stateMachine.State().FencingToken {
		return
	}
	for _, o := range f.stateMachine.State().OpenOrders() {
		if delivered() {
			f.execute(o)
		}
	}
}

func (f *simFleet) execute(o *ordersv1.Order) {
	for i, e := range f.engines {
		if e.ID != o.GetTarget() || e.Incarnation != o.GetIncarnation() || e.Loading || e.Version == o.GetVersion() {
			continue
		}
		loading := *e
		loading.Loading, loading.Version = true, o.GetVersion()
		f.engines[i] = &loading
		f.loadingUntil[e.ID] = f.now.Add(time.Second)
	}
}

// advance advances the clock and checks the invariants: the limit of concurrent
// loads, and a serving engine in each zone while a version is ordered.
func (f *simFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	loading, serving := 0, map[string]int{}
	for i, e := range f.engines {
		next := *e
		next.LastHeartbeat = f.now
		next.Loading = e.Loading && f.now.Before(f.loadingUntil[e.ID])
		f.engines[i] = &next
		if next.Loading {
			loading++
		}
		if next.Version == f.models[model].ServingVersion && next.Usable(f.now) {
			serving[next.Zone]++
		}
	}
	if loading > f.limit {
		f.t.Fatalf("%d engines load at once, limit %d", loading, f.limit)
	}
	for _, zone := range []string{"z0", "z1"} {
		if f.models[model].OrderedVersion != "" && serving[zone] == 0 {
			f.t.Fatalf("no engine serves in %s", zone)
		}
	}
}

func newSimFleet(rt *rapid.T) *simFleet {
	limit := rapid.IntRange(1, 3).Draw(rt, "limit")
	f := &simFleet{
		t: rt, now: time.Unix(1_700_000_000, 0), stateMachine: NewStateMachine(), loadingUntil: make(map[string]time.Time), limit: limit,
		models: map[string]config.Model{model: {ServingVersion: "v1", OrderedVersion: "v2", MaxConcurrentLoads: limit}},
	}
	for i := range rapid.IntRange(4, 18).Draw(rt, "engines") {
		f.engines = append(f.engines, &target.Target{LastHeartbeat: f.now, Announcement: target.Announcement{
			ID: fmt.Sprintf("e%02d", i), Incarnation: 1, Kind: target.KindEngine, Zone: fmt.Sprintf("z%d", i%2), Model: model, Version: "v1",
		}})
	}
	return f
}

func (f *simFleet) countHolding(version string) (n int) {
	for _, e := range f.engines {
		if e.Version == version && !e.Loading {
			n++
		}
	}
	return n
}

// Guards against a rollout that loads on too many engines at once, leaves a zone
// without a serving engine, or stalls after lost orders, a leader change or a
// restore from a snapshot.
func TestRolloutKeepsServingAndFinishes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSimFleet(rt)
		fence := f.acquire("vm-1")
		lossy := func() bool { return rapid.IntRange(0, 2).Draw(rt, "delivered") > 0 }
		for range rapid.IntRange(0, 30).Draw(rt, "rounds") {
			switch rapid.IntRange(0, 9).Draw(rt, "fault") {
			case 0:
				former := fence
				fence = f.acquire("vm-2")
				f.leaderRound(former, lossy)
			case 1:
				data, err := f.stateMachine.Snapshot()
				if err != nil || f.stateMachine.Restore(data) != nil {
					rt.Fatal("snapshot", err)
				}
			}
			f.leaderRound(fence, lossy)
			f.advance(700 * time.Millisecond)
		}
		f.completeRollout(rt, fence)
	})
}

func (f *simFleet) completeRollout(rt *rapid.T, fence uint64) {
	always := func() bool { return true }
	half := 0
	for range 200 {
		f.leaderRound(fence, always)
		f.advance(700 * time.Millisecond)
	}
	zones := map[string]int{}
	for _, e := range f.engines {
		zones[e.Zone]++
	}
	for _, n := range zones {
		half += n / 2
	}
	if got := f.countHolding("v2"); got != half {
		rt.Fatalf("%d engines hold the ordered version, want half of each zone, %d", got, half)
	}
	f.models[model] = config.Model{ServingVersion: "v2", MaxConcurrentLoads: f.limit}
	for range 200 {
		f.leaderRound(fence, always)
		f.advance(700 * time.Millisecond)
	}
	if got := f.countHolding("v2"); got != len(f.engines) {
		rt.Fatalf("%d of %d engines hold the serving version at the end", got, len(f.engines))
	}
}

// Guards against a former holder that changes the state or renews its lease after
// another VM has acquired the lease.
func TestFormerHolderIsFenced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSimFleet(rt)
		former := f.acquire("vm-1")
		f.acquire("vm-2")
		renew := &ordersv1.Acquire{Vm: "vm-1", Incarnation: 1, Fence: former}
		if f.propose(&ordersv1.Command{Kind: &ordersv1.Command_Acquire{Acquire: renew}}) {
			rt.Fatal("the former holder renewed the lease")
		}
		f.leaderRound(former, func() bool { return true })
		if n := len(f.stateMachine.State().Orders); n != 0 {
			rt.Fatalf("the former holder issued %d orders", n)
		}
	})
}

// Guards against two holders that send orders to a target without fencing at the
// same time because each of their clocks drifts by up to 1%.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		rate := func(name string) float64 { return 1 + float64(rapid.IntRange(-10, 10).Draw(rt, name))/1000 }
		oldRate, newRate := rate("old"), rate("new")
		local := func(real time.Duration, rate float64) time.Time {
			return start.Add(time.Duration(float64(real) * rate))
		}
		sent := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "sent")) * time.Millisecond
		committed := sent + time.Duration(rapid.IntRange(0, 2000).Draw(rt, "takeover"))*time.Millisecond
		former := NewLease(1, local(0, oldRate), local(0, oldRate))
		former.Renew(local(sent, oldRate))
		holder := NewLease(2, local(committed, newRate), local(committed, newRate))
		for real := committed; real < committed+8*time.Second; real += 5 * time.Millisecond {
			holder.Renew(local(real, newRate))
			if former.Holds(local(real, oldRate)) && holder.IsExclusive(local(real, newRate)) {
				rt.Fatalf("both hold %v after the takeover", real-committed)
			}
		}
	})
}
