// Package standin simulates the systems that cuminwing routes to: model
// engines, KV stores and plain services. The demo, the load tool and the tests
// use it, so that they need no other software.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// EngineOptions configures a simulated engine.
type EngineOptions struct {
	// ID, Zone, Region, Model and Version are sent in announcements.
	ID, Zone, Region, Model, Version string
	// AnnounceURLs lists the base URLs of the target listeners of VMs. Each
	// announcement goes to the first one that accepts it.
	AnnounceURLs []string
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// BatchSlots limits the number of concurrent requests; zero means no limit.
	BatchSlots int
	// StartDelay is the time between prefill and the first token.
	StartDelay time.Duration
	// HTTP2 announces support for HTTP/2.
	HTTP2 bool
	// Cache configures the prefix cache.
	Cache CacheOptions
	// OrderHandling configures how the engine handles orders to load weights.
	OrderHandling OrderOptions
	// Admission configures which requests the engine refuses.
	Admission AdmissionOptions
}

// Engine is a simulated model engine. Its responses depend on the request only,
// so that any engine of the same version can resume a stream.
type Engine struct {
	options     EngineOptions
	incarnation uint64
	sequence    atomic.Uint64
	running     atomic.Int64
	listener    net.Listener
	server      *http.Server
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	leaving     atomic.Bool
	blackhole   *BlackholeListener
	faults      faultInjector
	kv          *kvEngine
	orders      *orderState
}

// StartEngine starts an engine that listens on address and announces itself
// until it is closed.
func StartEngine(address string, options EngineOptions) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		options:     options,
		incarnation: uint64(time.Now().UnixMicro()),
		listener:    listener,
		cancel:      cancel,
		blackhole:   NewBlackholeListener(listener),
		orders:      newOrderState(options.OrderHandling),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.serveCancel)
	mux.HandleFunc("POST "+targethttp.OrderPath, e.orders.serveOrder)
	e.kv = newKVEngine(e.incarnation, options)
	e.kv.register(mux)
	e.server = &http.Server{Handler: mux, Protocols: supportedProtocols()}
	e.goroutines.Go(func() { _ = e.server.Serve(e.blackhole) })
	e.goroutines.Go(func() { e.announceLoop(ctx) })
	return e, nil
}

// URL returns the base URL at which the engine serves.
func (e *Engine) URL() string { return "http://" + e.listener.Addr().String() }

// AnnounceLeaving sets the leaving flag in announcements: the engine accepts no
// new requests.
func (e *Engine) AnnounceLeaving() { e.leaving.Store(true) }

// Close stops the engine immediately and closes its open streams.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close()
	e.blackhole.CloseConnections()
	e.goroutines.Wait()
}

func (e *Engine) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(target.HeartbeatInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: target.HeartbeatInterval}
	for {
		for _, base := range e.options.AnnounceURLs {
			if sendAnnouncement(ctx, client, base, e.announcement()) == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Engine) announcement() target.Announcement {
	o := e.options
	a := target.Announcement{
		ID:           o.ID,
		Incarnation:  e.incarnation,
		Sequence:     e.sequence.Add(1),
		Kind:         o.Cache.kind(),
		Zone:         o.Zone,
		Region:       o.Region,
		URL:          e.URL(),
		Model:        o.Model,
		Version:      o.Version,
		Role:         "mixed",
		BatchSlots:   o.BatchSlots,
		CacheBlocks:  o.Cache.CapacityBlocks,
		Capabilities: target.Capabilities{Resume: true, Priority: true, KV: o.Cache.CapacityBlocks > 0, HTTP2: o.HTTP2},
		Load:         e.kv.load.report(),
		Leaving:      e.leaving.Load(),
	}
	e.orders.fillAnnouncement(&a)
	return a
}

type engineRequest struct {
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Messages            json.RawMessage    `json:"messages"`
	Prompt              json.RawMessage    `json:"prompt"`
	Resume              *targethttp.Resume `json:"resume"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

const defaultMaxTokens = 32

func (r *engineRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxTokens
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	var req engineRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, end := e.faults.track(r)
	defer end()
	if e.faults.writeErrorStatus(w) {
		return
	}
	if e.options.Admission.writeAdmission(w, &e.leaving) {
		return
	}
	release, cached, ok := e.kv.admit(r, len(req.Messages)+len(req.Prompt))
	if !ok {
		return
	}
	defer release()
	w.Header().Set(targethttp.HeaderCachedTokens, strconv.Itoa(cached))
	start := 0
	if req.Resume != nil {
		start = req.Resume.Offset
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := eventWriter{
		promptTokens: (len(req.Messages) + len(req.Prompt) + prefix.BytesPerToken - 1) / prefix.BytesPerToken,
		w:            w,
		flusher:      http.NewResponseController(w),
		requestID:    r.Header.Get(targethttp.HeaderRequestID),
		incarnation:  e.incarnation,
		chat:         r.URL.Path == "/v1/chat/completions",
		model:        e.options.Model,
	}
	seed := promptSeed(req)
	total := req.maxTokens()
	if !pause.For(ctx, e.options.StartDelay) {
		return
	}
	start = e.faults.shiftResume(start)
	for i := start; i < total; i++ {
		if !e.faults.injectBeforeToken(ctx, &out, i-start) {
			return
		}
		if out.token(i, ResponseToken(seed, i)) != nil || !pause.For(ctx, e.options.TokenInterval) {
			return
		}
	}
	out.finish(total)
	if req.StreamOptions.IncludeUsage {
		out.usage(total)
	}
	out.done()
}

func promptSeed(req engineRequest) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(req.Messages)
	_, _ = h.Write(req.Prompt)
	return h.Sum64()
}

// ExpectedResponse returns the complete text that every engine generates for the
// messages of a chat request.
func ExpectedResponse(messages []byte, tokens int) string {
	seed := promptSeed(engineRequest{Messages: messages})
	var text strings.Builder
	for i := range tokens {
		text.WriteString(ResponseToken(seed, i))
	}
	return text.String()
}

// ResponseToken returns token i of the response to the prompt with the given
// seed.
func ResponseToken(seed uint64, i int) string {
	return "w" + strconv.FormatUint((seed+uint64(i)*2654435761)%9973, 10) + " "
}

// eventWriter writes the events of one response stream.
type eventWriter struct {
	// promptTokens is the prompt length reported in the usage event.
	promptTokens int
	w            http.ResponseWriter
	flusher      *http.ResponseController
	requestID    string
	incarnation  uint64
	chat         bool
	model        string
}

func (o *eventWriter) token(offset int, text string) error {
	return o.event(offset, 1, text, nil)
}

func (o *eventWriter) finish(offset int) {
	reason := "stop"
	_ = o.event(offset, 0, "", &reason)
}

func (o *eventWriter) done() {
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	_ = o.flusher.Flush()
}

func (o *eventWriter) event(offset, tokens int, text string, reason *string) error {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}
	event := struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{ID: "chatcmpl-" + o.requestID, Object: "chat.completion.chunk", Created: 1, Model: o.model}
	c := choice{FinishReason: reason}
	if o.chat {
		c.Delta = &delta{Content: text}
	} else {
		event.Object = "text_completion"
		c.Text = &text
	}
	event.Choices = []choice{c}
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.w, "id: %s;%d;%d;%d\ndata: %s\n\n", o.requestID, o.incarnation, offset, tokens, data)
	if err != nil {
		return err
	}
	return o.flusher.Flush()
}
