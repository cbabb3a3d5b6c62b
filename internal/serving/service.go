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
	Clock         Clock
	Limiter       Limiter
	Queue         Queue
	Claims        ClaimStore
	Picker        Picker
	Retries       RetryPolicy
	Engines       EngineClient
	Services      ServiceClient
	UsageRecorder UsageRecorder
	Observer      Observer
}

// Outcome is the result of a request.
type Outcome struct {
	// Refusal is nil if the caller received the complete response.
	Refusal *Refusal
	// Delivered is the number of completion tokens passed to the sink.
	Delivered int
	// PromptTokens is the length of the prompt as counted by the engine, or the
	// estimate if the engine did not report it.
	PromptTokens int
}

// Priorities passed to engines. Requests with lower values run first.
const (
	priorityInteractive = 0
	priorityCatalogue   = 10
)

// Complete runs one model request and passes the response to sink.
func (s *Service) Complete(ctx context.Context, call *Call, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	runner := &requestRunner{
		service:      s,
		call:         call,
		sink:         sink,
		tracker:      stream.NewTracker(call.ID, call.Choices),
		promptTokens: call.PromptTokens,
	}
	refusal := runner.admit(ctx)
	runner.observe(refusal)
	return Outcome{Refusal: refusal, Delivered: runner.tracker.Delivered(), PromptTokens: runner.promptTokens}
}

// admit charges the estimated tokens to the rate of the workspace, runs the
// request, and replaces the estimate by the actual count.
func (r *requestRunner) admit(ctx context.Context) *Refusal {
	call := r.call
	rate := call.Snapshot.Document.Rates[call.Workspace]
	maxWait := time.Duration(rate.MaxWaitMS) * time.Millisecond
	estimate := int64(call.PromptTokens + call.MaxTokens*max(call.Choices, 1))
	reservation, refusal := r.service.Limiter.Admit(ctx, call.Snapshot, call.Workspace, estimate, maxWait)
	if refusal != nil {
		return r.finalRefusal(ctx, refusal)
	}
	defer func() { reservation.Settle(r.actualTokens()) }()
	return r.enqueue(ctx)
}

// enqueue waits for a slot, runs the request and records its usage.
func (r *requestRunner) enqueue(ctx context.Context) *Refusal {
	call := r.call
	start := r.service.Clock()
	slot, refusal := r.service.Queue.Acquire(ctx, QueueRequest{
		Group:         call.Model,
		Workspace:     call.Workspace,
		Weight:        call.Snapshot.Document.Workspaces[call.Workspace].Weight,
		Class:         call.Route.Class,
		PrefillTokens: call.PromptTokens,
		DecodeTokens:  call.MaxTokens,
		Deadline:      call.queueDeadline(start),
	})
	if refusal != nil {
		return r.finalRefusal(ctx, refusal)
	}
	r.slot = slot
	r.queueWait = r.service.Clock().Sub(start)
	if call.Route.Run == config.RunAtMostOnce {
		refusal = r.runAtMostOnce(ctx)
	} else {
		refusal = r.runIdempotent(ctx)
	}
	slot.Release(max(0, call.PromptTokens-r.cachedTokens), r.tracker.Delivered())
	r.recordUsage()
	return refusal
}

// queueDeadline returns the time by which a request queued at now must be
// admitted by the queue: after the first-token timeout, but no later than the
// deadline of the call. A caller that would wait longer is better served by a
// refusal, because it can send the request elsewhere. The wait for rate tokens
// has its own limit and does not count.
func (c *Call) queueDeadline(now time.Time) time.Time {
	limit := now.Add(c.Route.FirstTokenTimeout())
	if limit.Before(c.Deadline) {
		return limit
	}
	return c.Deadline
}

// actualTokens returns the number of tokens to charge against the rate.
func (r *requestRunner) actualTokens() int64 {
	if r.tracker.Delivered() == 0 {
		return 0
	}
	return int64(r.promptTokens + r.tracker.Delivered())
}

// recordUsage records the tokens for billing, unless no attempt was made.
func (r *requestRunner) recordUsage() {
	if r.attempts == 0 {
		return
	}
	record := UsageRecord{Workspace: r.call.Workspace, Model: r.call.Model, WastedTokens: r.wastedTokens}
	if delivered := r.tracker.Delivered(); delivered > 0 {
		record.PromptTokens = r.promptTokens
		record.CompletionTokens = delivered
	}
	r.service.UsageRecorder.Record(record)
}

func (r *requestRunner) observe(refusal *Refusal) {
	sample := Sample{
		Route:           r.call.RouteName,
		Workspace:       r.call.Workspace,
		MaxTokenGap:     r.maxTokenGap,
		Complete:        refusal == nil,
		Attempts:        r.attempts,
		PromptTokens:    r.promptTokens,
		CachedTokens:    r.cachedTokens,
		WastedTokens:    r.wastedTokens,
		FirstTokenCause: r.firstTokenCause(),
	}
	if refusal != nil {
		sample.Refusal = refusal.Code
	}
	if !r.firstTokenAt.IsZero() {
		sample.FirstToken = r.firstTokenAt.Sub(r.call.Received)
	}
	r.service.Observer.Observe(sample)
}

// firstTokenCause names what contributed most to the time to the first token.
func (r *requestRunner) firstTokenCause() string {
	if r.attempts > 1 {
		return "retry"
	}
	if r.firstTokenAt.IsZero() || 2*r.queueWait > r.firstTokenAt.Sub(r.call.Received) {
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
