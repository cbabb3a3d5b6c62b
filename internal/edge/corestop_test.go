package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/raft"
)

// startSuccessor starts a member of the core with an empty disk at another address.
func (d *deployment) startSuccessor() *runningCore {
	d.t.Helper()
	host := nextHostAddress()
	s := d.cores[0].settings
	_, controlPort, err := net.SplitHostPort(s.ControlAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	s.VM, s.IP, s.ControlAddress = host, host, net.JoinHostPort(host, controlPort)
	s.FirstStart, s.DataFolder = false, d.t.TempDir()
	added := &runningCore{settings: s}
	d.startCore(added)
	return added
}

// addSuccessor starts a member like startSuccessor and waits until the leader counts it as
// a learner that has caught up.
func (d *deployment) addSuccessor() *runningCore {
	d.t.Helper()
	added := d.startSuccessor()
	id := added.core.replica.Status().ID
	eventually(d.t, "learner", func() error {
		leader := d.cores[d.leaderIndex()].core.replica.Status()
		if _, ok := leader.Members.Find(id); !ok || leader.Match[id] < leader.Commit {
			return fmt.Errorf("members are %v", leader.Members)
		}
		return nil
	})
	return added
}

// Guards against a core that counts the vote of a member which has left as planned. The
// disk of another member may be lost as soon as the planned stop is over, and one voter
// of three was left then.
func TestPlannedStopHandsTheVoteToTheSuccessor(t *testing.T) {
	for name, stopped := range map[string]func(d *deployment) int{
		"leader":   func(d *deployment) int { return d.leaderIndex() },
		"follower": func(d *deployment) int { return (d.leaderIndex() + 1) % len(d.cores) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeploymentWith(t, 3, allowStalls)
			ctx := context.Background()
			eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(4, "k1")) })
			successor := d.addSuccessor()
			i := stopped(d)
			left := d.cores[i]
			leftID := left.core.replica.Status().ID
			d.stopCore(left)
			remaining := append(d.cores[:i:i], append(d.cores[i+1:], successor)...)
			requireHandover(t, remaining, leftID, successor.core.replica.Status().ID)
			requireLeader(t, remaining)
		})
	}
}

// allowStalls gives a member a grace period that exceeds the time for which a busy machine may
// not run it. The time for its attempts to give up its roles stays the same.
func allowStalls(c *runningCore) { c.settings.Guarantees.GracePeriod = time.Minute }

// requireHandover checks that a majority of the members has the log entries with which the
// vote of one replica went to another. It does not depend on who leads: a leader gives up its
// lease if the process stands still for longer than an election takes.
func requireHandover(t *testing.T, members []*runningCore, from, to string) {
	t.Helper()
	known := 0
	var seen []raft.Membership
	for _, c := range members {
		now := c.core.replica.Status().Members
		if seen = append(seen, now); !now.IsVoter(from) && now.IsVoter(to) {
			known++
		}
	}
	if known <= len(members)/2 {
		t.Errorf("voters after the stop of %s are %v", from, seen)
	}
}

// requireLeader waits until one of the members leads.
func requireLeader(t *testing.T, members []*runningCore) {
	t.Helper()
	eventually(t, "leader after the planned stop", func() error {
		for _, c := range members {
			if c.core.replica.Status().Role == raft.Leader {
				return nil
			}
		}
		return errors.New("no member leads")
	})
}

// Guards against a member that hands over its vote at a planned stop and then asks to join
// again, so that the core keeps a learner that is gone.
func TestMemberThatStopsDoesNotJoinAgain(t *testing.T) {
	t.Parallel()
	// A call in progress makes the stop last longer than a member waits before it joins again.
	entered := make(chan struct{})
	endless := func(*Core) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(entered)
			<-r.Context().Done()
		})
	}
	d := newDeploymentWith(t, 3, func(c *runningCore) {
		c.control = endless
		allowStalls(c)
	})
	successor := d.addSuccessor()
	i := (d.leaderIndex() + 1) % len(d.cores)
	left := d.cores[i]
	leftID := left.core.replica.Status().ID
	startCall(t, dialMember(t, left.settings.ControlAddress), "/")
	<-entered
	d.stopCore(left)
	remaining := append(d.cores[:i:i], append(d.cores[i+1:], successor)...)
	requireHandover(t, remaining, leftID, successor.core.replica.Status().ID)
	for _, c := range remaining {
		if members := c.core.replica.Status().Members; !members.IsVoter(leftID) {
			if _, ok := members.Find(leftID); ok {
				t.Errorf("members after the stop of %s are %v", leftID, members)
			}
		}
	}
	requireLeader(t, remaining)
}

// refusingReplica is a replica whose transfers of the leadership fail at first.
type refusingReplica struct {
	members   raft.Membership
	failures  int
	transfers int
}

func (r *refusingReplica) Status() replica.Status {
	s := replica.Status{}
	s.Role, s.Members = raft.Leader, r.members
	if r.transfers > r.failures {
		s.Role = raft.Follower
	}
	return s
}

func (r *refusingReplica) Transfer(ctx context.Context) error {
	r.transfers++
	switch {
	case r.transfers > r.failures:
		return nil
	case r.transfers == 1:
		return errors.New("no other voter can take over")
	}
	// The successor does not catch up, and this replica goes on to lead.
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a stopping leader that keeps its vote because one transfer of the leadership
// fails: no voter has responded after the process stood still, or the successor has not
// caught up in time.
func TestStoppingLeaderRepeatsAFailedTransfer(t *testing.T) {
	left := &handoverTime{now: time.Now, left: 10 * transferAttemptTime, last: time.Now().Add(20 * time.Second)}
	r := &refusingReplica{failures: 2, members: raft.Membership{{ID: "a", Voter: true}, {ID: "b", Voter: true}}}
	if transferLeadership(r, left, zap.NewNop()); r.transfers != 3 {
		t.Errorf("%d transfers, want 3", r.transfers)
	}
	alone := &refusingReplica{failures: 1, members: raft.Membership{{ID: "a", Voter: true}}}
	if transferLeadership(alone, left, zap.NewNop()); alone.transfers != 0 {
		t.Errorf("a sole voter makes %d transfers", alone.transfers)
	}
}

// Guards against a member that keeps its vote because its process stood still after the
// signal, although most of its grace period is left.
func TestHandoverGoesOnAfterAStall(t *testing.T) {
	const gracePeriod = 8 * time.Second
	now := time.Now()
	left := newHandoverTime(now, gracePeriod)
	left.now = func() time.Time { return now }
	stalled := func(context.Context) bool {
		now = now.Add(3 * time.Second)
		return false
	}
	attempts := 0
	for ; !left.isSpent(); attempts++ {
		left.attempt(leaveTimeout, stalled)
	}
	if attempts != 3 {
		t.Errorf("%d attempts that last 3 s each, want 3 in 7 s", attempts)
	}
}
