package serving

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// runAtMostOnce runs a call of an at-most-once route, or replays the response
// stored by an earlier request with the same key.
func (f *forwarder) runAtMostOnce(ctx context.Context) *Refusal {
	pick, refusal := f.pick(ctx)
	if refusal != nil {
		return f.finalRefusal(ctx, refusal)
	}
	stored, refusal := f.service.acquireClaim(ctx, f.call)
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

// runClaimed tries targets until one accepts the connection. After that there
// is no further attempt.
func (f *forwarder) runClaimed(ctx context.Context, pick *Pick) *Refusal {
	for {
		resp, err := f.dispatch(ctx, pick)
		if err == nil {
			err = f.relayAndStore(resp)
			pick.Done(AttemptResult{Err: targetError(err)})
			if err != nil {
				return f.failureRefusal(ctx, err)
			}
			return nil
		}
		pick.Done(AttemptResult{Err: err})
		if f.dispatched {
			return f.failureRefusal(ctx, err)
		}
		next, refusal := f.afterDialFailure(ctx, pick, err)
		if refusal != nil {
			f.service.releaseClaim(f.call)
			return refusal
		}
		pick = next
	}
}

// afterDialFailure chooses the target for the next attempt after pick's target
// could not be connected to.
func (f *forwarder) afterDialFailure(ctx context.Context, pick *Pick, err error) (*Pick, *Refusal) {
	if ended := contextRefusal(ctx, f.runState()); ended != nil {
		return nil, ended
	}
	f.failed = append(f.failed, pick.Target.Ref())
	if !f.allowRetry() {
		return nil, targetRefusal(err, f.runState())
	}
	next, refusal := f.pick(ctx)
	if refusal != nil {
		return nil, f.finalRefusal(ctx, refusal)
	}
	return next, nil
}

// dispatch makes one attempt and counts it.
func (f *forwarder) dispatch(ctx context.Context, pick *Pick) (*ServiceResponse, error) {
	f.attempts++
	resp, err := f.service.Services.Do(ctx, pick.Target, f.call, f.req)
	f.recordDispatch(err)
	return resp, err
}

// relayAndStore passes a response on and stores it as the outcome of the call.
// If the response is small enough to be stored whole, it is stored before the
// caller gets it.
func (f *forwarder) relayAndStore(resp *ServiceResponse) error {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxStoredResponseBytes+1))
	if err != nil {
		return err
	}
	f.responseStarted = true
	stored := StoredResponse{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: body}
	if len(body) <= MaxStoredResponseBytes {
		f.service.completeClaim(f.call, stored)
		f.sink.Begin(resp.Status, resp.Header)
		return copyBody(f.sink, bytes.NewReader(body))
	}
	f.sink.Begin(resp.Status, resp.Header)
	err = copyBody(f.sink, io.MultiReader(bytes.NewReader(body), resp.Body))
	// The service has run, even if the rest of the response did not arrive.
	f.service.completeClaim(f.call, stored)
	return err
}

// HeaderReplayed marks a response that was stored by an earlier request.
// HeaderTruncated marks a stored response whose body was too large to store.
const (
	HeaderReplayed  = "Cuminwing-Replayed"
	HeaderTruncated = "Cuminwing-Body-Not-Stored"
)

func (f *forwarder) replay(stored StoredResponse) *Refusal {
	f.sink.Begin(stored.Status, StoredHeader(stored))
	if err := copyBody(f.sink, bytes.NewReader(stored.Body)); err != nil {
		var gone *callerGoneError
		if errors.As(err, &gone) {
			return &Refusal{Status: statusClientClosed, Code: "caller_gone", Message: err.Error(), Run: Ran}
		}
	}
	return nil
}
