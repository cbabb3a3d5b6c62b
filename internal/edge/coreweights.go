package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/rollout"
)

const (
	// weightsUpdateInterval is the time between two rounds of the rollout while
	// an update is in progress.
	weightsUpdateInterval = 50 * time.Millisecond
	// weightsIdleInterval is the time between two rounds while no update is in
	// progress.
	weightsIdleInterval = 250 * time.Millisecond
	// engineCallTimeout limits an order to an engine and the fetch of its
	// report, together.
	engineCallTimeout = 600 * time.Millisecond
	// leaseMargin is added to the lease of the order holder. It covers an order
	// of the previous holder that was in flight when its lease expired.
	leaseMargin = 600 * time.Millisecond
)

// updateWeights rolls out weights to the engines. Only the holder of the order
// lease does so, which is the leader.
func (c *Core) updateWeights(ctx context.Context) {
	w := &weightsUpdater{core: c}
	interval := weightsIdleInterval
	for pause.For(ctx, interval) {
		interval = weightsIdleInterval
		if w.runDueActions(ctx) {
			interval = weightsUpdateInterval
		}
	}
}

// weightsUpdater executes the actions of the rollout planner.
type weightsUpdater struct {
	core    *Core
	mu      sync.Mutex
	planner *rollout.Planner
	// electedAt is the election time of the leadership that planner belongs
	// to.
	electedAt time.Duration
	// accepted is the number of orders that each engine has accepted, by
	// target ID.
	accepted map[string]uint64
}

// runDueActions executes the actions that are due, and reports whether an update
// is in progress.
func (w *weightsUpdater) runDueActions(ctx context.Context) bool {
	now := boottime.Now()
	leader, leading := w.core.leadership()
	electedAt := leader.electedAt
	if !leading || !w.core.replica.HoldsLease() {
		return false
	}
	ordersFrom := electedAt + w.core.settings.Guarantees.HolderLease + leaseMargin
	if now < ordersFrom-rollout.DrainTimeout {
		return false
	}
	w.mu.Lock()
	if w.planner == nil || w.electedAt != electedAt {
		w.planner, w.electedAt, w.accepted = rollout.New(), electedAt, make(map[string]uint64)
	}
	actions := w.planner.Plan(now, ordersFrom, w.core.registry.Current())
	w.mu.Unlock()
	w.commitMarks(ctx, actions)
	for _, a := range actions {
		if a.Step == rollout.OrderLoad || a.Step == rollout.RequestReport {
			w.callEngine(ctx, a)
		}
	}
	return len(actions) > 0 || w.updateInProgress()
}

func (w *weightsUpdater) updateInProgress() bool {
	for _, t := range w.core.registry.Current().Targets {
		if t.Updating {
			return true
		}
	}
	return false
}

// commitMarks sets and clears the update marks of engines in one command.
func (w *weightsUpdater) commitMarks(ctx context.Context, actions []rollout.Action) {
	var updates []fleet.UpdateMark
	for _, a := range actions {
		switch a.Step {
		case rollout.MarkUpdating:
			updates = append(updates, fleet.UpdateMark{ID: a.Target.ID, Updating: true})
		case rollout.ClearUpdating:
			updates = append(updates, fleet.UpdateMark{ID: a.Target.ID, Weights: a.Weights})
		}
	}
	if len(updates) == 0 {
		return
	}
	err := w.core.propose(ctx, control.KindFleet, fleet.Command{Updates: updates}.Encode())
	for _, u := range updates {
		w.core.logger.Info("weights update", zap.String("target", u.ID), zap.Bool("updating", u.Updating),
			zap.Uint64("weights", u.Weights), zap.Error(err))
		if err == nil && !u.Updating {
			w.mu.Lock()
			w.planner.RemoveEngine(u.ID)
			w.mu.Unlock()
		}
	}
}

// callEngine sends an order, if one is due, and fetches the report of an engine.
// It does so in the background, so that a slow engine does not delay the others.
func (w *weightsUpdater) callEngine(ctx context.Context, a rollout.Action) {
	w.mu.Lock()
	planner, acceptedOrders := w.planner, w.accepted[a.Target.ID]
	w.mu.Unlock()
	w.core.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		defer cancel()
		if a.Step == rollout.OrderLoad {
			w.sendOrder(ctx, a, acceptedOrders)
		}
		report, err := w.fetchReport(ctx, a.Target)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			w.core.logger.Info("fetching the report of an engine failed", zap.String("target", a.Target.ID), zap.Error(err))
			planner.RecordNoResponse(boottime.Now(), a.Target.ID)
			return
		}
		w.accepted[a.Target.ID] = report.AcceptedOrders
		planner.RecordReport(boottime.Now(), a.Target.ID, rollout.EngineState{
			Weights: report.Weights[a.Target.Model], Busy: report.Busy, Requests: report.Requests,
		})
	})
}

// fetchReport returns the report of an engine. It calls no address that an earlier
// version has registered and that cannot be that of an engine.
func (w *weightsUpdater) fetchReport(ctx context.Context, t fleet.Target) (EngineReport, error) {
	if err := t.Check(); err != nil {
		return EngineReport{}, err
	}
	return w.core.engines.Report(ctx, t)
}

// sendOrder orders an engine to change its weights.
func (w *weightsUpdater) sendOrder(ctx context.Context, a rollout.Action, acceptedOrders uint64) {
	order := WeightsOrder{
		Model: a.Target.Model, Version: a.Weights, Holder: w.core.settings.VM,
		FencingToken: w.core.replica.Status().Term, AcceptedOrders: acceptedOrders,
	}
	// The lease is checked immediately before the call: an order sent after
	// the lease has expired could conflict with one of the next holder.
	if !w.core.replica.HoldsLease() {
		return
	}
	err := w.core.engines.SetWeights(ctx, a.Target, order)
	w.core.logger.Info("weights order sent", zap.String("target", a.Target.ID), zap.String("model", order.Model),
		zap.Uint64("weights", order.Version), zap.Uint64("fence", order.FencingToken), zap.Uint64("after", acceptedOrders), zap.Error(err))
}
