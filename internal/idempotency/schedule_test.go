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

// errCrash stands for the loss of the VM that runs a request.
var errCrash = errors.New("VM crashed")

// world is one schedule: two VMs, one log, one service, and requests under one
// key that fail, crash and are resent at any point.
type world struct {
	t          *rapid.T
	machine    *control.Machine
	index      uint64
	now        time.Time
	late       [][]byte
	background []func(context.Context)
	services   []*serving.Service
	depth      int
	requests   int
	executed   map[string]int
}

func (w *world) chance(name string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(w.t, name) <= percent
}

// yield lets something else happen: a late command, a background task, a
// restored snapshot or a whole other request.
func (w *world) yield() {
	if len(w.late) > 0 && w.chance("late command arrives", 30) {
		w.apply(w.late[0])
		w.late = w.late[1:]
	}
	if len(w.background) > 0 && w.chance("background task runs", 30) {
		task := w.background[0]
		w.background = w.background[1:]
		w.protect(func() { task(context.Background()) })
	}
	if w.chance("voter restarts", 10) {
		w.restore()
	}
	if w.depth < 3 && w.chance("resend", 25) {
		w.request()
	}
}

func (w *world) restore() {
	data, err := w.machine.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	w.machine = newMachine()
	if err := w.machine.Restore(data); err != nil {
		w.t.Fatal(err)
	}
}

func newMachine() *control.Machine {
	return control.NewMachine(map[control.Kind]control.Part{control.KindClaims: NewPart()})
}

func (w *world) apply(body []byte) []byte {
	w.index++
	w.now = w.now.Add(time.Millisecond)
	answer, err := w.machine.Apply(w.index, control.EncodeCommand(control.KindClaims, w.now, body))
	if err != nil {
		w.t.Fatal(err)
	}
	return answer
}

// protect runs f and swallows a crash.
func (w *world) protect(f func()) {
	defer func() {
		if r := recover(); r != nil && r != any(errCrash) {
			panic(r)
		}
	}()
	f()
}

// worldLog is the control log as one VM sees it.
type worldLog struct {
	control.Log
	*world
}

// Propose implements control.Log.
func (w worldLog) Propose(_ context.Context, _ control.Kind, body []byte) ([]byte, error) {
	w.yield()
	switch {
	case w.chance("partition", 15):
		return nil, control.ErrNotCommitted
	case w.chance("command delayed", 15):
		w.late = append(w.late, bytes.Clone(body))
		return nil, control.ErrUncertain
	}
	answer := w.apply(body)
	if w.chance("answer lost", 15) {
		return nil, control.ErrUncertain
	}
	w.yield()
	if w.chance("crash after commit", 10) {
		panic(errCrash)
	}
	return answer, nil
}

// Do implements serving.Services.
func (w *world) Do(_ context.Context, _ *target.Target, call *serving.Call, _ serving.ServiceRequest) (*serving.ServiceAnswer, error) {
	w.yield()
	if w.chance("dial refused", 20) {
		return nil, &serving.DialError{Err: errors.New("refused")}
	}
	w.executed[call.ID]++
	w.yield()
	if w.chance("crash after dispatch", 10) {
		panic(errCrash)
	}
	if w.chance("connection lost", 15) {
		return nil, io.ErrUnexpectedEOF
	}
	return &serving.ServiceAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done by " + call.ID))}, nil
}

// Pick implements serving.Picker.
func (w *world) Pick(context.Context, serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	return &serving.Pick{Target: &target.Target{}, Done: func(serving.AttemptResult) {}}, nil
}

// The other ports have nothing to do with claims.

func (w *world) Admit(context.Context, *config.Snapshot, string, int64, time.Duration) (serving.Reservation, *serving.Refusal) {
	return w, nil
}
func (w *world) Settle(int64) {}
func (w *world) Acquire(context.Context, serving.QueueRequest) (serving.Slot, *serving.Refusal) {
	return freeSlot{}, nil
}
func (w *world) Allow(string, string) bool    { return true }
func (w *world) Finished(string, string)      {}
func (w *world) Observe(serving.Sample)       {}
func (w *world) Record(_ serving.UsageRecord) {}

func (w *world) newVM() *serving.Service {
	client := &Client{
		Log:        func() control.Log { return worldLog{world: w} },
		Pause:      func(context.Context, time.Duration) bool { return w.chance("tries again", 70) },
		Background: func(f func(context.Context)) { w.background = append(w.background, f) },
	}
	return &serving.Service{Clock: time.Now, Limiter: w, Queue: w, Claims: client, Picker: w, Retries: w, Services: w, Ledger: w, Observer: w}
}

// answered is a ServiceSink.
type answered struct {
	status int
	body   []byte
}

func (a *answered) Begin(status int, _ http.Header) { a.status = status }

func (a *answered) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

// request sends the one request of the schedule through one of the VMs.
func (w *world) request() {
	w.depth++
	defer func() { w.depth-- }()
	w.requests++
	call := &serving.Call{
		ID: fmt.Sprintf("r%d", w.requests), Workspace: "yards", IdempotencyKey: "key", Deadline: time.Now().Add(time.Hour),
		Route:    config.Route{Kind: config.KindService, Run: config.RunAtMostOnce, MaxAttempts: 3},
		Snapshot: config.NewSnapshot(config.Document{}, 1),
	}
	vm := w.services[rapid.IntRange(0, 1).Draw(w.t, "vm")]
	w.protect(func() {
		sink := &answered{}
		outcome := vm.Forward(context.Background(), call, serving.ServiceRequest{Buffered: true}, sink)
		w.check(call, sink, outcome.Refusal)
	})
}

func (w *world) check(call *serving.Call, sink *answered, refusal *serving.Refusal) {
	if refusal != nil && refusal.Run == serving.NotRun && w.executed[call.ID] != 0 {
		w.t.Fatalf("%s was answered %q as not-run but ran", call.ID, refusal.Code)
	}
	if refusal != nil {
		return
	}
	for id := range w.executed {
		if string(sink.body) != "done by "+id {
			w.t.Fatalf("%s was answered %q, the execution was by %s", call.ID, sink.body, id)
		}
	}
}

func (w *world) total() int {
	n := 0
	for _, times := range w.executed {
		n += times
	}
	return n
}

// Guards against an order that runs twice, and against a resend that is told
// not-run or another answer although the order ran.
func TestExecutionsPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, machine: newMachine(), now: time.UnixMilli(1), executed: make(map[string]int)}
		w.services = []*serving.Service{w.newVM(), w.newVM()}
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			w.request()
			if w.total() > 1 {
				t.Fatalf("%d executions: %v", w.total(), w.executed)
			}
		}
	})
}

// freeSlot is the turn of a queue without limits.
type freeSlot struct{}

func (freeSlot) FirstToken()      {}
func (freeSlot) Release(int, int) {}
