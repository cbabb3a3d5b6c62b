// Package callerhttp serves the OpenAI-compatible HTTP API for callers and
// forwards calls to plain services.
package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// HeaderRunState is the response header that says whether a refused request ran
// at a target.
const HeaderRunState = "Cuminwing-Run"

// HeaderIdempotencyKey is the request header by which callers identify resends
// of the same request.
const HeaderIdempotencyKey = "Idempotency-Key"

// KeyValidator decides whether a key is currently valid.
type KeyValidator interface {
	// Usable reports whether workspace may currently use the key with hash h.
	Usable(h apikeys.Hash, workspace config.Workspace) bool
	// Watch returns a context that is canceled when the key is withdrawn.
	Watch(ctx context.Context, h apikeys.Hash) (context.Context, context.CancelFunc)
}

// Server handles HTTP requests from callers.
type Server struct {
	// Snapshot returns the current configuration, or nil if none has been
	// received yet.
	Snapshot func() *config.Snapshot
	// Keys decides whether a key is still valid or has been withdrawn.
	Keys KeyValidator
	// Serving runs admitted requests.
	Serving *serving.Service
	// Ready reports whether this VM accepts new requests.
	Ready func() bool
	// Clock returns the current time.
	Clock serving.Clock
	// Bodies is the memory for the bodies of requests and responses, and Heads that for the
	// heads whose connections are not charged for them. Nil is no limit.
	Bodies, Heads Memory

	activeRequests atomic.Int64
	// refusedStreams counts the streams that are being refused because no memory is free.
	refusedStreams atomic.Int64
	concurrency    concurrencyLimiter
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /v1/models", s.withCommonChecks(s.serveModels))
	mux.HandleFunc("POST /v1/chat/completions", s.withCommonChecks(s.serveCompletions))
	mux.HandleFunc("POST /v1/completions", s.withCommonChecks(s.serveCompletions))
	services := s.withCommonChecks(s.serveService)
	return s.chargeStreams(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Handlers that read the body set a limit of their own.
		limitUnreadBody(w)
		// ServeMux redirects paths that are not in canonical form, which would
		// alter service calls. Pass it only the router's own endpoints.
		if isServicePath(r.URL.Path) {
			services(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// isServicePath reports whether path is not one of the router's own endpoints.
func isServicePath(path string) bool {
	switch path {
	case "/healthz", "/readyz", "/v1/models", "/v1/chat/completions", "/v1/completions":
		return false
	}
	return true
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() && s.Snapshot() != nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// snapshotHandler serves one request with a single configuration snapshot.
type snapshotHandler func(w http.ResponseWriter, r *http.Request, snap *config.Snapshot)

// withCommonChecks counts the request as active and applies the checks that all
// requests have in common.
func (s *Server) withCommonChecks(next snapshotHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count := s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		snap := s.Snapshot()
		if snap == nil {
			writeRefusal(w, errNotReady)
			return
		}
		if refusal := checkLimits(r, snap, count); refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		release, ok := s.reserveHead(r)
		if !ok {
			writeRefusal(w, errNoMemory)
			return
		}
		defer release()
		next(w, r, snap)
	}
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
	id, refusal := s.authenticate(r, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for name := range snap.Document.Models {
		if _, route, ok := snap.ModelRoute(name); ok && workspaceAllowed(route, id.workspace) {
			list = append(list, model{ID: name, Object: "model", OwnedBy: "cuminwing"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

var errNotReady = newRefusal(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet")

func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
	id, refusal := s.authenticate(r, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	release, refusal := s.concurrency.acquire(id.workspace, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer release()
	body := s.newChargedBody()
	defer body.release()
	call, stream, refusal := s.decodeCompletion(w, r, snap, id, body)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	ctx, cancel := s.watchKey(r.Context(), id)
	defer cancel()
	if stream {
		s.serveStream(ctx, w, call)
		return
	}
	s.serveNonStreaming(ctx, w, call, body)
}

// watchKey returns a context that is canceled with the cause
// serving.ErrKeyWithdrawn when the caller's key is withdrawn.
func (s *Server) watchKey(ctx context.Context, id identity) (context.Context, context.CancelFunc) {
	if id.workspace == "" {
		return context.WithCancel(ctx)
	}
	watched, release := s.Keys.Watch(ctx, id.keyHash)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(watched, func() { cancel(serving.ErrKeyWithdrawn) })
	return ctx, func() {
		stop()
		cancel(nil)
		release()
	}
}
