package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// bench is a picker with a clock and targets that the test sets.
type bench struct {
	*Picker
	t        testing.TB
	now      time.Time
	sequence uint64
	snap     *config.Snapshot
}

func newBench(t testing.TB) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	clock := func() time.Time { return b.now }
	b.Picker = &Picker{
		Registry: target.NewRegistry(), Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)),
		Index: prefix.NewIndex(clock), Zone: "a", Region: "r",
	}
	b.snap = config.NewSnapshot(config.Document{
		Models:     map[string]config.Model{"m": {ServingVersion: "v1"}},
		Objectives: map[string]config.Objective{"o": {Route: "x", Kind: objectiveFirstToken, ThresholdMS: 1000}},
		Zones:      map[string]config.Zone{"a": {Region: "r", VMSlots: 2}},
	}, 1)
	return b
}

func (b *bench) announce(a target.Announcement) {
	b.sequence++
	a.Sequence, a.Kind, a.Model = b.sequence, target.KindEngine, "m"
	if a.Incarnation == 0 {
		a.Incarnation = 1
	}
	if a.Version == "" {
		a.Version = "v1"
	}
	if a.Region == "" {
		a.Zone, a.Region = "a", "r"
	}
	b.Registry.Announce(a, b.now)
	b.view = nil
}

func (b *bench) engines(n int) {
	for i := range n {
		b.announce(target.Announcement{ID: fmt.Sprint("e", i), BatchSlots: 64})
	}
}

func (b *bench) request(workspace string) serving.PickRequest {
	call := &serving.Call{Workspace: workspace, Model: "m", Version: "v1", RouteName: "x", Snapshot: b.snap, Body: make([]byte, 4<<20)}
	call.Route.FirstTokenTimeoutMS = 10000
	return serving.PickRequest{Call: call}
}

func chainOf(seed uint64, n int) []prefix.Hash {
	rng := rand.New(rand.NewPCG(seed, 0))
	chain := make([]prefix.Hash, n)
	for i := range chain {
		chain[i] = prefix.Hash(rng.Uint64())
	}
	return chain
}

func (b *bench) pick(req serving.PickRequest, chain []prefix.Hash) (*serving.Pick, *serving.Refusal) {
	req.Call.PromptTokens = len(chain)*config.DefaultBlockTokens + 10
	return b.PickChain(context.Background(), req, serving.PrefixHint{Blocks: chain})
}

func (b *bench) mustPick(chain []prefix.Hash) *serving.Pick {
	b.t.Helper()
	pick, refusal := b.pick(b.request("w"), chain)
	if refusal != nil {
		b.t.Fatal(refusal)
	}
	return pick
}

// Guards against recomputing a prefix that a target holds, and against
// computing a cold prefix twice when requests come at once.
func TestFollowsPrefix(t *testing.T) {
	b := newBench(t)
	b.engines(8)
	chain := chainOf(1, 20)
	first := b.mustPick(chain)
	for range 5 {
		if next := b.mustPick(chain); next.Target.ID != first.Target.ID || next.ExpectedCachedTokens != 20000 {
			t.Errorf("request went to %s with %d cached tokens, want %s", next.Target.ID, next.ExpectedCachedTokens, first.Target.ID)
		}
	}
}

// Guards against one overloaded holder of a hot prefix: the load that one
// engine cannot carry has to reach more engines, also right after a shift.
func TestReplicatesHotPrefix(t *testing.T) {
	b := newBench(t)
	b.engines(8)
	for shift := range uint64(3) {
		used := map[string]int{}
		for range 40 * 8 {
			used[b.mustPick(chainOf(shift, 4)).Target.ID]++
			b.now = b.now.Add(time.Millisecond)
		}
		if len(used) < 4 {
			t.Errorf("hot prefix %d is on %d engines: %v", shift, len(used), used)
		}
		b.now = b.now.Add(time.Second)
		b.engines(8)
	}
}

// Guards against use of a leaving, dead or failed target, and against a
// refusal that is not marked not-run.
func TestRefusesWithoutTarget(t *testing.T) {
	b := newBench(t)
	b.engines(2)
	chain := chainOf(1, 2)
	first := b.mustPick(chain)
	req := b.request("w")
	req.Exclude = []target.Ref{first.Target.Ref()}
	second, _ := b.pick(req, chain)
	if second.Target.ID == first.Target.ID {
		t.Error("excluded target was chosen")
	}
	b.announce(target.Announcement{ID: second.Target.ID, Leaving: true})
	if _, refusal := b.pick(req, chain); refusal == nil || refusal.Run != serving.NotRun {
		t.Errorf("refusal is %v, want not-run", refusal)
	}
	b.now = b.now.Add(target.LiveFor)
	if pick, _ := b.pick(b.request("w"), chain); pick != nil {
		t.Errorf("silent target %s was chosen", pick.Target.ID)
	}
}

