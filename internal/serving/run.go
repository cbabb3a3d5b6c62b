package serving

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/stream"
	"github.com/cuminwing/cuminwing/internal/target"
)

// requestRunner runs one model request and holds the state of its attempts.
type requestRunner struct {
	// slot is the admission of the request to its group of targets.
	slot         Slot
	service      *Service
	call         *Call
	sink         Sink
	tracker      *stream.Tracker
	promptTokens int

	// failed lists the targets that failed this request, attempts counts the
	// attempts made.
	failed   []target.Ref
	attempts int
	// resumed is true if the current attempt started after tokens had been
	// delivered.
	resumed bool
	// dispatched is true once a target may have started the request,
	// responseStarted once an event of a target was accepted for delivery.
	dispatched      bool
	responseStarted bool

	cachedTokens int
	wastedTokens int
	queueWait    time.Duration
	firstTokenAt time.Time
	lastTokenAt  time.Time
	maxTokenGap  time.Duration
}

// finalRefusal returns the refusal for an ended context if ctx has ended, else
// a copy of refusal with the run state set.
func (r *requestRunner) finalRefusal(ctx context.Context, refusal *Refusal) *Refusal {
	if ended := contextRefusal(ctx, r.runState()); ended != nil {
		return ended
	}
	return withState(refusal, r.runState())
}

// runIdempotent makes attempts until one succeeds or no further attempt is
// allowed.
func (r *requestRunner) runIdempotent(ctx context.Context) *Refusal {
	for {
		pick, refusal := r.pick(ctx)
		if refusal != nil {
			return r.finalRefusal(ctx, refusal)
		}
		err := r.attempt(ctx, pick)
		if err == nil {
			r.service.Retries.RecordSuccess(r.call.Workspace, r.call.Model)
			return nil
		}
		if refusal := r.afterFailure(ctx, pick.Target, err); refusal != nil {
			return refusal
		}
	}
}

// pick chooses a target that has not failed this request yet. If there is none
// and attempts remain, it also accepts targets that failed, because such a
// target may only have lost its connection.
func (r *requestRunner) pick(ctx context.Context) (*Pick, *Refusal) {
	pick, refusal := r.pickExcluding(ctx, r.failed)
	if refusal == nil || len(r.failed) == 0 || r.attempts >= r.call.Route.MaxAttempts {
		return pick, refusal
	}
	return r.pickExcluding(ctx, nil)
}

// pickExcluding chooses a target that is not in exclude. If tokens were already
// delivered, the target must support resuming.
func (r *requestRunner) pickExcluding(ctx context.Context, exclude []target.Ref) (*Pick, *Refusal) {
	needsResume := r.tracker.Delivered() > 0
	for {
		pick, refusal := r.service.Picker.Pick(ctx, PickRequest{Call: r.call, Attempt: r.attempts, Exclude: exclude})
		if refusal != nil {
			return nil, refusal
		}
		if !needsResume || pick.Target.Capabilities.Resume {
			return pick, nil
		}
		pick.Done(AttemptResult{Err: ErrAbandoned})
		exclude = append(exclude[:len(exclude):len(exclude)], pick.Target.Ref())
	}
}

// afterFailure returns nil if another attempt is allowed, else the refusal for
// the caller.
func (r *requestRunner) afterFailure(ctx context.Context, t *target.Target, err error) *Refusal {
	if ended := contextRefusal(ctx, r.runState()); ended != nil {
		return ended
	}
	var gone *callerGoneError
	if errors.As(err, &gone) {
		if refusal := new(Refusal); errors.As(err, &refusal) {
			return withState(refusal, r.runState())
		}
		return &Refusal{Status: statusClientClosed, Code: "caller_gone", Message: err.Error(), Run: r.runState()}
	}
	var status *StatusError
	if errors.As(err, &status) && isRequestError(status.Status) {
		return targetRefusal(err, r.runState())
	}
	r.failed = append(r.failed, t.Ref())
	if r.allowRetry() {
		return nil
	}
	return targetRefusal(err, r.runState())
}

// allowRetry reports whether another attempt is allowed. If so, the attempt has
// been taken from the retry budgets.
func (r *requestRunner) allowRetry() bool {
	if r.attempts >= r.call.Route.MaxAttempts {
		return false
	}
	if !r.tracker.Resumable() && !r.restartResponse() {
		return false
	}
	return r.service.Retries.Allow(r.call.Workspace, r.call.Model)
}

// restartResponse discards the response so far. It returns false if the caller
// has received any of it.
func (r *requestRunner) restartResponse() bool {
	if !r.sink.Reset() {
		return false
	}
	r.wastedTokens += r.tracker.Delivered()
	r.tracker.Reset()
	return true
}

