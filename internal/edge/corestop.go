package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
)

const (
	// shutdownTimeout limits the leadership transfer, the handover of the vote and the
	// graceful shutdown of the servers, together. It is at most half of the grace
	// period.
	shutdownTimeout = 3 * time.Second
	// leaveTimeout limits one request to hand over the vote.
	leaveTimeout = 700 * time.Millisecond
	// attemptInterval is the time between two attempts to transfer the leadership or to hand
	// over the vote.
	attemptInterval = 100 * time.Millisecond
	// transferAttemptTime limits one attempt to transfer the leadership. A replica gives up
	// a transfer after ElectionTimeout, and an election may take as long.
	transferAttemptTime = 2 * replica.ElectionTimeout
	// graceReserve is the part of the grace period that is left after the last attempt.
	graceReserve = time.Second
	// serverShutdownTime is the part of shutdownTimeout after which no new connection is
	// accepted. It is left to the calls in progress.
	serverShutdownTime = 500 * time.Millisecond
	// finalResponseTime is the part of serverShutdownTime that is left to the responses to
	// calls that last until then, and to the close of their connections.
	finalResponseTime = 250 * time.Millisecond
	// lastCallTime is how long calls are served at least, if shutdownTimeout allows it. A
	// target sends a heartbeat each second, and learns from the response that its
	// connection ends.
	lastCallTime = 1200 * time.Millisecond
)

// shutdown transfers the leadership and hands over the vote before it stops the
// servers, so that fronts and operators do not have to wait for an election, and the
// core does not lack a voter if this VM does not come back.
func (c *Core) shutdown(servers *coreServers) {
	c.logger.Info("core stops", zap.String("reason", "signal"))
	started := time.Now()
	end := started.Add(shutdownTime(c.settings.Guarantees.GracePeriod))
	close(c.stopping)
	callsEnd := time.AfterFunc(time.Until(end.Add(-finalResponseTime)), c.endCalls)
	defer callsEnd.Stop()
	c.giveUpRoles(newHandoverTime(started, c.settings.Guarantees.GracePeriod))
	c.notify()
	if least := time.Now().Add(serverShutdownTime); end.Before(least) {
		end = least
	}
	servers.drain(c.logger, started.Add(lastCallTime), end)
	c.client.CloseIdleConnections()
}

// isStopping reports whether this member has been told to stop.
func (c *Core) isStopping() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
	}
}

// shutdownTime returns how long the shutdown of a process with a grace period may take.
func shutdownTime(gracePeriod time.Duration) time.Duration {
	if gracePeriod <= 0 {
		gracePeriod = defaultGracePeriod
	}
	return min(shutdownTimeout, gracePeriod/2)
}

// handoverTime limits the attempts to give up the roles of a member. An attempt during which
// the process stands still counts as one that reaches its time limit, so that a member that
// the machine does not run for a while still hands over its vote if the grace period allows it.
type handoverTime struct {
	now func() time.Time
	// left is the time for further attempts, and last the end of the last one in any case.
	left time.Duration
	last time.Time
}

// newHandoverTime returns the limits of a stop that has begun at started.
func newHandoverTime(started time.Time, gracePeriod time.Duration) *handoverTime {
	left := shutdownTime(gracePeriod) - serverShutdownTime
	last := started.Add(max(left, gracePeriod-graceReserve))
	return &handoverTime{now: time.Now, left: left, last: last}
}

// attempt calls f, which may take as long as limit, and reports its result. It pauses after a
// failure.
func (h *handoverTime) attempt(limit time.Duration, f func(context.Context) bool) bool {
	began := h.now()
	limit = min(limit, h.left, h.last.Sub(began))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	done := f(ctx)
	if !done {
		pause.For(context.Background(), attemptInterval)
	}
	h.left -= min(h.now().Sub(began), limit+attemptInterval)
	return done
}

// isSpent reports whether no further attempt may be made.
func (h *handoverTime) isSpent() bool { return h.left <= 0 || !h.now().Before(h.last) }

// leaderReplica is the part of a replica that transferLeadership needs.
type leaderReplica interface {
	Status() replica.Status
	Transfer(ctx context.Context) error
}

// transferLeadership transfers the leadership if r leads and there is another voter. A
// transfer that fails is repeated: no other voter may have responded lately, or the
// successor may not catch up in time.
func transferLeadership(r leaderReplica, left *handoverTime, logger *zap.Logger) {
	attempts := 0
	var err error
	for leadsOthers(r) && !left.isSpent() {
		attempts++
		left.attempt(transferAttemptTime, func(ctx context.Context) bool {
			err = r.Transfer(ctx)
			return err == nil
		})
	}
	if err != nil {
		logger.Warn("leadership transfer failed", zap.Int("attempts", attempts), zap.Error(err))
	}
}

// leadsOthers reports whether r leads a group with another voter.
func leadsOthers(r leaderReplica) bool {
	status := r.Status()
	return status.Role == raft.Leader && status.Members.VoterCount() > 1
}

// giveUpRoles transfers the leadership, if this replica leads, and then its vote, if
// there is a learner that can have it.
func (c *Core) giveUpRoles(left *handoverTime) {
	transferLeadership(c.replica, left, c.logger)
	for c.canLeave() && !left.isSpent() {
		if left.attempt(leaveTimeout, c.requestLeave) {
			return
		}
	}
}

// canLeave reports whether this replica has a vote and a learner may take it over.
func (c *Core) canLeave() bool {
	status := c.replica.Status()
	return status.Members.IsVoter(status.ID) && status.Members.VoterCount() < len(status.Members)
}

// requestLeave asks the leader to give the vote of this replica to a learner. It
// reports whether that is done.
func (c *Core) requestLeave(ctx context.Context) bool {
	leader := c.leaderAddress()
	if leader == "" {
		return false
	}
	var response leaveResponse
	err := postJSON(ctx, c.client, "http://"+leader+leavePath, leaveRequest{ID: c.replica.Status().ID}, &response)
	c.logger.Info("handover of the vote requested", zap.String("leader", leader), zap.Bool("left", response.Left), zap.Error(err))
	return err == nil && response.Left
}