// Guards against entries of a replaced incarnation or older weights.
func TestIgnoresFormerIncarnationAndVersion(t *testing.T) {
	b := newBench(t)
	b.engines(1)
	chain := chainOf(1, 4)
	b.mustPick(chain)
	b.announce(target.Announcement{ID: "e0", Incarnation: 2})
	if pick := b.mustPick(chain); pick.ExpectedCachedTokens != 0 {
		t.Errorf("new incarnation is expected to hold %d tokens", pick.ExpectedCachedTokens)
	}
	b.announce(target.Announcement{ID: "e0", Incarnation: 2, Version: "v0"})
	if pick, _ := b.pick(b.request("w"), chain); pick != nil {
		t.Error("target with other weights was chosen")
	}
}

// Guards against all VMs choosing the same target on a stale report: with
// equal loads the choices spread.
func TestSpreadsOnStaleReports(t *testing.T) {
	used := map[string]int{}
	for vm := range uint64(60) {
		b := newBench(t)
		b.Rand = rand.New(rand.NewPCG(vm, 0))
		b.engines(6)
		used[b.mustPick(nil).Target.ID]++
	}
	if len(used) < 6 || slices.Max([]int{used["e0"], used["e1"], used["e2"]}) > 30 {
		t.Errorf("choices of 60 VMs are %v", used)
	}
}

// Guards against crossing the region while the home region meets the
// objective, and against overuse of the link.
func TestCrossesRegionOnlyWhenNeeded(t *testing.T) {
	b := newBench(t)
	b.engines(1)
	b.announce(target.Announcement{ID: "far", Zone: "c", Region: "s", BatchSlots: 64})
	if pick := b.mustPick(nil); pick.Target.ID != "e0" {
		t.Error("left the home region without need")
	}
	b.announce(target.Announcement{ID: "e0", BatchSlots: 64, Load: target.Load{QueuedPrefillTokens: 400000}})
	if pick := b.mustPick(nil); pick.Target.ID != "far" {
		t.Error("stayed in the home region at 20 s of queue")
	}
	if pick := b.mustPick(nil); pick.Target.ID != "e0" {
		t.Error("overdrew the budget of the region link")
	}
}

// Guards against herding on reports that are a second old: what other VMs
// send counts at once, and a later report takes over.
func TestCountsDispatchesOfOthers(t *testing.T) {
	b := newBench(t)
	b.engines(2)
	first := b.mustPick(nil).Target
	b.Elsewhere(first.Ref(), time.Second)
	for range 10 {
		if pick := b.mustPick(nil); pick.Target.ID == first.ID {
			t.Fatal("chose the target that another VM loaded")
		}
	}
	b.Elsewhere(target.Ref{ID: "e0", Incarnation: 9}, time.Second)
	b.now = b.now.Add(2 * time.Second)
	b.engines(2)
	used := map[string]bool{}
	for range 40 {
		used[b.mustPick(nil).Target.ID] = true
	}
	if len(used) != 2 {
		t.Errorf("only %v is used after the report", used)
	}
}

// Guards against a report that counts for good after reports stopped coming,
// and against ignoring reports that another VM passed on.
func TestReportsOfOtherZones(t *testing.T) {
	b := newBench(t)
	b.engines(2)
	b.mustPick(nil)
	busy := target.Ref{ID: "e0", Incarnation: 1}
	b.Report(busy, target.Load{Running: 64, Waiting: 64}, b.snap)
	for range 20 {
		if pick := b.mustPick(nil); pick.Target.ID == "e0" {
			t.Fatal("chose the target with full batch slots")
		}
	}
	summary := b.Registry.Summarize("a", b.now)
	b.now = b.now.Add(reportLife + time.Millisecond)
	b.Registry.ApplySummary("a", summary, b.now)
	used := map[string]bool{}
	for range 40 {
		used[b.mustPick(nil).Target.ID] = true
	}
	if !used["e0"] {
		t.Error("an old report still counts")
	}
}

