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
	"github.com/cuminwing/cuminwing/internal/control/sections"
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

// Guards against an answer that claims a zone which does not have the edit, and
// against a zone that stays behind after the partition.
func TestAnswerNamesZonesNotReached(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	first := c.start(0, "muc-a", nil)
	c.start(1, "muc-a", nil)
	away := c.start(2, "nue-a", nil)
	c.awaitMembers()
	r := applyFirst(t, first, clusterDocument(""))
	base := wantAccepted(t, r)
	for _, z := range []string{"muc-a", "nue-a"} {
		if !zoneOf(r.GetZones(), z).GetComplete() {
			t.Fatalf("zone %s is not in force: %v", z, r.GetZones())
		}
	}
	c.partition(2, true)
	r = applyEdit(t, c.nodes["vm-2"], rateEdit("cut", base, 20))
	revision := wantAccepted(t, r)
	if !zoneOf(r.GetZones(), "muc-a").GetComplete() || zoneOf(r.GetZones(), "nue-a").GetComplete() {
		t.Fatalf("the answer does not tell the zones apart: %v", r.GetZones())
	}
	if away.Snapshot().Revision != base || callerStatus(away) != 200 {
		t.Fatal("the cut-off VM does not serve the configuration that it knows")
	}
	c.partition(2, false)
	await(t, "cut-off VM catches up", func() bool { return away.Snapshot().Revision == revision })
}

// Guards against a resend after a lost answer being executed again, and against
// two racing operators both winning.
func TestRacingAndResentEdits(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	a := c.start(0, "muc-a", nil)
	b := c.start(1, "muc-a", nil)
	base := wantAccepted(t, applyFirst(t, a, clusterDocument("")))
	c.log.mu.Lock()
	c.log.loseAnswers = 1
	c.log.mu.Unlock()
	edit := rateEdit("lost", base, 20)
	if _, err := adminOf(a).ApplyConfig(context.Background(), &adminv1.ApplyConfigRequest{Edit: edit}); err == nil {
		t.Fatal("the answer was not lost")
	}
	won := wantAccepted(t, applyEdit(t, b, edit))
	if won != base+1 {
		t.Fatalf("the resend was executed at revision %d, want %d", won, base+1)
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
			t.Fatalf("the conflict names edit %q", got)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d of two racing edits were accepted", accepted)
	}
}

// Guards against a VM with a data folder that cannot serve until a voter
// answers, and against a damaged file being served.
func TestStartWhileNoVoterAnswers(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	folder := t.TempDir()
	withDisk := func(s *settings.Settings) { s.DataFolder = folder }
	n := c.start(1, "muc-a", withDisk)
	revision := wantAccepted(t, applyFirst(t, voter, clusterDocument("")))
	file := filepath.Join(folder, configFile)
	await(t, "file is written", func() bool { _, err := os.Stat(file); return err == nil })
	// The file is written before the configuration is in force.
	await(t, "revision in force", func() bool { return n.Snapshot() != nil && n.Snapshot().Revision == revision })
	want := encoded(t, n.distribution.state.Load().EncodeDocument())
	n.Close()
	c.partition(1, true)
	n = c.start(1, "muc-a", withDisk)
	if n.Snapshot() == nil || n.Snapshot().Revision != revision || callerStatus(n) != 200 {
		t.Fatal("the restarted VM does not serve from its file")
	}
	if got := encoded(t, n.distribution.state.Load().EncodeDocument()); got != want {
		t.Fatal("the document changed over the restart")
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
		t.Fatal("a damaged file was put in force")
	}
}

// Guards against a VM that stays behind, or ends with another document, when
// the history does not reach back to its revision, and after a replay of
// hundreds of edits.
func TestCatchUpAfterHundredsOfEdits(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	voter := c.start(0, "muc-a", nil)
	behind := c.start(2, "nue-a", nil)
	base := wantAccepted(t, applyFirst(t, voter, clusterDocument("")))
	await(t, "first document", func() bool { return behind.distribution.revision() == base })
	c.partition(2, true)
	for i := range 300 {
		body := rateEdit(vmName(i), base+uint64(i), i+1)
		if _, err := voter.distribution.applyWithoutWait(t, body); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := voter.distribution.part.State().Since(base); !ok {
		t.Fatal("the history does not reach back")
	}
	c.partition(2, false)
	last := base + 300
	await(t, "catch-up by the whole document", func() bool { return behind.distribution.revision() == last })
	replayed := c.start(1, "muc-a", nil)
	await(t, "replay", func() bool { return replayed.distribution.revision() == last })
	want := encoded(t, voter.distribution.state.Load().EncodeDocument())
	for _, n := range []*Node{behind, replayed} {
		if encoded(t, n.distribution.state.Load().EncodeDocument()) != want {
			t.Fatalf("%s holds another document", n.settings.VM)
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

// Guards against a configuration that moves backwards.
func TestAdoptRefusesLowerRevision(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	n := c.start(0, "muc-a", nil)
	wantAccepted(t, applyFirst(t, n, clusterDocument("")))
	old := n.distribution.state.Load()
	wantAccepted(t, applyEdit(t, n, rateEdit("next", old.Revision, 99)))
	if n.distribution.adopt(old) || n.Snapshot().Revision == old.Revision {
		t.Fatal("an older configuration was put in force")
	}
}

// Guards against the document of the settings being proposed twice or over a
// document that the log has already.
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
	wantAccepted(t, applyEdit(t, a, rateEdit("later", revision, 77)))
	b.Close()
	b = c.start(1, "muc-a", withDocument)
	await(t, "restart", func() bool { return b.distribution.revision() > revision })
	if got := b.Snapshot().Document.Rates["yards"].RateTokensPerSecond; got != 77 {
		t.Fatalf("rate is %v after the restart, want that of the later edit", got)
	}
	if len(a.distribution.part.State().History()) != 2 {
		t.Fatalf("%d edits were accepted, want 2", len(a.distribution.part.State().History()))
	}
}

// Guards against a first document that differs from the file.
func TestFirstEditGivesSameDocument(t *testing.T) {
	want := clusterDocument(config.UnconfirmedRefuse)
	edit, err := sections.FirstEdit("first", want)
	if err != nil {
		t.Fatal(err)
	}
	s, err := sections.NewState().Apply(&configv1.Change{Revision: 1, Edit: edit})
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
// it crashes just after a newer one was in force.
func TestConfigurationInForceIsOnDisk(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	voter := c.start(0, "muc-a", nil)
	n := c.start(1, "nue-a", func(s *settings.Settings) { s.DataFolder = t.TempDir() })
	c.awaitMembers()
	revision := wantAccepted(t, applyFirst(t, voter, clusterDocument("")))
	for i := range 5 {
		revision = wantAccepted(t, applyEdit(t, voter, rateEdit(fmt.Sprint("e", i), revision, 20+i)))
	}
	await(t, "last revision", func() bool { return n.Snapshot() != nil && n.Snapshot().Revision == revision })
	n.Close()
	data, err := statefile.Read(n.distribution.file())
	if err != nil {
		t.Fatal(err)
	}
	state, err := decodeFile(data)
	if err != nil || state.Revision != revision {
		t.Fatalf("the file holds %+v (%v), want revision %d", state, err, revision)
	}
}
