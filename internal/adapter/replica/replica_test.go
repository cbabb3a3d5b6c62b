package replica

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const testTimeout = 30 * time.Second

// propose commits a value. A call to a VM that crashes meanwhile may have an
// uncertain outcome and is repeated, so the value may stand twice in the log.
func propose(t testing.TB, v *vm, value uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		_, err := v.log.Propose(ctx, control.KindClaims, protowire.AppendVarint(nil, value))
		if err == nil {
			return
		}
		if !errors.Is(err, control.ErrUncertain) || ctx.Err() != nil {
			t.Fatalf("propose on %s: %v", v.name, err)
		}
	}
}

// checkApplied expects the values in this order, each once or repeated.
func checkApplied(t *testing.T, v *vm, want ...uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := v.log.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	if got := v.state.values(); !slices.Equal(slices.Compact(got), want) {
		t.Fatalf("%s applied %v, want %v", v.name, got, want)
	}
}

// Guards against commands that are lost on the way through any VM, over a
// leader crash, or over a restart of every voter.
func TestCommandsSurviveCrashes(t *testing.T) {
	c := newCluster(t, 3)
	for i, v := range c.vms {
		propose(t, v, uint64(i+1))
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
	propose(t, c.vms[0], 6)
	for _, v := range c.vms {
		checkApplied(t, v, 1, 2, 3, 4, 5, 6)
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
	propose(t, spare, 2)
	checkApplied(t, spare, 1, 2)
	c.restart(gone)
	c.restart(leader)
}

// Guards against a voter that goes on making promises after a failed sync.
func TestFailedSync(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	propose(t, leader, 1)
	leader.broken.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, control.KindClaims, []byte{2}); !errors.Is(err, control.ErrUncertain) {
		t.Fatalf("got %v, want ErrUncertain", err)
	}
	if leader.replica.HoldsLease() || leader.replica.Status().Failure == nil {
		t.Fatal("the voter goes on after a failed sync")
	}
	if _, err := leader.replica.Propose(ctx, control.KindClaims, []byte{3}); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("got %v, want ErrNotLeader", err)
	}
	propose(t, c.others(leader)[0], 4)
	leader.broken.Store(false)
	leader.stop()
	c.restart(leader)
	propose(t, leader, 5)
}

// Guards against a wrong claim about a command whose forwarding failed.
func TestForwardingErrors(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refused.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer silent.Close()
	tests := []struct {
		name    string
		address string
		want    error
	}{
		{"connection refused", refused.Addr().String(), control.ErrNotCommitted},
		{"answer lost", silent.Listener.Addr().String(), control.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := &Log{Voters: raft.NewVoters(map[string]string{"a": tt.address}), URL: url, Client: &http.Client{}}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := log.Propose(ctx, control.KindClaims, []byte{1})
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// Guards against a learner that cannot join once the entries it lacks are
// compacted, and against a snapshot whose install loses state.
func TestSnapshotInstall(t *testing.T) {
	const commands = retainEntries + 500
	c := newCluster(t, 1)
	leader := c.leader(c.vms...)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			for j := range commands / 50 {
				propose(t, leader, uint64(1+i*commands+j))
			}
		})
	}
	wg.Wait()
	leader.replica.post(func() { _ = leader.replica.startSnapshot() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for leader.replica.Status().First == 1 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	spare := c.add("vm-spare")
	request := &raftv1.ChangeMembersRequest{Change: raftv1.Change_CHANGE_ADD_LEARNER, Vm: spare.name, Address: spare.address}
	if err := leader.log.ChangeMembers(ctx, request); err != nil {
		t.Fatal(err)
	}
	for spare.replica.Status().Applied < leader.replica.Status().Applied && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if first := spare.replica.Status().First; first == 1 {
		t.Fatal("the learner was not sent a snapshot")
	}
	if !slices.Equal(spare.state.values(), leader.state.values()) {
		t.Fatal("the states of leader and learner differ")
	}
}
