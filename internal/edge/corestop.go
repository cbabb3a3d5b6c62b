package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
)

const (
	// shutdownTimeout limits the leadership transfer, the handover of the vote and the
	// graceful shutdown of the servers, together. It is at most half of the grace
	// period.
	shutdownTimeout = 3 * time.Second
	// leaveTimeout limits one request to hand over the vote, and leaveInterval is the
	// time between two of them.
	leaveTimeout  = 700 * time.Millisecond
	leaveInterval = 100 * time.Millisecond
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
	c.giveUpRoles(end.Add(-serverShutdownTime))
	c.notify()
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

// giveUpRoles transfers the leadership, if this replica leads, and then its vote, if
// there is a learner that can have it. It gives up at end.
func (c *Core) giveUpRoles(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if c.replica.Status().Role == raft.Leader {
		if err := c.replica.Transfer(ctx); err != nil {
			c.logger.Warn("leadership transfer failed", zap.Error(err))
			return
		}
	}
	for c.canLeave() {
		if c.requestLeave(ctx) || !pause.For(ctx, leaveInterval) {
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
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var response leaveResponse
	err := postJSON(ctx, c.client, "http://"+leader+leavePath, leaveRequest{ID: c.replica.Status().ID}, &response)
	c.logger.Info("handover of the vote requested", zap.String("leader", leader), zap.Bool("left", response.Left), zap.Error(err))
	return err == nil && response.Left
}
