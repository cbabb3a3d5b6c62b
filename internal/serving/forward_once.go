package serving

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// runOnce runs a call of an at-most-once route.
func (f *forward) runOnce(ctx context.Context) *Refusal {
	pick, refusal := f.pick(ctx)
	if refusal != nil {
		return f.interrupted(ctx, refusal)
	}
	stored, refusal := f.service.claim(ctx, f.call)
	if stored != nil || refusal != nil {
		pick.Done(AttemptResult{Err: ErrAbandoned})
	}
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		return f.replay(*stored)
	}
	return f.runClaimed(ctx, pick)
}

func (f *forward) runClaimed(ctx context.Context, pick *Pick) *Refusal {
	for {
		answer, err := f.dispatch(ctx, pick)
		if err == nil {
			err = f.relayOnce(answer)
			pick.Done(AttemptResult{Err: targetFault(err)})
			if err != nil {
				return f.broken(ctx, err)
			}
			return nil
		}
		pick.Done(AttemptResult{Err: err})
		if f.dispatched {
			return f.broken(ctx, err)
		}
		next, refusal := f.afterRefusedDial(ctx, pick, err)
		if refusal != nil {
			f.service.release(f.call)
			return refusal
		}
		pick = next
	}
}

func (f *forward) afterRefusedDial(ctx context.Context, pick *Pick, err error) (*Pick, *Refusal) {
	if ended := endedRefusal(ctx, f.state()); ended != nil {
		return nil, ended
	}
	f.failed = append(f.failed, pick.Target.Ref())
	if !f.mayRetry() {
		return nil, targetRefusal(err, f.state())
	}
	next, refusal := f.pick(ctx)
	if refusal != nil {
		return nil, f.interrupted(ctx, refusal)
	}
	return next, nil
}

// dispatch makes one attempt and counts it.
func (f *forward) dispatch(ctx context.Context, pick *Pick) (*ServiceAnswer, error) {
	f.attempts++
	answer, err := f.service.Services.Do(ctx, pick.Target, f.call, f.req)
	f.noteDispatch(err)
	return answer, err
}

// relayOnce records the outcome before the caller gets it, if the answer is
// small enough to be stored.
func (f *forward) relayOnce(answer *ServiceAnswer) error {
	defer answer.Body.Close()
	head, err := io.ReadAll(io.LimitReader(answer.Body, MaxStoredAnswer+1))
	if err != nil {
		return err
	}
	f.began = true
	stored := StoredAnswer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: head}
	if len(head) <= MaxStoredAnswer {
		f.service.complete(f.call, stored)
		f.sink.Begin(answer.Status, answer.Header)
		return copyBody(f.sink, bytes.NewReader(head))
	}
	f.sink.Begin(answer.Status, answer.Header)
	err = copyBody(f.sink, io.MultiReader(bytes.NewReader(head), answer.Body))
	// The service has run, whether or not the rest arrived.
	f.service.complete(f.call, stored)
	return err
}

// HeaderReplayed marks an answer that was stored by an earlier request, and
// HeaderTruncated one whose body was too large to store.
const (
	HeaderReplayed  = "Cuminwing-Replayed"
	HeaderTruncated = "Cuminwing-Body-Not-Stored"
)

func (f *forward) replay(stored StoredAnswer) *Refusal {
	f.sink.Begin(stored.Status, StoredHeader(stored))
	if err := copyBody(f.sink, bytes.NewReader(stored.Body)); err != nil {
		var gone *callerGoneError
		if errors.As(err, &gone) {
			return &Refusal{Status: statusClientClosed, Code: "caller_gone", Message: err.Error(), Run: Ran}
		}
	}
	return nil
}
