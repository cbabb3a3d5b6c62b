package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxStoredResponseBytes is the largest response body in bytes that is stored
// for resends.
const MaxStoredResponseBytes = 64 << 10

// claimUpdateTimeout limits how long a response waits for the update of its
// claim. ClaimStore keeps retrying after that. Until it succeeds, resends are
// refused with the run state "unknown".
const claimUpdateTimeout = time.Second

// claimRetryAfter is the Retry-After sent to callers while the store of claims
// is unreachable.
const claimRetryAfter = time.Second

// newClaim returns the claim of an at-most-once request. If the caller sent no
// idempotency key, the request ID is used, which still prevents retries by VMs
// from running the request twice.
func newClaim(call *Call) Claim {
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

// acquireClaim commits the intent to run. If it returns neither a response nor
// a refusal, this request may be dispatched and no other request with the same
// key may.
func (s *Service) acquireClaim(ctx context.Context, call *Call) (*StoredResponse, *Refusal) {
	status, stored := s.Claims.Claim(ctx, newClaim(call))
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

// completeClaim stores the outcome. It does not use the context of the request,
// so that the outcome is stored even if the caller has disconnected.
func (s *Service) completeClaim(call *Call, resp StoredResponse) {
	if len(resp.Body) > MaxStoredResponseBytes {
		resp.Body = nil
		resp.Truncated = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	_ = s.Claims.Complete(ctx, newClaim(call), resp)
}

// releaseClaim withdraws the claim. It must be called only if no byte of the
// request has left this VM.
func (s *Service) releaseClaim(call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	_ = s.Claims.Release(ctx, newClaim(call))
}

// runAtMostOnce runs a model request of an at-most-once route, or replays the
// response stored by an earlier request with the same key.
func (r *requestRunner) runAtMostOnce(ctx context.Context) *Refusal {
	pick, refusal := r.pick(ctx)
	if refusal != nil {
		return r.finalRefusal(ctx, refusal)
	}
	stored, refusal := r.service.acquireClaim(ctx, r.call)
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

// runClaimed tries targets until one accepts the connection. Once a byte may
// have been sent, there is no further attempt.
func (r *requestRunner) runClaimed(ctx context.Context, pick *Pick) *Refusal {
	for {
		err := r.attempt(ctx, pick)
		if err == nil {
			r.service.Retries.RecordSuccess(r.call.Workspace, r.call.Model)
			return nil
		}
		if r.dispatched {
			return r.afterDispatchFailure(ctx, err)
		}
		refusal := r.afterFailure(ctx, pick.Target, err)
		if refusal == nil {
			pick, refusal = r.pick(ctx)
		}
		if refusal != nil {
			r.service.releaseClaim(r.call)
			return r.finalRefusal(ctx, refusal)
		}
	}
}

// afterDispatchFailure returns the refusal for a failure after a target may
// have received the request. The claim stays pending unless the target itself
// rejected the request.
func (r *requestRunner) afterDispatchFailure(ctx context.Context, err error) *Refusal {
	var status *StatusError
	if errors.As(err, &status) && isRequestError(status.Status) {
		r.service.completeClaim(r.call, StoredResponse{Status: status.Status, ContentType: status.ContentType, Body: status.Body})
	}
	if ended := contextRefusal(ctx, r.runState()); ended != nil {
		return ended
	}
	return targetRefusal(err, r.runState())
}
