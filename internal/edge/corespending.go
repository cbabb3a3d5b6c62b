package edge

import (
	"context"
	"math"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// spendingChangeThreshold is the relative change above which the spending of a
// workspace is recorded again.
const spendingChangeThreshold = 0.1

// recordSpending runs on the leader. It commits what the workspaces have spent
// within the window, so that the next leader knows it even after all processes
// have crashed.
func (c *Core) recordSpending(ctx context.Context) {
	for pause.For(ctx, ratelimit.RecordInterval) {
		leader, leading := c.leadership()
		if !leading {
			continue
		}
		records := leader.allocator.Record(boottime.Now())
		if !spendingChanged(records, c.registry.Spent()) {
			continue
		}
		if err := c.propose(ctx, control.KindFleet, fleet.Command{Spent: records}.Encode()); err != nil {
			c.logger.Info("recording the spending of workspaces failed", zap.Error(err))
		}
	}
}

// spendingChanged reports whether the spending differs enough from the record to
// justify a log entry.
func spendingChanged(current, recorded map[string]ratelimit.SpendingRecord) bool {
	if len(current) != len(recorded) {
		return true
	}
	for workspace, spending := range current {
		previous := recorded[workspace]
		change := max(math.Abs(spending.Spent-previous.Spent), math.Abs(spending.Recent-previous.Recent),
			math.Abs(spending.FirstQuarter-previous.FirstQuarter), math.Abs(spending.ThirdQuarter-previous.ThirdQuarter))
		if change > spendingChangeThreshold*max(spending.Spent, previous.Spent) {
			return true
		}
	}
	return false
}

// previousSpending returns what workspaces may have spent under the previous leader.
func (c *Core) previousSpending() map[string]ratelimit.Spending {
	rates := make(map[string]gatewayconfig.Workspace)
	document, version, err := c.decodeCurrent()
	if err == nil {
		for _, w := range document.Workspaces {
			rates[w.Name] = w
		}
	} else if version > 0 {
		c.logger.Error("decoding the active document failed", zap.Uint64("version", version), zap.Error(err))
	}
	return c.settings.Guarantees.Quota.AddUnrecorded(c.registry.Spent(), func(workspace string) (rate, burst float64, ok bool) {
		w, ok := rates[workspace]
		return w.Rate, w.Burst, ok
	})
}
