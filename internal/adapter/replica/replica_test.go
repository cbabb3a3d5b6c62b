package replica

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const testTimeout = 30 * time.Second

// propose commits a value. If the outcome of a call is uncertain, for example
// because a VM crashes during the call, propose retries it, so the log may
// contain the value more than once.
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

// checkApplied checks that v has applied the wanted values in this order. Each may
// occur several times in a row.
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

// Guards against losing commands that were proposed on any VM, across a leader
// crash and a restart of all voters.
func TestCommandsSurviveCrashes(t *testing.T) {
	c := newCluster(t, 3)
	for i, v := range c.vms {
		propose(t, v, uint64(i+1))
	}
	leader := c.leader(c.vms...)
	leader.stop()
	remaining := c.others(leader)
	propose(t, remaining[0], 4)
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

// Guards against the control log being without a leader for an election timeout
// when the leader shuts down.
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
		t.Fatal("the former leader still holds the lease after the transfer")
	}
	propose(t, leader, 2)
}

// Guards against a lost voter that cannot be replaced: adds a learner, promotes
// it and removes a voter.
func TestMembershipChange(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	propose(t, leader, 1)
	learner := c.addNonVoter("vm-spare")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	change := func(kind raftv1.Change, v *vm) {
		t.Helper()
		request := &raftv1.ChangeMembersRequest{Change: kind, Vm: v.name, Address: v.address}
		err := learner.log.ChangeMembers(ctx, request)
		for err != nil && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			err = learner.log.ChangeMembers(ctx, request)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	change(raftv1.Change_CHANGE_ADD_LEARNER, learner)
	change(raftv1.Change_CHANGE_PROMOTE, learner)
	removed := c.others(leader)[0]
	change(raftv1.Change_CHANGE_REMOVE, removed)
	removed.stop()
	leader.stop()
	propose(t, learner, 2)
	checkApplied(t, learner, 1, 2)
	c.restart(removed)
	c.restart(leader)
}

// Guards against a voter that keeps voting and acknowledging entries after a
// failed disk sync.
func TestFailedSync(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	propose(t, leader, 1)
	leader.failSync.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, control.KindClaims, []byte{2}); !errors.Is(err, control.ErrUncertain) {
		t.Fatalf("got %v, want ErrUncertain", err)
	}
	if leader.replica.HoldsLease() || leader.replica.Status().Failure == nil {
		t.Fatal("the voter did not stop after a failed sync")
	}
	if _, err := leader.replica.Propose(ctx, control.KindClaims, []byte{3}); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("got %v, want ErrNotLeader", err)
	}
	propose(t, c.others(leader)[0], 4)
	leader.failSync.Store(false)
	leader.stop()
	c.restart(leader)
	propose(t, leader, 5)
}

// Guards against reporting the wrong outcome for a command that could not be
// forwarded: not committed if the connection failed, uncertain if only the
// response was lost.
func TestForwardingErrors(t *testing.T) {
	// Nothing listens on the address.
	refused, err := loopback.AllocateAddress()
	if err != nil {
		t.Fatal(err)
	}
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	tests := []struct {
		name    string
		address string
		want    error
	}{
		{"connection refused", refused, control.ErrNotCommitted},
		{"response lost", aborting.Listener.Addr().String(), control.ErrUncertain},
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

// Guards against a learner that cannot join because the entries it lacks are
// compacted, and against losing state when a snapshot is installed.
func TestSnapshotInstall(t *testing.T) {
	for name, ballast := range map[string]int{"one chunk": 0, "several chunks": 3 * snapshotChunkBytes} {
		t.Run(name, func(t *testing.T) { checkSnapshotInstall(t, ballast) })
	}
}

// checkSnapshotInstall adds a learner that has to be sent a snapshot of at least
// ballast bytes.
func checkSnapshotInstall(t *testing.T, ballast int) {
	const commands = retainEntries + 500
	c := newCluster(t, 1)
	leader := c.leader(c.vms...)
	leader.state.ballast = ballast
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			for j := range commands / 50 {
				propose(t, leader, uint64(1+i*commands+j))
			}
		})
	}
	wg.Wait()
	leader.replica.enqueue(func() { _ = leader.replica.startSnapshot() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for leader.replica.Status().First == 1 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	learner := c.addNonVoter("vm-spare")
	request := &raftv1.ChangeMembersRequest{Change: raftv1.Change_CHANGE_ADD_LEARNER, Vm: learner.name, Address: learner.address}
	if err := leader.log.ChangeMembers(ctx, request); err != nil {
		t.Fatal(err)
	}
	for learner.replica.Status().Applied < leader.replica.Status().Applied && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if first := learner.replica.Status().First; first == 1 {
		t.Fatal("the learner was not sent a snapshot")
	}
	if !slices.Equal(learner.state.values(), leader.state.values()) {
		t.Fatal("the state of the learner differs from that of the leader")
	}
}
