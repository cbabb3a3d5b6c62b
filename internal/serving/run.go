package serving

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/stream"
	"github.com/cuminwing/cuminwing/internal/target"
)

// run is the state of one model request.
type run struct {
	// slot is the turn of the request at its group of targets.
	slot         Slot
	service      *Service
	call         *Call
	sink         Sink
	tracker      *stream.Tracker
	promptTokens int

	failed   []target.Ref
	attempts int
	// resumed is true if the attempt began after the first token.
	resumed bool
	// dispatched is true once a target may have begun the request, answered
	// once a target did.
	dispatched bool
	answered   bool

	cached int
	wasted int
	queued time.Duration
	first  time.Time
	last   time.Time
	maxGap time.Duration
}

// interrupted prefers the end of the request over another reason.
func (r *run) interrupted(ctx context.Context, refusal *Refusal) *Refusal {
	if ended := endedRefusal(ctx, r.state()); ended != nil {
		return ended
	}
	return withState(refusal, r.state())
}

func (r *run) attemptAll(ctx context.Context) *Refusal {
	for {
		pick, refusal := r.pick(ctx)
		if refusal != nil {
			return r.interrupted(ctx, refusal)
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

// pick chooses a target that has not failed this request. If there is none,
// one that failed is tried again: it may only have lost its connection.
func (r *run) pick(ctx context.Context) (*Pick, *Refusal) {
	pick, refusal := r.pickExcept(ctx, r.failed)
	if refusal == nil || len(r.failed) == 0 || r.attempts >= r.call.Route.MaxAttempts {
		return pick, refusal
	}
	return r.pickExcept(ctx, nil)
}

func (r *run) pickExcept(ctx context.Context, exclude []target.Ref) (*Pick, *Refusal) {
	needResume := r.tracker.Delivered() > 0
	for {
		pick, refusal := r.service.Picker.Pick(ctx, PickRequest{Call: r.call, Attempt: r.attempts, Exclude: exclude})
		if refusal != nil {
			return nil, refusal
		}
		if !needResume || pick.Target.Capabilities.Resume {
			return pick, nil
		}
		pick.Done(AttemptResult{Err: ErrAbandoned})
		exclude = append(exclude[:len(exclude):len(exclude)], pick.Target.Ref())
	}
}

// afterFailure returns nil if another attempt is allowed.
func (r *run) afterFailure(ctx context.Context, t *target.Target, err error) *Refusal {
	if ended := endedRefusal(ctx, r.state()); ended != nil {
		return ended
	}
	var gone *callerGoneError
	if errors.As(err, &gone) {
		if refusal := new(Refusal); errors.As(err, &refusal) {
			return withState(refusal, r.state())
		}
		return &Refusal{Status: statusClientClosed, Code: "caller_gone", Message: err.Error(), Run: r.state()}
	}
	var status *StatusError
	if errors.As(err, &status) && callerFault(status.Status) {
		return targetRefusal(err, r.state())
	}
	r.failed = append(r.failed, t.Ref())
	if r.mayRetry() {
		return nil
	}
	return targetRefusal(err, r.state())
}

func (r *run) mayRetry() bool {
	if r.attempts >= r.call.Route.MaxAttempts {
		return false
	}
	if !r.tracker.Resumable() && !r.restart() {
		return false
	}
	return r.service.Retries.Allow(r.call.Workspace, r.call.Model)
}

// restart begins the answer anew if the caller has seen nothing of it.
func (r *run) restart() bool {
	if !r.sink.Restart() {
		return false
	}
	r.wasted += r.tracker.Delivered()
	r.tracker.Restart()
	return true
}

func (r *run) attempt(ctx context.Context, pick *Pick) error {
	start := r.service.Clock()
	before := r.tracker.Delivered()
	r.resumed = before > 0
	r.tracker.Begin()
	opened, err := r.service.Engines.Open(ctx, pick.Target, EngineRequest{
		Call:         r.call,
		Priority:     priority(r.call.Route.Class),
		Attempt:      r.attempts,
		ResumeOffset: before,
		ResumeText:   r.tracker.Text(),
		Prefix:       pick.Prefix,
	})
	r.attempts++
	r.noteDispatch(err)
	if err == nil {
		err = r.relay(opened, pick.Target, start)
		opened.Close()
	}
	result := AttemptResult{Err: err, CachedTokens: r.cached, DeliveredTokens: r.tracker.Delivered() - before}
	if !r.first.IsZero() && before == 0 {
		result.FirstToken = r.first.Sub(start)
	}
	var dial *DialError
	if err != nil && !errors.As(err, &dial) {
		r.wasted += r.call.PromptTokens
	}
	pick.Done(result)
	return err
}

func (r *run) noteDispatch(err error) {
	var dial *DialError
	if errors.As(err, &dial) {
		return
	}
	r.dispatched = true
}

// relay passes the events of one attempt on. The stall limit for the first
// token runs from the start of the attempt.
func (r *run) relay(in ChunkStream, t *target.Target, progress time.Time) error {
	limit := r.call.Route.FirstTokenTimeout()
	for {
		// Dropped events do not count as progress.
		left := limit - r.service.Clock().Sub(progress)
		if left <= 0 {
			return ErrStalled
		}
		chunk, err := in.Next(left)
		if err != nil {
			return err
		}
		if chunk.Done {
			return r.end(chunk)
		}
		passed, err := r.accept(chunk, t.Incarnation)
		if err != nil {
			return err
		}
		if passed {
			progress = r.service.Clock()
			if chunk.Tokens > 0 {
				limit = r.call.Route.TokenGapTimeout()
			}
		}
	}
}

func (r *run) end(done Chunk) error {
	if !r.tracker.Finished() {
		return stream.ErrIncomplete
	}
	if r.call.Route.Run == config.RunAtMostOnce {
		r.service.complete(r.call, r.sink.Stored())
	}
	return r.pass(done)
}

// accept passes on what the caller does not have yet.
func (r *run) accept(c Chunk, incarnation uint64) (bool, error) {
	event := eventOf(c)
	verdict, skip, err := r.tracker.Check(event, incarnation)
	if err != nil || verdict == stream.Drop {
		return false, err
	}
	if verdict == stream.Trim {
		if c.Data, err = stream.TrimText(c.Data, skip); err != nil {
			return false, errors.Join(stream.ErrOverlap, err)
		}
		c.Text = c.Text[skip:]
		event.Text = c.Text
	}
	return true, r.deliver(c, event)
}

func eventOf(c Chunk) stream.Event {
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

func (r *run) deliver(c Chunk, event stream.Event) error {
	r.answered = true
	if c.Tokens > 0 {
		r.noteTokens(r.service.Clock())
	}
	if c.CachedTokens > 0 && r.cached == 0 {
		r.cached = c.CachedTokens
	}
	// A resumed engine may count the delivered text as part of the prompt.
	if c.Usage != nil && c.Usage.PromptTokens > 0 && !r.resumed {
		r.promptTokens = c.Usage.PromptTokens
	}
	if !c.UsageOnly || r.call.IncludeUsage {
		if err := r.pass(c); err != nil {
			return err
		}
	}
	r.tracker.Commit(event)
	return nil
}

func (r *run) noteTokens(now time.Time) {
	if r.first.IsZero() {
		r.first = now
		r.slot.FirstToken()
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

// state says whether the request ran, as far as this VM can know.
func (r *run) state() RunState {
	switch {
	case !r.dispatched:
		return NotRun
	case r.answered:
		return Ran
	}
	return RunUnknown
}
