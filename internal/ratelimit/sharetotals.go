package ratelimit

import "time"

// shareTotals holds, for one workspace, sums over the latest reports of all VMs.
// The allocator keeps them up to date with each report, so that the work for a
// report does not depend on the number of VMs.
type shareTotals struct {
	// spending and demand are the sums of the reported values.
	spending Spending
	demand   float64
	// demandTime is the sum of each demand multiplied by the time of its report,
	// in seconds after the start of the allocator.
	demandTime float64
	// held is the sum of the fractions that VMs may be using.
	held float64
	// departed is the spending of the VMs that have departed within the window.
	departed Spending
}

// projectedSpent returns what all VMs have spent, if each has admitted all of its
// demand since its last report. at is in seconds after the start of the
// allocator.
func (t *shareTotals) projectedSpent(at float64) float64 {
	return t.spending.Spent + t.demand*at - t.demandTime + t.departed.Spent
}

// total returns what all VMs have reported, including those that have departed.
func (t *shareTotals) total() Spending {
	sum := t.spending.plus(t.departed)
	return Spending{
		Spent: max(sum.Spent, 0), Recent: max(sum.Recent, 0),
		FirstQuarter: max(sum.FirstQuarter, 0), ThirdQuarter: max(sum.ThirdQuarter, 0),
	}
}

// add adds the latest report of a VM, with the given sign, to the totals.
func (d *ShareAllocator) add(h *vmShares, sign float64) {
	at := (h.lastReport - d.started).Seconds()
	d.entriesRead += uint64(len(h.reports))
	for workspace, r := range h.reports {
		t := d.totalsOf(workspace)
		t.spending = t.spending.plus(r.Spending.times(sign))
		t.demand += sign * r.Demand
		t.demandTime += sign * r.Demand * at
		t.held += sign * max(h.granted[workspace], r.Held)
	}
}

func (d *ShareAllocator) totalsOf(workspace string) *shareTotals {
	t := d.totals[workspace]
	if t == nil {
		t = &shareTotals{}
		d.totals[workspace] = t
	}
	return t
}

// recomputeTotals rebuilds the totals from the reports of all VMs, which removes
// the rounding errors that have accumulated.
func (d *ShareAllocator) recomputeTotals() {
	d.totals = make(map[string]*shareTotals, len(d.totals))
	for _, h := range d.vms {
		d.add(h, 1)
	}
	for _, h := range d.departed {
		for workspace, r := range h.reports {
			t := d.totalsOf(workspace)
			t.departed = t.departed.plus(r.Spending)
		}
	}
	d.reportsSinceRecompute = 0
}

// recomputeIfDue recomputes the totals after as many reports as there are VMs, so
// that its cost for one report is constant.
func (d *ShareAllocator) recomputeIfDue() {
	d.reportsSinceRecompute++
	if d.reportsSinceRecompute > len(d.vms) {
		d.recomputeTotals()
	}
}

// EntriesRead returns the number of report entries that were added to or removed
// from the totals so far. It measures the work of the allocator.
func (d *ShareAllocator) EntriesRead() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entriesRead
}

// Usage is the use of the rate of a workspace by all VMs together.
type Usage struct {
	// Spent is what was spent within the window, if each VM has admitted all of
	// its demand since its last report.
	Spent float64
	// Demand is the number of tokens per second that callers ask for.
	Demand float64
	// PreviousRate is what was spent per second under the previous leader. It is
	// set while the allocator is warming up.
	PreviousRate float64
}

// Usage returns the usage of all workspaces that have any, and whether the
// allocator is warming up.
func (d *ShareAllocator) Usage(now time.Duration) (usage map[string]Usage, warmingUp bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	warmingUp = now-d.started < warmupTime
	usage = make(map[string]Usage, len(d.totals))
	at := (now - d.started).Seconds()
	for workspace, t := range d.totals {
		usage[workspace] = Usage{Spent: max(t.projectedSpent(at), 0), Demand: max(t.demand, 0)}
	}
	for workspace := range d.previousSpending {
		u := usage[workspace]
		u.Spent += d.previousSpent(now, workspace)
		if warmingUp {
			u.PreviousRate = d.previousRates[workspace]
		}
		usage[workspace] = u
	}
	return usage, warmingUp
}

// Grant returns the grant of a VM that reported r and received the given
// fraction, from the usage by all VMs.
func (u Usage) Grant(r ShareReport, fraction float64, warmingUp bool) ShareGrant {
	return ShareGrant{
		Fraction: fraction, SpentByOthers: max(u.Spent-r.Spent, 0), DemandOfOthers: max(u.Demand-r.Demand, 0),
		WarmingUp: warmingUp, PreviousRate: u.PreviousRate,
	}
}
