package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxStoredAnswer is the largest answer that is kept for resends.
const MaxStoredAnswer = 64 << 10

// outcomeWait bounds how long an answer waits for its record. Claims goes on
// trying after that, and until it succeeds resends get "unknown".
const outcomeWait = time.Second

// claimRetryAfter is the pause asked of callers while records are unreachable.
const claimRetryAfter = time.Second

// claimOf names the record of an at-most-once request. Without a key of the
// caller the request ID stands in, which guards against retries by VMs.
func claimOf(call *Call) Claim {
	key := call.IdempotencyKey
	if key == "" {
		key = call.ID
	}
	return Claim{
		Workspace: call.Workspace,
		Key:       key,
		BodyHash:  call.BodyHash,
		RequestID: call.ID,
		Retention: time.Duration(call.Snapshot.Document.Limits.ClaimRetentionSeconds) * time.Second,
	}
}

// claim commits the intent to run. If it returns neither an answer nor a
// refusal, this request and no other may dispatch.
func (s *Service) claim(ctx context.Context, call *Call) (*StoredAnswer, *Refusal) {
	status, stored := s.Claims.Claim(ctx, claimOf(call))
	switch status {
	case ClaimGranted:
		return nil, nil
	case ClaimDone:
		return &stored, nil
	case ClaimPending:
		return nil, &Refusal{Status: http.StatusConflict, Code: "outcome_unknown", Message: "a request with this idempotency key was started and its outcome is not known; it is not run again", Run: RunUnknown}
	case ClaimMismatch:
		return nil, &Refusal{Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: "the idempotency key was used with another request", Run: NotRun}
	case ClaimUncertain:
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: "claim_uncertain", Message: "this request did not run; a resend with the same idempotency key may still find its claim and then gets outcome_unknown", Run: NotRun, RetryAfter: claimRetryAfter}
	}
	return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: "claims_unreachable", Message: "the record of at-most-once requests is out of reach", Run: NotRun, RetryAfter: claimRetryAfter}
}

// complete stores the outcome, also if the caller is gone by now.
func (s *Service) complete(call *Call, answer StoredAnswer) {
	if len(answer.Body) > MaxStoredAnswer {
		answer.Body = nil
		answer.Truncated = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWait)
	defer cancel()
	_ = s.Claims.Complete(ctx, claimOf(call), answer)
}

// release gives the claim back after no byte left this VM.
func (s *Service) release(call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWait)
	defer cancel()
	_ = s.Claims.Release(ctx, claimOf(call))
}

// attemptOnce runs a model request whose route is at-most-once.
func (r *run) attemptOnce(ctx context.Context) *Refusal {
	pick, refusal := r.pick(ctx)
	if refusal != nil {
		return r.interrupted(ctx, refusal)
	}
	stored, refusal := r.service.claim(ctx, r.call)
	if stored != nil || refusal != nil {
		pick.Done(AttemptResult{Err: ErrAbandoned})
	}
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		r.sink.Replay(*stored)
		return nil
	}
	return r.runClaimed(ctx, pick)
}

// runClaimed tries targets until one takes the connection. Once a byte may
// have left there is no further attempt.
func (r *run) runClaimed(ctx context.Context, pick *Pick) *Refusal {
	for {
		err := r.attempt(ctx, pick)
		if err == nil {
			r.service.Retries.Finished(r.call.Workspace, r.call.Model)
			return nil
		}
		if r.dispatched {
			return r.failedOnce(ctx, err)
		}
		refusal := r.afterFailure(ctx, pick.Target, err)
		if refusal == nil {
			pick, refusal = r.pick(ctx)
		}
		if refusal != nil {
			r.service.release(r.call)
			return r.interrupted(ctx, refusal)
		}
	}
}

// failedOnce answers after a target took the request. The claim stays pending
// unless the target itself refused the request.
func (r *run) failedOnce(ctx context.Context, err error) *Refusal {
	var status *StatusError
	if errors.As(err, &status) && callerFault(status.Status) {
		r.service.complete(r.call, StoredAnswer{Status: status.Status, ContentType: status.ContentType, Body: status.Body})
	}
	if ended := endedRefusal(ctx, r.state()); ended != nil {
		return ended
	}
	return targetRefusal(err, r.state())
}
