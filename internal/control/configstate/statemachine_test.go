package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

var applyTime = time.UnixMilli(1_700_000_000_000)

func newTestStateMachine() *StateMachine { return NewStateMachine(func() {}) }

func testDocument(workspaces int) config.Document {
	d := config.Document{
		Models:     map[string]config.Model{"gutachter": {ServingVersion: "v1"}},
		Workspaces: map[string]config.Workspace{},
		Rates:      map[string]config.Rate{},
		Routes:     map[string]config.Route{"grade": {Kind: config.KindModel, Model: "gutachter"}},
		Zones:      map[string]config.Zone{"muc-a": {Region: "oberbayern", VMSlots: 3}},
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		d.Workspaces[name] = config.Workspace{Keys: []config.Key{{ID: "k1", SHA256: fmt.Sprintf("%064x", i+1)}}}
		d.Rates[name] = config.Rate{RateTokensPerSecond: 1000, BurstTokens: 5000}
	}
	return d
}

func firstEdit(t testing.TB, workspaces int) *configv1.Edit {
	t.Helper()
	edit, err := InitialEdit("first", testDocument(workspaces))
	if err != nil {
		t.Fatal(err)
	}
	return edit
}

func rateEdit(id string, base uint64, workspace string, rate int) *configv1.Edit {
	patch := fmt.Sprintf(`{%q:{"rate_tokens_per_second":%d}}`, workspace, rate)
	return &configv1.Edit{Id: id, Sections: []*configv1.SectionEdit{{Section: "rates", BaseRevision: base, Patch: []byte(patch)}}}
}

func apply(t testing.TB, m *StateMachine, index uint64, edit *configv1.Edit) *configv1.EditResult {
	t.Helper()
	body, err := proto.Marshal(edit)
	if err != nil {
		t.Fatal(err)
	}
	var result configv1.EditResult
	if err := proto.Unmarshal(m.Apply(index, applyTime, body), &result); err != nil {
		t.Fatal(err)
	}
	return &result
}

func wantOutcome(t testing.TB, got *configv1.EditResult, want configv1.Outcome) {
	t.Helper()
	if got.GetOutcome() != want {
		t.Fatalf("outcome %v, want %v: %v", got.GetOutcome(), want, got)
	}
}

// Guards against concurrent edits by two operators overwriting each other. Of
// two edits with the same base revision only the first is accepted; the conflict
// reported for the second names the first.
func TestRacingEditsHaveOneWinner(t *testing.T) {
	m := newTestStateMachine()
	wantOutcome(t, apply(t, m, 5, firstEdit(t, 2)), configv1.Outcome_OUTCOME_ACCEPTED)
	wantOutcome(t, apply(t, m, 6, rateEdit("a", 5, "workspace-0000", 10)), configv1.Outcome_OUTCOME_ACCEPTED)
	rejected := apply(t, m, 7, rateEdit("b", 5, "workspace-0001", 20))
	wantOutcome(t, rejected, configv1.Outcome_OUTCOME_CONFLICT)
	if c := rejected.GetConflicts(); len(c) != 1 || c[0].GetRevision() != 6 || c[0].GetEditId() != "a" {
		t.Fatalf("conflict names %v, want revision 6 of edit a", c)
	}
	if got := m.State().Document.Rates["workspace-0001"].RateTokensPerSecond; got != 1000 {
		t.Fatalf("the rejected edit changed the rate to %v", got)
	}
}

// Guards against a retried edit being executed twice or getting a different
// result, including after a snapshot is restored.
func TestRetriedEditGetsStoredResult(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 5, firstEdit(t, 2))
	accepted := apply(t, m, 6, rateEdit("a", 5, "workspace-0000", 10))
	rejected := apply(t, m, 7, rateEdit("b", 5, "workspace-0000", 20))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newTestStateMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*StateMachine{m, restored} {
		if again := apply(t, machine, 8, rateEdit("a", 5, "workspace-0000", 10)); !proto.Equal(again, accepted) {
			t.Fatalf("retry of the accepted edit returned %v, want %v", again, accepted)
		}
		if again := apply(t, machine, 9, rateEdit("b", 5, "workspace-0000", 20)); !proto.Equal(again, rejected) {
			t.Fatalf("retry of the rejected edit returned %v, want %v", again, rejected)
		}
		wantOutcome(t, apply(t, machine, 10, rateEdit("a", 6, "workspace-0000", 30)), configv1.Outcome_OUTCOME_ID_REUSED)
		if machine.State().Revision != 6 {
			t.Fatalf("a retry changed the revision to %d", machine.State().Revision)
		}
	}
}

