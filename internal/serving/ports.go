// Package serving runs the life cycle of one request: admission by rate,
// queueing, the at-most-once claim, choice of target, streaming with resume,
// billing and observation. It reaches everything else through the ports in
// this file, so that it does no I/O of its own.
package serving

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Call is one request of a caller to a model, decoded and authenticated.
type Call struct {
	// ID is unique over the service.
	ID string
	// Workspace owns the key that came with the request.
	Workspace string
	// KeyHash is the hash of that key.
	KeyHash keys.Hash
	// RouteName and Route are the route in Snapshot.
	RouteName string
	Route     config.Route
	// Snapshot is the configuration that the whole request uses.
	Snapshot *config.Snapshot
	// Path is the path at the engine, for example /v1/chat/completions.
	Path string
	// Body is the request body as sent to the engine.
	Body []byte
	// Model, Version and Adapter name what must answer.
	Model   string
	Version string
	Adapter string
	// Prompt is the text whose prefixes are cached.
	Prompt string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens bounds the answer.
	MaxTokens int
	// Choices is the number of answers asked for.
	Choices int
	// IncludeUsage is true if the caller wants the token counts as an event.
	IncludeUsage bool
	// IdempotencyKey is the caller's key for resends; may be empty.
	IdempotencyKey string
	// BodyHash identifies the request as the caller sent it.
	BodyHash [32]byte
	// Received is when the request arrived.
	Received time.Time
	// Deadline is when the request must be finished.
	Deadline time.Time
}

// RunState says whether a request ran at a target.
type RunState string

// The run states. NotRun is stated only if no target can have begun the
// request.
const (
	NotRun     RunState = "not-run"
	RunUnknown RunState = "unknown"
	Ran        RunState = "ran"
)

// Refusal is the outcome of a request that gets no whole answer.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is the machine-readable reason, in the OpenAI error shape.
	Code string
	// Message is the human-readable reason.
	Message string
	// Run says whether the request ran.
	Run RunState
	// RetryAfter is when a resend makes sense; zero if unknown.
	RetryAfter time.Duration
	// ContentType and Body are set if a target refused the request as wrong
	// and its answer is passed through.
	ContentType string
	Body        []byte
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Reservation holds tokens charged at admission.
type Reservation interface {
	// Settle replaces the estimate by the actual count and returns the
	// difference to the workspace. Only the first call counts.
	Settle(actualTokens int64)
}

// Limiter admits requests by the fleet-wide token rate of their workspace.
type Limiter interface {
	// Admit charges tokens, waiting up to maxWait for them.
	Admit(ctx context.Context, snap *config.Snapshot, workspace string, tokens int64, maxWait time.Duration) (Reservation, *Refusal)
}

// QueueRequest describes the work that waits for a group of targets.
type QueueRequest struct {
	// Group is the model or service.
	Group string
	// Workspace, Weight and Class decide the order.
	Workspace string
	Weight    float64
	Class     string
	// PrefillTokens and DecodeTokens are the expected work.
	PrefillTokens int
	DecodeTokens  int
	// Deadline is when the request must have its turn; a request that cannot
	// is refused early.
	Deadline time.Time
}

// Slot is the turn of a request. Release must be called once.
type Slot interface {
	// FirstToken tells that the prefill is done. Only the first call counts.
	FirstToken()
	// Release ends the turn, with the work that was really done.
	Release(prefillTokens, decodeTokens int)
}

// Queue orders requests by weighted fair queueing.
type Queue interface {
	// Acquire waits for a turn.
	Acquire(ctx context.Context, req QueueRequest) (Slot, *Refusal)
}

// Claim identifies one at-most-once request.
type Claim struct {
	// Workspace and Key name the record.
	Workspace string
	Key       string
	// BodyHash guards against reuse of the key for another request.
	BodyHash [32]byte
	// RequestID is the request that claims.
	RequestID string
	// Retention is how long the record is kept.
	Retention time.Duration
}

// ClaimStatus is the answer to a claim.
type ClaimStatus int

// The answers to a claim.
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
	// ClaimUnreachable means that the record could not be reached and the
	// claim is certain not to exist.
	ClaimUnreachable
	// ClaimUncertain means that the claim may or may not have been committed.
	ClaimUncertain
)

