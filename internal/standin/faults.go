package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
)

// Faults are the switches of a stand-in engine. The zero value has no fault.
type Faults struct {
	// Status answers requests with this status.
	Status int
	// StallAfter stops the stream after this many tokens; zero is off.
	StallAfter int
	// CutAfter closes the connection after this many tokens; zero is off.
	CutAfter int
	// Cross sends this many events of another request and of another
	// incarnation before each token.
	Cross int
	// Repeat starts a resumed stream this many tokens too early.
	Repeat int
	// Skip starts a resumed stream this many tokens too late.
	Skip int
	// Requests is how many requests the faults hit; zero means all.
	Requests int
}

type faults struct {
	mu        sync.Mutex
	set       Faults
	hits      int
	running   map[string]context.CancelFunc
	started   int
	cancelled int
}

// SetFaults replaces the faults for new requests and tokens.
func (e *Engine) SetFaults(f Faults) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.set = f
	e.faults.hits = 0
}

// Silence makes the open connections silent, as when a device on the way lost
// their state, and returns their count.
func (e *Engine) Silence() int { return e.gate.Silence() }

// Restart stops the engine as a crash does and starts it again with an empty
// cache, under the same address and a higher incarnation.
func (e *Engine) Restart() (*Engine, error) {
	e.Close()
	return StartEngine(e.listener.Addr().String(), e.options)
}

// Started returns the number of requests that reached the engine, Cancelled
// that of the requests that ended before their answer.
func (e *Engine) Started() int { return e.faults.read(&e.faults.started) }

// Cancelled returns the number of requests whose caller went away.
func (e *Engine) Cancelled() int { return e.faults.read(&e.faults.cancelled) }

// Running returns the number of requests in work.
func (e *Engine) Running() int { return int(e.running.Load()) }

func (f *faults) read(n *int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *n
}

// current returns the faults that hit a request now.
func (f *faults) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set.Requests > 0 && f.hits > f.set.Requests {
		return Faults{}
	}
	return f.set
}

// begin registers a request, so that a cancel message finds it.
func (f *faults) begin(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	name := r.Header.Get(targethttp.HeaderRequestID) + "/" + r.Header.Get(targethttp.HeaderAttempt)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = make(map[string]context.CancelFunc)
	}
	f.running[name] = cancel
	f.started++
	f.hits++
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() != nil {
			f.cancelled++
		}
		delete(f.running, name)
		cancel()
	}
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	if cancel, ok := e.faults.running[r.PathValue("id")+"/"+r.URL.Query().Get("attempt")]; ok {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *faults) refuse(w http.ResponseWriter) bool {
	status := f.current().Status
	if status == 0 {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"message":"stand-in fault","code":"status_%d"}}`, status)
	return true
}

// repeat moves the start of a resumed stream.
func (f *faults) repeat(start int) int {
	if start == 0 {
		return 0
	}
	set := f.current()
	return max(0, start-set.Repeat) + set.Skip
}

// beforeToken plays the faults due before a token. It reports false if the
// stream must end.
func (f *faults) beforeToken(ctx context.Context, out *eventWriter, sent int) bool {
	set := f.current()
	if set.StallAfter > 0 && sent >= set.StallAfter {
		<-ctx.Done()
		return false
	}
	if set.CutAfter > 0 && sent >= set.CutAfter {
		panic(http.ErrAbortHandler)
	}
	for range set.Cross {
		other := *out
		other.requestID = "another-request"
		_ = other.token(sent, "wrong ")
		other = *out
		other.incarnation--
		_ = other.token(sent, "stale ")
	}
	return true
}

// usage sends the event with the token counts.
func (o *eventWriter) usage(completion int) {
	event := map[string]any{
		"id": "chatcmpl-" + o.requestID, "object": "chat.completion.chunk", "created": 1, "model": o.model,
		"choices": []any{},
		"usage":   map[string]int{"prompt_tokens": o.promptTokens, "completion_tokens": completion, "total_tokens": o.promptTokens + completion},
	}
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(o.w, "id: %s;%d;%d;0\ndata: %s\n\n", o.requestID, o.incarnation, completion, data)
}

// standinProtocols lets targets be reached with HTTP/1.1 and HTTP/2.
func standinProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
