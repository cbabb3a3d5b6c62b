package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// writeTimeout limits one write to a caller that does not read. While the write
// blocks, TCP flow control slows the engine down, so that no data accumulates
// in this process.
const writeTimeout = 10 * time.Second

// apiError is an error response in the OpenAI format.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Run repeats the Cuminwing-Run header, which cannot be sent once a stream
	// has started.
	Run serving.RunState `json:"run"`
}

func newAPIError(r *serving.Refusal) apiError {
	kind := "invalid_request_error"
	switch {
	case r.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case r.Status == http.StatusUnauthorized:
		kind = "authentication_error"
	case r.Status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	return apiError{apiErrorBody{Message: r.Message, Type: kind, Code: r.Code, Run: r.Run}}
}

func writeRefusal(w http.ResponseWriter, r *serving.Refusal) {
	w.Header().Set(HeaderRunState, string(r.Run))
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	contentType, body := r.ContentType, r.Body
	if body == nil {
		contentType, body = "application/json", errorBody(r)
	}
	w.Header().Set("Content-Type", contentType)
	// With its length, the caller can tell the end of the response before the handler returns.
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

func errorBody(r *serving.Refusal) []byte {
	// It fails for no value of this type.
	body, _ := json.Marshal(newAPIError(r))
	return append(body, '\n')
}

// eventSink writes server-sent events to a caller. It sends the response header
// with the first event, so that an error before that can still set its own
// status code. While no events arrive, it sends SSE comments as heartbeats to
// show that the connection is alive.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// record is true if the events must be kept to answer resends of the
	// request.
	record bool
	// writeTimeout limits one write.
	writeTimeout time.Duration

	mu                sync.Mutex
	headerWritten     bool
	chunkSent         bool
	closed            bool
	buf               []byte
	recorded          []byte
	heartbeatInterval time.Duration
	heartbeatTimer    *time.Timer
	lastWrite         time.Time
}

var errSinkClosed = errors.New("event stream to the caller is closed")

func newEventSink(w http.ResponseWriter, heartbeatInterval time.Duration, record bool) *eventSink {
	s := &eventSink{w: w, control: http.NewResponseController(w), record: record, writeTimeout: writeTimeout, heartbeatInterval: heartbeatInterval, lastWrite: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeatTimer = time.AfterFunc(heartbeatInterval, s.sendHeartbeat)
	return s
}

// Chunk implements serving.Sink.
func (s *eventSink) Chunk(c serving.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunkSent = true
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, c.Data...)
	s.buf = append(s.buf, "\n\n"...)
	if s.record && len(s.recorded) <= serving.MaxStoredResponseBytes {
		s.recorded = append(s.recorded, s.buf...)
	}
	return s.write(s.buf)
}

// write sends data immediately. The caller must hold s.mu, because heartbeats
// are written concurrently.
func (s *eventSink) write(data []byte) error {
	if s.closed {
		return errSinkClosed
	}
	s.writeHeader("text/event-stream")
	s.lastWrite = time.Now()
	_ = s.control.SetWriteDeadline(s.lastWrite.Add(s.writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventSink) writeHeader(contentType string) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.w.Header().Set("Content-Type", contentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if time.Since(s.lastWrite) >= s.heartbeatInterval && s.write([]byte(": waiting\n\n")) != nil {
		return
	}
	s.heartbeatTimer.Reset(s.heartbeatInterval)
}

// close stops the heartbeats and rejects all further writes.
func (s *eventSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.heartbeatTimer.Stop()
}

// Reset implements serving.Sink.
func (s *eventSink) Reset() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.chunkSent
}

// StoredResponse implements serving.Sink.
func (s *eventSink) StoredResponse() serving.StoredResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := append(s.recorded[:len(s.recorded):len(s.recorded)], "data: [DONE]\n\n"...)
	return serving.StoredResponse{Status: http.StatusOK, ContentType: "text/event-stream", Body: body}
}

// Replay implements serving.Sink.
func (s *eventSink) Replay(stored serving.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headerWritten {
		s.headerWritten = true
		writeStoredResponse(s.w, stored)
		return
	}
	// A heartbeat has already started the stream, so that the status and header
	// of the stored response cannot be sent, only its events.
	if stored.Status == http.StatusOK && !stored.Truncated {
		_ = s.write(stored.Body)
		return
	}
	data, _ := json.Marshal(newAPIError(&serving.Refusal{Status: stored.Status, Code: "answer_not_stored", Message: "the request ran before; its answer cannot be sent again on this stream", Run: serving.Ran}))
	_ = s.write(append(append([]byte("data: "), data...), "\n\n"...))
}

func writeStoredResponse(w http.ResponseWriter, stored serving.StoredResponse) {
	for name, values := range serving.StoredHeader(stored) {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRunState, string(serving.Ran))
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, call *serving.Call) {
	heartbeatInterval := time.Duration(call.Snapshot.Document.Limits.HeartbeatMS) * time.Millisecond
	sink := newEventSink(w, heartbeatInterval, call.Route.Run == config.RunAtMostOnce)
	defer sink.close()
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal == nil {
		return
	}
	sink.sendRefusal(outcome.Refusal)
}

// sendRefusal ends the stream with an error event. It omits [DONE], so that the
// caller cannot mistake the stream for a complete one.
func (s *eventSink) sendRefusal(r *serving.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headerWritten {
		s.headerWritten = true
		writeRefusal(s.w, r)
		return
	}
	data, _ := json.Marshal(newAPIError(r))
	_ = s.write(append(append([]byte("data: "), data...), "\n\n"...))
}
