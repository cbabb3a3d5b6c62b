package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/cuminwing/cuminwing/internal/adapter/statefile"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control/configstate"
	"github.com/cuminwing/cuminwing/internal/settings"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

func zoneOf(zones []*adminv1.ZoneReach, name string) *adminv1.ZoneReach {
	for _, z := range zones {
		if z.GetZone() == name {
			return z
		}
	}
	return nil
}

// Guards against a response that reports a zone as complete although it does
// not have the edit, and against a zone that does not catch up after a
// partition.
func TestResponseReportsUnreachedZones(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	first := c.start(0, "muc-a", nil)
	c.start(1, "muc-a", nil)
	isolated := c.start(2, "nue-a", nil)
	c.awaitMembers()
	r := applyFirst(t, first, clusterDocument(""))
	base := requireAccepted(t, r)
	for _, z := range []string{"muc-a", "nue-a"} {
		if !zoneOf(r.GetZones(), z).GetComplete() {
			t.Fatalf("the edit is not active in all of zone %s: %v", z, r.GetZones())
		}
	}
	c.partition(2, true)
	r = applyEdit(t, c.nodes["vm-2"], rateEdit("cut", base, 20))
	revision := requireAccepted(t, r)
	if !zoneOf(r.GetZones(), "muc-a").GetComplete() || zoneOf(r.GetZones(), "nue-a").GetComplete() {
		t.Fatalf("want muc-a complete and nue-a incomplete, got %v", r.GetZones())
	}
	if isolated.Snapshot().Revision != base || callerStatus(isolated) != 200 {
		t.Fatal("the isolated VM does not serve its last configuration")
	}
	c.partition(2, false)
	await(t, "isolated VM catches up", func() bool { return isolated.Snapshot().Revision == revision })
}