// attempt makes one attempt at the picked target and reports its result.
func (r *requestRunner) attempt(ctx context.Context, pick *Pick) error {
	start := r.service.Clock()
	deliveredBefore := r.tracker.Delivered()
	r.resumed = deliveredBefore > 0
	r.tracker.BeginAttempt()
	chunks, err := r.service.Engines.Open(ctx, pick.Target, EngineRequest{
		Call:         r.call,
		Priority:     priority(r.call.Route.Class),
		Attempt:      r.attempts,
		ResumeOffset: deliveredBefore,
		ResumeText:   r.tracker.Text(),
		Prefix:       pick.Prefix,
	})
	r.attempts++
	r.recordDispatch(err)
	if err == nil {
		err = r.relay(chunks, pick.Target, start)
		chunks.Close()
	}
	result := AttemptResult{Err: err, CachedTokens: r.cachedTokens, DeliveredTokens: r.tracker.Delivered() - deliveredBefore}
	if !r.firstTokenAt.IsZero() && deliveredBefore == 0 {
		result.FirstToken = r.firstTokenAt.Sub(start)
	}
	var dial *DialError
	if err != nil && !errors.As(err, &dial) {
		r.wastedTokens += r.call.PromptTokens
	}
	pick.Done(result)
	return err
}

func (r *requestRunner) recordDispatch(err error) {
	var dial *DialError
	if errors.As(err, &dial) {
		return
	}
	r.dispatched = true
}

// relay passes on the events of one attempt. lastProgress is the start of the
// attempt, from which the timeout for the first token runs.
func (r *requestRunner) relay(chunks ChunkStream, t *target.Target, lastProgress time.Time) error {
	limit := r.call.Route.FirstTokenTimeout()
	for {
		// Dropped events do not count as progress.
		remaining := limit - r.service.Clock().Sub(lastProgress)
		if remaining <= 0 {
			return ErrStalled
		}
		chunk, err := chunks.Next(remaining)
		if err != nil {
			return err
		}
		if chunk.Done {
			return r.finish(chunk)
		}
		delivered, err := r.handleChunk(chunk, t.Incarnation)
		if err != nil {
			return err
		}
		if delivered {
			lastProgress = r.service.Clock()
			if chunk.Tokens > 0 {
				limit = r.call.Route.TokenGapTimeout()
			}
		}
	}
}

// finish handles the end-of-stream marker. An at-most-once outcome is stored
// before the marker is passed on.
func (r *requestRunner) finish(done Chunk) error {
	if !r.tracker.Finished() {
		return stream.ErrIncomplete
	}
	if r.call.Route.Run == config.RunAtMostOnce {
		r.service.completeClaim(r.call, r.sink.StoredResponse())
	}
	return r.sendChunk(done)
}

// handleChunk passes on the part of a chunk that the caller does not have yet.
// It reports whether there was any.
func (r *requestRunner) handleChunk(c Chunk, incarnation uint64) (bool, error) {
	event := trackerEvent(c)
	action, skip, err := r.tracker.Check(event, incarnation)
	if err != nil || action == stream.Drop {
		return false, err
	}
	if action == stream.Trim {
		if c.Data, err = stream.TrimText(c.Data, skip); err != nil {
			return false, errors.Join(stream.ErrOverlap, err)
		}
		c.Text = c.Text[skip:]
		event.Text = c.Text
	}
	return true, r.deliver(c, event)
}

func trackerEvent(c Chunk) stream.Event {
	return stream.Event{
		RequestID:   c.RequestID,
		Incarnation: c.Incarnation,
		Offset:      c.Offset,
		Tokens:      c.Tokens,
		Text:        c.Text,
		Finished:    c.Finished,
		Usage:       c.UsageOnly,
		Opaque:      c.Opaque,
	}
}

func (r *requestRunner) deliver(c Chunk, event stream.Event) error {
	r.responseStarted = true
	if c.Tokens > 0 {
		r.recordTokenTime(r.service.Clock())
	}
	if c.CachedTokens > 0 && r.cachedTokens == 0 {
		r.cachedTokens = c.CachedTokens
	}
	// After a resume, the engine may count the delivered text as part of the
	// prompt.
	if c.Usage != nil && c.Usage.PromptTokens > 0 && !r.resumed {
		r.promptTokens = c.Usage.PromptTokens
	}
	if !c.UsageOnly || r.call.IncludeUsage {
		if err := r.sendChunk(c); err != nil {
			return err
		}
	}
	r.tracker.Commit(event)
	return nil
}

func (r *requestRunner) recordTokenTime(now time.Time) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		r.slot.FirstToken()
	} else {
		r.maxTokenGap = max(r.maxTokenGap, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
}

// sendChunk passes a chunk to the sink. An error means that the caller
// disconnected.
func (r *requestRunner) sendChunk(c Chunk) error {
	if err := r.sink.Chunk(c); err != nil {
		return &callerGoneError{err}
	}
	return nil
}

// runState reports whether the request ran, as far as this VM can know.
func (r *requestRunner) runState() RunState {
	switch {
	case !r.dispatched:
		return NotRun
	case r.responseStarted:
		return Ran
	}
	return RunUnknown
}
