package fairqueue

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// bench drives a queue with a fixed capacity and records the order of
// admission.
type bench struct {
	t     *testing.T
	now   time.Time
	queue *Queue
	order chan string
}

func newBench(t *testing.T, capacity int) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0), order: make(chan string, 1000)}
	b.queue = &Queue{
		Clock:    func() time.Time { return b.now },
		Capacity: func(string, Usage) Limits { return Limits{InFlight: capacity, Prefilling: capacity} },
	}
	return b
}

func (b *bench) request(workspace, class string) serving.QueueRequest {
	return serving.QueueRequest{
		Group: "m", Workspace: workspace, Weight: 1, Class: class,
		PrefillTokens: 1000, Deadline: b.now.Add(time.Hour),
	}
}

// hold takes a slot, so that later requests have to wait.
func (b *bench) hold() func(int, int) {
	slot, refusal := b.queue.Acquire(context.Background(), b.request("holder", config.ClassInteractive))
	if refusal != nil {
		b.t.Fatal(refusal)
	}
	return slot.Release
}

// enqueue starts a request and returns once it waits.
func (b *bench) enqueue(name string, req serving.QueueRequest) {
	before := b.queue.Waiting(req.Group)
	go func() {
		slot, refusal := b.queue.Acquire(context.Background(), req)
		if refusal != nil {
			b.order <- refusal.Code
			return
		}
		b.order <- name
		slot.Release(req.PrefillTokens, req.DecodeTokens)
	}()
	for b.queue.Waiting(req.Group) == before {
		time.Sleep(time.Millisecond)
	}
}

// Guards against one workspace's backlog delaying another workspace.
func TestBacklogOfOneWorkspaceDoesNotDelayAnother(t *testing.T) {
	b := newBench(t, 1)
	release := b.hold()
	for range 20 {
		b.enqueue("greedy", b.request("greedy", config.ClassInteractive))
	}
	b.enqueue("modest", b.request("modest", config.ClassInteractive))
	release(1000, 0)
	for position := range 21 {
		if <-b.order == "modest" {
			if position > 1 {
				t.Fatalf("the modest workspace was served at position %d, want 0 or 1", position)
			}
			return
		}
	}
}

// Guards against catalogue work that starves, and against catalogue work that
// delays interactive work by more than its share.
func TestCatalogueGetsItsShareAndNoMore(t *testing.T) {
	b := newBench(t, 1)
	release := b.hold()
	for range 40 {
		b.enqueue("catalogue", b.request("drafts", config.ClassCatalogue))
	}
	for range 100 {
		b.enqueue("interactive", b.request("desk", config.ClassInteractive))
	}
	release(1000, 0)
	catalogue := 0
	for range 100 {
		if <-b.order == "catalogue" {
			catalogue++
		}
	}
	if catalogue < 8 || catalogue > 11 {
		t.Fatalf("%d of 100 slots went to catalogue work, want about 10", catalogue)
	}
}

// Guards against requests that wait although their deadline cannot be met.
func TestRequestIsRefusedEarlyIfItsDeadlineCannotBeMet(t *testing.T) {
	b := newBench(t, 1)
	for range 20 {
		release := b.hold()
		b.now = b.now.Add(time.Second)
		release(1000, 0)
	}
	release := b.hold()
	defer release(0, 0)
	for range 10 {
		b.enqueue("w", b.request("w", config.ClassInteractive))
	}
	late := b.request("w", config.ClassInteractive)
	late.Deadline = b.now.Add(5 * time.Second)
	_, refusal := b.queue.Acquire(context.Background(), late)
	if refusal == nil || refusal.Code != "deadline_unreachable" || refusal.Run != serving.NotRun {
		t.Fatalf("refusal = %v, want deadline_unreachable and not-run", refusal)
	}
}

// Guards against a slot that stays taken by a caller that went away.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	b := newBench(t, 1)
	release := b.hold()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, refusal := b.queue.Acquire(ctx, b.request("w", config.ClassInteractive)); refusal == nil {
		t.Fatal("a canceled request got a slot")
	}
	if n := b.queue.Waiting("m"); n != 0 {
		t.Fatalf("%d requests wait, want 0", n)
	}
	release(0, 0)
	b.hold()(0, 0)
}

// Guards against prompts that queue inside engines, and against a limit on
// prefill that stays taken after the first token.
func TestPrefillLimitIsFreedByTheFirstToken(t *testing.T) {
	b := newBench(t, 10)
	b.queue.Capacity = func(string, Usage) Limits { return Limits{InFlight: 10, Prefilling: 1} }
	first, refusal := b.queue.Acquire(context.Background(), b.request("w", config.ClassInteractive))
	if refusal != nil {
		t.Fatal(refusal)
	}
	b.enqueue("second", b.request("w", config.ClassInteractive))
	if n := b.queue.Waiting("m"); n != 1 {
		t.Fatalf("%d requests wait for the prefill of the first, want 1", n)
	}
	first.FirstToken()
	if got := <-b.order; got != "second" {
		t.Fatalf("got %q", got)
	}
	first.Release(1000, 10)
}
