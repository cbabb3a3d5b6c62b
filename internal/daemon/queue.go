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
	// defaultSlots stands for targets that announce no capacity.
	defaultSlots = 64
)

// newQueue returns the fair queue of this VM.
func (n *Node) newQueue() *fairqueue.Queue {
	return &fairqueue.Queue{Clock: n.clock, Capacity: n.groupCapacity}
}

// groupCapacity returns how many requests of a group may be in flight from
// this VM: an equal part of the slots, or what the other VMs leave free
// according to the load reports, whichever is more. Reports lag, so the equal
// part keeps VMs from shutting each other out.
func (n *Node) groupCapacity(group string, inFlight int) int {
	slots, busy := 0, 0
	for _, t := range n.groupTargets(group) {
		slots += targetSlots(t)
		busy += t.Load.Running + t.Load.Waiting
	}
	if slots == 0 {
		return 0
	}
	limit := float64(slots) * queueOvercommit
	share := math.Ceil(limit / float64(max(1, len(n.members()))))
	others := max(0, busy-inFlight)
	return int(max(share, limit-float64(others)))
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
