package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/pause"
)

// EngineFaults configures fault injection in a simulated engine. The zero value
// injects none.
type EngineFaults struct {
	// Status fails requests with this HTTP status; zero is off.
	Status int
	// StallAfterTokens stalls the stream after this many tokens, with the
	// connection open; zero is off.
	StallAfterTokens int
	// TokenDelay is the time before each token, beside EngineOptions.TokenInterval.
	TokenDelay time.Duration
	// CloseAfterTokens closes the connection after this many tokens; zero is
	// off.
	CloseAfterTokens int
	// ForeignEvents inserts this many events of another request, and as many of
	// another incarnation, before each token.
	ForeignEvents int
	// RepeatTokens resumes a stream this many tokens too early, so that tokens
	// are repeated.
	RepeatTokens int
	// SkipTokens resumes a stream this many tokens too late, so that tokens are
	// missing.
	SkipTokens int
	// MaxRequests limits the faults to this many requests; zero means all.
	MaxRequests int
}

type faultInjector struct {
	mu               sync.Mutex
	configured       EngineFaults
	requestsSinceSet int
	cancels          map[string]context.CancelFunc
	started          int
	cancelled        int
}

// SetFaults replaces the injected faults. Running streams use the new faults
// from their next token on.
func (e *Engine) SetFaults(f EngineFaults) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.configured = f
	e.faults.requestsSinceSet = 0
}

// BlackholeConnections blackholes the open connections, as a middlebox does
// that lost their state, and returns their number.
func (e *Engine) BlackholeConnections() int { return e.blackhole.Blackhole() }

// Restart simulates a crash: it closes the engine and starts a new one with an
// empty cache, the same address and a higher incarnation.
func (e *Engine) Restart() (*Engine, error) {
	e.Close()
	return StartEngine(e.listener.Addr().String(), e.options)
}

// RequestCount returns the number of requests that reached the engine.
func (e *Engine) RequestCount() int { return e.faults.readCounter(&e.faults.started) }

// CancelledCount returns the number of requests that were canceled, or whose
// caller disconnected, before the response was complete.
func (e *Engine) CancelledCount() int { return e.faults.readCounter(&e.faults.cancelled) }

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int { return int(e.running.Load()) }

func (f *faultInjector) readCounter(n *int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *n
}

// active returns the faults to inject at this moment.
func (f *faultInjector) active() EngineFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configured.MaxRequests > 0 && f.requestsSinceSet > f.configured.MaxRequests {
		return EngineFaults{}
	}
	return f.configured
}

// track registers a request so that a cancel request can look it up. The caller
// must call the returned function when the request ends.
func (f *faultInjector) track(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	key := r.Header.Get(targethttp.HeaderRequestID) + "/" + r.Header.Get(targethttp.HeaderAttempt)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancels == nil {
		f.cancels = make(map[string]context.CancelFunc)
	}
	f.cancels[key] = cancel
	f.started++
	f.requestsSinceSet++
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() != nil {
			f.cancelled++
		}
		delete(f.cancels, key)
		cancel()
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	if cancel, ok := e.faults.cancels[r.PathValue("id")+"/"+r.URL.Query().Get("attempt")]; ok {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeErrorStatus applies the Status fault. It reports whether it has written a
// response.
func (f *faultInjector) writeErrorStatus(w http.ResponseWriter) bool {
	status := f.active().Status
	if status == 0 {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"message":"injected fault","code":"status_%d"}}`, status)
	return true
}

// shiftResume applies the RepeatTokens and SkipTokens faults to the offset of a
// resumed stream.
func (f *faultInjector) shiftResume(start int) int {
	if start == 0 {
		return 0
	}
	faults := f.active()
	return max(0, start-faults.RepeatTokens) + faults.SkipTokens
}

// injectBeforeToken injects the faults due before a token, after sent tokens of
// this response. It reports false if the stream must end.
func (f *faultInjector) injectBeforeToken(ctx context.Context, out *eventWriter, sent int) bool {
	faults := f.active()
	if !pause.For(ctx, faults.TokenDelay) {
		return false
	}
	if faults.StallAfterTokens > 0 && sent >= faults.StallAfterTokens {
		<-ctx.Done()
		return false
	}
	if faults.CloseAfterTokens > 0 && sent >= faults.CloseAfterTokens {
		panic(http.ErrAbortHandler)
	}
	for range faults.ForeignEvents {
		other := *out
		other.requestID = "another-request"
		_ = other.token(sent, "wrong ")
		other = *out
		other.incarnation--
		_ = other.token(sent, "stale ")
	}
	return true
}

// usage writes the event with the token counts.
func (o *eventWriter) usage(completion int) {
	event := map[string]any{
		"id": "chatcmpl-" + o.requestID, "object": "chat.completion.chunk", "created": 1, "model": o.model,
		"choices": []any{},
		"usage":   map[string]int{"prompt_tokens": o.promptTokens, "completion_tokens": completion, "total_tokens": o.promptTokens + completion},
	}
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(o.w, "id: %s;%d;%d;0\ndata: %s\n\n", o.requestID, o.incarnation, completion, data)
}

// supportedProtocols enables HTTP/1.1 and unencrypted HTTP/2.
func supportedProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
