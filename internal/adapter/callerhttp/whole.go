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

// maxWholeAnswer bounds the memory of an answer that is sent whole.
const maxWholeAnswer = 8 << 20

var errAnswerTooLarge = refuse(http.StatusBadGateway, "answer_too_large", "the answer is too large to be sent whole; ask for a stream")

type fields = map[string]json.RawMessage

// wholeSink assembles one answer from the events of a stream. Fields that it
// does not know are kept.
type wholeSink struct {
	call    *serving.Call
	size    int
	tokens  int
	top     fields
	choices []*wholeChoice
	usage   json.RawMessage
	stored  *serving.StoredAnswer
}

// wholeChoice is one answer under construction.
type wholeChoice struct {
	index   int
	extra   fields
	message fields
	text    map[string][]byte
	tools   []*wholeTool
}

// wholeTool is one tool call under construction.
type wholeTool struct {
	Index     int    `json:"-"`
	ID        string `json:"id"`
	Type      string `json:"type"`
	name      []byte
	arguments []byte
}

// Chunk implements serving.Sink.
func (s *wholeSink) Chunk(c serving.Chunk) error {
	if c.Done {
		return nil
	}
	s.size += len(c.Data)
	if s.size > maxWholeAnswer {
		return errAnswerTooLarge
	}
	s.tokens += c.Tokens
	var event fields
	if err := json.Unmarshal(c.Data, &event); err != nil {
		return err
	}
	return s.merge(event)
}

func (s *wholeSink) merge(event fields) error {
	if s.top == nil {
		s.top = make(fields)
	}
	for name, value := range event {
		switch {
		case name == "usage" && !isNull(value):
			s.usage = value
		case name != "choices" && name != "usage":
			s.top[name] = value
		}
	}
	var choices []fields
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

func (s *wholeSink) choice(index int) *wholeChoice {
	for _, c := range s.choices {
		if c.index == index {
			return c
		}
	}
	c := &wholeChoice{index: index, extra: make(fields), message: make(fields), text: make(map[string][]byte)}
	s.choices = append(s.choices, c)
	return c
}

func (s *wholeSink) mergeChoice(in fields) error {
	var index int
	if raw, ok := in["index"]; ok {
		if err := json.Unmarshal(raw, &index); err != nil {
			return err
		}
	}
	c := s.choice(index)
	for name, value := range in {
		if err := c.mergeField(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (c *wholeChoice) mergeField(name string, value json.RawMessage) error {
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
	if _, known := c.extra[name]; !known || !isNull(value) {
		c.extra[name] = value
	}
	return nil
}

func (c *wholeChoice) mergeDelta(raw json.RawMessage) error {
	var delta fields
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
			err = c.mergeTools(value)
		default:
			c.message[name] = value
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *wholeChoice) addText(name string, value json.RawMessage) error {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return err
	}
	c.text[name] = append(c.text[name], text...)
	return nil
}

func (c *wholeChoice) mergeTools(raw json.RawMessage) error {
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
		t := c.tool(p.Index)
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

func (c *wholeChoice) tool(index int) *wholeTool {
	for _, t := range c.tools {
		if t.Index == index {
			return t
		}
	}
	t := &wholeTool{Index: index, Type: "function"}
	c.tools = append(c.tools, t)
	return t
}

// mergeLogprobs joins the lists of the chat form. The other form is kept from
// the last event that has it.
func (c *wholeChoice) mergeLogprobs(value json.RawMessage) error {
	if isNull(value) {
		return nil
	}
	var in, have struct {
		Content []json.RawMessage `json:"content"`
	}
	if json.Unmarshal(value, &in) != nil || in.Content == nil {
		c.extra["logprobs"] = value
		return nil
	}
	if old, ok := c.extra["logprobs"]; ok {
		_ = json.Unmarshal(old, &have)
	}
	have.Content = append(have.Content, in.Content...)
	joined, err := json.Marshal(have)
	c.extra["logprobs"] = joined
	return err
}

// Restart implements serving.Sink.
func (s *wholeSink) Restart() bool {
	*s = wholeSink{call: s.call}
	return true
}

// Stored implements serving.Sink.
func (s *wholeSink) Stored() serving.StoredAnswer {
	body, err := s.answer()
	if err != nil {
		return serving.StoredAnswer{Status: http.StatusBadGateway}
	}
	return serving.StoredAnswer{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// Replay implements serving.Sink.
func (s *wholeSink) Replay(answer serving.StoredAnswer) { s.stored = &answer }

func (s *wholeSink) answer() ([]byte, error) {
	if s.top == nil {
		return nil, errors.New("the target sent no event")
	}
	chat := s.call.Path == "/v1/chat/completions"
	s.top["object"] = json.RawMessage(`"text_completion"`)
	if chat {
		s.top["object"] = json.RawMessage(`"chat.completion"`)
	}
	slices.SortFunc(s.choices, func(a, b *wholeChoice) int { return a.index - b.index })
	list := make([]map[string]any, len(s.choices))
	for i, c := range s.choices {
		list[i] = c.encode(chat)
	}
	choices, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	s.top["choices"] = choices
	s.top["usage"] = s.usageOrCount()
	return json.Marshal(s.top)
}

// usageOrCount prefers the engine's count.
func (s *wholeSink) usageOrCount() json.RawMessage {
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

func (c *wholeChoice) encode(chat bool) map[string]any {
	out := map[string]any{"index": c.index, "logprobs": nil}
	for name, value := range c.extra {
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
	if len(c.tools) > 0 {
		message["tool_calls"] = c.encodeTools()
	}
	out["message"] = message
	return out
}

func (c *wholeChoice) encodeTools() []map[string]any {
	slices.SortFunc(c.tools, func(a, b *wholeTool) int { return a.Index - b.Index })
	out := make([]map[string]any, len(c.tools))
	for i, t := range c.tools {
		out[i] = map[string]any{
			"id":       t.ID,
			"type":     t.Type,
			"function": map[string]string{"name": string(t.name), "arguments": string(t.arguments)},
		}
	}
	return out
}

func (s *Server) serveWhole(ctx context.Context, w http.ResponseWriter, call *serving.Call) {
	sink := &wholeSink{call: call}
	outcome := s.Serving.Complete(ctx, call, sink)
	if outcome.Refusal != nil {
		writeRefusal(w, outcome.Refusal)
		return
	}
	if sink.stored != nil {
		writeStored(w, *sink.stored)
		return
	}
	body, err := sink.answer()
	if err != nil {
		writeRefusal(w, &serving.Refusal{Status: http.StatusBadGateway, Code: "bad_answer", Message: "the target's answer could not be read", Run: serving.Ran})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func isNull(raw json.RawMessage) bool { return bytes.Equal(raw, []byte("null")) }
