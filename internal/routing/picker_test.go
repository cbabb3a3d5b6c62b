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

// fixture is a picker whose clock and targets are controlled by the test.
type fixture struct {
	*Picker
	t        testing.TB
	now      time.Time
	sequence uint64
	snap     *config.Snapshot
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	clock := func() time.Time { return f.now }
	f.Picker = &Picker{
		Registry: target.NewRegistry(), Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)),
		Index: prefix.NewIndex(clock), Zone: "a", Region: "r",
	}
	f.snap = config.NewSnapshot(config.Document{
		Models:     map[string]config.Model{"m": {ServingVersion: "v1"}},
		Objectives: map[string]config.Objective{"o": {Route: "x", Kind: objectiveFirstToken, ThresholdMS: 1000}},
		Zones:      map[string]config.Zone{"a": {Region: "r", VMSlots: 2}},
	}, 1)
	return f
}

func (f *fixture) announce(a target.Announcement) {
	f.sequence++
	a.Sequence, a.Kind, a.Model = f.sequence, target.KindEngine, "m"
	if a.Incarnation == 0 {
		a.Incarnation = 1
	}
	if a.Version == "" {
		a.Version = "v1"
	}
	if a.Region == "" {
		a.Zone, a.Region = "a", "r"
	}
	f.Registry.MergeAnnouncement(a, f.now)
	f.view = nil
}

func (f *fixture) announceEngines(n int) {
	for i := range n {
		f.announce(target.Announcement{ID: fmt.Sprint("e", i), BatchSlots: 64})
	}
}

