package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// onReplicaStatus handles a change of the replica's role, leader or failure.
func (c *Core) onReplicaStatus(s replica.Status) {
	c.mu.Lock()
	switch {
	case s.Leader != "":
		c.leaderlessSince = 0
	case c.leaderlessSince == 0:
		c.leaderlessSince = boottime.Now()
	}
	switch {
	case s.Role != raft.Leader:
		c.electedAt, c.allocator, c.fronts, c.evidence, c.rollouts = 0, nil, nil, nil, nil
	case c.electedAt == 0:
		c.electedAt = boottime.Now()
		electedAt := c.electedAt
		c.startTask(func(ctx context.Context) { c.establishLeadership(ctx, electedAt) })
	}
	c.mu.Unlock()
	c.notify()
	if s.Failure != nil {
		c.logger.Error("control log failed; this replica neither votes nor acknowledges entries until the log is reopened", zap.Error(s.Failure))
		c.logFailedOnce.Do(func() { close(c.logFailed) })
		return
	}
	c.logger.Info("control log changed", zap.String("role", s.Role.String()), zap.String("leader", s.Leader),
		zap.Uint64("term", s.Term), zap.Uint64("commit", s.Commit), zap.Int("voters", s.Members.VoterCount()))
}

// leadership is the in-memory state of a leader. It is not replicated.
type leadership struct {
	electedAt time.Duration
	allocator *ratelimit.ShareAllocator
	fronts    *fleetsync.Fronts
	evidence  *crashEvidence
	rollouts  *rolloutEvidence
}

// leadership returns the leader state, and whether this replica is the leader
// and has established its leadership.
func (c *Core) leadership() (leadership, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leadership{c.electedAt, c.allocator, c.fronts, c.evidence, c.rollouts}, c.allocator != nil
}

// leadsSince reports whether this replica is still the leader elected at
// electedAt.
func (c *Core) leadsSince(electedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.electedAt == electedAt
}

// establishLeadership starts serving as leader once a read barrier shows that
// the replica has applied all entries committed before its election. A replica
// that has just started does not know how much of its log is committed; without
// the barrier the recorded spending of the workspaces would be missing.
func (c *Core) establishLeadership(ctx context.Context, electedAt time.Duration) {
	for c.leadsSince(electedAt) {
		barrierCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := c.readBarrier(barrierCtx)
		cancel()
		if err == nil {
			c.startLeading(electedAt)
			return
		}
		c.logger.Info("read barrier of the new leader failed; retrying", zap.Error(err))
		if !pause.For(ctx, leaderBarrierRetryDelay) {
			return
		}
	}
}

// startLeading creates the leader state from the recorded spending and crashes, unless the
// replica has lost the leadership meanwhile.
func (c *Core) startLeading(electedAt time.Duration) {
	spent := c.previousSpending()
	evidence := newCrashEvidence(boottime.Now(), c.registry.Quarantined(), c.registry.Evidence())
	rollouts := newRolloutEvidence(boottime.Now(), c.settings.Guarantees.Rollouts, c.registry.Rollouts())
	c.mu.Lock()
	if c.electedAt == electedAt {
		c.rollouts = rollouts
		c.fronts = fleetsync.NewFronts()
		c.evidence = evidence
		c.allocator = ratelimit.NewShareAllocator(boottime.Now(), c.settings.Guarantees.Quota.Window, spent)
	}
	c.mu.Unlock()
	c.logger.Info("leadership established", zap.Duration("after", boottime.Now()-electedAt), zap.Any("spent", spent))
	c.notify()
}
