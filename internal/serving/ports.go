// Package serving runs the life cycle of one request: rate admission, queueing,
// the at-most-once claim, target selection, streaming with resume, billing and
// observation. It reaches all other components through the interfaces in this
// file and does no I/O of its own.
package serving

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Call is one authenticated and decoded request, either to a model or to a
// plain service.
type Call struct {
	// ID is unique across all VMs.
	ID string
	// Workspace owns the API key of the request.
	Workspace string
	// KeyHash is the hash of that key.
	KeyHash apikeys.Hash
	// RouteName and Route are the route from Snapshot.
	RouteName string
	Route     config.Route
	// Snapshot is the configuration used for the whole request.
	Snapshot *config.Snapshot
	// Path is the path at the engine, for example /v1/chat/completions.
	Path string
	// Body is the request body as sent to the engine.
	Body []byte
	// Model, Version and Adapter select the engines that can serve the request.
	Model   string
	Version string
	Adapter string
	// Prompt is the text whose prefixes are cached.
	Prompt string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens limits the tokens of each choice.
	MaxTokens int
	// Choices is the number of completions requested.
	Choices int
	// IncludeUsage is true if the caller wants an event with the token counts.
	IncludeUsage bool
	// IdempotencyKey is the caller's key for resends, or empty.
	IdempotencyKey string
	// BodyHash is the hash of the request as the caller sent it.
	BodyHash [32]byte
	// Received is when the request arrived.
	Received time.Time
	// Deadline is when the request must be finished.
	Deadline time.Time
}

// RunState says whether a request ran at a target.
type RunState string

// The run states. NotRun is reported only if no target can have started the
// request.
const (
	NotRun     RunState = "not-run"
	RunUnknown RunState = "unknown"
	Ran        RunState = "ran"
)

// Refusal is the result of a request that got no complete response.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is the machine-readable reason. It becomes the code of an OpenAI
	// error object.
	Code string
	// Message is the human-readable reason.
	Message string
	// Run says whether the request ran.
	Run RunState
	// RetryAfter is how long the caller should wait before a resend, or zero if
	// unknown.
	RetryAfter time.Duration
	// ContentType and Body are set if a target rejected the request as invalid
	// and its response is passed through.
	ContentType string
	Body        []byte
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Reservation holds tokens charged at admission.
type Reservation interface {
	// Settle replaces the estimate by the actual count and returns the
	// difference to the workspace. Calls after the first have no effect.
	Settle(actualTokens int64)
}

// Limiter admits requests by the fleet-wide token rate of their workspace.
type Limiter interface {
	// Admit charges tokens and waits up to maxWait for them.
	Admit(ctx context.Context, snapshot *config.Snapshot, workspace string, tokens int64, maxWait time.Duration) (Reservation, *Refusal)
}

// QueueRequest describes a request that waits for a group of targets.
type QueueRequest struct {
	// Group is the model or service.
	Group string
	// Workspace, Weight and Class determine the order.
	Workspace string
	Weight    float64
	Class     string
	// PrefillTokens and DecodeTokens are the expected work.
	PrefillTokens int
	DecodeTokens  int
	// Deadline is when the request must have been admitted. A request that is
	// not expected to be admitted in time is refused at once.
	Deadline time.Time
}

// Slot is the admission of one request to its group. Release must be called
// exactly once.
type Slot interface {
	// FirstToken reports that the prefill is done. Calls after the first have
	// no effect.
	FirstToken()
	// Release frees the slot and reports the work actually done.
	Release(prefillTokens, decodeTokens int)
}

// Queue orders requests by weighted fair queueing.
type Queue interface {
	// Acquire waits for a slot.
	Acquire(ctx context.Context, req QueueRequest) (Slot, *Refusal)
}

// Claim identifies one at-most-once request.
type Claim struct {
	// Workspace and Key identify the record.
	Workspace string
	Key       string
	// BodyHash detects reuse of the key for another request.
	BodyHash [32]byte
	// RequestID is the request that makes the claim.
	RequestID string
	// Retention is how long the record is kept.
	Retention time.Duration
}

// ClaimStatus is the result of a claim.
type ClaimStatus int

// The results of a claim.
const (
	// ClaimGranted lets this request run, once, at one target.
	ClaimGranted ClaimStatus = iota
	// ClaimDone means that the outcome is known and stored.
	ClaimDone
	// ClaimPending means that another request holds the claim and its outcome
	// is unknown.
	ClaimPending
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch
	// ClaimUnreachable means that the record could not be reached and that the
	// claim was certainly not committed.
	ClaimUnreachable
	// ClaimUncertain means that it is unknown whether the claim was committed.
	ClaimUncertain
)

