package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Result is the outcome of one request.
type Result struct {
	Request Request
	// Status is the HTTP status, zero if there was no response.
	Status int
	// Code is the error code of an error response or of an error event in the
	// stream.
	Code string
	// RunState is the value of the Cuminwing-Run header of an error response.
	// It says whether the request was executed.
	RunState string
	// FirstToken and Total are the times from sending the request to the first
	// token and to the end of the response.
	FirstToken time.Duration
	Total      time.Duration
	// SentOffset is when the request was sent, relative to the start of the
	// run.
	SentOffset time.Duration
	// Tokens is the number of token events.
	Tokens int
	// Violation describes the guarantee that the response violated; empty if
	// none.
	Violation string
}

// Caller sends requests to the VMs and checks the responses.
type Caller struct {
	// Client sends the HTTP requests.
	Client *http.Client
	// URLs are the base URLs of the VMs' caller listeners.
	URLs []string
	// ExpectedText returns the complete text that the engine must generate for
	// the messages and the number of tokens.
	ExpectedText func(messages []byte, tokens int) string
}

// SendRequest sends one model request and checks the response.
func (c *Caller) SendRequest(ctx context.Context, p *Profile, r Request) Result {
	result := Result{Request: r}
	m := p.Models[r.Model]
	messages, _ := json.Marshal([]map[string]string{{"role": "user", "content": r.Prompt}})
	body, _ := json.Marshal(map[string]any{
		"model": m.Name, "stream": true, "max_tokens": m.AnswerTokens, "messages": json.RawMessage(messages),
	})
	url := c.URLs[r.VMSelector%uint64(len(c.URLs))] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		result.Code = err.Error()
		return result
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+p.Workspaces[r.Workspace].Key)
	start := time.Now()
	resp, err := c.Client.Do(req)
	if err != nil {
		result.Code = "no_answer"
		return result
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		result.RunState = resp.Header.Get("Cuminwing-Run")
		result.Code = errorCode(resp)
		return result
	}
	stream := readStream(resp, start, &result)
	result.Total = time.Since(start)
	result.Violation = stream.check(c.ExpectedText(messages, m.AnswerTokens))
	result.Code = stream.errorCode
	return result
}

func errorCode(resp *http.Response) string {
	var e errorBody
	if json.NewDecoder(resp.Body).Decode(&e) != nil {
		return "unreadable"
	}
	return e.Error.Code
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// receivedStream accumulates a response stream as the caller received it.
type receivedStream struct {
	text         strings.Builder
	finishReason string
	doneMarkers  int
	errorCode    string
}

type streamEvent struct {
	errorBody
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

const maxEventBytes = 1 << 20

func readStream(resp *http.Response, start time.Time, result *Result) *receivedStream {
	s := &receivedStream{}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.doneMarkers++
			continue
		}
		s.addEvent(data, start, result)
	}
	return s
}

func (s *receivedStream) addEvent(data string, start time.Time, result *Result) {
	var event streamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		s.errorCode = "unreadable"
		return
	}
	if event.Error.Code != "" {
		s.errorCode = event.Error.Code
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			if result.Tokens == 0 {
				result.FirstToken = time.Since(start)
			}
			result.Tokens++
		}
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.finishReason = *choice.FinishReason
		}
	}
}

// check returns the violated guarantee, or an empty string. A stream that ends
// with an error event is a failed response, which violates no guarantee.
func (s *receivedStream) check(want string) string {
	got := s.text.String()
	if s.errorCode != "" {
		if s.doneMarkers > 0 {
			return "a failed stream ends with [DONE]"
		}
		if !strings.HasPrefix(want, got) {
			return "a failed stream has text that is not a prefix of the expected text"
		}
		return ""
	}
	if s.doneMarkers != 1 || s.finishReason == "" {
		return fmt.Sprintf("a stream without error has %d [DONE] markers and finish reason %q", s.doneMarkers, s.finishReason)
	}
	if got != want {
		return fmt.Sprintf("a complete stream has %d bytes of text that differ from the expected %d bytes", len(got), len(want))
	}
	return ""
}
