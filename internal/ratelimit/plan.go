// Package ratelimit holds each workspace to its token rate and burst over all
// VMs together, so that for every interval T the tokens admitted are at most
// rate x T + burst.
//
// Tokens are conserved. A root bucket on the leader of the control log grants
// tokens to VMs; its level plus everything outstanding at VMs never exceeds its
// capacity. A fixed fraction of rate and burst, the floor, belongs to the VM
// slots and works without the root, so that a zone that is cut off goes on
// serving. VMs of a zone lend each other tokens; the lender counts them as
// outstanding until they have expired, so a token is never counted at two VMs.
// The package does no I/O, and only durations cross between VMs.
package ratelimit

import "time"

const (
	// GrantTTL is how long granted tokens can be spent after the VM asked.
	GrantTTL = 2 * time.Second
	// clockDrift bounds the difference in speed between two VMs' clocks.
	clockDrift = 0.01
	// reclaimAfter is when the root counts granted tokens as gone. The root's
	// clock may run faster than the VM's by the drift on both sides.
	reclaimAfter = GrantTTL + time.Duration(2*clockDrift*float64(GrantTTL))
)

// Plan is the rate of one workspace.
type Plan struct {
	// Rate is the sustained rate in tokens per second, over all VMs.
	Rate float64
	// Burst is the largest number of tokens admitted at once, over all VMs.
	Burst float64
	// FloorFraction is the part of rate and burst that belongs to VM slots.
	FloorFraction float64
	// Slots is the number of VM slots over all zones.
	Slots int
}

// rootPart returns the rate and capacity of the root bucket.
func (p Plan) rootPart() (rate, capacity float64) {
	f := p.floorFraction()
	return p.Rate * (1 - f), p.Burst * (1 - f)
}

// floorPart returns the rate and capacity of one slot's floor.
func (p Plan) floorPart() (rate, capacity float64) {
	if p.Slots < 1 {
		return 0, 0
	}
	f := p.floorFraction() / float64(p.Slots)
	return p.Rate * f, p.Burst * f
}

// floorFraction is zero without slots, because a floor needs an exclusive
// holder.
func (p Plan) floorFraction() float64 {
	if p.Slots < 1 {
		return 0
	}
	return p.FloorFraction
}

// Holder names one start of a VM.
type Holder struct {
	// VM is the name of the VM.
	VM string
	// Incarnation is its start.
	Incarnation uint64
}

// Report is what a VM tells the root, and asks of it. It lists every
// workspace of which the VM holds tokens.
type Report struct {
	// Holder is the VM that reports.
	Holder Holder
	// Slot names the VM slot, as zone and number.
	Slot string
	// Sequence grows with each report, so that a late one is ignored.
	Sequence uint64
	// Uptime is how long the VM has been running.
	Uptime time.Duration
	// Items has one entry per workspace.
	Items []ReportItem
}

// ReportItem is the part of a report about one workspace.
type ReportItem struct {
	// Workspace names the workspace.
	Workspace string
	// Outstanding is what the VM may still spend of earlier grants, together
	// with what it lent and has not expired.
	Outstanding float64
	// GivenBack is the unspent part of earlier grants that the VM has dropped.
	GivenBack float64
	// First is what the first waiting request lacks, Need what all lack.
	First float64
	Need  float64
	// Prefetch is what the VM would like to hold for the next requests.
	Prefetch float64
	// Returned is what settled requests did not use.
	Returned float64
	// ReturnedAge is the age of the oldest admission in Returned.
	ReturnedAge time.Duration
}

// Grant answers one item of a report.
type Grant struct {
	// Workspace names the workspace.
	Workspace string
	// Tokens are added to the VM's holding.
	Tokens float64
}
