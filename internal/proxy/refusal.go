package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// refusal is an error response that this VM generates itself.
type refusal struct {
	status int
	code   string
	// retryAfter is the time after which the caller should retry; 0 if it is
	// not known or the request may have run.
	retryAfter time.Duration
}

func (f *refusal) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(f.retryAfter))
	}
	body, err := json.Marshal(map[string]string{"error": f.code, "request": id})
	if err != nil {
		panic("proxy: refusal cannot be encoded: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// retryAfterUnit is the precision of Retry-After headers.
const retryAfterUnit = 10 * time.Millisecond

// formatRetryAfter returns wait in seconds, rounded up: a caller that returns a moment
// before the end of a pause is refused again.
func formatRetryAfter(wait time.Duration) string {
	if rest := wait % retryAfterUnit; rest > 0 {
		wait += retryAfterUnit - rest
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}

const (
	// targetRetryAfter is the Retry-After value while targets are overloaded or
	// none is known.
	targetRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After value of a VM that shuts down: another VM
	// serves the request at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// electionRetryAfter is the Retry-After value while the core cannot be
	// reached: the duration of an election, and the time until the front has
	// found the new leader.
	electionRetryAfter = 1200 * time.Millisecond
)

// Status 429 and 503 guarantee that the request has not run and will not run.
var (
	errNoConfiguration      = refusal{http.StatusServiceUnavailable, "no_configuration", electionRetryAfter}
	errKeysNotConfirmed     = refusal{http.StatusServiceUnavailable, "keys_not_confirmed", electionRetryAfter}
	errDocumentNotConfirmed = refusal{http.StatusServiceUnavailable, "document_not_confirmed", electionRetryAfter}
	errNoTarget             = refusal{http.StatusServiceUnavailable, "no_target", targetRetryAfter}
	errTargetsFull          = refusal{http.StatusServiceUnavailable, "targets_full", targetRetryAfter}
	errTargetsNotAdmitting  = refusal{http.StatusServiceUnavailable, "targets_not_admitting", targetRetryAfter}
	errOverloaded           = refusal{http.StatusServiceUnavailable, "overloaded", targetRetryAfter}
	errNoMemory             = refusal{http.StatusServiceUnavailable, "no_memory", targetRetryAfter}
	errNoDescriptor         = refusal{http.StatusServiceUnavailable, "no_descriptor", targetRetryAfter}
	errStopping             = refusal{http.StatusServiceUnavailable, "stopping", stoppingRetryAfter}
	errQuarantined          = refusal{http.StatusServiceUnavailable, "prompt_quarantined", 0}
	errRequestQuarantined   = refusal{http.StatusServiceUnavailable, "request_quarantined", 0}
	errRequestSuspected     = refusal{http.StatusServiceUnavailable, "request_suspected", 0}
	errQuota                = refusal{http.StatusTooManyRequests, "quota", 0}
	errNoRoute              = refusal{http.StatusNotFound, "no_route", 0}
	errUnknownKey           = refusal{http.StatusUnauthorized, "unknown_key", 0}
	errMalformedHeaders     = refusal{http.StatusBadRequest, "malformed_headers", 0}
	errHeaderTooLarge       = refusal{http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0}
	errBodyTooLarge         = refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	errBodyTimeout          = refusal{http.StatusRequestTimeout, "body_timeout", 0}
	errIncompleteBody       = refusal{http.StatusBadRequest, "incomplete_body", 0}
	errTargetFailed         = refusal{http.StatusBadGateway, "target_failed", 0}
	errStopped              = refusal{http.StatusBadGateway, "stopped", 0}
	errInternal             = refusal{http.StatusBadGateway, "internal_error", 0}
	errTimeout              = refusal{http.StatusGatewayTimeout, "timeout", 0}
)

// errAborted aborts the connection to the caller, because the response that it
// has received in part cannot be completed.
var errAborted = refusal{0, "aborted", 0}

// errCallerDisconnected means that the caller has disconnected. One that has closed only
// its sending side still gets the response.
var errCallerDisconnected = refusal{http.StatusBadGateway, "caller_left", 0}

// abort ends the connection to the caller in a way that shows that the response is
// incomplete. With HTTP/1.1 the last chunk is missing. With HTTP/1.0 the response ends with
// its connection, which therefore has to be reset.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) {
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		c.Logger.Error("connection to a caller cannot be reset", zap.String("id", c.request.ID), zap.Error(err))
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// The errors do not matter: the connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
