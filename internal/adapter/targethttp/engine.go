// Package targethttp speaks the HTTP protocol of targets: it dispatches
// requests to engines and services and receives their announcements.
package targethttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Headers of the target protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderCachedTokens = "X-Cached-Tokens"
	HeaderIncarnation  = "X-Incarnation"
)

// Limits of connections to targets.
const (
	dialTimeout       = time.Second
	idleConnTimeout   = 30 * time.Second
	maxIdlePerTarget  = 256
	maxEventLineBytes = 1 << 20
)

// ErrStalled is returned if no chunk came within the limit.
var ErrStalled = errors.New("target stream stalled")

// Dialer opens connections to targets.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Engines dispatches requests to engines over HTTP.
type Engines struct {
	client *http.Client
}

// NewEngines returns a dispatcher that connects through dial.
func NewEngines(dial Dialer) *Engines {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Engines{client: &http.Client{Transport: transport}}
}

// Open implements serving.Engines.
func (e *Engines) Open(ctx context.Context, t *target.Target, req serving.EngineRequest) (serving.ChunkStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	httpReq, err := e.newRequest(httptrace.WithClientTrace(ctx, trace), t, req)
	if err != nil {
		cancel()
		return nil, &serving.DialError{Err: err}
	}
	resp, err := e.do(httpReq, cancel, req.Call.Route.FirstTokenTimeout())
	if err != nil {
		cancel()
		if !connected {
			return nil, &serving.DialError{Err: err}
		}
		return nil, err
	}
	return newStream(resp, cancel), nil
}

// do sends the request and waits for the response header within limit, so
// that a silent connection cannot hold the request.
func (e *Engines) do(req *http.Request, cancel context.CancelFunc, limit time.Duration) (*http.Response, error) {
	timer := time.AfterFunc(limit, cancel)
	resp, err := e.client.Do(req)
	if !timer.Stop() {
		if err == nil {
			resp.Body.Close()
		}
		return nil, ErrStalled
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return resp, nil
}

// StatusError is an answer of a target with an error status.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Message is the start of the body.
	Message string
}

// Error returns status and message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered with status %d: %s", e.Status, e.Message)
}

func statusError(resp *http.Response) error {
	const maxMessageBytes = 512
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return &StatusError{Status: resp.StatusCode, Message: string(body)}
}

func (e *Engines) newRequest(ctx context.Context, t *target.Target, req serving.EngineRequest) (*http.Request, error) {
	body := req.Call.Body
	if req.ResumeOffset > 0 {
		var err error
		body, err = withResume(body, req.ResumeOffset, req.ResumeText)
		if err != nil {
			return nil, err
		}
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+req.Call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(HeaderRequestID, req.Call.ID)
	httpReq.Header.Set(HeaderPriority, strconv.Itoa(req.Priority))
	setPrefixHeaders(httpReq.Header, req.Prefix)
	if req.ResumeOffset > 0 {
		httpReq.Header.Set(HeaderResumeOffset, strconv.Itoa(req.ResumeOffset))
	}
	return httpReq, nil
}

// Resume is the extension field of a request that continues a stream.
type Resume struct {
	// Offset is the number of tokens already delivered.
	Offset int `json:"offset"`
	// Text is the text of those tokens.
	Text string `json:"text"`
}

func withResume(body []byte, offset int, text string) ([]byte, error) {
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

// stream reads server-sent events of one response. The id field of an event
// is "request;incarnation;offset;tokens".
type stream struct {
	resp     *http.Response
	cancel   context.CancelFunc
	reader   *bufio.Reader
	cached   int
	finished bool
}

func newStream(resp *http.Response, cancel context.CancelFunc) *stream {
	cached, _ := strconv.Atoi(resp.Header.Get(HeaderCachedTokens))
	return &stream{resp: resp, cancel: cancel, reader: bufio.NewReader(resp.Body), cached: cached}
}

// Next implements serving.ChunkStream. A timer per event closes the
// connection if the event does not come in time.
func (s *stream) Next(limit time.Duration) (serving.Chunk, error) {
	timer := time.AfterFunc(limit, s.cancel)
	chunk, err := s.readEvent()
	if !timer.Stop() {
		return serving.Chunk{}, ErrStalled
	}
	if err != nil {
		return serving.Chunk{}, err
	}
	chunk.CachedTokens = s.cached
	s.finished = chunk.Done
	return chunk, nil
}

// Close implements serving.ChunkStream.
func (s *stream) Close() {
	if s.finished {
		// Reads the end of the body, so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, s.resp.Body, 1)
	}
	s.cancel()
	s.resp.Body.Close()
}

func (s *stream) readEvent() (serving.Chunk, error) {
	var chunk serving.Chunk
	for {
		line, err := s.readLine()
		if err != nil {
			return chunk, err
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			if err := parseEventID(value, &chunk); err != nil {
				return chunk, err
			}
		case "data":
			chunk.Data = []byte(value)
		case "":
			if line == "" && chunk.Data != nil {
				return finishChunk(chunk)
			}
		}
	}
}

func (s *stream) readLine() (string, error) {
	var line []byte
	for {
		part, more, err := s.reader.ReadLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		line = append(line, part...)
		if len(line) > maxEventLineBytes {
			return "", fmt.Errorf("event line is longer than %d bytes", maxEventLineBytes)
		}
		if !more {
			return string(line), nil
		}
	}
}

func parseEventID(id string, chunk *serving.Chunk) error {
	parts := strings.Split(id, ";")
	if len(parts) != 4 {
		return fmt.Errorf("event id %q does not have 4 parts", id)
	}
	incarnation, err1 := strconv.ParseUint(parts[1], 10, 64)
	offset, err2 := strconv.Atoi(parts[2])
	tokens, err3 := strconv.Atoi(parts[3])
	if err := errors.Join(err1, err2, err3); err != nil {
		return fmt.Errorf("event id %q: %w", id, err)
	}
	if offset < 0 || tokens < 0 {
		return fmt.Errorf("event id %q has a negative count", id)
	}
	chunk.RequestID = parts[0]
	chunk.Incarnation = incarnation
	chunk.Offset = offset
	chunk.Tokens = tokens
	return nil
}

// completionEvent is the part of an OpenAI stream event that the router reads.
type completionEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func finishChunk(chunk serving.Chunk) (serving.Chunk, error) {
	if string(chunk.Data) == "[DONE]" {
		chunk.Done = true
		return chunk, nil
	}
	var event completionEvent
	if err := json.Unmarshal(chunk.Data, &event); err != nil {
		return chunk, fmt.Errorf("decode stream event: %w", err)
	}
	for _, c := range event.Choices {
		chunk.Text += c.Text + c.Delta.Content
		if c.FinishReason != nil {
			chunk.Finish = true
		}
	}
	return chunk, nil
}
