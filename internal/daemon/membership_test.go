package daemon

import (
	"context"
	"testing"

	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// Guards against VMs that do not discover each other over real sockets, targets
// that are known only to the VM they announce themselves to, a shutdown that
// other VMs detect only by time-out, and usage that is lost in a shutdown.
func TestVMsShareMembersTargetsAndUsage(t *testing.T) {
	vms := startVMs(t, testDocument(), "muc-a", "muc-a", "muc-b")
	for _, vm := range vms {
		await(t, "members at "+vm.settings.VM, func() bool { return len(vm.members()) == len(vms) })
	}
	startEngine(t, "engine-1", false, vms[0])
	awaitTarget(t, vms[1], "engine-1")
	awaitTarget(t, vms[2], "engine-1")

	await(t, "response", func() bool { return ask(t, vms[0], "grade it", 20, nil).complete() })
	billed := func() (tokens uint64) {
		totals, err := usageServer{vms[2].Node}.Report(t.Context(), &usagev1.Query{Workspace: "yards"})
		if err != nil {
			return 0
		}
		for _, total := range totals.GetTotals() {
			tokens += total.GetCompletionTokens()
		}
		return tokens
	}

	vms[1].registry.Drain("engine-1", true)
	await(t, "drain arrives in the other zone", func() bool {
		e, ok := vms[2].registry.Get("engine-1")
		return ok && e.Draining
	})

	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	if err := vms[0].Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	await(t, "other VMs have removed vm-1", func() bool { return len(vms[1].members()) == 2 && len(vms[2].members()) == 2 })
	await(t, "usage of the response is recorded", func() bool { return billed() == 20 })
}
