package replica

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/control"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const testTimeout = 30 * time.Second

func propose(t testing.TB, v *vm, value byte) []byte {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := v.log.Propose(ctx, control.KindClaims, []byte{value})
	if err != nil {
		t.Fatalf("propose on %s: %v", v.name, err)
	}
	return answer
}

// Guards against commands that are lost on the way through any VM, over a
// leader crash, or over a restart of every voter.
func TestCommandsSurviveCrashes(t *testing.T) {
	c := newCluster(t, 3)
	for i, v := range c.vms {
		propose(t, v, byte(i+1))
	}
	leader := c.leader(c.vms...)
	leader.stop()
	rest := c.others(leader)
	propose(t, rest[0], 4)
	c.restart(leader)
	propose(t, leader, 5)
	for _, v := range c.vms {
		v.stop()
	}
	for _, v := range c.vms {
		c.restart(v)
	}
	if answer := propose(t, c.vms[0], 6); answer[0] != 5 {
		t.Fatalf("after the restart the value is %d, want 5", answer[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, v := range c.vms {
		if _, err := v.log.Barrier(ctx); err != nil {
			t.Fatal(err)
		}
		if got := string(v.state.history); got != "\x01\x02\x03\x04\x05\x06" {
			t.Fatalf("%s applied %q", v.name, got)
		}
	}
}

// Guards against a shutdown that leaves the log without a leader for an
// election timeout.
func TestTransfer(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	propose(t, leader, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := leader.replica.Transfer(ctx); err != nil {
		t.Fatal(err)
	}
	if leader.replica.HoldsLease() {
		t.Fatal("the former leader holds the lease after the transfer")
	}
	propose(t, leader, 2)
}

// Guards against a repair that cannot be done: a learner joins, is promoted,
// and a voter is removed.
func TestMembershipChange(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	propose(t, leader, 1)
	spare := c.add("vm-spare")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	change := func(kind raftv1.Change, v *vm) {
		t.Helper()
		request := &raftv1.ChangeMembersRequest{Change: kind, Vm: v.name, Address: v.address}
		err := spare.log.ChangeMembers(ctx, request)
		for err != nil && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			err = spare.log.ChangeMembers(ctx, request)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	change(raftv1.Change_CHANGE_ADD_LEARNER, spare)
	change(raftv1.Change_CHANGE_PROMOTE, spare)
	gone := c.others(leader)[0]
	change(raftv1.Change_CHANGE_REMOVE, gone)
	gone.stop()
	leader.stop()
	if answer := propose(t, spare, 2); answer[0] != 1 {
		t.Fatalf("after the repair the value is %d, want 1", answer[0])
	}
	c.restart(gone)
	c.restart(leader)
}
