package serving

import (
	"context"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/stream"
)

// Clock returns the current time.
type Clock func() time.Time

// Service runs requests. All fields must be set.
type Service struct {
	Clock    Clock
	Limiter  Limiter
	Queue    Queue
	Claims   Claims
	Picker   Picker
	Retries  RetryPolicy
	Engines  Engines
	Services Services
	Ledger   Ledger
	Observer Observer
}

// Outcome is what a request came to.
type Outcome struct {
	// Refusal is nil if the caller got the whole answer.
	Refusal *Refusal
	// Delivered is the number of completion tokens passed to the sink.
	Delivered int
	// PromptTokens is the length of the prompt as the engine counted it, or
	// the estimate.
	PromptTokens int
}

// Priorities passed to engines; lower runs first.
const (
	priorityInteractive = 0
	priorityCatalogue   = 10
)

// Complete runs one model request and passes the answer to sink.
func (s *Service) Complete(ctx context.Context, call *Call, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	run := &run{
		service:      s,
		call:         call,
		sink:         sink,
		tracker:      stream.NewTracker(call.ID, call.Choices),
		promptTokens: call.PromptTokens,
	}
	refusal := run.admit(ctx)
	run.observe(refusal)
	return Outcome{Refusal: refusal, Delivered: run.tracker.Delivered(), PromptTokens: run.promptTokens}
}

func (r *run) admit(ctx context.Context) *Refusal {
	call := r.call
	rate := call.Snapshot.Document.Rates[call.Workspace]
	maxWait := time.Duration(rate.MaxWaitMS) * time.Millisecond
	estimate := int64(call.PromptTokens + call.MaxTokens*max(call.Choices, 1))
	reservation, refusal := r.service.Limiter.Admit(ctx, call.Snapshot, call.Workspace, estimate, maxWait)
	if refusal != nil {
		return r.interrupted(ctx, refusal)
	}
	defer func() { reservation.Settle(r.billed()) }()
	return r.enqueue(ctx)
}

func (r *run) enqueue(ctx context.Context) *Refusal {
	call := r.call
	start := r.service.Clock()
	slot, refusal := r.service.Queue.Acquire(ctx, QueueRequest{
		Group:         call.Model,
		Workspace:     call.Workspace,
		Weight:        call.Snapshot.Document.Workspaces[call.Workspace].Weight,
		Class:         call.Route.Class,
		PrefillTokens: call.PromptTokens,
		DecodeTokens:  call.MaxTokens,
		Deadline:      call.startBy(start),
	})
	if refusal != nil {
		return r.interrupted(ctx, refusal)
	}
	r.slot = slot
	r.queued = r.service.Clock().Sub(start)
	if call.Route.Run == config.RunAtMostOnce {
		refusal = r.attemptOnce(ctx)
	} else {
		refusal = r.attemptAll(ctx)
	}
	slot.Release(max(0, call.PromptTokens-r.cached), r.tracker.Delivered())
	r.bill()
	return refusal
}

// startBy is when a target must have a request that is queued at now. A caller
// that waits longer than the stall limit of the first token is better served by
// a refusal, which it can take elsewhere. The wait for the rate has a limit of
// its own and does not count.
func (c *Call) startBy(now time.Time) time.Time {
	limit := now.Add(c.Route.FirstTokenTimeout())
	if limit.Before(c.Deadline) {
		return limit
	}
	return c.Deadline
}

// billed returns the tokens that count against the rate.
func (r *run) billed() int64 {
	if r.tracker.Delivered() == 0 {
		return 0
	}
	return int64(r.promptTokens + r.tracker.Delivered())
}

func (r *run) bill() {
	if r.attempts == 0 {
		return
	}
	record := UsageRecord{Workspace: r.call.Workspace, Model: r.call.Model, WastedTokens: r.wasted}
	if delivered := r.tracker.Delivered(); delivered > 0 {
		record.PromptTokens = r.promptTokens
		record.CompletionTokens = delivered
	}
	r.service.Ledger.Record(record)
}

func (r *run) observe(refusal *Refusal) {
	sample := Sample{
		Route:        r.call.RouteName,
		Workspace:    r.call.Workspace,
		MaxTokenGap:  r.maxGap,
		Complete:     refusal == nil,
		Attempts:     r.attempts,
		PromptTokens: r.promptTokens,
		CachedTokens: r.cached,
		WastedTokens: r.wasted,
		Cause:        r.cause(),
	}
	if refusal != nil {
		sample.Refusal = refusal.Code
	}
	if !r.first.IsZero() {
		sample.FirstToken = r.first.Sub(r.call.Received)
	}
	r.service.Observer.Observe(sample)
}

func (r *run) cause() string {
	if r.attempts > 1 {
		return "retry"
	}
	if r.first.IsZero() || 2*r.queued > r.first.Sub(r.call.Received) {
		return "queue"
	}
	return "prefill"
}

func priority(class string) int {
	if class == config.ClassCatalogue {
		return priorityCatalogue
	}
	return priorityInteractive
}
