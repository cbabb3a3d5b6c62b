package ratelimit

import "time"

// maxUnreportedTime is for how long a VM that admits much may have admitted requests
// that no record contains: a report takes a few round trips to the leader, and a
// record is written every RecordInterval.
const maxUnreportedTime = 300*time.Millisecond + RecordInterval

// SpendingRecord is what the leader records on a workspace for its successor.
type SpendingRecord struct {
	Spending
	// Demand is the number of tokens per second that callers ask for.
	Demand float64 `json:"demand,omitempty"`
}

// Record returns the record of each workspace.
func (d *ShareAllocator) Record(now time.Duration) map[string]SpendingRecord {
	totals := d.Totals(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make(map[string]SpendingRecord, len(totals))
	for workspace, spending := range totals {
		r := SpendingRecord{Spending: spending}
		if t := d.totals[workspace]; t != nil {
			r.Demand = max(t.demand, 0)
		}
		records[workspace] = r
	}
	return records
}

// AddUnrecorded returns the spending of the workspaces in records, including what
// VMs may have admitted without reporting it before they were all lost. rates
// returns the rate and burst of a workspace. VMs admit no more than their limits, so
// no more is assumed.
func (o Overshoot) AddUnrecorded(records map[string]SpendingRecord, rates func(workspace string) (rate, burst float64, ok bool)) map[string]Spending {
	spent := make(map[string]Spending, len(records))
	for workspace, r := range records {
		unrecorded := r.Demand * maxUnreportedTime.Seconds()
		if rate, burst, ok := rates(workspace); ok {
			unrecorded = min(unrecorded, max(hardLimitFraction*o.windowLimit(rate, burst)-r.Spent, 0))
		}
		spent[workspace] = r.plus(Spending{Spent: unrecorded, Recent: unrecorded})
	}
	return spent
}
