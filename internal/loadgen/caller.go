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

// Result is what one request came to.
type Result struct {
	Request Request
	// Status is the HTTP status, zero if there was no answer.
	Status int
	// Code is the error code of a refusal or of an error event.
	Code string
	// Run is the stated run state of a refusal.
	Run string
	// FirstToken and Total are times from sending.
	FirstToken time.Duration
	Total      time.Duration
	// Started is when it was sent, counted from the start.
	Started time.Duration
	// Tokens is the number of token events.
	Tokens int
	// Broken says which promise the answer broke; empty if none.
	Broken string
}

// Caller sends requests to the VMs.
type Caller struct {
	// Client sends them.
	Client *http.Client
	// URLs are the callers' addresses of the VMs.
	URLs []string
	// Expect returns the whole text that the engine must answer.
	Expect func(messages []byte, tokens int) string
}

// Complete sends one request and checks the answer.
func (c *Caller) Complete(ctx context.Context, p *Profile, r Request) Result {
	result := Result{Request: r}
	m := p.Models[r.Model]
	messages, _ := json.Marshal([]map[string]string{{"role": "user", "content": r.Prompt}})
	body, _ := json.Marshal(map[string]any{
		"model": m.Name, "stream": true, "max_tokens": m.AnswerTokens, "messages": json.RawMessage(messages),
	})
	url := c.URLs[r.VM%uint64(len(c.URLs))] + "/v1/chat/completions"
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
		result.Run = resp.Header.Get("Cuminwing-Run")
		result.Code = errorCode(resp)
		return result
	}
	answer := readStream(resp, start, &result)
	result.Total = time.Since(start)
	result.Broken = answer.check(c.Expect(messages, m.AnswerTokens))
	result.Code = answer.code
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

// streamed is a stream as the caller saw it.
type streamed struct {
	text   strings.Builder
	finish string
	done   int
	code   string
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

func readStream(resp *http.Response, start time.Time, result *Result) *streamed {
	s := &streamed{}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done++
			continue
		}
		s.add(data, start, result)
	}
	return s
}

func (s *streamed) add(data string, start time.Time, result *Result) {
	var event streamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		s.code = "unreadable"
		return
	}
	if event.Error.Code != "" {
		s.code = event.Error.Code
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
			s.finish = *choice.FinishReason
		}
	}
}

// check returns the broken promise. A stream with an error event is a failed
// answer, not a broken promise.
func (s *streamed) check(want string) string {
	got := s.text.String()
	if s.code != "" {
		if s.done > 0 {
			return "a failed stream ends with [DONE]"
		}
		if !strings.HasPrefix(want, got) {
			return "a failed stream has text of another answer"
		}
		return ""
	}
	if s.done != 1 || s.finish == "" {
		return fmt.Sprintf("a stream without error has %d [DONE] and finish reason %q", s.done, s.finish)
	}
	if got != want {
		return fmt.Sprintf("a whole stream has %d bytes of text that differ from the %d expected", len(got), len(want))
	}
	return ""
}
