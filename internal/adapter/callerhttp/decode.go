package callerhttp

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

const (
	// bodyReadTimeout limits how long a caller can take to send a body that is
	// read before dispatch.
	bodyReadTimeout = 30 * time.Second
	// maxChoices limits the number of choices that one request can ask for.
	maxChoices = 128
	// maxIdempotencyKeyBytes limits the memory per request at every voter,
	// because each of them stores the key.
	maxIdempotencyKeyBytes = 255
	// bytesPerToken is the usual ratio for English and German text. The
	// estimate based on it is replaced by the actual token count once the
	// response is complete.
	bytesPerToken = 4
)

// completionRequest holds the fields of a completion request that the router
// reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Adapter             string          `json:"adapter"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

var (
	errBodyTooLarge = newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit")
	errKeyInBody    = newRefusal(http.StatusBadRequest, "key_in_body", "the body contains the caller key, which must not reach a target")
)

// readBody reads the whole body, subject to the size limit and bodyReadTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, charged *chargedBody) ([]byte, *serving.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(charged.from(http.MaxBytesReader(w, r.Body, limit)))
	if err != nil {
		// The deadline stays: the server reads the rest of the body before it sends
		// the refusal.
		return nil, bodyRefusal(err)
	}
	// Clear the deadline: the server continues to read the connection to detect
	// that the caller has disconnected.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyRefusal maps an error from reading the body to the refusal sent to the
// caller.
func bodyRefusal(err error) *serving.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errBodyTooLarge
	case errors.Is(err, errMemoryInUse):
		return errNoMemory
	case errors.Is(err, errKeyInStream):
		return errKeyInBody
	}
	return newRefusal(http.StatusBadRequest, "bad_body", "the body could not be read")
}

// decodeCompletion reads and validates a completion request. The bool result
// reports whether the caller asked for a stream.
func (s *Server) decodeCompletion(w http.ResponseWriter, r *http.Request, snap *config.Snapshot, id identity, charged *chargedBody) (*serving.Call, bool, *serving.Refusal) {
	limits := snap.Document.Limits
	body, refusal := readBody(w, r, limits.MaxBodyBytes, charged)
	if refusal != nil {
		return nil, false, refusal
	}
	if newScrubber(snap, r).bodyContainsKey(body) {
		return nil, false, errKeyInBody
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, false, newRefusal(http.StatusBadRequest, "bad_json", "the body is not a valid completion request")
	}
	routeName, route, ok := snap.ModelRoute(req.Model)
	if !ok || !workspaceAllowed(route, id.workspace) {
		return nil, false, newRefusal(http.StatusNotFound, "model_not_found", "the model does not exist or is not open to this workspace")
	}
	if refusal := validateCompletion(r, req); refusal != nil {
		return nil, false, refusal
	}
	upstreamBody, err := engineBody(body)
	if err != nil {
		return nil, false, newRefusal(http.StatusBadRequest, "bad_json", "the body is not a JSON object")
	}
	call := s.newCall(r, snap, id, routeName, route)
	call.Body = upstreamBody
	call.BodyHash = hashRequest(r.Method, r.URL.Path, body)
	call.Path = r.URL.Path
	call.Model = req.Model
	call.Version = snap.Document.Models[req.Model].ServingVersion
	call.Adapter = req.Adapter
	call.Prompt = promptText(req)
	call.PromptTokens = (len(call.Prompt) + bytesPerToken - 1) / bytesPerToken
	call.MaxTokens = maxTokens(req, limits)
	call.Choices = choiceCount(req)
	call.IncludeUsage = req.StreamOptions.IncludeUsage
	if call.PromptTokens > limits.MaxPromptTokens {
		return nil, false, newRefusal(http.StatusBadRequest, "prompt_too_long", "the prompt exceeds the limit")
	}
	return call, req.Stream, nil
}

// newCall sets the fields that model requests and service calls have in common.
func (s *Server) newCall(r *http.Request, snap *config.Snapshot, id identity, routeName string, route config.Route) *serving.Call {
	now := s.Clock()
	return &serving.Call{
		ID:             newRequestID(),
		Workspace:      id.workspace,
		KeyHash:        id.keyHash,
		RouteName:      routeName,
		Route:          route,
		Snapshot:       snap,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Received:       now,
		Deadline:       now.Add(route.Timeout()),
	}
}

func validateCompletion(r *http.Request, req completionRequest) *serving.Refusal {
	if refusal := validateIdempotencyKey(r); refusal != nil {
		return refusal
	}
	if req.N < 0 || req.N > maxChoices {
		return newRefusal(http.StatusBadRequest, "bad_n", "n is out of range")
	}
	if req.MaxTokens < 0 || req.MaxCompletionTokens < 0 {
		return newRefusal(http.StatusBadRequest, "bad_max_tokens", "the number of tokens must not be negative")
	}
	return nil
}

func validateIdempotencyKey(r *http.Request) *serving.Refusal {
	if len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		return newRefusal(http.StatusBadRequest, "bad_idempotency_key", "the idempotency key is too long")
	}
	return nil
}

func hashRequest(method, uri string, body []byte) [sha256.Size]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+uri+"\n")
	_, _ = h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// engineBody returns body with streaming and token usage reports enabled. The
// router always streams from engines, so that non-streaming responses can be
// resumed too, and bills the tokens counted by the engine.
func engineBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	var options map[string]json.RawMessage
	if raw, ok := fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, err
		}
	}
	if options == nil {
		options = make(map[string]json.RawMessage)
	}
	options["include_usage"] = json.RawMessage("true")
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = encodeObject(options)
	return encodeObject(fields), nil
}

// encodeObject encodes a JSON object without scanning its values. json.Marshal
// would scan them again, including the whole prompt.
func encodeObject(fields map[string]json.RawMessage) []byte {
	size := len("{}")
	for name, value := range fields {
		size += len(name) + len(value) + len(`"":,`)
	}
	out := append(make([]byte, 0, size), '{')
	for name, value := range fields {
		if len(out) > 1 {
			out = append(out, ',')
		}
		quoted, _ := json.Marshal(name)
		out = append(out, quoted...)
		out = append(out, ':')
		out = append(out, value...)
	}
	return append(out, '}')
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

// choiceCount returns how many choices the request asks for. If the prompt is a
// list of prompts, the engine generates n choices for each.
func choiceCount(req completionRequest) int {
	n := max(req.N, 1)
	var prompts []json.RawMessage
	if json.Unmarshal(req.Prompt, &prompts) != nil || len(prompts) == 0 {
		return n
	}
	if c := prompts[0][0]; c != '"' && c != '[' {
		// A list of token IDs is a single prompt.
		return n
	}
	return n * len(prompts)
}

const requestIDBytes = 16

func newRequestID() string {
	var buf [requestIDBytes]byte
	_, _ = rand.Read(buf[:])
	return hex.EncodeToString(buf[:])
}

func newRefusal(status int, code, message string) *serving.Refusal {
	return &serving.Refusal{Status: status, Code: code, Message: message, Run: serving.NotRun}
}

// retryAfterSeconds rounds up, because a retry that comes too early is rejected
// again.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
