package serving

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/target"
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
	Ledger   Ledger
	Observer Observer
}

// Outcome is what a request came to.
type Outcome struct {
	// Refusal is nil if the caller got the whole answer.
	Refusal *Refusal
	// Delivered is the number of completion tokens passed to the sink.
	Delivered int
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
	run := &run{service: s, call: call, sink: sink}
	refusal := run.admit(ctx)
	run.observe(refusal)
	return Outcome{Refusal: refusal, Delivered: run.delivered}
}

// run is the state of one request.
type run struct {
	service   *Service
	call      *Call
	sink      Sink
	failed    []target.Ref
	attempts  int
	delivered int
	text      []byte
	cached    int
	wasted    int
	queued    time.Duration
	first     time.Time
	last      time.Time
	maxGap    time.Duration
	finished  bool
}

func (r *run) admit(ctx context.Context) *Refusal {
	call := r.call
	rate := call.Snapshot.Document.Rates[call.Workspace]
	maxWait := time.Duration(rate.MaxWaitMS) * time.Millisecond
	estimate := int64(call.PromptTokens + call.MaxTokens)
	reservation, refusal := r.service.Limiter.Admit(ctx, call.Snapshot, call.Workspace, estimate, maxWait)
	if refusal != nil {
		return refusal
	}
	defer func() { reservation.Settle(r.billed()) }()
	return r.enqueue(ctx)
}

func (r *run) enqueue(ctx context.Context) *Refusal {
	call := r.call
	start := r.service.Clock()
	release, refusal := r.service.Queue.Acquire(ctx, QueueRequest{
		Group:         call.Model,
		Workspace:     call.Workspace,
		Weight:        call.Snapshot.Document.Workspaces[call.Workspace].Weight,
		Class:         call.Route.Class,
		PrefillTokens: call.PromptTokens,
		DecodeTokens:  call.MaxTokens,
		Deadline:      call.Deadline,
	})
	if refusal != nil {
		return refusal
	}
	r.queued = r.service.Clock().Sub(start)
	refusal = r.attemptAll(ctx)
	release(call.PromptTokens-r.cached, r.delivered)
	r.bill()
	return refusal
}

func (r *run) attemptAll(ctx context.Context) *Refusal {
	for {
		pick, refusal := r.service.Picker.Pick(ctx, PickRequest{Call: r.call, Attempt: r.attempts, Exclude: r.failed})
		if refusal != nil {
			refusal = withState(refusal, r.state())
			return refusal
		}
		err := r.attempt(ctx, pick)
		if err == nil {
			r.service.Retries.Finished(r.call.Workspace, r.call.Model)
			return nil
		}
		if refusal := r.afterFailure(ctx, pick.Target, err); refusal != nil {
			return refusal
		}
	}
}

// afterFailure returns nil if another attempt is allowed.
func (r *run) afterFailure(ctx context.Context, t *target.Target, err error) *Refusal {
	var gone *callerGoneError
	if errors.As(err, &gone) || ctx.Err() != nil {
		return &Refusal{Status: http.StatusGatewayTimeout, Code: "deadline_exceeded", Message: "the request ended before its answer was complete", Run: r.state()}
	}
	r.failed = append(r.failed, t.Ref())
	resumable := r.delivered == 0 || t.Capabilities.Resume
	allowed := r.attempts < r.call.Route.MaxAttempts && resumable
	if allowed && r.service.Retries.Allow(r.call.Workspace, r.call.Model) {
		return nil
	}
	return &Refusal{Status: http.StatusBadGateway, Code: "target_failed", Message: "the targets failed to answer", Run: r.state(), RetryAfter: time.Second}
}

func (r *run) attempt(ctx context.Context, pick *Pick) error {
	dispatched := r.service.Clock()
	deliveredBefore := r.delivered
	r.attempts++
	stream, err := r.service.Engines.Open(ctx, pick.Target, EngineRequest{
		Call:         r.call,
		Priority:     priority(r.call.Route.Class),
		ResumeOffset: r.delivered,
		ResumeText:   string(r.text),
		Prefix:       pick.Prefix,
	})
	if err == nil {
		err = r.relay(stream, pick)
		stream.Close()
	}
	result := AttemptResult{Err: err, CachedTokens: r.cached, DeliveredTokens: r.delivered - deliveredBefore}
	if !r.first.IsZero() && deliveredBefore == 0 {
		result.FirstToken = r.first.Sub(dispatched)
	}
	if err != nil {
		r.wasted += r.call.PromptTokens
	}
	pick.Done(result)
	return err
}

func (r *run) relay(stream ChunkStream, pick *Pick) error {
	limit := r.call.Route.FirstTokenTimeout()
	for {
		chunk, err := stream.Next(limit)
		if err != nil {
			return err
		}
		if err := r.check(chunk, pick.Target); err != nil {
			return err
		}
		if chunk.Done {
			if !r.finished {
				return errIncomplete
			}
			return r.pass(chunk)
		}
		limit = r.call.Route.TokenGapTimeout()
		if chunk.Tokens > 0 && chunk.Offset < r.delivered {
			// A resumed stream may repeat tokens that the caller has.
			continue
		}
		if err := r.deliver(chunk); err != nil {
			return err
		}
	}
}

var (
	errIncomplete = errors.New("stream ended before the answer was finished")
	errCrossed    = errors.New("chunk belongs to another request or incarnation")
	errGap        = errors.New("chunk skips tokens")
)

type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string { return "caller is gone: " + e.err.Error() }

func (r *run) check(c Chunk, t *target.Target) error {
	if c.Done {
		return nil
	}
	if c.RequestID != r.call.ID || c.Incarnation != t.Incarnation {
		return errCrossed
	}
	if c.Offset > r.delivered {
		return errGap
	}
	return nil
}

func (r *run) deliver(c Chunk) error {
	now := r.service.Clock()
	if c.Tokens > 0 {
		r.noteTokens(now)
	}
	if c.CachedTokens > 0 && r.cached == 0 {
		r.cached = c.CachedTokens
	}
	if err := r.pass(c); err != nil {
		return err
	}
	r.delivered += c.Tokens
	r.text = append(r.text, c.Text...)
	r.finished = r.finished || c.Finish
	return nil
}

func (r *run) noteTokens(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	} else {
		r.maxGap = max(r.maxGap, now.Sub(r.last))
	}
	r.last = now
}

func (r *run) pass(c Chunk) error {
	if err := r.sink.Chunk(c); err != nil {
		return &callerGoneError{err}
	}
	return nil
}

func (r *run) state() RunState {
	if r.attempts == 0 {
		return NotRun
	}
	return Ran
}

// billed returns the tokens that count against the rate.
func (r *run) billed() int64 {
	if r.delivered == 0 {
		return 0
	}
	return int64(r.call.PromptTokens + r.delivered)
}

func (r *run) bill() {
	record := UsageRecord{Workspace: r.call.Workspace, Model: r.call.Model, WastedTokens: r.wasted}
	if r.delivered > 0 {
		record.PromptTokens = r.call.PromptTokens
		record.CompletionTokens = r.delivered
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
		PromptTokens: r.call.PromptTokens,
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

// withState copies the refusal, because refusals may be shared.
func withState(refusal *Refusal, state RunState) *Refusal {
	stated := *refusal
	stated.Run = state
	return &stated
}