// Guards against imports that take longer than the prefill or come from
// another region, and against a store that nothing fills.
func TestImportsWhereItPays(t *testing.T) {
	for _, test := range []struct {
		name          string
		bytesPerToken int
		region        string
		imports       bool
	}{{"fast", 16 << 10, "r", true}, {"slow", 128 << 10, "r", false}, {"far", 16 << 10, "s", false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.snap = config.NewSnapshot(config.Document{Models: map[string]config.Model{"m": {ServingVersion: "v1", KVBytesPerToken: test.bytesPerToken}}}, 1)
			b.announce(target.Announcement{ID: "e0", BatchSlots: 64, Capabilities: target.Capabilities{KV: true}})
			store := target.Announcement{ID: "kv", Incarnation: 1, Sequence: 1, Kind: target.KindKVStore, Zone: "a", Region: test.region, URL: "http://store"}
			b.Registry.Announce(store, b.now)
			chain := chainOf(1, 10)
			b.Index.Predict(target.Ref{ID: "kv", Incarnation: 1}, chain[:8], 0)
			var exported []prefix.Hash
			b.Export = func(e Export) { exported = e.Blocks }
			defer func() {
				if b.mustPick(chain); (len(exported) == len(chain)) != test.imports {
					t.Errorf("exported %d blocks of a reused chain", len(exported))
				}
				exported = nil
				if b.mustPick(chain); exported != nil {
					t.Error("exported again at once")
				}
			}()
			if pick := b.mustPick(chain); (pick.Prefix.KVSource == "http://store") != test.imports {
				t.Errorf("import from %q, want %v", pick.Prefix.KVSource, test.imports)
			}
		})
	}
}

type health map[string]time.Duration

func (h health) Usable(ref target.Ref) bool           { return h[ref.ID] >= 0 }
func (h health) Penalty(ref target.Ref) time.Duration { return h[ref.ID] }

// Guards against a circuit breaker that has no effect.
func TestHealth(t *testing.T) {
	b := newBench(t)
	b.Health = health{"e0": time.Minute, "e1": -1}
	b.engines(3)
	for range 20 {
		if pick := b.mustPick(nil); pick.Target.ID != "e2" {
			t.Fatalf("chose %s", pick.Target.ID)
		}
	}
}

type owner struct{ holdings []prefix.Holding }

func (o owner) Lookup(context.Context, []prefix.Hash) ([]prefix.Holding, bool) {
	return o.holdings, o.holdings != nil
}

// Guards against ignoring the owner of a chain, and against depending on it.
func TestAsksOwner(t *testing.T) {
	b := newBench(t)
	b.engines(4)
	chain := chainOf(1, 10)
	b.Remote = owner{[]prefix.Holding{{Ref: target.Ref{ID: "e3", Incarnation: 1}, Blocks: 10}}}
	if pick := b.mustPick(chain); pick.Target.ID != "e3" || pick.ExpectedCachedTokens != 10000 {
		t.Errorf("chose %s, want e3", pick.Target.ID)
	}
	b.Remote = owner{}
	if pick := b.mustPick(chain); pick.Target.ID != "e3" {
		t.Error("own knowledge is not used when the owner is gone")
	}
}

// Guards against a chain that is sought at a target that failed to compute it.
func TestTakesFailedDispatchBack(t *testing.T) {
	b := newBench(t)
	b.engines(2)
	var told []Dispatch
	b.Dispatched = func(d Dispatch) { told = append(told, d) }
	chain := chainOf(1, 10)
	pick := b.mustPick(chain)
	pick.Done(serving.AttemptResult{Err: context.DeadlineExceeded})
	if got := b.Index.Longest(chain); got != 0 {
		t.Errorf("%d blocks are expected after the failure", got)
	}
	if len(told) != 2 || told[0].Failed || !told[1].Failed || told[1].Ref != pick.Target.Ref() {
		t.Errorf("other VMs were told %v", told)
	}
}

// Guards against stale entries that outlive what the engine says.
func TestLearnsFromEngine(t *testing.T) {
	b := newBench(t)
	b.engines(1)
	chain := chainOf(1, 10)
	b.mustPick(chain)
	b.mustPick(chain).Done(serving.AttemptResult{CachedTokens: 4000})
	if pick := b.mustPick(chain); pick.ExpectedCachedTokens != 4000 {
		t.Errorf("expects %d tokens, want 4000", pick.ExpectedCachedTokens)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{60, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f := newBench(b)
			f.engines(targets)
			for i := range targets {
				f.Index.Predict(target.Ref{ID: fmt.Sprint("e", i), Incarnation: 1}, chainOf(uint64(i%7), 1+i%100), 0)
			}
			chains := [][]prefix.Hash{}
			for i := range uint64(7) {
				chains = append(chains, chainOf(i, 100))
			}
			req := f.request("w")
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				pick, _ := f.pick(req, chains[n%7])
				pick.Done(serving.AttemptResult{})
				if n%1000 == 999 {
					f.view = nil
				}
			}
		})
	}
}
