// Package targethttp implements the HTTP protocol between the router and its
// targets. It dispatches requests to engines and services, reads cache events,
// sends orders and receives announcements.
package targethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Headers of the target protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderAttempt      = "X-Attempt"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderCachedTokens = "X-Cached-Tokens"
	HeaderIncarnation  = "X-Incarnation"
)

const (
	// maxErrorBodyBytes limits how much of the body of an error response is
	// read and passed on.
	maxErrorBodyBytes = 64 << 10
	// cancelTimeout limits the duration of a cancel message, and maxCancels the
	// number of cancel messages in flight. Messages beyond that are dropped,
	// because closing the connection cancels the request as well.
	cancelTimeout = time.Second
	maxCancels    = 256
)

// EngineClient dispatches requests to engines over HTTP.
type EngineClient struct {
	transports  *transportPool
	cancelSlots chan struct{}
}

// NewEngineClient returns an EngineClient that opens connections with dial.
func NewEngineClient(dial Dialer) *EngineClient {
	return &EngineClient{transports: newTransportPool(dial), cancelSlots: make(chan struct{}, maxCancels)}
}

// Open implements serving.EngineClient.
func (e *EngineClient) Open(ctx context.Context, t *target.Target, req serving.EngineRequest) (serving.ChunkStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	httpReq, err := newEngineRequest(ctx, t, req)
	if err != nil {
		cancel()
		return nil, &serving.DialError{Err: err}
	}
	rt := e.transports.forTarget(t)
	resp, err := roundTrip(rt, httpReq, cancel, req.Call.Route.FirstTokenTimeout())
	if err == nil && resp.StatusCode != http.StatusOK {
		err = newStatusError(resp)
	}
	abort := func(cause error) { e.abort(t, rt, req, cause) }
	if err != nil {
		cancel()
		abort(err)
		return nil, err
	}
	return newEventStream(resp, cancel, abort), nil
}

// abort tells the engine to cancel the request. After a stall, it sends the
// message over a new connection, because the first one may have failed
// silently. After a DialError or a StatusError, no request runs that could be
// canceled.
func (e *EngineClient) abort(t *target.Target, rt *http.Transport, req serving.EngineRequest, cause error) {
	switch cause.(type) {
	case *serving.DialError, *serving.StatusError:
		return
	}
	if errors.Is(cause, serving.ErrStalled) {
		e.transports.retire(t, rt)
	}
	select {
	case e.cancelSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.cancelSlots }()
		e.sendCancel(t, req)
	}()
}

func (e *EngineClient) sendCancel(t *target.Target, req serving.EngineRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	url := t.URL + "/v1/requests/" + req.Call.ID + "/cancel?attempt=" + strconv.Itoa(req.Attempt)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return
	}
	rt := e.transports.forTarget(t)
	if resp, err := rt.RoundTrip(httpReq); err == nil {
		resp.Body.Close()
	}
}

// errUndefinedStatus means that a target sent a status that HTTP does not define. net/http
// accepts any three digits.
var errUndefinedStatus = errors.New("target sent a status that HTTP does not define")

// lastStatus is the highest status that HTTP defines.
const lastStatus = 599

// roundTrip sends the request and waits for the response header no longer than
// timeout, so that an unresponsive connection cannot block the request. The
// error is a DialError if no connection was established.
func roundTrip(rt *http.Transport, req *http.Request, cancel context.CancelFunc, timeout time.Duration) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	timer := time.AfterFunc(timeout, cancel)
	resp, err := rt.RoundTrip(req)
	withinTimeout := timer.Stop()
	switch {
	case err == nil && withinTimeout && (resp.StatusCode < http.StatusContinue || resp.StatusCode > lastStatus):
		resp.Body.Close()
		return nil, errUndefinedStatus
	case err == nil && withinTimeout:
		return resp, nil
	case err == nil:
		resp.Body.Close()
		return nil, serving.ErrStalled
	case !connected.Load():
		return nil, &serving.DialError{Err: err}
	case !withinTimeout:
		return nil, serving.ErrStalled
	}
	return nil, err
}

func newStatusError(resp *http.Response) error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &serving.StatusError{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		RetryAfter:  time.Duration(max(seconds, 0)) * time.Second,
	}
}

func newEngineRequest(ctx context.Context, t *target.Target, req serving.EngineRequest) (*http.Request, error) {
	body := req.Call.Body
	if req.ResumeOffset > 0 {
		var err error
		body, err = addResumeField(body, req.ResumeOffset, req.ResumeText)
		if err != nil {
			return nil, err
		}
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+req.Call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, no transport can send the request a second time.
	httpReq.GetBody = nil
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(HeaderRequestID, req.Call.ID)
	httpReq.Header.Set(HeaderPriority, strconv.Itoa(req.Priority))
	httpReq.Header.Set(HeaderAttempt, strconv.Itoa(req.Attempt))
	setPrefixHeaders(httpReq.Header, req.Prefix)
	if req.ResumeOffset > 0 {
		httpReq.Header.Set(HeaderResumeOffset, strconv.Itoa(req.ResumeOffset))
	}
	return httpReq, nil
}

// Resume is the request extension field that asks an engine to continue an
// interrupted stream.
type Resume struct {
	// Offset is the number of tokens already delivered to the caller.
	Offset int `json:"offset"`
	// Text is the text of those tokens.
	Text string `json:"text"`
}

func addResumeField(body []byte, offset int, text string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	resume, err := json.Marshal(Resume{Offset: offset, Text: text})
	if err != nil {
		return nil, err
	}
	fields["resume"] = resume
	return json.Marshal(fields)
}
