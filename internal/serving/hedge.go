package serving

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// StoredHeader returns the header with which a stored response is sent.
func StoredHeader(stored StoredResponse) http.Header {
	header := http.Header{}
	if stored.ContentType != "" {
		header.Set("Content-Type", stored.ContentType)
	}
	header.Set(HeaderReplayed, "true")
	if stored.Truncated {
		header.Set(HeaderTruncated, "true")
	}
	return header
}

// hedgeAttempt is one of two hedged attempts.
type hedgeAttempt struct {
	pick   *Pick
	cancel context.CancelFunc
	resp   *ServiceResponse
	err    error
}

// dispatchHedged makes an attempt. If the route is configured for hedging and
// no response header has arrived after HedgeAfterMS, it makes a second attempt
// at another target. The first response wins and the other attempt is
// canceled. A call whose body is not buffered is not hedged, because its body
// can be sent only once.
func (f *forwarder) dispatchHedged(ctx context.Context, pick *Pick) (*ServiceResponse, *Pick, error) {
	if f.call.Route.HedgeAfterMS <= 0 || !f.req.Buffered {
		resp, err := f.dispatch(ctx, pick)
		if err != nil {
			pick.Done(AttemptResult{Err: err})
		}
		return resp, pick, err
	}
	results := make(chan *hedgeAttempt, 2)
	running := []*hedgeAttempt{f.launch(ctx, pick, results)}
	timer := time.NewTimer(time.Duration(f.call.Route.HedgeAfterMS) * time.Millisecond)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := f.pickHedgeTarget(ctx, pick); second != nil {
				running = append(running, f.launch(ctx, second, results))
			}
		case finished := <-results:
			running = slices.DeleteFunc(running, func(a *hedgeAttempt) bool { return a == finished })
			f.recordDispatch(finished.err)
			if finished.err == nil {
				f.cancelRemaining(running, results)
				return finished.resp, finished.pick, nil
			}
			finished.pick.Done(AttemptResult{Err: finished.err})
			if len(running) == 0 {
				return nil, finished.pick, finished.err
			}
		}
	}
}

// launch starts an attempt with a context of its own, so that it can be
// canceled independently of the other attempt.
func (f *forwarder) launch(ctx context.Context, pick *Pick, results chan<- *hedgeAttempt) *hedgeAttempt {
	f.attempts++
	ctx, cancel := context.WithCancel(ctx)
	a := &hedgeAttempt{pick: cancellable(pick, cancel), cancel: cancel}
	go func() {
		a.resp, a.err = f.service.Services.Do(ctx, pick.Target, f.call, f.req)
		results <- a
	}()
	return a
}

// cancellable returns a pick whose Done also cancels the context of the
// attempt.
func cancellable(pick *Pick, cancel context.CancelFunc) *Pick {
	wrapped := *pick
	wrapped.Done = func(result AttemptResult) {
		pick.Done(result)
		cancel()
	}
	return &wrapped
}

// pickHedgeTarget chooses the target of the second attempt. It returns nil if
// there is none or the retry budget is spent.
func (f *forwarder) pickHedgeTarget(ctx context.Context, first *Pick) *Pick {
	exclude := append(f.failed[:len(f.failed):len(f.failed)], first.Target.Ref())
	pick, refusal := f.service.Picker.Pick(ctx, PickRequest{Call: f.call, Attempt: f.attempts, Exclude: exclude})
	if refusal != nil {
		return nil
	}
	if !f.allowRetry() {
		pick.Done(AttemptResult{Err: ErrAbandoned})
		return nil
	}
	return pick
}

// cancelRemaining cancels the attempts in flight and collects their results in
// the background. It reports them as ErrAbandoned, because a canceled attempt
// says nothing about the health of its target.
func (f *forwarder) cancelRemaining(running []*hedgeAttempt, results <-chan *hedgeAttempt) {
	for _, a := range running {
		a.cancel()
		f.dispatched = true
		f.wastedTokens += f.call.Route.CostTokens
	}
	if len(running) == 0 {
		return
	}
	go func() {
		for range running {
			cancelled := <-results
			if cancelled.err == nil {
				cancelled.resp.Body.Close()
			}
			cancelled.pick.Done(AttemptResult{Err: ErrAbandoned})
		}
	}()
}
