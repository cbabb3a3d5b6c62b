// Package ratelimit limits each workspace to its token rate and burst over all
// VMs together: within any interval T at most rate x T + burst tokens are
// admitted.
//
// Tokens are conserved. A root bucket on the leader of the control log grants
// tokens to VMs; its level plus all tokens outstanding at VMs never exceeds its
// capacity. A fixed fraction of rate and burst, the floor, is divided among the
// VM slots and can be spent without the root, so that a partitioned zone
// continues to serve. VMs of a zone lend each other tokens. The lender counts
// them as outstanding until they expire, so no token is counted at two VMs. The
// package does no I/O, and VMs exchange only durations, no absolute times.
package ratelimit

import "time"

const (
	// GrantTTL is how long a VM may spend granted tokens, counted from when it
	// sent its report.
	GrantTTL = 2 * time.Second
	// clockDrift is the maximum relative drift assumed for the clock of a VM.
	clockDrift = 0.01
	// reclaimAfter is how long the root counts granted tokens as outstanding.
	// It exceeds GrantTTL because the root's clock may run fast and the VM's
	// clock slow, each by clockDrift.
	reclaimAfter = GrantTTL + time.Duration(2*clockDrift*float64(GrantTTL))
)

// Limit is the rate limit of one workspace.
type Limit struct {
	// Rate is the sustained rate in tokens per second, over all VMs.
	Rate float64
	// Burst is the maximum number of tokens admitted at once, over all VMs.
	Burst float64
	// FloorFraction is the fraction of rate and burst that is divided among the
	// VM slots.
	FloorFraction float64
	// Slots is the number of VM slots over all zones.
	Slots int
}

// rootLimit returns the rate and capacity of the root bucket.
func (l Limit) rootLimit() (rate, capacity float64) {
	f := l.floorFraction()
	return l.Rate * (1 - f), l.Burst * (1 - f)
}

// floorLimit returns the rate and capacity of one slot's floor.
func (l Limit) floorLimit() (rate, capacity float64) {
	if l.Slots < 1 {
		return 0, 0
	}
	f := l.floorFraction() / float64(l.Slots)
	return l.Rate * f, l.Burst * f
}

// floorFraction is zero without slots, because each floor needs an exclusive
// holder.
func (l Limit) floorFraction() float64 {
	if l.Slots < 1 {
		return 0
	}
	return l.FloorFraction
}

// Holder identifies one incarnation of a VM.
type Holder struct {
	// VM is the name of the VM.
	VM string
	// Incarnation distinguishes restarts of the VM.
	Incarnation uint64
}

// Report tells the root what a VM holds and what it needs. It lists every
// workspace of which the VM holds tokens.
type Report struct {
	// Holder is the VM that reports.
	Holder Holder
	// Slot identifies the VM slot by zone and number.
	Slot string
	// Sequence increases with each report, so that a late report is ignored.
	Sequence uint64
	// Uptime is how long the VM has been running.
	Uptime time.Duration
	// Items has one entry per workspace.
	Items []ReportItem
}

// ReportItem is the part of a report about one workspace.
type ReportItem struct {
	Workspace string
	// Outstanding is what the VM may still spend of earlier grants, plus the
	// tokens that it has lent from them and that have not yet expired.
	Outstanding float64
	// ReturnedTokens is the unspent part of earlier grants that the VM returns.
	ReturnedTokens float64
	// FirstShortfall is what the first waiting request lacks, TotalShortfall
	// what all waiting requests lack.
	FirstShortfall float64
	TotalShortfall float64
	// Prefetch is how many more tokens the VM would like to hold for future
	// requests.
	Prefetch float64
	// Refund is the number of tokens that settled requests were charged but did
	// not use.
	Refund float64
	// RefundAge is the age of the oldest admission in Refund.
	RefundAge time.Duration
}

// Grant is the root's response to one item of a report.
type Grant struct {
	Workspace string
	// Tokens are added to those that the VM holds.
	Tokens float64
}
