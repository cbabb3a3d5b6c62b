package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/settings"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// Guards against operators' calls that do not reach the leader of the log
// through a VM without a replica, and against a shutdown that does not transfer
// the leadership.
func TestControlLogAdmin(t *testing.T) {
	c := newTestCluster(t, 4, 3)
	c.log = nil
	nodes := make([]*Node, 4)
	for i := range nodes {
		nodes[i] = c.start(i, "a", func(s *settings.Settings) {
			if i < 3 {
				s.DataFolder = t.TempDir()
			}
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := nodes[3].log.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	admin := raftv1.NewLogServiceProtobufClient("http://"+nodes[3].settings.AdminAddress, http.DefaultClient)
	for _, change := range []raftv1.Change{raftv1.Change_CHANGE_ADD_LEARNER, raftv1.Change_CHANGE_REMOVE} {
		request := &raftv1.ChangeMembersRequest{Change: change, Vm: "vm-4", Address: nodes[3].settings.PeerAddress}
		r, err := admin.ChangeMembers(ctx, request)
		if err != nil || r.GetOutcome() != raftv1.Outcome_OUTCOME_DONE {
			t.Fatalf("%v: got %v, %v", change, r, err)
		}
	}
	promote := &raftv1.ChangeMembersRequest{Change: raftv1.Change_CHANGE_PROMOTE, Vm: "vm-4"}
	if r, err := admin.ChangeMembers(ctx, promote); err != nil || r.GetOutcome() != raftv1.Outcome_OUTCOME_NOT_COMMITTED {
		t.Fatalf("promotion of a VM that is not a learner: got %v, %v", r, err)
	}
	holder := func() int {
		for i, n := range nodes {
			if n.log.HoldsLease() {
				return i
			}
		}
		return -1
	}
	await(t, "a VM holds the lease", func() bool { return holder() >= 0 })
	old := nodes[holder()]
	if err := old.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if old.log.HoldsLease() {
		t.Fatal("a stopped VM still holds the leader lease")
	}
	await(t, "another VM holds the lease", func() bool { return holder() >= 0 })
	status, err := admin.GetStatus(ctx, &raftv1.GetStatusRequest{})
	if err != nil || status.GetReplica() {
		t.Fatalf("status of a VM without a replica: got %v, %v", status, err)
	}
}