// StoredResponse is the stored response of an at-most-once request.
type StoredResponse struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the response body, or empty if it was too large to store.
	Body []byte
	// Truncated is true if the body was too large to store.
	Truncated bool
}

// ClaimStore stores the claims of at-most-once requests where every VM sees
// them.
type ClaimStore interface {
	// Claim records the intent to run.
	Claim(ctx context.Context, claim Claim) (ClaimStatus, StoredResponse)
	// Complete stores the outcome.
	Complete(ctx context.Context, claim Claim, resp StoredResponse) error
	// Release withdraws a granted claim. It must be called only if no byte can
	// have reached a target.
	Release(ctx context.Context, claim Claim) error
}

// PickRequest asks for a target.
type PickRequest struct {
	// Call is the request to place.
	Call *Call
	// Attempt is the number of the attempt, starting at 0.
	Attempt int
	// Exclude lists the incarnations that already failed this request.
	Exclude []target.Ref
}

// Pick is a chosen target.
type Pick struct {
	// Target is the target to which the request goes.
	Target *target.Target
	// ExpectedCachedTokens is the number of prompt tokens that the target is
	// expected to have cached.
	ExpectedCachedTokens int
	// Prefix is passed on to the engine.
	Prefix PrefixHint
	// Done must be called exactly once with the result of the attempt.
	Done func(AttemptResult)
}

// PrefixHint tells an engine the blocks of the prompt, so that its cache events
// identify the same blocks as the router.
type PrefixHint struct {
	// Scope separates the blocks of different workspaces, weights and adapters.
	Scope prefix.ScopeDigest
	// Blocks is the hash chain of the full blocks.
	Blocks []prefix.Hash
	// KVSource is the base URL of a KV store from which importing blocks is
	// faster than computing them, or empty if there is none.
	KVSource string
}

// AttemptResult is the result of one attempt at a target.
type AttemptResult struct {
	// Err is nil if the target completed the attempt.
	Err error
	// FirstToken is the time from dispatch to the first token, or zero if there
	// was none.
	FirstToken time.Duration
	// CachedTokens is the number of prompt tokens that the target reported as
	// reused.
	CachedTokens int
	// DeliveredTokens is the number of tokens that this attempt delivered.
	DeliveredTokens int
}

// Picker chooses targets.
type Picker interface {
	// Pick returns a target, or a refusal if there is none.
	Pick(ctx context.Context, req PickRequest) (*Pick, *Refusal)
}

// RetryPolicy limits further attempts.
type RetryPolicy interface {
	// Allow takes one extra attempt from the budgets of the workspace and the
	// target group. It returns false if a budget is spent.
	Allow(workspace, group string) bool
	// RecordSuccess counts one successful request, which refills the budgets.
	RecordSuccess(workspace, group string)
}

// EngineRequest is one attempt at an engine.
type EngineRequest struct {
	// Call is the request.
	Call *Call
	// Priority is passed on to the engine. Requests with lower values run
	// first.
	Priority int
	// Attempt is the number of the attempt, starting at 0. It distinguishes the
	// attempts of a request.
	Attempt int
	// ResumeOffset is the number of tokens already delivered.
	ResumeOffset int
	// ResumeText is the text of those tokens.
	ResumeText string
	// Prefix identifies the blocks of the prompt.
	Prefix PrefixHint
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// RequestID and Incarnation are as reported by the engine.
	RequestID   string
	Incarnation uint64
	// Offset is the index of the first token in Data, Tokens the number of
	// tokens.
	Offset int
	Tokens int
	// CachedTokens is the number of prompt tokens that the engine reused. It is
	// set on the first chunk.
	CachedTokens int
	// Data is the JSON event for the caller.
	Data []byte
	// Text is the generated text in Data.
	Text string
	// Finished is the number of choices that end with this event.
	Finished int
	// Opaque is true if Text does not hold everything that Data adds to the
	// response, as with tool calls or several choices.
	Opaque bool
	// Usage is set on the event that reports token counts.
	Usage *Usage
	// UsageOnly is true if the event has no choices.
	UsageOnly bool
	// Done is true for the end-of-stream marker.
	Done bool
}

// Usage holds the token counts that an engine reports.
type Usage struct {
	// PromptTokens and CompletionTokens are counted by the engine.
	PromptTokens     int
	CompletionTokens int
}

