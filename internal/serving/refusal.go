package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCallerGone is matched by results of attempts that ended with the caller.
var ErrCallerGone = errors.New("the caller is gone")

// callerGoneError means that the answer could not be written.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string { return "caller is gone: " + e.err.Error() }

func (e *callerGoneError) Unwrap() []error { return []error{ErrCallerGone, e.err} }

// targetRetryAfter is the pause asked of callers after a target failed.
const targetRetryAfter = time.Second

// endedRefusal says why ctx ended; nil if it has not.
func endedRefusal(ctx context.Context, state RunState) *Refusal {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrKeyWithdrawn):
		return &Refusal{Status: http.StatusUnauthorized, Code: "key_withdrawn", Message: "the key was withdrawn", Run: state}
	case errors.Is(cause, context.DeadlineExceeded):
		return &Refusal{Status: http.StatusGatewayTimeout, Code: "deadline_exceeded", Message: "the request reached its time limit before its answer was complete", Run: state}
	}
	return &Refusal{Status: statusClientClosed, Code: "caller_gone", Message: "the caller closed the connection", Run: state}
}

// statusClientClosed is the status commonly logged for requests that the
// caller abandoned. Nobody receives it.
const statusClientClosed = 499

// targetRefusal maps the last error of a target to the caller's answer.
func targetRefusal(err error, state RunState) *Refusal {
	// The body of the caller may have ended the attempt.
	if refusal := new(Refusal); errors.As(err, &refusal) {
		return withState(refusal, state)
	}
	var status *StatusError
	if errors.As(err, &status) {
		return statusRefusal(status, state)
	}
	if errors.Is(err, ErrStalled) {
		return &Refusal{Status: http.StatusGatewayTimeout, Code: "target_stalled", Message: "the target stopped answering", Run: state, RetryAfter: targetRetryAfter}
	}
	return &Refusal{Status: http.StatusBadGateway, Code: "target_failed", Message: "the targets failed to answer", Run: state, RetryAfter: targetRetryAfter}
}

func statusRefusal(e *StatusError, state RunState) *Refusal {
	switch {
	case e.Status == http.StatusTooManyRequests, e.Status == http.StatusServiceUnavailable:
		return &Refusal{Status: http.StatusServiceUnavailable, Code: "target_overloaded", Message: "the targets are overloaded", Run: state, RetryAfter: max(e.RetryAfter, targetRetryAfter)}
	case callerFault(e.Status):
		return &Refusal{Status: e.Status, Code: "request_refused_by_target", Message: "the target refused the request", Run: Ran, ContentType: e.ContentType, Body: e.Body}
	}
	return &Refusal{Status: http.StatusBadGateway, Code: "target_failed", Message: "the target answered with an error", Run: state, RetryAfter: targetRetryAfter}
}

// callerFault reports whether another target would refuse the request too.
func callerFault(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusUnauthorized, http.StatusForbidden, http.StatusProxyAuthRequired:
		// Credentials at a target are the operator's matter, not the caller's.
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// withState copies the refusal, because refusals may be shared.
func withState(refusal *Refusal, state RunState) *Refusal {
	stated := *refusal
	stated.Run = state
	return &stated
}
