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

// maxEventLineBytes bounds one line of an event stream.
const maxEventLineBytes = 1 << 20

// stream reads server-sent events of one response. The id field of an event
// is "request;incarnation;offset;tokens".
type stream struct {
	resp     *http.Response
	cancel   context.CancelFunc
	abort    func(cause error)
	cause    error
	reader   *bufio.Reader
	cached   int
	finished bool
}

func newStream(resp *http.Response, cancel context.CancelFunc, abort func(cause error)) *stream {
	cached, _ := strconv.Atoi(resp.Header.Get(HeaderCachedTokens))
	return &stream{resp: resp, cancel: cancel, abort: abort, reader: bufio.NewReader(resp.Body), cached: cached}
}

// Next implements serving.ChunkStream. A timer per event closes the
// connection if the event does not come in time.
func (s *stream) Next(limit time.Duration) (serving.Chunk, error) {
	timer := time.AfterFunc(limit, s.cancel)
	chunk, err := readEvent(s.reader)
	if !timer.Stop() {
		err = serving.ErrStalled
	}
	if err != nil {
		s.cause = err
		return serving.Chunk{}, err
	}
	chunk.CachedTokens = s.cached
	s.finished = chunk.Done
	return chunk, nil
}

// Close implements serving.ChunkStream.
func (s *stream) Close() {
	s.cancel()
	s.resp.Body.Close()
	if !s.finished {
		s.abort(s.cause)
	}
}

// readEvent reads one event that carries data.
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
				return chunk, errLongEvent
			}
			chunk.Data = append(chunk.Data, value...)
		case "":
			if len(line) == 0 && chunk.Data != nil {
				return finishChunk(chunk)
			}
		}
	}
}

var errLongEvent = fmt.Errorf("event is longer than %d bytes", maxEventLineBytes)

// readLine returns a line that is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, more, err := r.ReadLine()
	for more && err == nil {
		// The first part is copied, because the next read overwrites it.
		var part []byte
		line = bytes.Clone(line)
		part, more, err = r.ReadLine()
		line = append(line, part...)
		if len(line) > maxEventLineBytes {
			return nil, errLongEvent
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
		return errors.New("event id does not have 4 parts")
	}
	incarnation, err1 := strconv.ParseUint(parts[1], 10, 64)
	offset, err2 := strconv.ParseInt(parts[2], 10, 32)
	tokens, err3 := strconv.ParseInt(parts[3], 10, 32)
	if err := errors.Join(err1, err2, err3); err != nil {
		return fmt.Errorf("event id: %w", err)
	}
	if offset < 0 || tokens < 0 {
		return errors.New("event id has a negative count")
	}
	chunk.RequestID = parts[0]
	chunk.Incarnation = incarnation
	chunk.Offset = int(offset)
	chunk.Tokens = int(tokens)
	return nil
}

// completionEvent is the part of an OpenAI stream event that the router reads.
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

var errInStream = errors.New("target sent an error event")

func finishChunk(chunk serving.Chunk) (serving.Chunk, error) {
	if bytes.Equal(chunk.Data, doneMarker) {
		chunk.Done = true
		return chunk, nil
	}
	var event completionEvent
	if err := json.Unmarshal(chunk.Data, &event); err != nil {
		return chunk, fmt.Errorf("decode stream event: %w", err)
	}
	if present(event.Error) {
		return chunk, errInStream
	}
	for i := range event.Choices {
		c := &event.Choices[i]
		chunk.Text += c.Text + c.Delta.Content
		if c.FinishReason != nil {
			chunk.Finished++
		}
		chunk.Opaque = chunk.Opaque || c.Index > 0 || c.Delta.Refusal != "" || c.Delta.Reasoning != "" ||
			present(c.Delta.ToolCalls) || present(c.Delta.FunctionCall)
	}
	if event.Usage != nil {
		chunk.Usage = &serving.Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}
		chunk.UsageOnly = len(event.Choices) == 0
	}
	return chunk, nil
}

func present(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null"))
}
