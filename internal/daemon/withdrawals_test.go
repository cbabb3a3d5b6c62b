package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control/keyset"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/settings"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func hashOf(key string) string { return keys.Sum(key).String() }

func withdraw(t testing.TB, n *Node, key string) *adminv1.WithdrawKeysResponse {
	t.Helper()
	request := &adminv1.WithdrawKeysRequest{Hashes: keyset.ToBytes([]keys.Hash{keys.Sum(key)}), EditId: "w"}
	response, err := adminOf(n).WithdrawKeys(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against a withdrawal that waits for the log or that a configuration
// undoes: accepted in a zone cut off from the log, it holds there at once, also
// after a restart, and everywhere once the zone is back, although a later
// configuration lists the key again.
func TestWithdrawalInZoneCutOffFromLog(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	home := c.start(0, "muc-a", nil)
	c.start(1, "muc-a", nil)
	folder := t.TempDir()
	withDisk := func(s *settings.Settings) { s.DataFolder = folder }
	away := c.start(2, "nue-a", withDisk)
	c.awaitMembers()
	base := wantAccepted(t, applyFirst(t, home, clusterDocument("")))
	c.partition(2, true)
	r := withdraw(t, away, clusterKey)
	if r.GetCommitted() || !zoneOf(r.GetZones(), "nue-a").GetComplete() || zoneOf(r.GetZones(), "muc-a").GetComplete() {
		t.Fatalf("the answer claims more than is confirmed: %v", r)
	}
	if callerStatus(away) != http.StatusUnauthorized || callerStatus(home) != http.StatusOK {
		t.Fatal("the withdrawal is not in force in exactly the zone that was reached")
	}
	away.Close()
	away = c.start(2, "nue-a", withDisk)
	if callerStatus(away) != http.StatusUnauthorized {
		t.Fatal("the key works again after a restart")
	}
	// The operators at home do not know and list the key once more.
	again := clusterDocument("")
	edit := rateEdit("again", base, 11)
	edit.Sections[0].Section = string(config.SectionWorkspaces)
	edit.Sections[0].Patch = []byte(`{"yards":{"keys":[{"id":"again","sha256":"` + again.Workspaces["yards"].Keys[0].SHA256 + `"}]}}`)
	wantAccepted(t, applyEdit(t, home, edit))
	c.partition(2, false)
	await(t, "withdrawal at home", func() bool { return callerStatus(home) == http.StatusUnauthorized })
	await(t, "commit in the log", func() bool { return home.withdrawals.part.Contains(keys.Sum(clusterKey)) })
	if callerStatus(away) != http.StatusUnauthorized {
		t.Fatal("the later configuration undid the withdrawal")
	}
}

// Guards against keys being served past the lease where the workspace asks for
// refusal, and against refusal where it asks for service.
func TestUnconfirmedKeys(t *testing.T) {
	for _, mode := range []string{config.UnconfirmedRefuse, config.UnconfirmedServe} {
		t.Run(mode, func(t *testing.T) {
			c := newTestCluster(t, 2, 1)
			voter := c.start(0, "muc-a", nil)
			n := c.start(1, "nue-a", nil)
			wantAccepted(t, applyFirst(t, voter, clusterDocument(mode)))
			confirmed := func() bool {
				age, ok := n.distribution.lease.age(n.clock())
				return ok && age < config.MinKeyLeaseMS*time.Millisecond && callerStatus(n) == http.StatusOK
			}
			await(t, "key is confirmed", confirmed)
			// A voter that lost the quorum is no control VM.
			c.log.setCut("vm-1", true)
			c.skew.Store(int64(2 * config.MinKeyLeaseMS * time.Millisecond))
			want := http.StatusOK
			if mode == config.UnconfirmedRefuse {
				want = http.StatusUnauthorized
			}
			if got := callerStatus(n); got != want {
				t.Fatalf("status %d after the lease, want %d", got, want)
			}
			c.log.setCut("vm-1", false)
			await(t, "key is confirmed again", confirmed)
		})
	}
}

// Guards against an open stream outliving its key.
func TestWithdrawalEndsOpenStreams(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", nil)
	ctx, cancel := keyCheck{n}.Watch(context.Background(), keys.Sum(clusterKey))
	defer cancel()
	c.awaitMembers()
	withdraw(t, voter, clusterKey)
	select {
	case <-ctx.Done():
	case <-time.After(patience):
		t.Fatal("the stream of the withdrawn key goes on")
	}
}

// Guards against a VM without a disk that serves withdrawn keys after a restart
// until it has heard of them.
func TestRestartWithoutDiskKnowsWithdrawnKeys(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", nil)
	c.awaitMembers()
	wantAccepted(t, applyFirst(t, voter, clusterDocument("")))
	withdraw(t, voter, clusterKey)
	n.Close()
	n = c.start(1, "nue-a", nil)
	await(t, "configuration", func() bool {
		if callerStatus(n) == http.StatusOK {
			t.Fatal("the withdrawn key works after the restart")
		}
		return n.Snapshot() != nil
	})
	if callerStatus(n) != http.StatusUnauthorized {
		t.Fatal("the withdrawn key works once the configuration is in force")
	}
}
