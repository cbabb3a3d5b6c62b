package configstate

import (
	"fmt"
	"testing"

	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

// Sizes that the design assumes: the number of workspaces, and the number of
// edits in one day.
const (
	benchWorkspaces = 1900
	benchEdits      = 2300
)

// dayOfCommands returns the commands of one day: the initial document, then
// edits that each change one workspace.
func dayOfCommands(tb testing.TB) [][]byte {
	tb.Helper()
	edits := []*configv1.Edit{firstEdit(tb, benchWorkspaces)}
	for i := range benchEdits {
		workspace := fmt.Sprintf("workspace-%04d", i%benchWorkspaces)
		edits = append(edits, rateEdit(fmt.Sprintf("edit-%024d", i), uint64(i+1), workspace, i+1))
	}
	commands := make([][]byte, len(edits))
	for i, e := range edits {
		body, err := proto.Marshal(e)
		if err != nil {
			tb.Fatal(err)
		}
		commands[i] = body
	}
	return commands
}

func replay(tb testing.TB, commands [][]byte) *StateMachine {
	tb.Helper()
	m := newTestStateMachine()
	for i, c := range commands {
		m.Apply(uint64(i+1), applyTime, c)
	}
	if m.State().Revision != uint64(len(commands)) {
		tb.Fatalf("document is at revision %d after %d edits", m.State().Revision, len(commands))
	}
	return m
}

// BenchmarkRestartFromLog replays the commands of one day without a snapshot.
func BenchmarkRestartFromLog(b *testing.B) {
	commands := dayOfCommands(b)
	for b.Loop() {
		replay(b, commands)
	}
}

// BenchmarkRestartFromSnapshot restores, from a snapshot, the state that the same
// commands produce.
func BenchmarkRestartFromSnapshot(b *testing.B) {
	data, err := replay(b, dayOfCommands(b)).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	for b.Loop() {
		if err := newTestStateMachine().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApplyEdit applies edits of one workspace to a document of the design
// size and reports the size of one command.
func BenchmarkApplyEdit(b *testing.B) {
	m := newTestStateMachine()
	apply(b, m, 1, firstEdit(b, benchWorkspaces))
	index, commandSize := uint64(1), 0
	for b.Loop() {
		body, err := proto.Marshal(rateEdit(fmt.Sprintf("edit-%024d", index), index, "workspace-0007", int(index)))
		if err != nil {
			b.Fatal(err)
		}
		commandSize = len(body)
		index++
		m.Apply(index, applyTime, body)
	}
	if m.State().Revision != index {
		b.Fatal("an edit was rejected")
	}
	b.ReportMetric(float64(commandSize), "command-bytes")
}

// BenchmarkAddKeyBytes reports the size of the command that adds a key to one of
// 1,900 workspaces. The command repeats the keys of that workspace only.
func BenchmarkAddKeyBytes(b *testing.B) {
	m := newTestStateMachine()
	apply(b, m, 1, firstEdit(b, benchWorkspaces))
	key := testDocument(1).Workspaces["workspace-0000"].Keys[0]
	key.ID = "added"
	var commandSize, documentSize int
	for b.Loop() {
		state := m.State()
		patch, err := state.Sections["workspaces"].Contents.AppendKey("workspace-0007", key)
		if err != nil {
			b.Fatal(err)
		}
		edit := &configv1.Edit{Id: "edit-000000000000000000000000", Operator: "operator", Sections: []*configv1.SectionEdit{
			{Section: "workspaces", BaseRevision: 1, Patch: patch},
		}}
		commandSize = proto.Size(edit)
		documentSize = proto.Size(state.EncodeDocument())
	}
	b.ReportMetric(float64(commandSize), "command-bytes")
	b.ReportMetric(float64(documentSize), "document-bytes")
}

// FuzzDecode checks that a state which Decode accepts encodes and decodes
// again. Encoded states come from peers and files.
func FuzzDecode(f *testing.F) {
	m := newTestStateMachine()
	apply(f, m, 1, firstEdit(f, 2))
	apply(f, m, 2, rateEdit("a", 1, "workspace-0001", 5))
	data, err := m.State().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("an accepted state does not decode again: %v", err)
		}
	})
}

// FuzzApply checks that no command makes Apply panic or leaves a state whose
// snapshot cannot be restored.
func FuzzApply(f *testing.F) {
	body, err := proto.Marshal(rateEdit("a", 1, "workspace-0001", 5))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		m := newTestStateMachine()
		apply(t, m, 1, firstEdit(t, 2))
		m.Apply(2, applyTime, body)
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := newTestStateMachine().Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}
