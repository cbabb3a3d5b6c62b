package edge

import (
	"context"
	"math"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
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
		totals := leader.allocator.Totals(boottime.Now())
		if !spendingChanged(totals, c.registry.Current().Spent) {
			continue
		}
		if err := c.propose(ctx, control.KindFleet, fleet.Command{Spent: totals}.Encode()); err != nil {
			c.logger.Info("recording the spending of workspaces failed", zap.Error(err))
		}
	}
}

// spendingChanged reports whether the spending differs enough from the record to
// justify a log entry.
func spendingChanged(current, recorded map[string]ratelimit.Spending) bool {
	if len(current) != len(recorded) {
		return true
	}
	for workspace, spending := range current {
		previous := recorded[workspace]
		change := max(math.Abs(spending.Spent-previous.Spent), math.Abs(spending.Recent-previous.Recent))
		if change > spendingChangeThreshold*max(spending.Spent, previous.Spent) {
			return true
		}
	}
	return false
}
