package fairqueue

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// harness drives a queue with a fixed capacity and records the order of
// admission.
type harness struct {
	t     *testing.T
	now   time.Time
	queue *Queue
	order chan string
}

func newHarness(t *testing.T, capacity int) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0), order: make(chan string, 1000)}
	h.queue = &Queue{
		Clock:    func() time.Time { return h.now },
		Capacity: func(string, Usage) Limits { return Limits{InFlight: capacity, Prefilling: capacity} },
	}
	return h
}

func (h *harness) request(workspace, class string) serving.QueueRequest {
	return serving.QueueRequest{
		Group: "m", Workspace: workspace, Weight: 1, Class: class,
		PrefillTokens: 1000, Deadline: h.now.Add(time.Hour),
	}
}

// takeSlot occupies a slot, so that later requests have to wait, and returns
// the function that releases it.
func (h *harness) takeSlot() func(int, int) {
	slot, refusal := h.queue.Acquire(context.Background(), h.request("holder", config.ClassInteractive))
	if refusal != nil {
		h.t.Fatal(refusal)
	}
	return slot.Release
}

// enqueue sends a request in the background and returns once it waits in the
// queue.
func (h *harness) enqueue(name string, req serving.QueueRequest) {
	before := h.queue.Waiting(req.Group)
	go func() {
		slot, refusal := h.queue.Acquire(context.Background(), req)
		if refusal != nil {
			h.order <- refusal.Code
			return
		}
		h.order <- name
		slot.Release(req.PrefillTokens, req.DecodeTokens)
	}()
	for h.queue.Waiting(req.Group) == before {
		time.Sleep(time.Millisecond)
	}
}

// Guards against the backlog of one workspace delaying another workspace.
func TestBacklogOfOneWorkspaceDoesNotDelayAnother(t *testing.T) {
	h := newHarness(t, 1)
	release := h.takeSlot()
	for range 20 {
		h.enqueue("heavy", h.request("heavy", config.ClassInteractive))
	}
	h.enqueue("light", h.request("light", config.ClassInteractive))
	release(1000, 0)
	for position := range 21 {
		if <-h.order == "light" {
			if position > 1 {
				t.Fatalf("the light workspace was admitted at position %d, want 0 or 1", position)
			}
			return
		}
	}
}

// Guards against starvation of catalogue requests, and against catalogue
// requests that delay interactive ones by more than their share.
func TestCatalogueGetsItsShareAndNoMore(t *testing.T) {
	h := newHarness(t, 1)
	release := h.takeSlot()
	for range 40 {
		h.enqueue("catalogue", h.request("drafts", config.ClassCatalogue))
	}
	for range 100 {
		h.enqueue("interactive", h.request("desk", config.ClassInteractive))
	}
	release(1000, 0)
	catalogue := 0
	for range 100 {
		if <-h.order == "catalogue" {
			catalogue++
		}
	}
	if catalogue < 8 || catalogue > 11 {
		t.Fatalf("%d of 100 slots went to catalogue requests, want about 10", catalogue)
	}
}

// Guards against queueing a request whose deadline cannot be met.
func TestRequestIsRefusedEarlyIfItsDeadlineCannotBeMet(t *testing.T) {
	h := newHarness(t, 1)
	for range 20 {
		release := h.takeSlot()
		h.now = h.now.Add(time.Second)
		release(1000, 0)
	}
	release := h.takeSlot()
	defer release(0, 0)
	for range 10 {
		h.enqueue("w", h.request("w", config.ClassInteractive))
	}
	late := h.request("w", config.ClassInteractive)
	late.Deadline = h.now.Add(5 * time.Second)
	_, refusal := h.queue.Acquire(context.Background(), late)
	if refusal == nil || refusal.Code != "deadline_unreachable" || refusal.Run != serving.NotRun {
		t.Fatalf("refusal = %v, want code deadline_unreachable with state not-run", refusal)
	}
}

// Guards against a canceled request that keeps its place in the queue or a
// slot.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	h := newHarness(t, 1)
	release := h.takeSlot()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, refusal := h.queue.Acquire(ctx, h.request("w", config.ClassInteractive)); refusal == nil {
		t.Fatal("a canceled request got a slot")
	}
	if n := h.queue.Waiting("m"); n != 0 {
		t.Fatalf("%d requests are waiting, want 0", n)
	}
	release(0, 0)
	h.takeSlot()(0, 0)
}

// Guards against prompts that queue inside engines, and against a request that
// still counts as prefilling after its first token.
func TestPrefillLimitIsFreedByTheFirstToken(t *testing.T) {
	h := newHarness(t, 10)
	h.queue.Capacity = func(string, Usage) Limits { return Limits{InFlight: 10, Prefilling: 1} }
	first, refusal := h.queue.Acquire(context.Background(), h.request("w", config.ClassInteractive))
	if refusal != nil {
		t.Fatal(refusal)
	}
	h.enqueue("second", h.request("w", config.ClassInteractive))
	if n := h.queue.Waiting("m"); n != 1 {
		t.Fatalf("%d requests are waiting for the prefill of the first, want 1", n)
	}
	first.FirstToken()
	if got := <-h.order; got != "second" {
		t.Fatalf("admitted %q, want the second request", got)
	}
	first.Release(1000, 10)
}
