package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/standin"
)

// Guards against lost, duplicated or foreign tokens when an engine fails during
// a response: the caller must receive the response that a healthy engine gives.
func TestStreamsSurviveEngineFaults(t *testing.T) {
	faults := map[string]standin.EngineFaults{
		"cut":            {CloseAfterTokens: 10, MaxRequests: 1},
		"cut twice":      {CloseAfterTokens: 10, MaxRequests: 2},
		"stall":          {StallAfterTokens: 10, MaxRequests: 1},
		"stall at start": {StallAfterTokens: 1, MaxRequests: 1},
		"crossed":        {ForeignEvents: 1},
		"status 500":     {Status: 500, MaxRequests: 1},
		"status 429":     {Status: 429, MaxRequests: 1},
	}
	for name, fault := range faults {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/http2=%t", name, http2), func(t *testing.T) {
				t.Parallel()
				// Each case has its own VM, whose retry budget is not yet used.
				vm := startVM(t, "muc-a", testDocument())
				engines := []*standin.Engine{startEngine(t, "e1", http2, vm), startEngine(t, "e2", http2, vm)}
				want := ask(t, vm, "dossier", 40, nil)
				for _, e := range engines {
					e.SetFaults(fault)
				}
				got := ask(t, vm, "dossier", 40, nil)
				if !want.complete() || !got.complete() || got.text != want.text {
					t.Errorf("got %+v, without a fault %+v", got, want)
				}
			})
		}
	}
}

// Guards against duplicated or missing tokens when the next engine resumes at a
// different offset than requested.
func TestResumeAtAnotherOffset(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	engine := startEngine(t, "e1", false, vm)
	want := ask(t, vm, "dossier", 40, nil)
	engine.SetFaults(standin.EngineFaults{CloseAfterTokens: 30, RepeatTokens: 5})
	if got := ask(t, vm, "dossier", 40, nil); !got.complete() || got.text != want.text {
		t.Errorf("repeated tokens: got %+v, want %q", got, want.text)
	}
	engine.SetFaults(standin.EngineFaults{CloseAfterTokens: 30, SkipTokens: 1})
	got := ask(t, vm, "dossier", 40, nil)
	if got.done != 0 || got.failed == "" || !strings.HasPrefix(want.text, got.text) {
		t.Errorf("skipped token: got %+v, want a prefix and an error event", got)
	}
}

// Guards against streams and new requests that hang on connections whose state
// a middlebox has dropped.
func TestSilentConnections(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%t", http2), func(t *testing.T) {
			vm := startVM(t, "muc-a", testDocument())
			engine := startEngine(t, "e1", http2, vm)
			want := ask(t, vm, "dossier", 200, nil)
			got := ask(t, vm, "dossier", 200, func(n int) {
				if n == 20 && engine.BlackholeConnections() == 0 {
					t.Error("no connection to the engine was open")
				}
			})
			if !got.complete() || got.text != want.text {
				t.Errorf("stream in flight: %d end markers, error %q, text equal: %t", got.done, got.failed, got.text == want.text)
			}
			started := engine.RequestCount()
			if got := ask(t, vm, "another", 20, nil); !got.complete() || engine.RequestCount() != started+1 {
				t.Errorf("new request: %+v after %d attempts", got, engine.RequestCount()-started)
			}
			await(t, "end of the silent request", func() bool { return engine.InFlight() == 0 })
		})
	}
}

// Guards against refusals marked as not-run although an engine has started, and
// against streams that end early but look complete.
func TestRunStateOfRefusals(t *testing.T) {
	document := testDocument()
	grade := document.Routes["grade"]
	grade.MaxAttempts, grade.FirstTokenTimeoutMS = 1, 300
	document.Routes["grade"] = grade
	vm := startVM(t, "muc-a", document)
	if got := ask(t, vm, "dossier", 20, nil); got.header.Get("Cuminwing-Run") != "not-run" {
		t.Errorf("without engines: %+v", got)
	}
	engine := startEngine(t, "e1", false, vm)
	for _, c := range []struct {
		fault  standin.EngineFaults
		status int
		run    string
	}{
		{standin.EngineFaults{Status: 500}, http.StatusBadGateway, "unknown"},
		{standin.EngineFaults{Status: 429}, http.StatusServiceUnavailable, "unknown"},
		{standin.EngineFaults{Status: 400}, http.StatusBadRequest, "ran"},
	} {
		engine.SetFaults(c.fault)
		started := engine.RequestCount()
		got := ask(t, vm, "dossier", 20, nil)
		if got.status != c.status || got.header.Get("Cuminwing-Run") != c.run || engine.RequestCount() != started+1 {
			t.Errorf("%+v: got %+v after %d attempts", c, got, engine.RequestCount()-started)
		}
	}
	engine.SetFaults(standin.EngineFaults{CloseAfterTokens: 5})
	if got := ask(t, vm, "dossier", 20, nil); got.done != 0 || got.failed != "target_failed" {
		t.Errorf("truncated stream: %+v", got)
	}
	engine.Close()
	if got := ask(t, vm, "dossier", 20, nil); got.header.Get("Cuminwing-Run") != "not-run" {
		t.Errorf("refused dial: %+v", got)
	}
}

// Guards against streams that continue after their key is withdrawn.
func TestWithdrawnKeyEndsStream(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	engine := startEngine(t, "e1", false, vm)
	got := ask(t, vm, "dossier", 100000, func(n int) {
		if n == 10 {
			vm.withdrawn.Add(apikeys.HashKey(testKey))
		}
	})
	if got.done != 0 || got.failed != "key_withdrawn" {
		t.Errorf("got %d end markers and error %q", got.done, got.failed)
	}
	await(t, "engine is idle", func() bool { return engine.InFlight() == 0 })
}

// Guards against engines that keep working after the caller has disconnected.
func TestCallerGoneCancelsEngine(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		vm := startVM(t, "muc-a", testDocument())
		engine := startEngine(t, "e1", http2, vm)
		ctx, cancel := context.WithCancel(t.Context())
		resp, err := send(ctx, http.MethodPost, vm.base+"/v1/chat/completions", testKey, chatBody("dossier", 100000, true))
		if err != nil {
			t.Fatal(err)
		}
		readResponse(resp, func(int) { cancel() })
		await(t, "cancelled request", func() bool { return engine.CancelledCount() == 1 && engine.InFlight() == 0 })
	}
}

// Guards against callers that time out on an idle connection while their
// request waits.
func TestWaitingCallersGetHeartbeats(t *testing.T) {
	document := testDocument()
	document.Limits.HeartbeatMS = 20
	vm := startVM(t, "muc-a", document)
	engine := startEngine(t, "e1", false, vm)
	engine.SetFaults(standin.EngineFaults{StallAfterTokens: 1, MaxRequests: 1})
	if got := ask(t, vm, "dossier", 10, nil); !got.complete() || !strings.Contains(got.body, ": waiting") {
		t.Errorf("got %+v", got)
	}
}

// Guards against streams that run past their deadline or end without an error.
func TestDeadlineEndsStream(t *testing.T) {
	document := testDocument()
	grade := document.Routes["grade"]
	grade.TimeoutMS = 500
	document.Routes["grade"] = grade
	vm := startVM(t, "muc-a", document)
	engine := startEngine(t, "e1", false, vm)
	got := ask(t, vm, "dossier", 100000, nil)
	if got.done != 0 || got.failed != "deadline_exceeded" && got.status != http.StatusGatewayTimeout {
		t.Errorf("got %d end markers, status %d and error %q", got.done, got.status, got.failed)
	}
	await(t, "engine is idle", func() bool { return engine.InFlight() == 0 })
}
