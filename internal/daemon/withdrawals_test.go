package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control/withdrawnkeys"
	"github.com/cuminwing/cuminwing/internal/settings"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func hashOf(key string) string { return apikeys.HashKey(key).String() }

func withdraw(t testing.TB, n *Node, key string) *adminv1.WithdrawKeysResponse {
	t.Helper()
	request := &adminv1.WithdrawKeysRequest{Hashes: withdrawnkeys.EncodeHashes([]apikeys.Hash{apikeys.HashKey(key)}), EditId: "w"}
	response, err := adminClientOf(n).WithdrawKeys(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against a withdrawal that waits for the log or is reverted by a
// configuration. A withdrawal accepted in a zone without access to the log must
// apply there immediately, also after a restart, and everywhere once the zone
// is connected again, even though a later configuration lists the key again.
func TestWithdrawalInZoneCutOffFromLog(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	connected := c.start(0, "muc-a", nil)
	c.start(1, "muc-a", nil)
	folder := t.TempDir()
	withDisk := func(s *settings.Settings) { s.DataFolder = folder }
	isolated := c.start(2, "nue-a", withDisk)
	c.awaitMembers()
	base := requireAccepted(t, applyFirst(t, connected, clusterDocument("")))
	c.partition(2, true)
	r := withdraw(t, isolated, clusterKey)
	if r.GetCommitted() || !zoneOf(r.GetZones(), "nue-a").GetComplete() || zoneOf(r.GetZones(), "muc-a").GetComplete() {
		t.Fatalf("the response reports more than was confirmed: %v", r)
	}
	if callerStatus(isolated) != http.StatusUnauthorized || callerStatus(connected) != http.StatusOK {
		t.Fatal("the withdrawal does not apply in exactly the zone that was reached")
	}
	isolated.Close()
	isolated = c.start(2, "nue-a", withDisk)
	if callerStatus(isolated) != http.StatusUnauthorized {
		t.Fatal("the key works again after a restart")
	}
	// The connected side does not know of the withdrawal yet and lists the key
	// again.
	again := clusterDocument("")
	edit := rateEdit("again", base, 11)
	edit.Sections[0].Section = string(config.SectionWorkspaces)
	edit.Sections[0].Patch = []byte(`{"yards":{"keys":[{"id":"again","sha256":"` + again.Workspaces["yards"].Keys[0].SHA256 + `"}]}}`)
	requireAccepted(t, applyEdit(t, connected, edit))
	c.partition(2, false)
	await(t, "withdrawal reaches the connected VM", func() bool { return callerStatus(connected) == http.StatusUnauthorized })
	await(t, "withdrawal is committed", func() bool { return connected.withdrawals.stateMachine.Contains(apikeys.HashKey(clusterKey)) })
	if callerStatus(isolated) != http.StatusUnauthorized {
		t.Fatal("the later configuration reverted the withdrawal")
	}
}

// Guards against accepting keys after the key lease has expired in a workspace
// that refuses unconfirmed keys, and against refusing them in a workspace that
// serves them.
func TestUnconfirmedKeys(t *testing.T) {
	for _, mode := range []string{config.UnconfirmedRefuse, config.UnconfirmedServe} {
		t.Run(mode, func(t *testing.T) {
			c := newTestCluster(t, 2, 1)
			voter := c.start(0, "muc-a", nil)
			n := c.start(1, "nue-a", nil)
			requireAccepted(t, applyFirst(t, voter, clusterDocument(mode)))
			confirmed := func() bool {
				age, ok := n.distribution.contact.age(n.clock())
				return ok && age < config.MinKeyLeaseMS*time.Millisecond && callerStatus(n) == http.StatusOK
			}
			await(t, "key is confirmed", confirmed)
			// A voter without a quorum does not confirm keys.
			c.log.setPartitioned("vm-1", true)
			c.skew.Store(int64(2 * config.MinKeyLeaseMS * time.Millisecond))
			want := http.StatusOK
			if mode == config.UnconfirmedRefuse {
				want = http.StatusUnauthorized
			}
			if got := callerStatus(n); got != want {
				t.Fatalf("status %d after the lease, want %d", got, want)
			}
			c.log.setPartitioned("vm-1", false)
			await(t, "key is confirmed again", confirmed)
		})
	}
}

// Guards against an open stream that continues after its key is withdrawn.
func TestWithdrawalEndsOpenStreams(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", nil)
	ctx, cancel := keyValidator{n}.Watch(context.Background(), apikeys.HashKey(clusterKey))
	defer cancel()
	c.awaitMembers()
	withdraw(t, voter, clusterKey)
	select {
	case <-ctx.Done():
	case <-time.After(awaitTimeout):
		t.Fatal("the stream of the withdrawn key is still open")
	}
}

// Guards against a VM without a disk that accepts withdrawn keys after a
// restart until it has received the withdrawals.
func TestRestartWithoutDiskKnowsWithdrawnKeys(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", nil)
	c.awaitMembers()
	requireAccepted(t, applyFirst(t, voter, clusterDocument("")))
	withdraw(t, voter, clusterKey)
	n.Close()
	n = c.start(1, "nue-a", nil)
	await(t, "configuration", func() bool {
		if callerStatus(n) == http.StatusOK {
			t.Fatal("the withdrawn key is accepted after the restart")
		}
		return n.Snapshot() != nil
	})
	if callerStatus(n) != http.StatusUnauthorized {
		t.Fatal("the withdrawn key is accepted once the configuration is active")
	}
}
