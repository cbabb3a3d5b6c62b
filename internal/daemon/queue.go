package daemon

import (
	"math"

	"github.com/cuminwing/cuminwing/internal/fairqueue"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// queueOvercommit admits somewhat more requests than the targets have batch
	// slots, so that a freed slot is taken immediately.
	queueOvercommit = 1.25
	// prefillsPerTarget limits the prompts in flight to one target: one is being
	// prefilled, and the others are ready when it finishes.
	prefillsPerTarget = 6
	// defaultSlots is the number of batch slots assumed for targets that do not
	// announce a capacity.
	defaultSlots = 64
)

// newQueue returns the fair queue of this VM.
func (n *Node) newQueue() *fairqueue.Queue {
	return &fairqueue.Queue{Clock: n.clock, Capacity: n.groupCapacity}
}

// groupCapacity returns how many requests to a group this VM may have in
// flight: its equal share of the slots, or the slots that the other VMs leave
// free according to the load reports, whichever is larger. Load reports lag
// behind, so the equal share keeps VMs from starving each other.
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
		Prefilling: shareOf(float64(targets)*prefillsPerTarget, vms, waiting-own.Prefilling),
	}
}

// shareOf returns the part of a limit available to this VM: the equal share of
// one of the VMs, or what the others do not use, whichever is larger.
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