func (f *fixture) request(workspace string) serving.PickRequest {
	call := &serving.Call{Workspace: workspace, Model: "m", Version: "v1", RouteName: "x", Snapshot: f.snap, Body: make([]byte, 4<<20)}
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

func (f *fixture) pick(req serving.PickRequest, chain []prefix.Hash) (*serving.Pick, *serving.Refusal) {
	req.Call.PromptTokens = len(chain)*config.DefaultBlockTokens + 10
	return f.PickChain(context.Background(), req, serving.PrefixHint{Blocks: chain})
}

func (f *fixture) mustPick(chain []prefix.Hash) *serving.Pick {
	f.t.Helper()
	pick, refusal := f.pick(f.request("w"), chain)
	if refusal != nil {
		f.t.Fatal(refusal)
	}
	return pick
}

// Guards against recomputing a prefix that a target holds, and against
// computing a cold prefix more than once for simultaneous requests.
func TestFollowsPrefix(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(8)
	chain := chainOf(1, 20)
	first := f.mustPick(chain)
	for range 5 {
		if next := f.mustPick(chain); next.Target.ID != first.Target.ID || next.ExpectedCachedTokens != 20000 {
			t.Errorf("request was sent to %s with %d expected cached tokens, want %s with 20000", next.Target.ID, next.ExpectedCachedTokens, first.Target.ID)
		}
	}
}

// Guards against a hot prefix overloading its only holder: requests that exceed
// the capacity of one engine must reach further engines, also right after
// another prefix becomes hot.
func TestReplicatesHotPrefix(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(8)
	for shift := range uint64(3) {
		used := map[string]int{}
		for range 40 * 8 {
			used[f.mustPick(chainOf(shift, 4)).Target.ID]++
			f.now = f.now.Add(time.Millisecond)
		}
		if len(used) < 4 {
			t.Errorf("requests for hot prefix %d were sent to %d engines, want at least 4: %v", shift, len(used), used)
		}
		f.now = f.now.Add(time.Second)
		f.announceEngines(8)
	}
}

// Guards against choosing a leaving, expired or excluded target, and against a
// refusal that is not marked not-run.
func TestRefusesWithoutTarget(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(2)
	chain := chainOf(1, 2)
	first := f.mustPick(chain)
	req := f.request("w")
	req.Exclude = []target.Ref{first.Target.Ref()}
	second, _ := f.pick(req, chain)
	if second.Target.ID == first.Target.ID {
		t.Error("picked the excluded target")
	}
	f.announce(target.Announcement{ID: second.Target.ID, Leaving: true})
	if _, refusal := f.pick(req, chain); refusal == nil || refusal.Run != serving.NotRun {
		t.Errorf("refusal = %v, want one marked not-run", refusal)
	}
	f.now = f.now.Add(target.HeartbeatTimeout)
	if pick, _ := f.pick(f.request("w"), chain); pick != nil {
		t.Errorf("picked target %s, which has sent no heartbeat within target.HeartbeatTimeout", pick.Target.ID)
	}
}

// Guards against using index entries of a replaced incarnation, and against
// choosing a target with another weights version.
func TestIgnoresFormerIncarnationAndVersion(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(1)
	chain := chainOf(1, 4)
	f.mustPick(chain)
	f.announce(target.Announcement{ID: "e0", Incarnation: 2})
	if pick := f.mustPick(chain); pick.ExpectedCachedTokens != 0 {
		t.Errorf("new incarnation is expected to hold %d cached tokens, want 0", pick.ExpectedCachedTokens)
	}
	f.announce(target.Announcement{ID: "e0", Incarnation: 2, Version: "v0"})
	if pick, _ := f.pick(f.request("w"), chain); pick != nil {
		t.Error("picked a target with another weights version")
	}
}

// Guards against all VMs choosing the same target based on the same stale
// report: with equal loads the choices must spread.
func TestSpreadsOnStaleReports(t *testing.T) {
	used := map[string]int{}
	for vm := range uint64(60) {
		f := newFixture(t)
		f.Rand = rand.New(rand.NewPCG(vm, 0))
		f.announceEngines(6)
		used[f.mustPick(nil).Target.ID]++
	}
	if len(used) < 6 || slices.Max([]int{used["e0"], used["e1"], used["e2"]}) > 30 {
		t.Errorf("choices of 60 VMs are not spread over the 6 engines: %v", used)
	}
}

// Guards against leaving the home region while it meets the objective, and
// against exceeding the bandwidth of the region link.
func TestCrossesRegionOnlyWhenNeeded(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(1)
	f.announce(target.Announcement{ID: "far", Zone: "c", Region: "s", BatchSlots: 64})
	if pick := f.mustPick(nil); pick.Target.ID != "e0" {
		t.Error("picked a target in another region while the home region was idle")
	}
	f.announce(target.Announcement{ID: "e0", BatchSlots: 64, Load: target.Load{QueuedPrefillTokens: 400000}})
	if pick := f.mustPick(nil); pick.Target.ID != "far" {
		t.Error("picked a target in the home region, whose queue takes 20 s")
	}
	if pick := f.mustPick(nil); pick.Target.ID != "e0" {
		t.Error("picked a target in another region although the bandwidth of the region link was used up")
	}
}

// Guards against herding on load reports that are one second old: requests
// dispatched by other VMs must count immediately, and a later report must
// replace them.
func TestCountsDispatchesOfOtherVMs(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(2)
	first := f.mustPick(nil).Target
	f.AddPeerDispatch(first.Ref(), time.Second)
	for range 10 {
		if pick := f.mustPick(nil); pick.Target.ID == first.ID {
			t.Fatal("picked the target to which another VM had dispatched a request")
		}
	}
	f.AddPeerDispatch(target.Ref{ID: "e0", Incarnation: 9}, time.Second)
	f.now = f.now.Add(2 * time.Second)
	f.announceEngines(2)
	used := map[string]bool{}
	for range 40 {
		used[f.mustPick(nil).Target.ID] = true
	}
	if len(used) != 2 {
		t.Errorf("picked only %v after the new load report, want both targets", used)
	}
}

// Guards against a load report that never expires after reports stop arriving,
// and against ignoring reports forwarded by another VM.
func TestReportsOfOtherZones(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(2)
	f.mustPick(nil)
	busy := target.Ref{ID: "e0", Incarnation: 1}
	f.ApplyLoadReport(busy, target.Load{Running: 64, Waiting: 64}, f.snap)
	for range 20 {
		if pick := f.mustPick(nil); pick.Target.ID == "e0" {
			t.Fatal("picked the target whose batch slots are full")
		}
	}
	summary := f.Registry.Summarize("a", f.now)
	f.now = f.now.Add(reportTTL + time.Millisecond)
	f.Registry.ApplySummary("a", summary, f.now)
	used := map[string]bool{}
	for range 40 {
		used[f.mustPick(nil).Target.ID] = true
	}
	if !used["e0"] {
		t.Error("did not pick e0 after its load report expired")
	}
}

// Guards against imports that take longer than the prefill or cross regions,
// and against a KV store that is never filled.
func TestImportsOnlyIfFasterThanPrefill(t *testing.T) {
	for _, test := range []struct {
		name          string
		bytesPerToken int
		region        string
		imports       bool
	}{{"fast", 16 << 10, "r", true}, {"slow", 128 << 10, "r", false}, {"far", 16 << 10, "s", false}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.snap = config.NewSnapshot(config.Document{Models: map[string]config.Model{"m": {ServingVersion: "v1", KVBytesPerToken: test.bytesPerToken}}}, 1)
			f.announce(target.Announcement{ID: "e0", BatchSlots: 64, Capabilities: target.Capabilities{KV: true}})
			store := target.Announcement{ID: "kv", Incarnation: 1, Sequence: 1, Kind: target.KindKVStore, Zone: "a", Region: test.region, URL: "http://store"}
			f.Registry.MergeAnnouncement(store, f.now)
			chain := chainOf(1, 10)
			f.Index.Predict(target.Ref{ID: "kv", Incarnation: 1}, chain[:8], 0)
			var exported []prefix.Hash
			f.OnExport = func(e Export) { exported = e.Blocks }
			defer func() {
				if f.mustPick(chain); (len(exported) == len(chain)) != test.imports {
					t.Errorf("exported %d blocks of a reused chain; want all 10 exactly if importing is faster than the prefill", len(exported))
				}
				exported = nil
				if f.mustPick(chain); exported != nil {
					t.Error("exported the chain again within the cooldown")
				}
			}()
			if pick := f.mustPick(chain); (pick.Prefix.KVSource == "http://store") != test.imports {
				t.Errorf("import source is %q, want import: %v", pick.Prefix.KVSource, test.imports)
			}
		})
	}
}

