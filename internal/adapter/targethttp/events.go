package targethttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// maxEventLineBytes limits one line of an event stream, and the data of one
// event, in bytes.
const maxEventLineBytes = 1 << 20

// eventStream reads the server-sent events of one response. The id field of an
// event has the format "request;incarnation;offset;tokens".
type eventStream struct {
	resp         *http.Response
	cancel       context.CancelFunc
	abort        func(cause error)
	cause        error
	reader       *bufio.Reader
	cachedTokens int
	finished     bool
}

func newEventStream(resp *http.Response, cancel context.CancelFunc, abort func(cause error)) *eventStream {
	cachedTokens, _ := strconv.Atoi(resp.Header.Get(HeaderCachedTokens))
	return &eventStream{resp: resp, cancel: cancel, abort: abort, reader: bufio.NewReader(resp.Body), cachedTokens: cachedTokens}
}

// Next implements serving.ChunkStream. It cancels the request if the event does
// not arrive within timeout.
func (s *eventStream) Next(timeout time.Duration) (serving.Chunk, error) {
	timer := time.AfterFunc(timeout, s.cancel)
	chunk, err := readEvent(s.reader)
	if !timer.Stop() {
		err = serving.ErrStalled
	}
	if err != nil {
		s.cause = err
		return serving.Chunk{}, err
	}
	chunk.CachedTokens = s.cachedTokens
	s.finished = chunk.Done
	return chunk, nil
}

// Close implements serving.ChunkStream.
func (s *eventStream) Close() {
	s.cancel()
	s.resp.Body.Close()
	if !s.finished {
		s.abort(s.cause)
	}
}

// readEvent reads the next event that has data.
func readEvent(r *bufio.Reader) (serving.Chunk, error) {
	var chunk serving.Chunk
	for {
		line, err := readLine(r)
		if err != nil {
			return chunk, err
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			if err := parseEventID(string(value), &chunk); err != nil {
				return chunk, err
			}
		case "data":
			if len(chunk.Data)+len(value) > maxEventLineBytes {
				return chunk, errEventTooLong
			}
			chunk.Data = append(chunk.Data, value...)
		case "":
			if len(line) == 0 && chunk.Data != nil {
				return decodeChunk(chunk)
			}
		}
	}
}

var errEventTooLong = fmt.Errorf("stream event exceeds %d bytes", maxEventLineBytes)

// readLine returns the next line, which is valid until the next read from r.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, more, err := r.ReadLine()
	for more && err == nil {
		// Copy the first part, because the next read overwrites it.
		var part []byte
		line = bytes.Clone(line)
		part, more, err = r.ReadLine()
		line = append(line, part...)
		if len(line) > maxEventLineBytes {
			return nil, errEventTooLong
		}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

func parseEventID(id string, chunk *serving.Chunk) error {
	parts := strings.Split(id, ";")
	if len(parts) != 4 {
		return errors.New("event id does not have 4 fields")
	}
	incarnation, err1 := strconv.ParseUint(parts[1], 10, 64)
	offset, err2 := strconv.ParseInt(parts[2], 10, 32)
	tokens, err3 := strconv.ParseInt(parts[3], 10, 32)
	if err := errors.Join(err1, err2, err3); err != nil {
		return fmt.Errorf("parse event id: %w", err)
	}
	if offset < 0 || tokens < 0 {
		return errors.New("event id has a negative offset or token count")
	}
	chunk.RequestID = parts[0]
	chunk.Incarnation = incarnation
	chunk.Offset = int(offset)
	chunk.Tokens = int(tokens)
	return nil
}

// completionEvent holds the fields of an OpenAI stream event that the router
// reads.
type completionEvent struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content      string          `json:"content"`
			Refusal      string          `json:"refusal"`
			Reasoning    string          `json:"reasoning_content"`
			ToolCalls    json.RawMessage `json:"tool_calls"`
			FunctionCall json.RawMessage `json:"function_call"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

var doneMarker = []byte("[DONE]")

var errErrorEvent = errors.New("target sent an error event")

func decodeChunk(chunk serving.Chunk) (serving.Chunk, error) {
	if bytes.Equal(chunk.Data, doneMarker) {
		chunk.Done = true
		return chunk, nil
	}
	var event completionEvent
	if err := json.Unmarshal(chunk.Data, &event); err != nil {
		return chunk, fmt.Errorf("decode stream event: %w", err)
	}
	if isSet(event.Error) {
		return chunk, errErrorEvent
	}
	for i := range event.Choices {
		c := &event.Choices[i]
		chunk.Text += c.Text + c.Delta.Content
		if c.FinishReason != nil {
			chunk.Finished++
		}
		chunk.Opaque = chunk.Opaque || c.Index > 0 || c.Delta.Refusal != "" || c.Delta.Reasoning != "" ||
			isSet(c.Delta.ToolCalls) || isSet(c.Delta.FunctionCall)
	}
	if event.Usage != nil {
		chunk.Usage = &serving.Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}
		chunk.UsageOnly = len(event.Choices) == 0
	}
	return chunk, nil
}

func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null"))
}