// ChunkStream is an open stream from an engine.
type ChunkStream interface {
	// Next waits for the next chunk, no longer than limit.
	Next(limit time.Duration) (Chunk, error)
	// Close ends the stream. If the stream was not finished, the engine's work
	// is canceled and the connection is not reused.
	Close()
}

// EngineClient opens streams to engines.
type EngineClient interface {
	// Open dispatches one attempt.
	Open(ctx context.Context, t *target.Target, req EngineRequest) (ChunkStream, error)
}

// DialError is returned by EngineClient.Open and ServiceClient.Do if no byte of
// the request can have left this VM.
type DialError struct{ Err error }

// Error returns the message of the cause with a prefix.
func (e *DialError) Error() string { return "no connection to target: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ServiceRequest is one call of a plain service, without the caller's API key.
type ServiceRequest struct {
	// Method and URI are as received. URI has no scheme and host.
	Method string
	URI    string
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body returns the body. If the body is not buffered, it can be read only
	// once.
	Body     func() io.Reader
	Buffered bool
	// ContentLength is the length of the body, or -1 if unknown.
	ContentLength int64
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	// Status and Header are as received from the target, without hop-by-hop
	// fields.
	Status int
	Header http.Header
	// Body returns an error if the target stalls. Closing it early cancels the
	// call.
	Body io.ReadCloser
}

// ServiceClient calls plain services.
type ServiceClient interface {
	// Do dispatches one attempt and waits for the response header. The layers
	// below must not send the request a second time.
	Do(ctx context.Context, t *target.Target, call *Call, req ServiceRequest) (*ServiceResponse, error)
}

// ServiceSink passes the response of a plain service to the caller.
type ServiceSink interface {
	// Begin sends the header.
	Begin(status int, header http.Header)
	// Write sends a part of the body. An error means that the caller
	// disconnected.
	Write(p []byte) (int, error)
}

// StatusError is a response of a target with an error status.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// ContentType and Body are those of the response. The body may be
	// truncated.
	ContentType string
	Body        []byte
	// RetryAfter is the Retry-After of the target, or zero if it sent none.
	RetryAfter time.Duration
}

// Error returns the status. It omits the body, because a target may repeat
// parts of the request in it.
func (e *StatusError) Error() string {
	return "target responded with status " + strconv.Itoa(e.Status)
}

// ErrStalled is returned if a target sent nothing new within the time limit.
var ErrStalled = errors.New("target made no progress within the time limit")

// ErrAbandoned is the result of an attempt that was not made, or was canceled
// through no fault of its target.
var ErrAbandoned = errors.New("attempt abandoned before it was made or completed")

// ErrKeyWithdrawn is the cause of a context that was canceled because the
// caller's API key was withdrawn.
var ErrKeyWithdrawn = errors.New("API key withdrawn")

// UsageRecord holds the usage of one request for billing.
type UsageRecord struct {
	// Workspace is the workspace that is billed.
	Workspace string
	// Model is the model that served the request.
	Model string
	// PromptTokens and CompletionTokens are billed.
	PromptTokens     int
	CompletionTokens int
	// WastedTokens counts tokens that were computed but are not billed.
	WastedTokens int
}

// UsageRecorder takes usage records. Record must not block.
type UsageRecorder interface {
	Record(u UsageRecord)
}

// Sample holds the measurements of one finished request.
type Sample struct {
	// Route and Workspace identify the time series.
	Route     string
	Workspace string
	// FirstToken is the time from arrival to the first token, or zero if there
	// was none.
	FirstToken time.Duration
	// MaxTokenGap is the longest time between tokens.
	MaxTokenGap time.Duration
	// Complete is true if the caller received the complete response.
	Complete bool
	// Refusal is the refusal code, or empty if there was none.
	Refusal string
	// FirstTokenCause names what contributed most to the time to the first
	// token: "queue", "prefill" or "retry".
	FirstTokenCause string
	// Attempts is the number of attempts.
	Attempts int
	// PromptTokens, CachedTokens and WastedTokens are the inputs of the prefix
	// cache metrics.
	PromptTokens int
	CachedTokens int
	WastedTokens int
}

// Observer takes samples. Observe must not block.
type Observer interface {
	Observe(s Sample)
}

// Sink passes the response of a model to the caller.
type Sink interface {
	// Chunk passes one event on. An error means that the caller disconnected.
	Chunk(c Chunk) error
	// Reset discards the events so far. It returns false if the caller has
	// received any of them.
	Reset() bool
	// StoredResponse returns the response in the form in which a resend must
	// get it.
	StoredResponse() StoredResponse
	// Replay sends a stored response.
	Replay(resp StoredResponse)
}