// StoredAnswer is the outcome of an at-most-once request.
type StoredAnswer struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the answer; empty if it was too large to store.
	Body []byte
	// Truncated is true if the body was too large to store.
	Truncated bool
}

// Claims records at-most-once requests where every VM sees them.
type Claims interface {
	// Claim records the intent to run.
	Claim(ctx context.Context, c Claim) (ClaimStatus, StoredAnswer)
	// Complete stores the outcome.
	Complete(ctx context.Context, c Claim, answer StoredAnswer) error
	// Release withdraws a granted claim when no byte can have reached a
	// target.
	Release(ctx context.Context, c Claim) error
}

// PickRequest asks for a target.
type PickRequest struct {
	// Call is the request to place.
	Call *Call
	// Attempt counts from 0.
	Attempt int
	// Exclude lists incarnations that already failed this request.
	Exclude []target.Ref
}

// Pick is the chosen target.
type Pick struct {
	// Target is where the request goes.
	Target *target.Target
	// ExpectedCachedTokens is the part of the prompt that the target is
	// expected to hold.
	ExpectedCachedTokens int
	// Prefix is passed on to the engine.
	Prefix PrefixHint
	// Done must be called once with the result of the attempt.
	Done func(AttemptResult)
}

// PrefixHint tells an engine which blocks the prompt consists of, so that its
// cache events name the same blocks as the router.
type PrefixHint struct {
	// Scope separates the blocks of workspaces, weights and adapters.
	Scope prefix.ScopeDigest
	// Blocks is the chain of whole blocks.
	Blocks []prefix.Hash
	// KVSource is the base URL of a KV store from which importing blocks is
	// faster than computing them; empty if there is none.
	KVSource string
}

// AttemptResult is what one attempt at a target came to.
type AttemptResult struct {
	// Err is nil if the attempt finished its part.
	Err error
	// FirstToken is the time from dispatch to the first token; zero if none.
	FirstToken time.Duration
	// CachedTokens is what the target reported as reused.
	CachedTokens int
	// DeliveredTokens is how many tokens of the answer came from it.
	DeliveredTokens int
}

// Picker chooses targets.
type Picker interface {
	// Pick returns a target, or a refusal if there is none.
	Pick(ctx context.Context, req PickRequest) (*Pick, *Refusal)
}

// RetryPolicy decides about further attempts.
type RetryPolicy interface {
	// Allow takes one extra attempt from the budgets of the workspace and
	// the target group. It reports false if they are spent.
	Allow(workspace, group string) bool
	// Finished counts one finished request, which refills the budgets.
	Finished(workspace, group string)
}

// EngineRequest is one attempt at an engine.
type EngineRequest struct {
	// Call is the request.
	Call *Call
	// Priority is passed on: lower runs first.
	Priority int
	// Attempt counts from 0 and tells the attempts of a request apart.
	Attempt int
	// ResumeOffset is the number of tokens already delivered.
	ResumeOffset int
	// ResumeText is the text of those tokens.
	ResumeText string
	// Prefix names the blocks of the prompt.
	Prefix PrefixHint
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// RequestID and Incarnation are as stated by the engine.
	RequestID   string
	Incarnation uint64
	// Offset is the index of the first token in Data, Tokens their count.
	Offset int
	Tokens int
	// CachedTokens is the reused part of the prompt, on the first chunk.
	CachedTokens int
	// Data is the JSON event for the caller.
	Data []byte
	// Text is the generated text in Data.
	Text string
	// Finished is the number of choices that end with this event.
	Finished int
	// Opaque is true if Text does not hold everything that Data adds to the
	// answer, as with tool calls or several choices.
	Opaque bool
	// Usage is set on the event that reports token counts.
	Usage *Usage
	// UsageOnly is true if the event has no choices.
	UsageOnly bool
	// Done is true for the end-of-stream marker.
	Done bool
}

// Usage is the token count that an engine reports.
type Usage struct {
	// PromptTokens and CompletionTokens are counted by the engine.
	PromptTokens     int
	CompletionTokens int
}

