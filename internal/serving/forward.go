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

// forward is the state of one call of a plain service.
type forward struct {
	service *Service
	call    *Call
	req     ServiceRequest
	sink    ServiceSink

	failed     []target.Ref
	attempts   int
	dispatched bool
	began      bool
	wasted     int
}

// Forward runs one call of a plain service. If the answer breaks off after its
// header was sent, the refusal has Run set to Ran and the sink has begun; the
// caller must then see a broken connection.
func (s *Service) Forward(ctx context.Context, call *Call, req ServiceRequest, sink ServiceSink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	f := &forward{service: s, call: call, req: req, sink: sink}
	refusal := f.admit(ctx)
	f.observe(refusal)
	return Outcome{Refusal: refusal}
}

func (f *forward) admit(ctx context.Context) *Refusal {
	call := f.call
	if call.Workspace == "" || call.Route.CostTokens == 0 {
		return f.enqueue(ctx)
	}
	cost := int64(call.Route.CostTokens)
	maxWait := time.Duration(call.Snapshot.Document.Rates[call.Workspace].MaxWaitMS) * time.Millisecond
	reservation, refusal := f.service.Limiter.Admit(ctx, call.Snapshot, call.Workspace, cost, maxWait)
	if refusal != nil {
		return f.interrupted(ctx, refusal)
	}
	refusal = f.enqueue(ctx)
	if f.dispatched {
		reservation.Settle(cost)
	} else {
		reservation.Settle(0)
	}
	return refusal
}

func (f *forward) enqueue(ctx context.Context) *Refusal {
	call := f.call
	slot, refusal := f.service.Queue.Acquire(ctx, QueueRequest{
		Group:         call.Route.Service,
		Workspace:     call.Workspace,
		Weight:        max(call.Snapshot.Document.Workspaces[call.Workspace].Weight, config.DefaultWeight),
		Class:         call.Route.Class,
		PrefillTokens: call.Route.CostTokens,
		Deadline:      call.startBy(f.service.Clock()),
	})
	if refusal != nil {
		return f.interrupted(ctx, refusal)
	}
	defer slot.Release(call.Route.CostTokens, 0)
	if call.Route.Run == config.RunAtMostOnce {
		return f.runOnce(ctx)
	}
	return f.runRepeatable(ctx)
}

func (f *forward) interrupted(ctx context.Context, refusal *Refusal) *Refusal {
	if ended := endedRefusal(ctx, f.state()); ended != nil {
		return ended
	}
	return withState(refusal, f.state())
}

func (f *forward) state() RunState {
	switch {
	case !f.dispatched:
		return NotRun
	case f.began:
		return Ran
	}
	return RunUnknown
}

func (f *forward) pick(ctx context.Context) (*Pick, *Refusal) {
	req := PickRequest{Call: f.call, Attempt: f.attempts, Exclude: f.failed}
	pick, refusal := f.service.Picker.Pick(ctx, req)
	if refusal == nil || len(f.failed) == 0 || f.attempts >= f.call.Route.MaxAttempts {
		return pick, refusal
	}
	req.Exclude = nil
	return f.service.Picker.Pick(ctx, req)
}

// runRepeatable runs a call of an idempotent route.
func (f *forward) runRepeatable(ctx context.Context) *Refusal {
	for {
		answer, pick, refusal := f.first(ctx)
		if refusal != nil {
			return refusal
		}
		if answer == nil {
			continue
		}
		if retryableStatus(answer.Status) && f.mayRetry() {
			answer.Body.Close()
			f.failed = append(f.failed, pick.Target.Ref())
			pick.Done(AttemptResult{Err: &StatusError{Status: answer.Status}})
			continue
		}
		err := f.relay(answer)
		pick.Done(AttemptResult{Err: targetFault(err)})
		if err != nil {
			return f.broken(ctx, err)
		}
		f.service.Retries.Finished(f.call.Workspace, f.call.Route.Service)
		return nil
	}
}

// first makes one attempt, hedged if the route wants it. Neither an answer nor
// a refusal means that another attempt is allowed.
func (f *forward) first(ctx context.Context) (*ServiceAnswer, *Pick, *Refusal) {
	pick, refusal := f.pick(ctx)
	if refusal != nil {
		return nil, nil, f.interrupted(ctx, refusal)
	}
	answer, pick, err := f.hedged(ctx, pick)
	if err == nil {
		return answer, pick, nil
	}
	if ended := endedRefusal(ctx, f.state()); ended != nil {
		return nil, nil, ended
	}
	f.failed = append(f.failed, pick.Target.Ref())
	if f.mayRetry() {
		return nil, nil, nil
	}
	return nil, nil, targetRefusal(err, f.state())
}

func (f *forward) mayRetry() bool {
	if f.attempts >= f.call.Route.MaxAttempts {
		return false
	}
	// Once a connection stood, the body may have been read in part.
	if f.dispatched && !f.req.Buffered {
		return false
	}
	return f.service.Retries.Allow(f.call.Workspace, f.call.Route.Service)
}

// retryableStatus reports whether another replica may do better.
func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (f *forward) noteDispatch(err error) {
	var dial *DialError
	if !errors.As(err, &dial) {
		f.dispatched = true
	}
}

// relayBufferBytes is the memory that one running answer holds.
const relayBufferBytes = 16 << 10

func (f *forward) relay(answer *ServiceAnswer) error {
	defer answer.Body.Close()
	f.began = true
	f.sink.Begin(answer.Status, answer.Header)
	return copyBody(f.sink, answer.Body)
}

func copyBody(sink ServiceSink, body io.Reader) error {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := sink.Write(buf[:n]); werr != nil {
				return &callerGoneError{werr}
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

// targetFault leaves out errors on the caller's side.
func targetFault(err error) error {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		return nil
	}
	return err
}

func (f *forward) broken(ctx context.Context, err error) *Refusal {
	if ended := endedRefusal(ctx, f.state()); ended != nil {
		return ended
	}
	return targetRefusal(err, f.state())
}

func (f *forward) observe(refusal *Refusal) {
	sample := Sample{
		Route:        f.call.RouteName,
		Workspace:    f.call.Workspace,
		Complete:     refusal == nil,
		Attempts:     f.attempts,
		WastedTokens: f.wasted,
	}
	if refusal != nil {
		sample.Refusal = refusal.Code
	}
	f.service.Observer.Observe(sample)
}
