package callerhttp

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/requestbody"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// maxReplayBytes limits how much of a request body is buffered for a second
// attempt. A body of this size or more is streamed, and its call is not retried.
const maxReplayBytes = 64 << 10

// serveService forwards a call to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
	name, route, ok := snap.ServiceRoute(r.URL.Path)
	if !ok {
		writeRefusal(w, newRefusal(http.StatusNotFound, "no_route", "no route leads to this path"))
		return
	}
	id, refusal := s.admitService(r, snap, route)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	release, refusal := s.concurrency.acquire(id.workspace, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer release()
	call := s.newCall(r, snap, id, name, route)
	body := s.newChargedBody()
	defer body.release()
	var streamed *requestbody.Streamed
	if call.Route.Run != config.RunAtMostOnce {
		streamed = requestbody.Stream(w, r, snap.Document.Limits.MaxBodyBytes)
	}
	if complete := s.forward(w, r, id, call, streamed, body); !complete {
		streamed.Abort()
		// Abort the connection, so that the caller cannot mistake a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
	streamed.End()
}

// forward sends a call to a target and its response, or a refusal, to the caller. It reports
// whether the response is complete.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, id identity, call *serving.Call, streamed *requestbody.Streamed, body *chargedBody) bool {
	req, refusal := newServiceRequest(w, r, call, streamed, body)
	if refusal != nil {
		writeRefusal(w, refusal)
		return true
	}
	ctx, cancel := s.watchKey(r.Context(), id)
	defer cancel()
	sink := &serviceSink{w: w, control: http.NewResponseController(w)}
	outcome := s.Serving.Forward(ctx, call, req, sink)
	switch {
	case outcome.Refusal == nil:
	case sink.headerWritten:
		return false
	default:
		writeRefusal(w, outcome.Refusal)
	}
	return true
}

func (s *Server) admitService(r *http.Request, snap *config.Snapshot, route config.Route) (identity, *serving.Refusal) {
	// TRACE and CONNECT apply to a single hop, and TRACE would return the
	// request header to the sender.
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return identity{}, newRefusal(http.StatusMethodNotAllowed, "bad_method", "the method is not passed on")
	}
	if hasDotSegment(r.URL.Path) {
		return identity{}, newRefusal(http.StatusBadRequest, "bad_path", "the path has dot segments")
	}
	if refusal := validateIdempotencyKey(r); refusal != nil {
		return identity{}, refusal
	}
	if route.Access == config.AccessOpen {
		return identity{}, nil
	}
	id, refusal := s.authenticate(r, snap)
	if refusal == nil && !workspaceAllowed(route, id.workspace) {
		refusal = newRefusal(http.StatusNotFound, "no_route", "no route leads to this path")
	}
	return id, refusal
}

// hasDotSegment reports whether path contains "." or ".." segments, with which
// the target could resolve it to a path outside the prefix that the route
// matched.
func hasDotSegment(path string) bool {
	for _, segment := range strings.FieldsFunc(path, func(c rune) bool { return c == '/' || c == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// newServiceRequest removes caller keys from the call and prepares its body.
func newServiceRequest(w http.ResponseWriter, r *http.Request, call *serving.Call, streamed *requestbody.Streamed, charged *chargedBody) (serving.ServiceRequest, *serving.Refusal) {
	scrub := newScrubber(call.Snapshot, r)
	path := r.URL.EscapedPath()
	if scrub.containsKey(path) {
		return serving.ServiceRequest{}, newRefusal(http.StatusBadRequest, "key_in_path", "the path contains a caller key, which must not reach a target")
	}
	uri := path
	if query := scrub.scrubQuery(r.URL.RawQuery); query != "" {
		uri += "?" + query
	}
	header := scrub.scrubHeader(r.Header)
	targethttp.RemoveHopByHop(header)
	header.Del("Expect")
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its default User-Agent.
		header.Set("User-Agent", "")
	}
	req := serving.ServiceRequest{Method: r.Method, URI: uri, Header: header}
	if streamed == nil {
		return bufferBody(w, r, call, scrub, req, charged)
	}
	return streamBody(w, r, call, scrub, req, streamed, charged)
}

// bufferBody reads the whole body before dispatch, because its hash is part of
// the at-most-once claim.
func bufferBody(w http.ResponseWriter, r *http.Request, call *serving.Call, scrub *scrubber, req serving.ServiceRequest, charged *chargedBody) (serving.ServiceRequest, *serving.Refusal) {
	body, refusal := readBody(w, r, call.Snapshot.Document.Limits.MaxBodyBytes, charged)
	if refusal != nil {
		return req, refusal
	}
	if scrub.bodyContainsKey(body) {
		return req, errKeyInBody
	}
	call.BodyHash = hashRequest(req.Method, req.URI, body)
	req.ContentLength = int64(len(body))
	req.Buffered = true
	req.Body = func() io.Reader { return bytes.NewReader(body) }
	return req, nil
}

// streamBody buffers the start of the body. If the buffer holds the whole body,
// the call can be retried.
func streamBody(w http.ResponseWriter, r *http.Request, call *serving.Call, scrub *scrubber, req serving.ServiceRequest, streamed *requestbody.Streamed, charged *chargedBody) (serving.ServiceRequest, *serving.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(call.Route.Timeout()))
	head, err := io.ReadAll(charged.from(io.LimitReader(streamed, maxReplayBytes)))
	if err != nil {
		return req, bodyRefusal(err)
	}
	if scrub.bodyContainsKey(head) {
		return req, errKeyInBody
	}
	if len(head) < maxReplayBytes {
		_ = control.SetReadDeadline(time.Time{})
		req.ContentLength = int64(len(head))
		req.Buffered = true
		req.Body = func() io.Reader { return bytes.NewReader(head) }
		return req, nil
	}
	req.ContentLength = r.ContentLength
	rest := refusalReader{scrub.guardBody(io.MultiReader(bytes.NewReader(head), streamed))}
	req.Body = func() io.Reader { return rest }
	return req, nil
}

// refusalReader converts errors from reading the caller's body into refusals,
// so that they are not attributed to the target.
type refusalReader struct{ in io.Reader }

// Read implements io.Reader.
func (r refusalReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = bodyRefusal(err)
	}
	return n, err
}

// serviceSink streams the response of a service to the caller.
type serviceSink struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
}

// Begin implements serving.ServiceSink.
func (s *serviceSink) Begin(status int, header http.Header) {
	s.headerWritten = true
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.w.WriteHeader(status)
}

// Write implements serving.ServiceSink.
func (s *serviceSink) Write(p []byte) (int, error) {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := s.w.Write(p)
	if err != nil {
		return n, err
	}
	err = s.control.Flush()
	if errors.Is(err, http.ErrNotSupported) {
		err = nil
	}
	return n, err
}
