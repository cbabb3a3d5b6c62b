package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// maxAggregateBytes limits the memory that one non-streaming response takes
// while it is assembled.
const maxAggregateBytes = 8 << 20

var errResponseTooLarge = newRefusal(http.StatusBadGateway, "answer_too_large", "the answer is too large to be sent whole; ask for a stream")

type jsonObject = map[string]json.RawMessage

// aggregateSink assembles a non-streaming response from the events of a stream.
// It preserves fields that it does not know.
type aggregateSink struct {
	call          *serving.Call
	receivedBytes int
	tokens        int
	topLevel      jsonObject
	choices       []*partialChoice
	usage         json.RawMessage
	replayed      *serving.StoredResponse
	// charged charges what is received.
	charged *chargedBody
}

// partialChoice is one choice of the response while it is being assembled.
type partialChoice struct {
	index       int
	otherFields jsonObject
	message     jsonObject
	text        map[string][]byte
	toolCalls   []*partialToolCall
}

// partialToolCall is one tool call of a choice while it is being assembled.
type partialToolCall struct {
	Index     int    `json:"-"`
	ID        string `json:"id"`
	Type      string `json:"type"`
	name      []byte
	arguments []byte
}

// Chunk implements serving.Sink.
func (s *aggregateSink) Chunk(c serving.Chunk) error {
	if c.Done {
		return nil
	}
	s.receivedBytes += len(c.Data)
	if s.receivedBytes > maxAggregateBytes {
		return errResponseTooLarge
	}
	if !s.charged.charge(len(c.Data)) {
		return errNoMemoryForResponse
	}
	s.tokens += c.Tokens
	var event jsonObject
	if err := json.Unmarshal(c.Data, &event); err != nil {
		return err
	}
	return s.mergeEvent(event)
}