// ChunkStream is an open stream of an engine.
type ChunkStream interface {
	// Next waits for the next chunk, no longer than limit.
	Next(limit time.Duration) (Chunk, error)
	// Close ends the stream; if it was not finished, the engine's work is
	// cancelled and the connection is not reused.
	Close()
}

// Engines opens streams at engines.
type Engines interface {
	// Open dispatches one attempt.
	Open(ctx context.Context, t *target.Target, req EngineRequest) (ChunkStream, error)
}

// DialError is returned by Engines.Open if no byte of the request can have
// left this VM.
type DialError struct{ Err error }

// Error returns the cause.
func (e *DialError) Error() string { return "no connection to target: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ServiceRequest is one call of a plain service, cleaned of the caller key.
type ServiceRequest struct {
	// Method and URI are as received; URI has no scheme and host.
	Method string
	URI    string
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body returns the body. If it is not buffered, it can be read only once.
	Body     func() io.Reader
	Buffered bool
	// ContentLength is the length of the body; -1 if unknown.
	ContentLength int64
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	// Status and Header are as sent, without hop-by-hop fields.
	Status int
	Header http.Header
	// Body ends with an error if the target stalls. Closing it early cancels
	// the call.
	Body io.ReadCloser
}

// Services calls plain services.
type Services interface {
	// Do dispatches one attempt and waits for the header of the answer. No
	// layer below may send the request a second time.
	Do(ctx context.Context, t *target.Target, call *Call, req ServiceRequest) (*ServiceAnswer, error)
}

// ServiceSink takes the answer of a plain service on the caller's side.
type ServiceSink interface {
	// Begin sends the header.
	Begin(status int, header http.Header)
	// Write sends a part of the body. An error means that the caller is gone.
	Write(p []byte) (int, error)
}

// StatusError is an answer of a target with an error status.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// ContentType and Body are the answer; the body may be cut.
	ContentType string
	Body        []byte
	// RetryAfter is the target's wish; zero if it has none.
	RetryAfter time.Duration
}

// Error returns the status. The body is left out, because a target may repeat
// parts of the request in it.
func (e *StatusError) Error() string {
	return "target answered with status " + strconv.Itoa(e.Status)
}

// ErrStalled is returned if a target sent nothing within the limit.
var ErrStalled = errors.New("target stalled")

// ErrAbandoned is the result of an attempt that was not made or was cancelled
// without fault of its target.
var ErrAbandoned = errors.New("the attempt was given up")

// ErrKeyWithdrawn is the cause of a context that ended with the caller's key.
var ErrKeyWithdrawn = errors.New("the key was withdrawn")

// UsageRecord bills one request.
type UsageRecord struct {
	// Workspace is billed.
	Workspace string
	// Model answered.
	Model string
	// PromptTokens and CompletionTokens are billed.
	PromptTokens     int
	CompletionTokens int
	// WastedTokens is work done but not billed.
	WastedTokens int
}

// Ledger takes usage records. Record must not block.
type Ledger interface {
	Record(u UsageRecord)
}

// Sample is the observation of one finished request.
type Sample struct {
	// Route and Workspace name the series.
	Route     string
	Workspace string
	// FirstToken is the time from arrival to the first token; zero if none.
	FirstToken time.Duration
	// MaxTokenGap is the longest time between tokens.
	MaxTokenGap time.Duration
	// Complete is true if the caller got the whole answer.
	Complete bool
	// Refusal is the refusal code, empty if there was none.
	Refusal string
	// Cause names what dominated a slow first token: "queue", "prefill" or
	// "retry".
	Cause string
	// Attempts is the number of attempts.
	Attempts int
	// PromptTokens, CachedTokens and WastedTokens feed the prefix measures.
	PromptTokens int
	CachedTokens int
	WastedTokens int
}

// Observer takes samples. Observe must not block.
type Observer interface {
	Observe(s Sample)
}

// Sink takes the answer on the caller's side.
type Sink interface {
	// Chunk passes one event on. An error means that the caller is gone.
	Chunk(c Chunk) error
	// Restart forgets the events so far. It reports false if the caller has
	// seen any of them.
	Restart() bool
	// Stored returns the answer as a resend must get it.
	Stored() StoredAnswer
	// Replay answers with a stored answer.
	Replay(answer StoredAnswer)
}
