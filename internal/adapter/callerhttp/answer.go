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

// writeTimeout bounds one write to a caller that does not read. Until then the
// engine is held back by its connection, so that nothing piles up here.
const writeTimeout = 10 * time.Second

// apiError is the OpenAI error shape.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Run repeats the header, which a stream that has begun cannot send.
	Run serving.RunState `json:"run"`
}

func errorShape(r *serving.Refusal) apiError {
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
	w.Header().Set(HeaderRun, string(r.Run))
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	if r.Body != nil {
		w.Header().Set("Content-Type", r.ContentType)
		w.WriteHeader(r.Status)
		_, _ = w.Write(r.Body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(errorShape(r))
}

// eventSink writes server-sent events. The response header is sent with the
// first event, so that a refusal before it still has its own status. While
// there are no events, comments show the caller that the connection lives.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// record is true if the events must be kept for resends.
	record bool
	// patience bounds one write.
	patience time.Duration

	mu       sync.Mutex
	started  bool
	passed   bool
	ended    bool
	buf      []byte
	kept     []byte
	interval time.Duration
	beat     *time.Timer
	last     time.Time
}

var errEnded = errors.New("the stream has ended")

func newEventSink(w http.ResponseWriter, heartbeat time.Duration, record bool) *eventSink {
	s := &eventSink{w: w, control: http.NewResponseController(w), record: record, patience: writeTimeout, interval: heartbeat, last: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat = time.AfterFunc(heartbeat, s.heartbeat)
	return s
}

// Chunk implements serving.Sink.
func (s *eventSink) Chunk(c serving.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed = true
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, c.Data...)
	s.buf = append(s.buf, "\n\n"...)
	if s.record && len(s.kept) <= serving.MaxStoredAnswer {
		s.kept = append(s.kept, s.buf...)
	}
	return s.write(s.buf)
}

// write sends data at once. The lock must be held, because the heartbeat
// writes too.
func (s *eventSink) write(data []byte) error {
	if s.ended {
		return errEnded
	}
	s.start("text/event-stream")
	s.last = time.Now()
	_ = s.control.SetWriteDeadline(s.last.Add(s.patience))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventSink) start(contentType string) {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", contentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if time.Since(s.last) >= s.interval && s.write([]byte(": waiting\n\n")) != nil {
		return
	}
	s.beat.Reset(s.interval)
}

// end stops the heartbeat; nothing is written after it.
func (s *eventSink) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.beat.Stop()
}

// Restart implements serving.Sink.
func (s *eventSink) Restart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.passed
}

// Stored implements serving.Sink.
func (s *eventSink) Stored() serving.StoredAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := append(s.kept[:len(s.kept):len(s.kept)], "data: [DONE]\n\n"...)
	return serving.StoredAnswer{Status: http.StatusOK, ContentType: "text/event-stream", Body: body}
}

// Replay implements serving.Sink.
func (s *eventSink) Replay(answer serving.StoredAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		writeStored(s.w, answer)
		return
	}
	// A heartbeat has begun the stream, so that only its events are left.
	if answer.Status == http.StatusOK && !answer.Truncated {
		_ = s.write(answer.Body)
		return
	}
	data, _ := json.Marshal(errorShape(&serving.Refusal{Status: answer.Status, Code: "answer_not_stored", Message: "the request ran before; its answer cannot be sent again on this stream", Run: serving.Ran}))
	_ = s.write(append(append([]byte("data: "), data...), "\n\n"...))
}

func writeStored(w http.ResponseWriter, answer serving.StoredAnswer) {
	for name, values := range serving.StoredHeader(answer) {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRun, string(serving.Ran))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, call *serving.Call) {
	heartbeat := time.Duration(call.Snapshot.Document.Limits.HeartbeatMS) * time.Millisecond
	sink := newEventSink(w, heartbeat, call.Route.Run == config.RunAtMostOnce)
	defer sink.end()
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal == nil {
		return
	}
	sink.refuse(outcome.Refusal)
}

// refuse ends the stream with an error. No [DONE] follows, so that the caller
// cannot take the stream for complete.
func (s *eventSink) refuse(r *serving.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		writeRefusal(s.w, r)
		return
	}
	data, _ := json.Marshal(errorShape(r))
	_ = s.write(append(append([]byte("data: "), data...), "\n\n"...))
}
