package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCallerDisconnected matches the result of an attempt that ended because the
// caller disconnected.
var ErrCallerDisconnected = errors.New("caller disconnected")

// callerGoneError means that the response could not be written to the caller.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string { return "caller is gone: " + e.err.Error() }

func (e *callerGoneError) Unwrap() []error { return []error{ErrCallerDisconnected, e.err} }

// targetRetryAfter is the minimum Retry-After sent to callers after a target
// failed.
const targetRetryAfter = time.Second

// contextRefusal returns the refusal for the reason why ctx ended, or nil if it
// has not ended.
func contextRefusal(ctx context.Context, state RunState) *Refusal {
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

// statusClientClosed is the status that proxies conventionally log for a
// request whose caller disconnected. No caller receives it.
const statusClientClosed = 499

// targetRefusal converts the last error of a target to the refusal for the
// caller.
func targetRefusal(err error, state RunState) *Refusal {
	// Reading the request body from the caller may have ended the attempt.
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
	case isRequestError(e.Status):
		return &Refusal{Status: e.Status, Code: "request_refused_by_target", Message: "the target refused the request", Run: Ran, ContentType: e.ContentType, Body: e.Body}
	}
	return &Refusal{Status: http.StatusBadGateway, Code: "target_failed", Message: "the target answered with an error", Run: state, RetryAfter: targetRetryAfter}
}

// isRequestError reports whether status means that the request itself is at
// fault, so that another target would reject it too.
func isRequestError(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusUnauthorized, http.StatusForbidden, http.StatusProxyAuthRequired:
		// Credentials for targets are the operator's responsibility, so the
		// caller cannot correct them.
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// withState returns a copy of refusal with the run state set. It does not
// modify refusal, which may be shared between requests.
func withState(refusal *Refusal, state RunState) *Refusal {
	copied := *refusal
	copied.Run = state
	return &copied
}
