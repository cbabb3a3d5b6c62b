// Package callerhttp serves callers over an OpenAI-compatible HTTP interface.
package callerhttp

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

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
	// Serving runs model requests.
	Serving *serving.Service
	// Ready reports whether the VM takes new requests.
	Ready func() bool
	// Clock returns the current time.
	Clock serving.Clock

	active atomic.Int64
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/chat/completions", s.completions)
	mux.HandleFunc("POST /v1/completions", s.completions)
	return mux
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

// identity is an authenticated caller.
type identity struct {
	workspace string
	hash      keys.Hash
}

func (s *Server) authenticate(r *http.Request, snap *config.Snapshot) (identity, *serving.Refusal) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return identity{}, refuse(http.StatusUnauthorized, "missing_key", "an Authorization header with a bearer key is required")
	}
	hash := keys.Sum(strings.TrimSpace(key))
	owner, ok := snap.Owner(hash)
	if !ok || !s.Keys.Usable(hash, snap.Document.Workspaces[owner.Workspace]) {
		return identity{}, refuse(http.StatusUnauthorized, "invalid_key", "the key is not valid")
	}
	return identity{workspace: owner.Workspace, hash: hash}, nil
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	snap := s.Snapshot()
	if snap == nil {
		writeRefusal(w, errNotReady)
		return
	}
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

// completionRequest is the part of a completion request that the router reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Adapter             string          `json:"adapter"`
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	snap := s.Snapshot()
	if snap == nil {
		writeRefusal(w, errNotReady)
		return
	}
	id, refusal := s.authenticate(r, snap)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	call, stream, refusal := s.decode(w, r, snap, id)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	ctx, cancel := s.Keys.Watch(r.Context(), id.hash)
	defer cancel()
	if stream {
		s.serveStream(ctx, w, call)
		return
	}
	s.serveWhole(ctx, w, call)
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, snap *config.Snapshot, id identity) (*serving.Call, bool, *serving.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, snap.Document.Limits.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, false, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit")
		}
		return nil, false, refuse(http.StatusBadRequest, "bad_body", "the body could not be read")
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, false, refuse(http.StatusBadRequest, "bad_json", "the body is not a valid completion request: "+err.Error())
	}
	routeName, route, ok := snap.ModelRoute(req.Model)
	if !ok || !allowed(route, id.workspace) {
		return nil, false, refuse(http.StatusNotFound, "model_not_found", "the model does not exist or is not open to this workspace")
	}
	engineBody, err := engineBody(body)
	if err != nil {
		return nil, false, refuse(http.StatusBadRequest, "bad_json", err.Error())
	}
	now := s.Clock()
	call := &serving.Call{
		ID:             newRequestID(),
		Workspace:      id.workspace,
		KeyHash:        id.hash,
		RouteName:      routeName,
		Route:          route,
		Snapshot:       snap,
		Path:           r.URL.Path,
		Body:           engineBody,
		Model:          req.Model,
		Version:        snap.Document.Models[req.Model].ServingVersion,
		Adapter:        req.Adapter,
		Prompt:         promptText(req),
		MaxTokens:      maxTokens(req, snap.Document.Limits),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Received:       now,
		Deadline:       now.Add(route.Timeout()),
	}
	call.PromptTokens = estimateTokens(call.Prompt)
	if call.PromptTokens > snap.Document.Limits.MaxPromptTokens {
		return nil, false, refuse(http.StatusBadRequest, "prompt_too_long", "the prompt exceeds the limit")
	}
	return call, req.Stream, nil
}

// engineBody turns streaming on: the router always streams from engines, so
// that whole answers can be resumed too.
func engineBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// bytesPerToken is the usual ratio for English and German text; the estimate
// is replaced by the actual count once the answer is known.
const bytesPerToken = 4

func estimateTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

func promptText(req completionRequest) string {
	if len(req.Messages) > 0 {
		return string(req.Messages)
	}
	return string(req.Prompt)
}

func maxTokens(req completionRequest, limits config.Limits) int {
	if req.MaxCompletionTokens > 0 {
		return req.MaxCompletionTokens
	}
	if req.MaxTokens > 0 {
		return req.MaxTokens
	}
	return limits.DefaultMaxTokens
}

func allowed(route config.Route, workspace string) bool {
	if len(route.Workspaces) == 0 {
		return true
	}
	for _, w := range route.Workspaces {
		if w == workspace {
			return true
		}
	}
	return false
}

const requestIDBytes = 16

func newRequestID() string {
	var buf [requestIDBytes]byte
	_, _ = rand.Read(buf[:])
	return hex.EncodeToString(buf[:])
}

func refuse(status int, code, message string) *serving.Refusal {
	return &serving.Refusal{Status: status, Code: code, Message: message, Run: serving.NotRun}
}

// retryAfterSeconds rounds up, because a resend that comes early is refused
// again.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