// Guards against accepting an edit that makes sections inconsistent with each
// other.
func TestMergedDocumentMustValidate(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 5, firstEdit(t, 2))
	edit := &configv1.Edit{Id: "drop", Sections: []*configv1.SectionEdit{
		{Section: "models", BaseRevision: 5, Patch: []byte(`{"gutachter":null}`)},
		{Section: "rates", BaseRevision: 5, Patch: []byte(`{"workspace-0001":null}`)},
	}}
	result := apply(t, m, 6, edit)
	wantOutcome(t, result, configv1.Outcome_OUTCOME_INVALID)
	if len(result.GetProblems()) != 2 {
		t.Fatalf("got problems %v, want one for each section", result.GetProblems())
	}
	if m.State().Revision != 5 {
		t.Fatal("a rejected edit changed the document")
	}
}

// Guards against stored results using memory without bound, and against dropping
// a result before MaxResults later ones are stored.
func TestResultsAreKeptForStatedNumber(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, firstEdit(t, 1))
	for i := range uint64(MaxResults) {
		apply(t, m, i+2, rateEdit(fmt.Sprint("e", i), i+1, "workspace-0000", int(i)+1))
	}
	if len(m.results) != MaxResults || len(m.resultOrder) != MaxResults {
		t.Fatalf("%d results are stored, want %d", len(m.results), MaxResults)
	}
	before := m.State().Revision
	apply(t, m, before+1, rateEdit("e0", 1, "workspace-0000", 1))
	if m.State().Revision != before {
		t.Fatal("the oldest stored result was lost, and the retried edit was executed")
	}
}

// Guards against a VM applying a change that does not directly follow its
// revision because the history has dropped the changes in between.
func TestSinceCoversHistoryOrReportsGap(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 5, firstEdit(t, 1))
	old := m.State()
	for i := range uint64(MaxHistoryChanges + 10) {
		apply(t, m, i+6, rateEdit(fmt.Sprint("e", i), i+5, "workspace-0000", int(i)+1))
	}
	s := m.State()
	if _, ok := s.Since(5); ok {
		t.Fatal("Since reported success for a revision whose next change was dropped")
	}
	if _, ok := s.Since(s.Revision + 1); ok {
		t.Fatal("Since reported success for a revision later than the current one")
	}
	changes, ok := s.Since(s.Revision - 3)
	if !ok || len(changes) != 3 {
		t.Fatalf("Since returned %d changes (reported success: %v), want 3", len(changes), ok)
	}
	if _, err := old.Apply(changes[0]); err == nil {
		t.Fatal("a change that does not directly follow the state was applied")
	}
}

// Guards against two states derived from the same state overwriting each other's
// history, which would send a rejected edit to VMs that catch up. Applying the
// log and pulling changes from another VM can derive two such states.
func TestStatesDoNotShareHistory(t *testing.T) {
	m := newTestStateMachine()
	apply(t, m, 1, firstEdit(t, 1))
	for i := range uint64(2) {
		apply(t, m, i+2, rateEdit(fmt.Sprint("e", i), i+1, "workspace-0000", int(i)+1))
	}
	base := m.State()
	change := func(id string) *configv1.Change {
		return &configv1.Change{Revision: 4, Previous: 3, Edit: rateEdit(id, 3, "workspace-0000", 9)}
	}
	first, err := base.Apply(change("first"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := base.Apply(change("second")); err != nil {
		t.Fatal(err)
	}
	if changes, _ := first.Since(3); len(changes) != 1 || changes[0].GetEdit().GetId() != "first" {
		t.Fatalf("the history of the first state changed to %v", changes)
	}
}
