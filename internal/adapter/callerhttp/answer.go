package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// apiError is the OpenAI error shape.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
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
	return apiError{apiErrorBody{Message: r.Message, Type: kind, Code: r.Code}}
}

func writeRefusal(w http.ResponseWriter, r *serving.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRun, string(r.Run))
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(errorShape(r))
}

// eventSink writes server-sent events. The response header is sent with the
// first event, so that a refusal before it still has its own status.
type eventSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	started bool
}

func (s *eventSink) Chunk(c serving.Chunk) error {
	s.start()
	buf := make([]byte, 0, len(c.Data)+len("data: \n\n"))
	buf = append(buf, "data: "...)
	buf = append(buf, c.Data...)
	buf = append(buf, "\n\n"...)
	if _, err := s.w.Write(buf); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *eventSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, call *serving.Call) {
	sink := &eventSink{w: w, flusher: http.NewResponseController(w)}
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal == nil {
		return
	}
	if !sink.started {
		writeRefusal(w, outcome.Refusal)
		return
	}
	// No [DONE] follows, so the caller cannot take the stream for complete.
	data, _ := json.Marshal(errorShape(outcome.Refusal))
	_ = sink.Chunk(serving.Chunk{Data: data})
}

// wholeSink assembles one answer from the events of a stream.
type wholeSink struct {
	first json.RawMessage
	text  []byte
	stop  string
}

func (s *wholeSink) Chunk(c serving.Chunk) error {
	if c.Done {
		return nil
	}
	if s.first == nil {
		s.first = append(json.RawMessage(nil), c.Data...)
	}
	s.text = append(s.text, c.Text...)
	if c.Finish {
		s.stop = finishReason(c.Data)
	}
	return nil
}

func finishReason(data []byte) string {
	var event struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &event) != nil || len(event.Choices) == 0 {
		return "stop"
	}
	return event.Choices[0].FinishReason
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *Server) serveWhole(ctx context.Context, w http.ResponseWriter, call *serving.Call) {
	sink := &wholeSink{}
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal != nil {
		writeRefusal(w, outcome.Refusal)
		return
	}
	answer, err := sink.answer(call, outcome.Delivered)
	if err != nil {
		writeRefusal(w, &serving.Refusal{Status: http.StatusBadGateway, Code: "bad_answer", Message: err.Error(), Run: serving.Ran})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *wholeSink) answer(call *serving.Call, delivered int) (*wholeAnswer, error) {
	if s.first == nil {
		return nil, errors.New("the target sent no event")
	}
	var answer wholeAnswer
	if err := json.Unmarshal(s.first, &answer); err != nil {
		return nil, err
	}
	text := string(s.text)
	choice := wholeChoice{FinishReason: s.stop}
	if call.Path == "/v1/completions" {
		answer.Object = "text_completion"
		choice.Text = &text
	} else {
		answer.Object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	}
	answer.Choices = []wholeChoice{choice}
	answer.Usage = wholeUsage{
		PromptTokens:     call.PromptTokens,
		CompletionTokens: delivered,
		TotalTokens:      call.PromptTokens + delivered,
	}
	return &answer, nil
}
