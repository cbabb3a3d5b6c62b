package serving

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// StoredHeader returns the header with which a stored answer is sent.
func StoredHeader(stored StoredAnswer) http.Header {
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

// try is one of two hedged attempts.
type try struct {
	pick   *Pick
	cancel context.CancelFunc
	answer *ServiceAnswer
	err    error
}

// hedged makes an attempt and, if the route wants it and no answer has begun
// after a while, a second one elsewhere. The slower attempt is cancelled.
func (f *forward) hedged(ctx context.Context, pick *Pick) (*ServiceAnswer, *Pick, error) {
	if f.call.Route.HedgeAfterMS <= 0 || !f.req.Buffered {
		answer, err := f.dispatch(ctx, pick)
		if err != nil {
			pick.Done(AttemptResult{Err: err})
		}
		return answer, pick, err
	}
	results := make(chan *try, 2)
	running := []*try{f.launch(ctx, pick, results)}
	timer := time.NewTimer(time.Duration(f.call.Route.HedgeAfterMS) * time.Millisecond)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := f.second(ctx, pick); second != nil {
				running = append(running, f.launch(ctx, second, results))
			}
		case got := <-results:
			running = slices.DeleteFunc(running, func(t *try) bool { return t == got })
			f.noteDispatch(got.err)
			if got.err == nil {
				f.abandon(running, results)
				return got.answer, got.pick, nil
			}
			got.pick.Done(AttemptResult{Err: got.err})
			if len(running) == 0 {
				return nil, got.pick, got.err
			}
		}
	}
}

// launch starts an attempt with its own context, so that it can be cancelled
// alone.
func (f *forward) launch(ctx context.Context, pick *Pick, results chan<- *try) *try {
	f.attempts++
	ctx, cancel := context.WithCancel(ctx)
	t := &try{pick: cancellable(pick, cancel), cancel: cancel}
	go func() {
		t.answer, t.err = f.service.Services.Do(ctx, pick.Target, f.call, f.req)
		results <- t
	}()
	return t
}

// cancellable returns a pick whose attempt is cancelled once it is done.
func cancellable(pick *Pick, cancel context.CancelFunc) *Pick {
	wrapped := *pick
	wrapped.Done = func(result AttemptResult) {
		pick.Done(result)
		cancel()
	}
	return &wrapped
}

// second chooses the target of the second attempt; nil if there is none or
// the budget of extra attempts is spent.
func (f *forward) second(ctx context.Context, first *Pick) *Pick {
	exclude := append(f.failed[:len(f.failed):len(f.failed)], first.Target.Ref())
	pick, refusal := f.service.Picker.Pick(ctx, PickRequest{Call: f.call, Attempt: f.attempts, Exclude: exclude})
	if refusal != nil {
		return nil
	}
	if !f.mayRetry() {
		pick.Done(AttemptResult{Err: ErrAbandoned})
		return nil
	}
	return pick
}

// abandon cancels the attempts that still run and collects them in the
// background. Their outcome says nothing about their targets.
func (f *forward) abandon(running []*try, results <-chan *try) {
	for _, t := range running {
		t.cancel()
		f.dispatched = true
		f.wasted += f.call.Route.CostTokens
	}
	if len(running) == 0 {
		return
	}
	go func() {
		for range running {
			lost := <-results
			if lost.err == nil {
				lost.answer.Body.Close()
			}
			lost.pick.Done(AttemptResult{Err: ErrAbandoned})
		}
	}()
}
