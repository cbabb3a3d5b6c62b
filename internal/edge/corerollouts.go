package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/exposure"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// rolloutInterval is the time between two decisions about a rollout.
	rolloutInterval = 50 * time.Millisecond
	// progressInterval is the time between two records of the times since the orders.
	progressInterval = time.Second
	// replayTime is the time after the start of a process in which it may see an order that
	// was committed before its start.
	replayTime = 2 * time.Second
)

// runRollouts decides on the steps of rollouts while this replica leads. Members that do not
// lead only measure the times since the orders.
func (c *Core) runRollouts(ctx context.Context) {
	clock := newRolloutClock(boottime.Now(), c.lastAtStart)
	recordedAt := time.Duration(0)
	for pause.For(ctx, rolloutInterval) {
		running := runningRollouts(c.registry.Rollouts())
		now := boottime.Now()
		clock.observe(now, time.Now(), running)
		leader, leading := c.leadership()
		if !leading || len(running) == 0 {
			continue
		}
		leader.rollouts.track(now, running, func(service string) time.Duration { return clock.elapsed(now, service) })
		for _, service := range slices.Sorted(maps.Keys(running)) {
			r := running[service]
			c.stepRollout(ctx, leader.rollouts, service, &r)
		}
		if now-recordedAt >= progressInterval {
			recordedAt = now
			c.recordRollouts(ctx, clock, leader.rollouts, running)
		}
	}
}

func runningRollouts(all map[string]fleet.Rollout) map[string]fleet.Rollout {
	maps.DeleteFunc(all, func(_ string, r fleet.Rollout) bool { return r.Phase != fleet.RolloutRunning })
	return all
}

// rolloutPhases maps the phases of the analysis to those that are stored.
var rolloutPhases = map[canary.Phase]fleet.RolloutPhase{
	canary.Running: fleet.RolloutRunning, canary.Complete: fleet.RolloutComplete, canary.RolledBack: fleet.RolloutRolledBack,
}

// stepRollout commits the step that is due for a rollout, if any.
func (c *Core) stepRollout(ctx context.Context, evidence *rolloutEvidence, service string, r *fleet.Rollout) {
	step, elapsed, due := evidence.decide(boottime.Now(), service, r, c.registry.Current())
	if !due {
		return
	}
	phase := rolloutPhases[step.Phase]
	command := fleet.Command{Step: &fleet.RolloutStep{
		Service: service, Revision: r.Revision, Phase: phase, Share: step.Share, TargetShare: step.TargetShare, Reason: step.Reason,
		ElapsedMS: elapsed.Milliseconds(),
	}}
	err := c.propose(ctx, control.KindFleet, command.Encode())
	c.logger.Info("rollout step", zap.String("service", service), zap.String("version", r.Version), zap.Stringer("phase", phase),
		zap.Float64("share", step.Share), zap.Float64("target_share", step.TargetShare), zap.String("reason", step.Reason),
		zap.Duration("elapsed", elapsed), zap.Stringer("evidence", evidence.evidence(service)), zap.Error(err))
}

// recordRollouts commits the times since the orders, from which the next leader continues.
// Without them it would depend on the difference between the clocks of two VMs.
func (c *Core) recordRollouts(ctx context.Context, clock *rolloutClock, evidence *rolloutEvidence, running map[string]fleet.Rollout) {
	var progress []fleet.RolloutProgress
	now := boottime.Now()
	for _, service := range slices.Sorted(maps.Keys(running)) {
		progress = append(progress, fleet.RolloutProgress{
			Service: service, Order: running[service].Order, ElapsedMS: clock.elapsed(now, service).Milliseconds(), Fronts: evidence.frontCount(now, service),
			GrownMS: evidence.growth(service).Milliseconds(),
		})
	}
	if err := c.propose(ctx, control.KindFleet, fleet.Command{Progress: progress}.Encode()); err != nil {
		c.logger.Info("recording the progress of rollouts failed", zap.Error(err))
	}
}

// rolloutClock measures the times since the orders of rollouts on the boot clock of this VM,
// from when it has seen the orders. Only a process that has started after an order needs the
// wall clock, and compares it with that of the leader of that time.
type rolloutClock struct {
	startedAt time.Duration
	// lastAtStart is the index of the last log entry at the start of the process. An order
	// up to it was given before, but may become known as committed much later, when enough
	// members have started.
	lastAtStart uint64
	entries     map[string]*rolloutStart
}

type rolloutStart struct {
	order uint64
	// began is when the rollout was ordered, on the boot clock.
	began time.Duration
}

func newRolloutClock(now time.Duration, lastAtStart uint64) *rolloutClock {
	return &rolloutClock{startedAt: now, lastAtStart: lastAtStart, entries: make(map[string]*rolloutStart)}
}

// observe records the running rollouts.
func (k *rolloutClock) observe(now time.Duration, wall time.Time, running map[string]fleet.Rollout) {
	maps.DeleteFunc(k.entries, func(service string, _ *rolloutStart) bool { _, ok := running[service]; return !ok })
	for service := range running {
		r := running[service]
		recorded := time.Duration(r.ElapsedMS) * time.Millisecond
		e := k.entries[service]
		if e == nil || e.order != r.Order {
			e = &rolloutStart{order: r.Order, began: now - recorded}
			if r.Order <= k.lastAtStart || now-k.startedAt < replayTime {
				e.began = min(e.began, now-wall.Sub(time.UnixMilli(r.Accepted)))
			}
			k.entries[service] = e
		}
		e.began = min(e.began, now-recorded)
	}
}

// elapsed returns the time since the order of a running rollout.
func (k *rolloutClock) elapsed(now time.Duration, service string) time.Duration {
	if e := k.entries[service]; e != nil {
		return now - e.began
	}
	return 0
}

// rolloutGauge returns the last rollouts for metrics, with their evidence if this member
// leads.
func (c *Core) rolloutGauge() any {
	leader, leading := c.leadership()
	summaries := make(map[string]exposure.Summary)
	for service, r := range c.registry.Rollouts() {
		s := exposure.Summary{Version: r.Version, Phase: r.Phase.String(), Share: r.Share, TargetShare: r.TargetShare, Reason: r.Reason}
		if leading {
			s.Evidence = leader.rollouts.evidence(service)
		}
		summaries[service] = s
	}
	return summaries
}
