package daemon

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/target"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

// loadExample returns the settings of an example deployment, with free
// addresses and temporary data folders.
func loadExample(t testing.TB, name string) []settings.Settings {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings files of example %s: %v", name, err)
	}
	free := make(map[string]string)
	move := func(address *string) {
		if free[*address] == "" {
			free[*address] = testAddress(t)
		}
		*address = free[*address]
	}
	var all []settings.Settings
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
			move(a)
		}
		for i := range s.Join {
			move(&s.Join[i])
		}
		for vm, address := range s.InitialVoters {
			move(&address)
			s.InitialVoters[vm] = address
		}
		if s.DataFolder != "" {
			s.DataFolder = t.TempDir()
		}
		all = append(all, s)
	}
	return all
}

func startExample(t testing.TB, name string) []*Node {
	t.Helper()
	var nodes []*Node
	for _, s := range loadExample(t, name) {
		n, err := Start(s, Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	return nodes
}

func awaitExample(t testing.TB, nodes []*Node) uint64 {
	t.Helper()
	await(t, "all VMs are members with the first document", func() bool {
		for _, n := range nodes {
			if n.distribution.revision() == 0 || len(n.members()) != len(nodes) {
				return false
			}
		}
		return true
	})
	return nodes[0].distribution.revision()
}

// Guards against example deployments whose settings do not match their
// document.
func TestExampleSettingsFitDocument(t *testing.T) {
	for _, name := range []string{"verband", "zielnik"} {
		document, err := config.LoadFile(filepath.Join("..", "..", "examples", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		slots := make(map[string]bool)
		for _, s := range loadExample(t, name) {
			zone := document.Zones[s.Zone]
			slot := fmt.Sprint(s.Zone, "/", s.Slot)
			if zone.Region != s.Region || s.Slot >= zone.VMSlots || slots[slot] {
				t.Errorf("%s: zone, region or slot of VM %s do not match the document", name, s.VM)
			}
			slots[slot] = true
			if len(s.InitialVoters) != 3 {
				t.Errorf("%s: VM %s has %d voters, want 3", name, s.VM, len(s.InitialVoters))
			}
		}
		if len(slots) != 9 {
			t.Errorf("%s has %d VMs, want 9", name, len(slots))
		}
	}
}

// Guards the complete path of a configuration: nine VMs with a real control log
// start with empty data folders, VMs without a disk pull the document from
// peers, and an edit submitted to any VM becomes active on all of them.
func TestExampleDeploymentTakesEdits(t *testing.T) {
	nodes := startExample(t, "verband")
	awaitExample(t, nodes)
	for i, n := range []*Node{nodes[8], nodes[0]} {
		section := n.distribution.state.Load().Sections[config.SectionRates]
		response := applyEdit(t, n, exampleEdit(fmt.Sprint("e", i), section.Revision, 1000+i))
		requireAccepted(t, response)
		for _, z := range response.GetZones() {
			if !z.GetComplete() || z.GetKnown() != 3 {
				t.Errorf("zone %s: %d of %d VMs have the edit", z.GetZone(), z.GetConfirmed(), z.GetKnown())
			}
		}
	}
	history, err := adminClientOf(nodes[8]).History(context.Background(), &adminv1.HistoryRequest{})
	if err != nil || len(history.GetChanges()) != 3 || history.GetChanges()[2].GetEdit().GetOperator() != "settings" {
		t.Errorf("history of the VM without a disk: got %v, %v", history.GetChanges(), err)
	}
	status, err := adminClientOf(nodes[4]).Status(context.Background(), &adminv1.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range status.GetVms() {
		if !vm.GetReached() || vm.GetRevision() != status.GetRevision() {
			t.Errorf("VM %s: reached %v, revision %d, want %d", vm.GetName(), vm.GetReached(), vm.GetRevision(), status.GetRevision())
		}
	}
	if len(status.GetVms()) != 9 || status.GetLeader() == "" {
		t.Errorf("status shows %d VMs and leader %q, want 9 and a leader", len(status.GetVms()), status.GetLeader())
	}
}

func exampleEdit(id string, base uint64, rate int) *configv1.Edit {
	patch := fmt.Sprintf(`{"ankauf":{"rate_tokens_per_second":%d}}`, rate)
	return &configv1.Edit{Id: id, Sections: []*configv1.SectionEdit{{Section: "rates", BaseRevision: base, Patch: []byte(patch)}}}
}

// Guards against a drain that does not reach all VMs, and against a resume that
// is reverted by an earlier drain.
func TestDrainReachesAllVMs(t *testing.T) {
	nodes := startExample(t, "verband")
	awaitExample(t, nodes)
	a := target.Announcement{ID: "engine-1", Incarnation: 1, Sequence: 1, Kind: target.KindEngine, Zone: nodes[8].settings.Zone, URL: "http://127.0.0.1:1"}
	nodes[8].acceptAnnouncement(a)
	for _, resume := range []bool{false, true, false} {
		r, err := adminClientOf(nodes[8]).DrainTarget(context.Background(), &adminv1.DrainTargetRequest{Id: a.ID, Resume: resume})
		if err != nil {
			t.Fatal(err)
		}
		for _, z := range r.GetZones() {
			if !z.GetComplete() {
				t.Errorf("resume %v: zone %s has %d of %d VMs", resume, z.GetZone(), z.GetConfirmed(), z.GetKnown())
			}
		}
		for _, n := range nodes {
			if !(adminServer{n}).hasDrainDecision(a.ID, !resume) {
				t.Errorf("resume %v: VM %s has a different drain decision", resume, n.settings.VM)
			}
		}
	}
}

// Guards against an edit that is applied again when it is resent after its
// leader has failed, and against a cluster that accepts no edits after that
// failure.
func TestResendAfterLossOfLeader(t *testing.T) {
	nodes := startExample(t, "zielnik")
	base := awaitExample(t, nodes)
	asked := nodes[8]
	if asked.settings.IsInitialVoter() {
		t.Fatal("the VM that is asked must not be a voter")
	}
	edit := rateEdit("kept", base, 4242)
	edit.Sections[0].Patch = []byte(`{"muzeum":{"rate_tokens_per_second":4242}}`)
	revision := requireAccepted(t, applyEdit(t, asked, edit))
	var lostZone string
	for _, n := range nodes {
		if n.log.HoldsLease() {
			lostZone = n.settings.Zone
			n.Close()
			break
		}
	}
	var again *adminv1.ApplyConfigResponse
	await(t, "response from the new leader", func() bool {
		var err error
		again, err = adminClientOf(asked).ApplyConfig(context.Background(), &adminv1.ApplyConfigRequest{Edit: edit})
		return err == nil
	})
	if got := requireAccepted(t, again); got != revision {
		t.Fatalf("the resent edit has revision %d, want the stored revision %d", got, revision)
	}
	edit.Id, edit.Sections[0].BaseRevision = "next", revision
	response := applyEdit(t, asked, edit)
	requireAccepted(t, response)
	for _, z := range response.GetZones() {
		if lost := z.GetZone() == lostZone; z.GetKnown() != 3 || z.GetComplete() == lost {
			t.Errorf("zone %s: %d of %d VMs, the failed leader was in %s", z.GetZone(), z.GetConfirmed(), z.GetKnown(), lostZone)
		}
	}
}

// BenchmarkCommitToInForce measures the time from submitting an edit to a VM
// without a disk until the edit is active on all nine VMs.
func BenchmarkCommitToInForce(b *testing.B) {
	nodes := startExample(b, "verband")
	base := awaitExample(b, nodes)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		response := applyEdit(b, nodes[8], exampleEdit(fmt.Sprint("bench", i), base, 1000+i))
		times = append(times, time.Since(start))
		base = requireAccepted(b, response)
		for _, z := range response.GetZones() {
			if !z.GetComplete() {
				b.Fatalf("the edit is not active in all of zone %s", z.GetZone())
			}
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
}

// BenchmarkWithdrawalConfirmed measures the time from a withdrawal at a VM
// without a disk until all nine VMs reject the key and the log has committed
// the withdrawal.
func BenchmarkWithdrawalConfirmed(b *testing.B) {
	nodes := startExample(b, "verband")
	awaitExample(b, nodes)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		response := withdraw(b, nodes[8], fmt.Sprint("key-", i))
		times = append(times, time.Since(start))
		if !response.GetCommitted() {
			b.Fatal("the log has not committed the withdrawal")
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
}