func (s *aggregateSink) mergeEvent(event jsonObject) error {
	if s.topLevel == nil {
		s.topLevel = make(jsonObject)
	}
	for name, value := range event {
		switch {
		case name == "usage" && !isNull(value):
			s.usage = value
		case name != "choices" && name != "usage":
			s.topLevel[name] = value
		}
	}
	var choices []jsonObject
	if raw, ok := event["choices"]; ok {
		if err := json.Unmarshal(raw, &choices); err != nil {
			return err
		}
	}
	for _, c := range choices {
		if err := s.mergeChoice(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *aggregateSink) choiceAt(index int) *partialChoice {
	for _, c := range s.choices {
		if c.index == index {
			return c
		}
	}
	c := &partialChoice{index: index, otherFields: make(jsonObject), message: make(jsonObject), text: make(map[string][]byte)}
	s.choices = append(s.choices, c)
	return c
}

func (s *aggregateSink) mergeChoice(in jsonObject) error {
	var index int
	if raw, ok := in["index"]; ok {
		if err := json.Unmarshal(raw, &index); err != nil {
			return err
		}
	}
	c := s.choiceAt(index)
	for name, value := range in {
		if err := c.mergeField(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (c *partialChoice) mergeField(name string, value json.RawMessage) error {
	switch name {
	case "index":
		return nil
	case "text":
		return c.addText(name, value)
	case "delta":
		return c.mergeDelta(value)
	case "logprobs":
		return c.mergeLogprobs(value)
	}
	if _, known := c.otherFields[name]; !known || !isNull(value) {
		c.otherFields[name] = value
	}
	return nil
}

func (c *partialChoice) mergeDelta(raw json.RawMessage) error {
	var delta jsonObject
	if err := json.Unmarshal(raw, &delta); err != nil {
		return err
	}
	for name, value := range delta {
		var err error
		switch {
		case isNull(value):
		case name == "content" || name == "refusal" || name == "reasoning_content":
			err = c.addText(name, value)
		case name == "tool_calls":
			err = c.mergeToolCalls(value)
		default:
			c.message[name] = value
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *partialChoice) addText(name string, value json.RawMessage) error {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return err
	}
	c.text[name] = append(c.text[name], text...)
	return nil
}

func (c *partialChoice) mergeToolCalls(raw json.RawMessage) error {
	var parts []struct {
		Index    int    `json:"index"`
		ID       string `json:"id"`
		Type     string `json:"type"`
		Function struct {
			Name      string `json:"name"`
			Arguments string `json:"arguments"`
		} `json:"function"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		t := c.toolCallAt(p.Index)
		if p.ID != "" {
			t.ID = p.ID
		}
		if p.Type != "" {
			t.Type = p.Type
		}
		t.name = append(t.name, p.Function.Name...)
		t.arguments = append(t.arguments, p.Function.Arguments...)
	}
	return nil
}

func (c *partialChoice) toolCallAt(index int) *partialToolCall {
	for _, t := range c.toolCalls {
		if t.Index == index {
			return t
		}
	}
	t := &partialToolCall{Index: index, Type: "function"}
	c.toolCalls = append(c.toolCalls, t)
	return t
}

// mergeLogprobs concatenates the content lists of the chat completion format.
// In any other format, it keeps the value of the last event that has one.
func (c *partialChoice) mergeLogprobs(value json.RawMessage) error {
	if isNull(value) {
		return nil
	}
	var in, have struct {
		Content []json.RawMessage `json:"content"`
	}
	if json.Unmarshal(value, &in) != nil || in.Content == nil {
		c.otherFields["logprobs"] = value
		return nil
	}
	if old, ok := c.otherFields["logprobs"]; ok {
		_ = json.Unmarshal(old, &have)
	}
	have.Content = append(have.Content, in.Content...)
	joined, err := json.Marshal(have)
	c.otherFields["logprobs"] = joined
	return err
}

// Reset implements serving.Sink.
func (s *aggregateSink) Reset() bool {
	s.charged.restart()
	*s = aggregateSink{call: s.call, charged: s.charged}
	return true
}

// StoredResponse implements serving.Sink.
func (s *aggregateSink) StoredResponse() serving.StoredResponse {
	body, err := s.assemble()
	if err != nil {
		return serving.StoredResponse{Status: http.StatusBadGateway}
	}
	return serving.StoredResponse{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// Replay implements serving.Sink.
func (s *aggregateSink) Replay(stored serving.StoredResponse) { s.replayed = &stored }

func (s *aggregateSink) assemble() ([]byte, error) {
	if s.topLevel == nil {
		return nil, errors.New("the target sent no completion event")
	}
	chat := s.call.Path == "/v1/chat/completions"
	s.topLevel["object"] = json.RawMessage(`"text_completion"`)
	if chat {
		s.topLevel["object"] = json.RawMessage(`"chat.completion"`)
	}
	slices.SortFunc(s.choices, func(a, b *partialChoice) int { return a.index - b.index })
	list := make([]map[string]any, len(s.choices))
	for i, c := range s.choices {
		list[i] = c.encode(chat)
	}
	choices, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	s.topLevel["choices"] = choices
	s.topLevel["usage"] = s.usageOrEstimate()
	return json.Marshal(s.topLevel)
}

// usageOrEstimate returns the token usage reported by the engine, or, if there
// is none, one computed from the estimated prompt tokens and the tokens counted
// in the stream.
func (s *aggregateSink) usageOrEstimate() json.RawMessage {
	if s.usage != nil {
		return s.usage
	}
	prompt := s.call.PromptTokens
	counted, _ := json.Marshal(map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": s.tokens,
		"total_tokens":      prompt + s.tokens,
	})
	return counted
}

func (c *partialChoice) encode(chat bool) map[string]any {
	out := map[string]any{"index": c.index, "logprobs": nil}
	for name, value := range c.otherFields {
		out[name] = value
	}
	if !chat {
		out["text"] = string(c.text["text"])
		return out
	}
	message := map[string]any{"role": "assistant", "content": nil, "refusal": nil}
	for name, value := range c.message {
		message[name] = value
	}
	for name, text := range c.text {
		message[name] = string(text)
	}
	if len(c.toolCalls) > 0 {
		message["tool_calls"] = c.encodeToolCalls()
	}
	out["message"] = message
	return out
}

func (c *partialChoice) encodeToolCalls() []map[string]any {
	slices.SortFunc(c.toolCalls, func(a, b *partialToolCall) int { return a.Index - b.Index })
	out := make([]map[string]any, len(c.toolCalls))
	for i, t := range c.toolCalls {
		out[i] = map[string]any{
			"id":       t.ID,
			"type":     t.Type,
			"function": map[string]string{"name": string(t.name), "arguments": string(t.arguments)},
		}
	}
	return out
}

func (s *Server) serveNonStreaming(ctx context.Context, w http.ResponseWriter, call *serving.Call, body *chargedBody) {
	charged := body.newResponse()
	defer charged.release()
	sink := &aggregateSink{call: call, charged: charged}
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal != nil {
		writeRefusal(w, outcome.Refusal)
		return
	}
	if sink.replayed != nil {
		writeStoredResponse(w, *sink.replayed)
		return
	}
	response, err := sink.assemble()
	if err != nil {
		writeRefusal(w, &serving.Refusal{Status: http.StatusBadGateway, Code: "bad_answer", Message: "the target's answer could not be read", Run: serving.Ran})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response)
}

func isNull(raw json.RawMessage) bool { return bytes.Equal(raw, []byte("null")) }
