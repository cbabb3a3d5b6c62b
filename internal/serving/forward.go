package serving

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/target"
)

// forwarder forwards one call of a plain service and holds the state of its
// attempts.
type forwarder struct {
	service *Service
	call    *Call
	req     ServiceRequest
	sink    ServiceSink

	// failed lists the targets that failed this call, attempts counts the
	// dispatched attempts.
	failed   []target.Ref
	attempts int
	// dispatched is true once a target may have received the call,
	// responseStarted once its response is being passed on.
	dispatched      bool
	responseStarted bool
	wastedTokens    int
}

// Forward runs one call of a plain service. If the response breaks off after
// its header was sent, the refusal has Run set to Ran and the sink's Begin has
// been called. The HTTP adapter must then show the caller a broken connection.
func (s *Service) Forward(ctx context.Context, call *Call, req ServiceRequest, sink ServiceSink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	f := &forwarder{service: s, call: call, req: req, sink: sink}
	refusal := f.admit(ctx)
	f.observe(refusal)
	return Outcome{Refusal: refusal}
}

func (f *forwarder) admit(ctx context.Context) *Refusal {
	call := f.call
	if call.Workspace == "" || call.Route.CostTokens == 0 {
		return f.enqueue(ctx)
	}
	cost := int64(call.Route.CostTokens)
	maxWait := time.Duration(call.Snapshot.Document.Rates[call.Workspace].MaxWaitMS) * time.Millisecond
	reservation, refusal := f.service.Limiter.Admit(ctx, call.Snapshot, call.Workspace, cost, maxWait)
	if refusal != nil {
		return f.finalRefusal(ctx, refusal)
	}
	refusal = f.enqueue(ctx)
	if f.dispatched {
		reservation.Settle(cost)
	} else {
		reservation.Settle(0)
	}
	return refusal
}

// enqueue waits for a slot and runs the call.
func (f *forwarder) enqueue(ctx context.Context) *Refusal {
	call := f.call
	slot, refusal := f.service.Queue.Acquire(ctx, QueueRequest{
		Group:         call.Route.Service,
		Workspace:     call.Workspace,
		Weight:        max(call.Snapshot.Document.Workspaces[call.Workspace].Weight, config.DefaultWeight),
		Class:         call.Route.Class,
		PrefillTokens: call.Route.CostTokens,
		Deadline:      call.queueDeadline(f.service.Clock()),
	})
	if refusal != nil {
		return f.finalRefusal(ctx, refusal)
	}
	defer slot.Release(call.Route.CostTokens, 0)
	if call.Route.Run == config.RunAtMostOnce {
		return f.runAtMostOnce(ctx)
	}
	return f.runIdempotent(ctx)
}

// finalRefusal returns the refusal for an ended context if ctx has ended, else
// a copy of refusal with the run state set.
func (f *forwarder) finalRefusal(ctx context.Context, refusal *Refusal) *Refusal {
	if ended := contextRefusal(ctx, f.runState()); ended != nil {
		return ended
	}
	return withState(refusal, f.runState())
}

// runState reports whether the call ran, as far as this VM can know.
func (f *forwarder) runState() RunState {
	switch {
	case !f.dispatched:
		return NotRun
	case f.responseStarted:
		return Ran
	}
	return RunUnknown
}

// pick chooses a target that has not failed this call yet. If there is none and
// attempts remain, it also accepts targets that failed, as requestRunner.pick
// does.
func (f *forwarder) pick(ctx context.Context) (*Pick, *Refusal) {
	req := PickRequest{Call: f.call, Attempt: f.attempts, Exclude: f.failed}
	pick, refusal := f.service.Picker.Pick(ctx, req)
	if refusal == nil || len(f.failed) == 0 || f.attempts >= f.call.Route.MaxAttempts {
		return pick, refusal
	}
	req.Exclude = nil
	return f.service.Picker.Pick(ctx, req)
}

// runIdempotent runs a call of an idempotent route, which may be dispatched
// more than once.
func (f *forwarder) runIdempotent(ctx context.Context) *Refusal {
	for {
		resp, pick, refusal := f.attempt(ctx)
		if refusal != nil {
			return refusal
		}
		if resp == nil {
			continue
		}
		if retryableStatus(resp.Status) && f.allowRetry() {
			resp.Body.Close()
			f.failed = append(f.failed, pick.Target.Ref())
			pick.Done(AttemptResult{Err: &StatusError{Status: resp.Status}})
			continue
		}
		err := f.relay(resp)
		pick.Done(AttemptResult{Err: targetError(err)})
		if err != nil {
			return f.failureRefusal(ctx, err)
		}
		f.service.Retries.RecordSuccess(f.call.Workspace, f.call.Route.Service)
		return nil
	}
}

// attempt makes one attempt, hedged if the route is configured so. If it
// returns neither a response nor a refusal, another attempt is allowed.
func (f *forwarder) attempt(ctx context.Context) (*ServiceResponse, *Pick, *Refusal) {
	pick, refusal := f.pick(ctx)
	if refusal != nil {
		return nil, nil, f.finalRefusal(ctx, refusal)
	}
	resp, pick, err := f.dispatchHedged(ctx, pick)
	if err == nil {
		return resp, pick, nil
	}
	if ended := contextRefusal(ctx, f.runState()); ended != nil {
		return nil, nil, ended
	}
	f.failed = append(f.failed, pick.Target.Ref())
	if f.allowRetry() {
		return nil, nil, nil
	}
	return nil, nil, targetRefusal(err, f.runState())
}

// allowRetry reports whether another attempt is allowed. If so, the attempt has
// been taken from the retry budgets.
func (f *forwarder) allowRetry() bool {
	if f.attempts >= f.call.Route.MaxAttempts {
		return false
	}
	// Once a connection was established, part of an unbuffered body may have
	// been read.
	if f.dispatched && !f.req.Buffered {
		return false
	}
	return f.service.Retries.Allow(f.call.Workspace, f.call.Route.Service)
}

// retryableStatus reports whether another replica may succeed after a response
// with this status.
func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (f *forwarder) recordDispatch(err error) {
	var dial *DialError
	if !errors.As(err, &dial) {
		f.dispatched = true
	}
}

// relayBufferBytes is the size of the copy buffer, which bounds the memory that
// each response in flight holds.
const relayBufferBytes = 16 << 10

func (f *forwarder) relay(resp *ServiceResponse) error {
	defer resp.Body.Close()
	f.responseStarted = true
	f.sink.Begin(resp.Status, resp.Header)
	return copyBody(f.sink, resp.Body)
}

func copyBody(sink ServiceSink, body io.Reader) error {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := sink.Write(buf[:n]); writeErr != nil {
				return &callerGoneError{writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// targetError returns err, or nil for an error on the caller's side, which must
// not count against the target.
func targetError(err error) error {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		return nil
	}
	return err
}

// failureRefusal returns the refusal for a call that cannot be retried after
// err.
func (f *forwarder) failureRefusal(ctx context.Context, err error) *Refusal {
	if ended := contextRefusal(ctx, f.runState()); ended != nil {
		return ended
	}
	return targetRefusal(err, f.runState())
}

func (f *forwarder) observe(refusal *Refusal) {
	sample := Sample{
		Route:        f.call.RouteName,
		Workspace:    f.call.Workspace,
		Complete:     refusal == nil,
		Attempts:     f.attempts,
		WastedTokens: f.wastedTokens,
	}
	if refusal != nil {
		sample.Refusal = refusal.Code
	}
	f.service.Observer.Observe(sample)
}
