package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// ShareAllocator allocates fractions of the rates of workspaces to VMs. It runs
// on the leader of the control log and is safe for concurrent use.
type ShareAllocator struct {
	window time.Duration

	mu      sync.Mutex
	started time.Duration
	vms     map[string]*vmShares
	// departed holds earlier incarnations of VMs and VMs that stopped
	// reporting. Their spending still counts.
	departed []*vmShares
	// previousSpending is what was spent under the previous leader according to
	// its last record, less what VMs that have reported contributed to it.
	previousSpending map[string]Spending
	// previousRates is what was spent per second under the previous leader.
	previousRates map[string]float64
	// totals maps each workspace to its totals over all VMs.
	totals map[string]*shareTotals
	// reportsSinceRecompute counts the reports since the totals were recomputed.
	reportsSinceRecompute int
	entriesRead           uint64
	// nextExpiry is when VMs and departed incarnations are checked next.
	nextExpiry time.Duration
}

// expiryInterval is the time between two checks for VMs that have stopped
// reporting. ShareReclaim exceeds ShareLease, so a later check is safe.
const expiryInterval = 100 * time.Millisecond

type vmShares struct {
	incarnation int64
	lastReport  time.Duration
	// reports holds the latest report on each workspace, granted the fractions
	// that the VM may be using.
	reports map[string]ShareReport
	granted map[string]float64
}

// NewShareAllocator returns an allocator that starts at now, on a clock that
// keeps running while the machine is suspended. window is the period over which
// spending is limited. previous is what workspaces had spent within the window
// under the previous leader.
func NewShareAllocator(now, window time.Duration, previous map[string]Spending) *ShareAllocator {
	d := &ShareAllocator{
		window: window, started: now, vms: make(map[string]*vmShares), previousSpending: make(map[string]Spending),
		totals: make(map[string]*shareTotals), nextExpiry: now,
	}
	maps.Copy(d.previousSpending, previous)
	d.previousRates = make(map[string]float64, len(previous))
	for workspace, spending := range previous {
		d.previousRates[workspace] = spending.Recent / (window / 2).Seconds()
	}
	return d
}

// Totals returns what each workspace has spent within the window.
func (d *ShareAllocator) Totals(now time.Duration) map[string]Spending {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	totals := make(map[string]Spending, len(d.totals))
	for workspace, t := range d.totals {
		totals[workspace] = t.total()
	}
	for workspace := range d.previousSpending {
		totals[workspace] = totals[workspace].plus(d.previousSpending[workspace].aged(now-d.started, d.window))
	}
	return totals
}

// previousSpent returns the spending under the previous leader that is still in
// the window and that no VM has reported.
func (d *ShareAllocator) previousSpent(now time.Duration, workspace string) float64 {
	return d.previousSpending[workspace].after(now-d.started, d.window)
}

// Report stores the report of one incarnation of a VM and returns its grants.
// An earlier incarnation has ended and spends nothing any more; its reports get
// no response.
func (d *ShareAllocator) Report(now time.Duration, vm string, incarnation int64, reports map[string]ShareReport) map[string]ShareGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	h := d.vms[vm]
	if h != nil && h.incarnation > incarnation {
		return nil
	}
	if h != nil {
		d.add(h, -1)
	}
	if h == nil || h.incarnation < incarnation {
		if h != nil {
			d.retire(now, h)
		}
		h = &vmShares{incarnation: incarnation}
		d.vms[vm] = h
		for workspace, r := range reports {
			d.previousSpending[workspace] = d.previousSpending[workspace].minus(r.Confirmed)
		}
	}
	h.lastReport = now
	h.reports = reports
	h.granted = make(map[string]float64, len(reports))
	grants := make(map[string]ShareGrant, len(reports))
	for workspace, r := range reports {
		g := d.grant(now, workspace, r)
		grants[workspace] = g
		h.granted[workspace] = g.Fraction
	}
	d.add(h, 1)
	d.recomputeIfDue()
	return grants
}

// grant returns the grant for one report. The totals must not include the VM that
// sent it. Each other VM counts as having admitted all of its demand since its
// last report.
func (d *ShareAllocator) grant(now time.Duration, workspace string, r ShareReport) ShareGrant {
	others := d.totalsOf(workspace)
	g := ShareGrant{
		// VMs that were lost together with the previous leader report nothing.
		SpentByOthers:  max(others.projectedSpent((now-d.started).Seconds()), 0) + d.previousSpent(now, workspace),
		DemandOfOthers: max(others.demand, 0),
		Fraction:       d.nextFraction(now, others, r),
	}
	if g.WarmingUp = now-d.started < warmupTime; g.WarmingUp {
		g.PreviousRate = d.previousRates[workspace]
	}
	return g
}

// retire keeps counting the spending of a VM that has departed. The VM may have
// admitted all of its demand between its last report and the end of its lease.
// The totals must not include the VM any more.
func (d *ShareAllocator) retire(now time.Duration, h *vmShares) {
	unreported := min(now-h.lastReport, ShareLease).Seconds()
	for workspace, r := range h.reports {
		growth := r.Demand * unreported
		r.Spending = r.Spending.plus(Spending{Spent: growth, Recent: growth})
		h.reports[workspace] = r
		t := d.totalsOf(workspace)
		t.departed = t.departed.plus(r.Spending)
	}
	h.lastReport = now
	d.departed = append(d.departed, h)
}

// expire retires the VMs that have stopped reporting, and drops the departed ones
// whose spending has left the window. It does so at most every expiryInterval.
func (d *ShareAllocator) expire(now time.Duration) {
	if now < d.nextExpiry {
		return
	}
	d.nextExpiry = now + expiryInterval
	for name, h := range d.vms {
		if now-h.lastReport > ShareReclaim {
			delete(d.vms, name)
			d.add(h, -1)
			d.retire(now, h)
		}
	}
	kept := d.departed[:0]
	for _, h := range d.departed {
		if now-h.lastReport <= d.window {
			kept = append(kept, h)
		}
	}
	if len(kept) < len(d.departed) {
		clear(d.departed[len(kept):])
		d.departed = kept
		d.recomputeTotals()
	}
}

// nextFraction returns the new fraction of a VM that reported r, while the other
// VMs have the given totals. A decrease takes effect only when the VM receives the
// response, so the VM counts with the larger value until its next report.
func (d *ShareAllocator) nextFraction(now time.Duration, others *shareTotals, r ShareReport) float64 {
	desired := d.fractionByDemand(others, r)
	if now-d.started < ShareReclaim && desired > r.Held {
		// VMs that have not yet reported to this allocator may be using the
		// rest.
		desired = max(r.Held, startupFraction)
	}
	return max(0, min(desired, 1-others.held))
}

// fractionByDemand returns the fraction of a VM: evenFraction is divided
// evenly, the rest in proportion to demand.
func (d *ShareAllocator) fractionByDemand(others *shareTotals, r ShareReport) float64 {
	sum := max(others.demand, 0) + r.Demand
	even := 1 / float64(len(d.vms))
	if sum <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*r.Demand/sum
}

// VMCount returns the number of VMs that report.
func (d *ShareAllocator) VMCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.vms)
}
