package idempotency

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// errCrash is the panic value that simulates a crash of the VM that runs a
// request.
var errCrash = errors.New("VM crashed")

// simulation runs one random schedule of two VMs, one control log, one service,
// and requests with the same key that fail, crash and are resent at any point.
type simulation struct {
	t          *rapid.T
	machine    *control.CompositeStateMachine
	index      uint64
	now        time.Time
	delayed    [][]byte
	background []func(context.Context)
	services   []*serving.Service
	nesting    int
	requests   int
	executions map[string]int
}

func (s *simulation) chance(name string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(s.t, name) <= percent
}

// interleave may run a concurrent event: a delayed command, a background task, a
// voter restart or another complete request.
func (s *simulation) interleave() {
	if len(s.delayed) > 0 && s.chance("delayed command arrives", 30) {
		s.apply(s.delayed[0])
		s.delayed = s.delayed[1:]
	}
	if len(s.background) > 0 && s.chance("background task runs", 30) {
		task := s.background[0]
		s.background = s.background[1:]
		s.recoverCrash(func() { task(context.Background()) })
	}
	if s.chance("voter restarts", 10) {
		s.restore()
	}
	if s.nesting < 3 && s.chance("resend", 25) {
		s.request()
	}
}

func (s *simulation) restore() {
	data, err := s.machine.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = newMachine()
	if err := s.machine.Restore(data); err != nil {
		s.t.Fatal(err)
	}
}

func newMachine() *control.CompositeStateMachine {
	return control.NewCompositeStateMachine(map[control.Kind]control.StateMachine{control.KindClaims: NewStateMachine()})
}

func (s *simulation) apply(body []byte) []byte {
	s.index++
	s.now = s.now.Add(time.Millisecond)
	response, err := s.machine.Apply(s.index, control.EncodeCommand(control.KindClaims, s.now, body))
	if err != nil {
		s.t.Fatal(err)
	}
	return response
}

// recoverCrash runs f and recovers from a simulated crash.
func (s *simulation) recoverCrash(f func()) {
	defer func() {
		if r := recover(); r != nil && r != any(errCrash) {
			panic(r)
		}
	}()
	f()
}

// simulatedLog is the control log as seen by one VM.
type simulatedLog struct {
	control.Log
	*simulation
}

// Propose implements control.Log.
func (s simulatedLog) Propose(_ context.Context, _ control.Kind, body []byte) ([]byte, error) {
	s.interleave()
	switch {
	case s.chance("partition", 15):
		return nil, control.ErrNotCommitted
	case s.chance("command delayed", 15):
		s.delayed = append(s.delayed, bytes.Clone(body))
		return nil, control.ErrUncertain
	}
	response := s.apply(body)
	if s.chance("answer lost", 15) {
		return nil, control.ErrUncertain
	}
	s.interleave()
	if s.chance("crash after commit", 10) {
		panic(errCrash)
	}
	return response, nil
}

// Do implements serving.ServiceClient.
func (s *simulation) Do(_ context.Context, _ *target.Target, call *serving.Call, _ serving.ServiceRequest) (*serving.ServiceResponse, error) {
	s.interleave()
	if s.chance("dial refused", 20) {
		return nil, &serving.DialError{Err: errors.New("refused")}
	}
	s.executions[call.ID]++
	s.interleave()
	if s.chance("crash after dispatch", 10) {
		panic(errCrash)
	}
	if s.chance("connection lost", 15) {
		return nil, io.ErrUnexpectedEOF
	}
	return &serving.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done by " + call.ID))}, nil
}

// Pick implements serving.Picker.
func (s *simulation) Pick(context.Context, serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	return &serving.Pick{Target: &target.Target{}, Done: func(serving.AttemptResult) {}}, nil
}

// The remaining methods implement interfaces that do not involve claims.

func (s *simulation) Admit(context.Context, *config.Snapshot, string, int64, time.Duration) (serving.Reservation, *serving.Refusal) {
	return s, nil
}
func (s *simulation) Settle(int64) {}
func (s *simulation) Acquire(context.Context, serving.QueueRequest) (serving.Slot, *serving.Refusal) {
	return freeSlot{}, nil
}
func (s *simulation) Allow(string, string) bool    { return true }
func (s *simulation) RecordSuccess(string, string) {}
func (s *simulation) Observe(serving.Sample)       {}
func (s *simulation) Record(_ serving.UsageRecord) {}

func (s *simulation) newVM() *serving.Service {
	client := &Client{
		Log:        func() control.Log { return simulatedLog{simulation: s} },
		Pause:      func(context.Context, time.Duration) bool { return s.chance("retry", 70) },
		Background: func(f func(context.Context)) { s.background = append(s.background, f) },
	}
	return &serving.Service{Clock: time.Now, Limiter: s, Queue: s, Claims: client, Picker: s, Retries: s, Services: s, UsageRecorder: s, Observer: s}
}

// responseSink is a serving.ServiceSink that records the response.
type responseSink struct {
	status int
	body   []byte
}

func (r *responseSink) Begin(status int, _ http.Header) { r.status = status }

func (r *responseSink) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

// request sends the request, or a resend of it, through one of the VMs.
func (s *simulation) request() {
	s.nesting++
	defer func() { s.nesting-- }()
	s.requests++
	call := &serving.Call{
		ID: fmt.Sprintf("r%d", s.requests), Workspace: "yards", IdempotencyKey: "key", Deadline: time.Now().Add(time.Hour),
		Route:    config.Route{Kind: config.KindService, Run: config.RunAtMostOnce, MaxAttempts: 3},
		Snapshot: config.NewSnapshot(config.Document{}, 1),
	}
	vm := s.services[rapid.IntRange(0, 1).Draw(s.t, "vm")]
	s.recoverCrash(func() {
		sink := &responseSink{}
		outcome := vm.Forward(context.Background(), call, serving.ServiceRequest{Buffered: true}, sink)
		s.checkResponse(call, sink, outcome.Refusal)
	})
}

func (s *simulation) checkResponse(call *serving.Call, sink *responseSink, refusal *serving.Refusal) {
	if refusal != nil && refusal.Run == serving.NotRun && s.executions[call.ID] != 0 {
		s.t.Fatalf("request %s was refused with %q as not-run but ran", call.ID, refusal.Code)
	}
	if refusal != nil {
		return
	}
	for id := range s.executions {
		if string(sink.body) != "done by "+id {
			s.t.Fatalf("request %s was answered %q, but request %s was executed", call.ID, sink.body, id)
		}
	}
}

func (s *simulation) totalExecutions() int {
	n := 0
	for _, times := range s.executions {
		n += times
	}
	return n
}

// Guards against a request that runs twice, and against a resend that is answered
// with not-run or with another response although the request has run.
func TestAtMostOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, machine: newMachine(), now: time.UnixMilli(1), executions: make(map[string]int)}
		s.services = []*serving.Service{s.newVM(), s.newVM()}
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			s.request()
			if s.totalExecutions() > 1 {
				t.Fatalf("%d executions, want at most 1: %v", s.totalExecutions(), s.executions)
			}
		}
	})
}

// freeSlot is the slot of a queue without limits.
type freeSlot struct{}

func (freeSlot) FirstToken()      {}
func (freeSlot) Release(int, int) {}
