package daemon

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	logobserver "go.uber.org/zap/zaptest/observer"

	"github.com/cuminwing/cuminwing/internal/settings"
)

// Guards against a log line for each request: only state changes are logged.
func TestSteadyLoadWritesNoLogLines(t *testing.T) {
	core, logs := logobserver.New(zapcore.DebugLevel)
	document := testDocument()
	s := settings.Settings{VM: "vm-logs", Zone: "muc-a", Region: "oberbayern", DataFolder: t.TempDir()}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		*a = testAddress(t)
	}
	s.InitialVoters = map[string]string{s.VM: s.PeerAddress}
	node, err := Start(s, Options{Logger: zap.New(core), Document: &document})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	vm := &testVM{node, "http://" + s.CallerAddress}
	startEngine(t, "e1", false, vm)
	// Taking the order lease is the last state change of a start.
	await(t, "order lease", func() bool { return logs.FilterMessage("order lease taken").Len() > 0 })
	if got := ask(t, vm, "warm-up", 5, nil); !got.complete() {
		t.Fatalf("%+v", got)
	}
	before := logs.Len()
	if before == 0 {
		t.Fatal("the start of a VM logged nothing, so the log capture does not work")
	}
	for range 100 {
		if got := ask(t, vm, "dossier", 5, nil); !got.complete() {
			t.Fatalf("%+v", got)
		}
	}
	if lines := logs.All()[before:]; len(lines) > 0 {
		t.Errorf("100 requests logged %d lines, the first is %q", len(lines), lines[0].Message)
	}
}