// Guards against a resent edit that is applied twice after a lost response, and
// against two concurrent edits of the same section that are both accepted.
func TestRacingAndResentEdits(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	a := c.start(0, "muc-a", nil)
	b := c.start(1, "muc-a", nil)
	base := requireAccepted(t, applyFirst(t, a, clusterDocument("")))
	c.log.mu.Lock()
	c.log.lostResponses = 1
	c.log.mu.Unlock()
	edit := rateEdit("lost", base, 20)
	if _, err := adminClientOf(a).ApplyConfig(context.Background(), &adminv1.ApplyConfigRequest{Edit: edit}); err == nil {
		t.Fatal("the response was not lost")
	}
	won := requireAccepted(t, applyEdit(t, b, edit))
	if won != base+1 {
		t.Fatalf("the resent edit has revision %d, want %d", won, base+1)
	}
	var results [2]*adminv1.ApplyConfigResponse
	var race sync.WaitGroup
	for i, n := range []*Node{a, b} {
		race.Go(func() { results[i] = applyEdit(t, n, rateEdit(vmName(i), won, 30+i)) })
	}
	race.Wait()
	accepted := 0
	for i, r := range results {
		if r.GetResult().GetOutcome() == configv1.Outcome_OUTCOME_ACCEPTED {
			accepted++
			continue
		}
		if got := r.GetResult().GetConflicts()[0].GetEditId(); got != vmName(1-i) {
			t.Fatalf("the conflict names edit %q, want that of the other operator", got)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d of two concurrent edits were accepted, want 1", accepted)
	}
}

// Guards against a VM with a data folder that cannot serve until a voter
// responds, and against serving a corrupt state file.
func TestStartWhileNoVoterResponds(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	folder := t.TempDir()
	withDisk := func(s *settings.Settings) { s.DataFolder = folder }
	n := c.start(1, "muc-a", withDisk)
	revision := requireAccepted(t, applyFirst(t, voter, clusterDocument("")))
	file := filepath.Join(folder, configFile)
	await(t, "file is written", func() bool { _, err := os.Stat(file); return err == nil })
	// The file is written before the configuration is activated.
	await(t, "revision is active", func() bool { return n.Snapshot() != nil && n.Snapshot().Revision == revision })
	want := encoded(t, n.distribution.state.Load().EncodeDocument())
	n.Close()
	c.partition(1, true)
	n = c.start(1, "muc-a", withDisk)
	if n.Snapshot() == nil || n.Snapshot().Revision != revision || callerStatus(n) != 200 {
		t.Fatal("the restarted VM does not serve the configuration of its state file")
	}
	if got := encoded(t, n.distribution.state.Load().EncodeDocument()); got != want {
		t.Fatal("the document changed across the restart")
	}
	n.Close()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if n = c.start(1, "muc-a", withDisk); n.Snapshot() != nil {
		t.Fatal("a corrupt state file was activated")
	}
}

// Guards against a VM that stays behind, or ends up with a different document,
// after more edits than a pull sends as single changes, and after a replay of
// hundreds of edits.
func TestCatchUpAfterHundredsOfEdits(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	voter := c.start(0, "muc-a", nil)
	behind := c.start(2, "nue-a", nil)
	base := requireAccepted(t, applyFirst(t, voter, clusterDocument("")))
	await(t, "first document", func() bool { return behind.distribution.revision() == base })
	c.partition(2, true)
	for i := range 300 {
		body := rateEdit(vmName(i), base+uint64(i), i+1)
		if _, err := voter.distribution.applyWithoutWait(t, body); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := voter.distribution.stateMachine.State().Since(base); !ok {
		t.Fatal("the history does not cover the revision of the isolated VM")
	}
	c.partition(2, false)
	last := base + 300
	await(t, "isolated VM catches up by the whole document", func() bool { return behind.distribution.revision() == last })
	replayed := c.start(1, "muc-a", nil)
	await(t, "replay is complete", func() bool { return replayed.distribution.revision() == last })
	want := encoded(t, voter.distribution.state.Load().EncodeDocument())
	for _, n := range []*Node{behind, replayed} {
		if encoded(t, n.distribution.state.Load().EncodeDocument()) != want {
			t.Fatalf("%s holds a different document", n.settings.VM)
		}
	}
}

func (d *distribution) applyWithoutWait(t testing.TB, edit *configv1.Edit) ([]byte, error) {
	t.Helper()
	body, err := marshalEdit(edit)
	if err != nil {
		return nil, err
	}
	return d.node.propose(context.Background(), 1, body)
}

// Guards against activating a lower revision than the current one.
func TestActivateRejectsLowerRevision(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	n := c.start(0, "muc-a", nil)
	requireAccepted(t, applyFirst(t, n, clusterDocument("")))
	old := n.distribution.state.Load()
	requireAccepted(t, applyEdit(t, n, rateEdit("next", old.Revision, 99)))
	if n.distribution.activate(old) || n.Snapshot().Revision == old.Revision {
		t.Fatal("an older configuration was activated")
	}
}

// Guards against a document file of the settings that is proposed twice, or
// that replaces a document that the log already has.
func TestDocumentFileIsProposedOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "document.json")
	data, err := json.Marshal(clusterDocument(""))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	withDocument := func(s *settings.Settings) { s.DocumentFile = file }
	c := newTestCluster(t, 2, 2)
	a := c.start(0, "muc-a", withDocument)
	b := c.start(1, "muc-a", withDocument)
	await(t, "first document", func() bool { return a.Snapshot() != nil && b.Snapshot() != nil })
	revision := a.Snapshot().Revision
	requireAccepted(t, applyEdit(t, a, rateEdit("later", revision, 77)))
	b.Close()
	b = c.start(1, "muc-a", withDocument)
	await(t, "restarted VM catches up", func() bool { return b.distribution.revision() > revision })
	if got := b.Snapshot().Document.Rates["yards"].RateTokensPerSecond; got != 77 {
		t.Fatalf("rate is %v after the restart, want 77 as in the later edit", got)
	}
	if len(a.distribution.stateMachine.State().History()) != 2 {
		t.Fatalf("%d edits were accepted, want 2", len(a.distribution.stateMachine.State().History()))
	}
}

// Guards against an initial edit whose document differs from the document file.
func TestFirstEditGivesSameDocument(t *testing.T) {
	want := clusterDocument(config.UnconfirmedRefuse)
	edit, err := configstate.InitialEdit("first", want)
	if err != nil {
		t.Fatal(err)
	}
	s, err := configstate.NewState().Apply(&configv1.Change{Revision: 1, Edit: edit})
	if err != nil {
		t.Fatal(err)
	}
	got, _ := json.Marshal(s.Document)
	expected, _ := json.Marshal(want)
	if string(got) != string(expected) {
		t.Fatalf("document is %s, want %s", got, expected)
	}
}

// Guards against a VM with a disk that reverts to an older configuration when
// it crashes right after it has activated a newer one.
func TestActiveConfigurationIsPersisted(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", func(s *settings.Settings) { s.DataFolder = t.TempDir() })
	c.awaitMembers()
	revision := requireAccepted(t, applyFirst(t, voter, clusterDocument("")))
	for i := range 5 {
		revision = requireAccepted(t, applyEdit(t, voter, rateEdit(fmt.Sprint("e", i), revision, 20+i)))
	}
	await(t, "last revision", func() bool { return n.Snapshot() != nil && n.Snapshot().Revision == revision })
	n.Close()
	data, err := statefile.Read(n.distribution.path())
	if err != nil {
		t.Fatal(err)
	}
	state, err := decodeFile(data)
	if err != nil || state.Revision != revision {
		t.Fatalf("the file holds %+v (%v), want revision %d", state, err, revision)
	}
}
