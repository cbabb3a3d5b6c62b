package daemon

import (
	"math"

	"github.com/cuminwing/cuminwing/internal/fairqueue"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// queueOvercommit lets a few more requests go than the targets have batch
	// slots, so that a slot that becomes free is taken at once.
	queueOvercommit = 1.25
	// prefillPerTarget is how many prompts may be on their way to one target
	// at a time: one is computed and the next ones are there when it ends.
	prefillPerTarget = 6
	// defaultSlots stands for targets that announce no capacity.
	defaultSlots = 64
)

// newQueue returns the fair queue of this VM.
func (n *Node) newQueue() *fairqueue.Queue {
	return &fairqueue.Queue{Clock: n.clock, Capacity: n.groupCapacity}
}

// groupCapacity returns what a group may have in flight from this VM: an equal
// part of the slots, or what the other VMs leave free according to the load
// reports, whichever is more. Reports lag, so the equal part keeps VMs from
// shutting each other out.
func (n *Node) groupCapacity(group string, own fairqueue.Usage) fairqueue.Limits {
	slots, running, waiting, targets := 0, 0, 0, 0
	for _, t := range n.groupTargets(group) {
		slots += targetSlots(t)
		running += t.Load.Running
		waiting += t.Load.Waiting
		targets++
	}
	if slots == 0 {
		return fairqueue.Limits{}
	}
	vms := max(1, len(n.members()))
	return fairqueue.Limits{
		InFlight:   shareOf(float64(slots)*queueOvercommit, vms, running+waiting-own.InFlight),
		Prefilling: shareOf(float64(targets)*prefillPerTarget, vms, waiting-own.Prefilling),
	}
}

// shareOf divides a limit over VMs, of which the others use a part.
func shareOf(limit float64, vms, others int) int {
	equal := math.Ceil(limit / float64(vms))
	return int(max(equal, limit-float64(max(0, others))))
}

// groupTargets returns the usable targets of a model or service.
func (n *Node) groupTargets(group string) []*target.Target {
	now := n.clock()
	if snap := n.Snapshot(); snap != nil {
		if m, ok := snap.Document.Models[group]; ok {
			return n.registry.Engines(group, m.ServingVersion, now)
		}
	}
	return n.registry.Services(group, now)
}

func targetSlots(t *target.Target) int {
	if t.BatchSlots > 0 {
		return t.BatchSlots
	}
	return defaultSlots
}
