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
	// its last record, less what VMs have included in their first reports.
	previousSpending map[string]Spending
	// previousRates is what was spent per second under the previous leader.
	previousRates map[string]float64
}

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
	d := &ShareAllocator{window: window, started: now, vms: make(map[string]*vmShares), previousSpending: make(map[string]Spending)}
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
	totals := make(map[string]Spending)
	for _, h := range d.vms {
		for workspace, r := range h.reports {
			totals[workspace] = totals[workspace].plus(r.Spending)
		}
	}
	for _, h := range d.departed {
		for workspace, r := range h.reports {
			totals[workspace] = totals[workspace].plus(r.Spending)
		}
	}
	for workspace := range d.previousSpending {
		totals[workspace] = totals[workspace].plus(Spending{Spent: d.previousSpent(now, workspace)})
	}
	return totals
}

// previousSpent returns the spending under the previous leader that is still in
// the window and that no VM has reported. Spending in either half of the window
// is treated as if it occurred at the end of that half.
func (d *ShareAllocator) previousSpent(now time.Duration, workspace string) float64 {
	switch age := now - d.started; {
	case age < d.window/2:
		return d.previousSpending[workspace].Spent
	case age < d.window:
		return d.previousSpending[workspace].Recent
	}
	return 0
}

// Report stores the report of one incarnation of a VM and returns its grants.
// An earlier incarnation has ended and spends nothing any more; its reports get
// no response.
func (d *ShareAllocator) Report(now time.Duration, vm string, incarnation int64, reports map[string]ShareReport) map[string]ShareGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	h := d.vms[vm]
	if h == nil || h.incarnation < incarnation {
		if h != nil {
			d.retire(now, h)
		}
		h = &vmShares{incarnation: incarnation}
		d.vms[vm] = h
		for workspace, r := range reports {
			d.previousSpending[workspace] = d.previousSpending[workspace].minus(r.Spending)
		}
	}
	if h.incarnation != incarnation {
		return nil
	}
	h.lastReport = now
	h.reports = reports
	grants := make(map[string]ShareGrant, len(reports))
	granted := make(map[string]float64, len(reports))
	for workspace, r := range reports {
		g := d.sumOthers(now, h, workspace)
		g.Fraction = d.nextFraction(now, h, workspace, r.Held)
		if g.WarmingUp = now-d.started < warmupTime; g.WarmingUp {
			g.PreviousRate = d.previousRates[workspace]
		}
		grants[workspace] = g
		granted[workspace] = g.Fraction
	}
	h.granted = granted
	return grants
}

// sumOthers returns the total spending and demand of all other VMs. Each of them
// counts as having admitted all of its demand since its last report.
func (d *ShareAllocator) sumOthers(now time.Duration, h *vmShares, workspace string) ShareGrant {
	var g ShareGrant
	for _, other := range d.vms {
		if other != h {
			r := other.reports[workspace]
			g.SpentByOthers += r.Spent + r.Demand*(now-other.lastReport).Seconds()
			g.DemandOfOthers += r.Demand
		}
	}
	for _, other := range d.departed {
		g.SpentByOthers += other.reports[workspace].Spent
	}
	// VMs that were lost together with the previous leader report nothing.
	g.SpentByOthers += d.previousSpent(now, workspace)
	return g
}

// retire keeps counting the spending of a VM that has departed. The VM may have
// admitted all of its demand between its last report and the end of its lease.
func (d *ShareAllocator) retire(now time.Duration, h *vmShares) {
	unreported := min(now-h.lastReport, ShareLease).Seconds()
	for workspace, r := range h.reports {
		growth := r.Demand * unreported
		r.Spending = r.Spending.plus(Spending{growth, growth})
		h.reports[workspace] = r
	}
	h.lastReport = now
	d.departed = append(d.departed, h)
}

func (d *ShareAllocator) expire(now time.Duration) {
	for name, h := range d.vms {
		if now-h.lastReport > ShareReclaim {
			delete(d.vms, name)
			d.retire(now, h)
		}
	}
	kept := d.departed[:0]
	for _, h := range d.departed {
		if now-h.lastReport <= d.window {
			kept = append(kept, h)
		}
	}
	d.departed = kept
}

// nextFraction returns the new fraction of one VM. A decrease takes effect only
// when the VM receives the response, so the VM counts with the larger value
// until its next report.
func (d *ShareAllocator) nextFraction(now time.Duration, h *vmShares, workspace string, held float64) float64 {
	desired := d.fractionByDemand(h, workspace)
	free := 1 - d.heldByOthers(h, workspace)
	if now-d.started < ShareReclaim && desired > held {
		// VMs that have not yet reported to this allocator may be using the
		// rest.
		desired = max(held, startupFraction)
	}
	return max(0, min(desired, free))
}

// fractionByDemand returns the fraction of a VM: evenFraction is divided
// evenly, the rest in proportion to demand.
func (d *ShareAllocator) fractionByDemand(h *vmShares, workspace string) float64 {
	sum := 0.0
	for _, other := range d.vms {
		sum += other.reports[workspace].Demand
	}
	even := 1 / float64(len(d.vms))
	if sum <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*h.reports[workspace].Demand/sum
}

func (d *ShareAllocator) heldByOthers(h *vmShares, workspace string) float64 {
	sum := 0.0
	for _, other := range d.vms {
		if other != h {
			sum += max(other.granted[workspace], other.reports[workspace].Held)
		}
	}
	return sum
}

// VMCount returns the number of VMs that report.
func (d *ShareAllocator) VMCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.vms)
}
