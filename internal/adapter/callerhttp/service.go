package callerhttp

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// replayBytes is how much of a body is kept for a second attempt. Longer
// bodies are streamed and their calls are not repeated.
const replayBytes = 64 << 10

// service passes a call through to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
	name, route, ok := snap.ServiceRoute(r.URL.Path)
	if !ok {
		writeRefusal(w, refuse(http.StatusNotFound, "no_route", "no route leads to this path"))
		return
	}
	id, refusal := s.admitService(r, snap, route)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	release, refusal := s.running.enter(id.workspace, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer release()
	call := s.newCall(r, snap, id, name, route)
	req, refusal := serviceRequest(w, r, call)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	ctx, cancel := s.watch(r.Context(), id)
	defer cancel()
	sink := &serviceSink{w: w, control: http.NewResponseController(w)}
	outcome := s.Serving.Forward(ctx, call, req, sink)
	finishService(w, sink, outcome.Refusal)
}

func (s *Server) admitService(r *http.Request, snap *config.Snapshot, route config.Route) (identity, *serving.Refusal) {
	// TRACE and CONNECT make sense between neighbours only, and TRACE would
	// send the header back.
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return identity{}, refuse(http.StatusMethodNotAllowed, "bad_method", "the method is not passed on")
	}
	if hasDotSegment(r.URL.Path) {
		return identity{}, refuse(http.StatusBadRequest, "bad_path", "the path has dot segments")
	}
	if refusal := checkIdempotencyKey(r); refusal != nil {
		return identity{}, refusal
	}
	if route.Access == config.AccessOpen {
		return identity{}, nil
	}
	id, refusal := s.authenticate(r, snap)
	if refusal == nil && !allowed(route, id.workspace) {
		refusal = refuse(http.StatusNotFound, "no_route", "no route leads to this path")
	}
	return id, refusal
}

// hasDotSegment reports whether the target could read the path as leading out
// of the prefix that chose the route.
func hasDotSegment(path string) bool {
	for _, segment := range strings.FieldsFunc(path, func(c rune) bool { return c == '/' || c == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// serviceRequest cleans the call of keys and prepares its body.
func serviceRequest(w http.ResponseWriter, r *http.Request, call *serving.Call) (serving.ServiceRequest, *serving.Refusal) {
	scrub := newScrubber(call.Snapshot, r)
	path := r.URL.EscapedPath()
	if scrub.holdsKey(path) {
		return serving.ServiceRequest{}, refuse(http.StatusBadRequest, "key_in_path", "the path contains a caller key, which must not reach a target")
	}
	uri := path
	if query := scrub.query(r.URL.RawQuery); query != "" {
		uri += "?" + query
	}
	header := scrub.header(r.Header)
	targethttp.RemoveHopByHop(header)
	header.Del("Expect")
	if header.Get("User-Agent") == "" {
		// Keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	req := serving.ServiceRequest{Method: r.Method, URI: uri, Header: header}
	if call.Route.Run == config.RunAtMostOnce {
		return wholeBody(w, r, call, scrub, req)
	}
	return streamedBody(w, r, call, scrub, req)
}

// wholeBody reads the body before dispatch, because its hash is part of the
// claim.
func wholeBody(w http.ResponseWriter, r *http.Request, call *serving.Call, scrub *scrubber, req serving.ServiceRequest) (serving.ServiceRequest, *serving.Refusal) {
	body, refusal := readBody(w, r, call.Snapshot.Document.Limits.MaxBodyBytes)
	if refusal != nil {
		return req, refusal
	}
	if scrub.inBody(body) {
		return req, errKeyInBody
	}
	call.BodyHash = hashRequest(req.Method, req.URI, body)
	req.ContentLength = int64(len(body))
	req.Buffered = true
	req.Body = func() io.Reader { return bytes.NewReader(body) }
	return req, nil
}

// streamedBody keeps the start of the body. If that is all of it, the call can
// be repeated.
func streamedBody(w http.ResponseWriter, r *http.Request, call *serving.Call, scrub *scrubber, req serving.ServiceRequest) (serving.ServiceRequest, *serving.Refusal) {
	control := http.NewResponseController(w)
	// A service may answer before it has read the body.
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now().Add(call.Route.Timeout()))
	limited := http.MaxBytesReader(w, r.Body, call.Snapshot.Document.Limits.MaxBodyBytes)
	head, err := io.ReadAll(io.LimitReader(limited, replayBytes))
	if err != nil {
		return req, bodyRefusal(err)
	}
	if scrub.inBody(head) {
		return req, errKeyInBody
	}
	if len(head) < replayBytes {
		_ = control.SetReadDeadline(time.Time{})
		req.ContentLength = int64(len(head))
		req.Buffered = true
		req.Body = func() io.Reader { return bytes.NewReader(head) }
		return req, nil
	}
	req.ContentLength = r.ContentLength
	rest := refusingReader{scrub.guard(io.MultiReader(bytes.NewReader(head), limited))}
	req.Body = func() io.Reader { return rest }
	return req, nil
}

// refusingReader turns faults of the caller's body into refusals, so that they
// are not taken for faults of the target.
type refusingReader struct{ in io.Reader }

// Read implements io.Reader.
func (r refusingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = bodyRefusal(err)
	}
	return n, err
}

// serviceSink passes the answer of a service on as it arrives.
type serviceSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	began   bool
}

// Begin implements serving.ServiceSink.
func (s *serviceSink) Begin(status int, header http.Header) {
	s.began = true
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

func finishService(w http.ResponseWriter, sink *serviceSink, refusal *serving.Refusal) {
	switch {
	case refusal == nil:
	case sink.began:
		// Breaks the connection off, so that the caller cannot take the part
		// it has for the whole.
		panic(http.ErrAbortHandler)
	default:
		writeRefusal(w, refusal)
	}
}