type fakeHealth map[string]time.Duration

func (h fakeHealth) Usable(ref target.Ref) bool           { return h[ref.ID] >= 0 }
func (h fakeHealth) Penalty(ref target.Ref) time.Duration { return h[ref.ID] }

// Guards against ignoring circuit breakers and latency penalties.
func TestHealth(t *testing.T) {
	f := newFixture(t)
	f.Health = fakeHealth{"e0": time.Minute, "e1": -1}
	f.announceEngines(3)
	for range 20 {
		if pick := f.mustPick(nil); pick.Target.ID != "e2" {
			t.Fatalf("picked %s, want e2", pick.Target.ID)
		}
	}
}

type fakeOwner struct{ holdings []prefix.Holding }

func (o fakeOwner) Lookup(context.Context, []prefix.Hash) ([]prefix.Holding, bool) {
	return o.holdings, o.holdings != nil
}

// Guards against ignoring the owner's response, and against failing when the
// owner does not respond.
func TestUsesOwnerResponse(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(4)
	chain := chainOf(1, 10)
	f.OwnerLookup = fakeOwner{[]prefix.Holding{{Ref: target.Ref{ID: "e3", Incarnation: 1}, Blocks: 10}}}
	if pick := f.mustPick(chain); pick.Target.ID != "e3" || pick.ExpectedCachedTokens != 10000 {
		t.Errorf("picked %s, want e3 with 10000 expected cached tokens", pick.Target.ID)
	}
	f.OwnerLookup = fakeOwner{}
	if pick := f.mustPick(chain); pick.Target.ID != "e3" {
		t.Error("did not use this VM's own index when the owner did not respond")
	}
}

// Guards against expecting a chain at a target whose attempt to compute it
// failed.
func TestRetractsFailedDispatch(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(2)
	var dispatched []Dispatch
	f.OnDispatch = func(d Dispatch) { dispatched = append(dispatched, d) }
	chain := chainOf(1, 10)
	pick := f.mustPick(chain)
	pick.Done(serving.AttemptResult{Err: context.DeadlineExceeded})
	if got := f.Index.LongestMatch(chain); got != 0 {
		t.Errorf("index still holds %d blocks after the failed dispatch, want 0", got)
	}
	if len(dispatched) != 2 || dispatched[0].Failed || !dispatched[1].Failed || dispatched[1].Ref != pick.Target.Ref() {
		t.Errorf("dispatches reported to other VMs = %v, want one dispatch and its failure", dispatched)
	}
}

// Guards against keeping predictions that the engine's reported cached tokens
// contradict.
func TestCorrectsPredictionFromCachedTokens(t *testing.T) {
	f := newFixture(t)
	f.announceEngines(1)
	chain := chainOf(1, 10)
	f.mustPick(chain)
	f.mustPick(chain).Done(serving.AttemptResult{CachedTokens: 4000})
	if pick := f.mustPick(chain); pick.ExpectedCachedTokens != 4000 {
		t.Errorf("expected cached tokens = %d, want 4000", pick.ExpectedCachedTokens)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{60, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f := newFixture(b)
			f.announceEngines(targets)
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
