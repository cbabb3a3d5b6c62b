// Package callerhttp serves callers over an OpenAI-compatible HTTP interface
// and passes calls of plain services through.
package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// HeaderRun says whether a refused request ran.
const HeaderRun = "Cuminwing-Run"

// HeaderIdempotencyKey lets callers mark resends of the same request.
const HeaderIdempotencyKey = "Idempotency-Key"

// KeyCheck decides whether a key may be used now.
type KeyCheck interface {
	// Usable reports whether the key with hash h may be used by workspace.
	Usable(h keys.Hash, workspace config.Workspace) bool
	// Watch returns a context that ends when the key is withdrawn.
	Watch(ctx context.Context, h keys.Hash) (context.Context, context.CancelFunc)
}

// Server handles callers' requests.
type Server struct {
	// Snapshot returns the configuration in force; nil before there is one.
	Snapshot func() *config.Snapshot
	// Keys decides about withdrawn keys.
	Keys KeyCheck
	// Serving runs requests.
	Serving *serving.Service
	// Ready reports whether the VM takes new requests.
	Ready func() bool
	// Clock returns the current time.
	Clock serving.Clock

	active  atomic.Int64
	running running
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/models", s.counted(s.models))
	mux.HandleFunc("POST /v1/chat/completions", s.counted(s.completions))
	mux.HandleFunc("POST /v1/completions", s.counted(s.completions))
	services := s.counted(s.service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The mux redirects paths that it holds unclean, which would change
		// calls of services, so that it only gets the paths it knows.
		if isService(r.URL.Path) {
			services(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// isService reports whether path is outside the router's own endpoints.
func isService(path string) bool {
	switch path {
	case "/healthz", "/readyz", "/v1/models", "/v1/chat/completions", "/v1/completions":
		return false
	}
	return true
}

// Active returns the number of running requests.
func (s *Server) Active() int64 { return s.active.Load() }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() && s.Snapshot() != nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handler serves one request under one snapshot.
type handler func(w http.ResponseWriter, r *http.Request, snap *config.Snapshot)

// counted wraps the checks that all requests share.
func (s *Server) counted(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count := s.active.Add(1)
		defer s.active.Add(-1)
		if !s.Ready() {
			// Asks callers that keep their connection to open another one,
			// which the load balancer places on a VM that stays.
			w.Header().Set("Connection", "close")
		}
		snap := s.Snapshot()
		if snap == nil {
			writeRefusal(w, errNotReady)
			return
		}
		if refusal := checkLimits(r, snap, count); refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		next(w, r, snap)
	}
}

func (s *Server) models(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
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
		if _, route, ok := snap.ModelRoute(name); ok && allowed(route, id.workspace) {
			list = append(list, model{ID: name, Object: "model", OwnedBy: "cuminwing"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

var errNotReady = refuse(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet")

func (s *Server) completions(w http.ResponseWriter, r *http.Request, snap *config.Snapshot) {
	id, refusal := s.authenticate(r, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	release, refusal := s.running.enter(id.workspace, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer release()
	call, stream, refusal := s.decode(w, r, snap, id)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	ctx, cancel := s.watch(r.Context(), id)
	defer cancel()
	if stream {
		s.serveStream(ctx, w, call)
		return
	}
	s.serveWhole(ctx, w, call)
}

// watch returns a context that ends, with its cause, when the key is
// withdrawn.
func (s *Server) watch(ctx context.Context, id identity) (context.Context, context.CancelFunc) {
	if id.workspace == "" {
		return context.WithCancel(ctx)
	}
	watched, release := s.Keys.Watch(ctx, id.hash)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(watched, func() { cancel(serving.ErrKeyWithdrawn) })
	return ctx, func() {
		stop()
		cancel(nil)
		release()
	}
}
