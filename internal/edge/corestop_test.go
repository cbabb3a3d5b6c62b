package edge

import (
	"context"
	"fmt"
	"net"
	"testing"

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
			d := newDeployment(t, 3)
			ctx := context.Background()
			eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(4, "k1")) })
			successor := d.addSuccessor()
			i := stopped(d)
			left := d.cores[i]
			leftID := left.core.replica.Status().ID
			d.stopCore(left)
			for _, c := range append(d.cores[:i:i], d.cores[i+1:]...) {
				status := c.core.replica.Status()
				if status.Role != raft.Leader {
					continue
				}
				if status.Members.IsVoter(leftID) || !status.Members.IsVoter(successor.core.replica.Status().ID) {
					t.Errorf("voters after the stop of %s are %v", leftID, status.Members)
				}
				return
			}
			t.Error("no member leads after the planned stop")
		})
	}
}

// Guards against a member that hands over its vote at a planned stop and then asks to join
// again, so that the core keeps a learner that is gone.
func TestMemberThatStopsDoesNotJoinAgain(t *testing.T) {
	t.Parallel()
	d := newDeploymentWith(t, 3, func(c *runningCore) { c.control = slowControl })
	d.addSuccessor()
	i := (d.leaderIndex() + 1) % len(d.cores)
	left := d.cores[i]
	leftID := left.core.replica.Status().ID
	d.stopBeside(left)
	// This call makes the stop last longer than a member waits before it joins again.
	conn := dialMember(t, left.settings.ControlAddress)
	startCall(t, conn, "/slow")
	readCall(t, conn)
	for _, c := range append(d.cores[:i:i], d.cores[i+1:]...) {
		if status := c.core.replica.Status(); status.Role == raft.Leader {
			if _, ok := status.Members.Find(leftID); ok {
				t.Errorf("members after the stop of %s are %v", leftID, status.Members)
			}
			return
		}
	}
	t.Error("no member leads after the planned stop")
}
