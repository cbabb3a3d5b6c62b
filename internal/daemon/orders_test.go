package daemon

import (
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/orders"
	"github.com/cuminwing/cuminwing/internal/standin"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Guards against a rollout that fails for engines with or without fencing
// checks, loads a version twice, updates all engines of a zone, or stops when
// the leader fails.
func TestRolloutSurvivesLeaderFailure(t *testing.T) {
	document := testDocument()
	document.Models[testModel] = config.Model{ServingVersion: "v1", OrderedVersion: "v2", MaxConcurrentLoads: 1}
	vms := startVMs(t, document, "muc-a", "muc-a", "muc-a")
	var engines []*standin.Engine
	for i, id := range []string{"e-1", "e-2", "e-3", "e-4"} {
		e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
			ID: id, Zone: "muc-a", Region: "oberbayern", Model: testModel, Version: "v1",
			BatchSlots: 8, AnnounceURLs: announceTo(vms), OrderHandling: standin.OrderOptions{Fencing: i%2 == 0},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		engines = append(engines, e)
	}
	holding := func(vm *testVM) (n int) {
		for _, e := range vm.registry.All() {
			if e.Kind == target.KindEngine && e.Version == "v2" && !e.Loading {
				n++
			}
		}
		return n
	}
	leader := -1
	await(t, "first engine on v2", func() bool {
		for i, vm := range vms {
			if vm.log.HoldsLease() && holding(vm) >= 1 {
				leader = i
			}
		}
		return leader >= 0
	})
	vms[leader].Close()
	survivor := vms[(leader+1)%len(vms)]
	await(t, "half of the zone on v2", func() bool { return holding(survivor) == 2 })
	time.Sleep(2 * orders.RenewInterval)
	loads := 0
	for _, e := range engines {
		loads += e.LoadCount()
	}
	if loads != 2 || holding(survivor) != 2 {
		t.Fatalf("%d loads and %d engines on v2, want 2 and 2 of 4 engines", loads, holding(survivor))
	}
}
