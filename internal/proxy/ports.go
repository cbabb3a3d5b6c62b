// Package proxy forwards the requests of callers to targets byte for byte. It
// does admission by key, quota and route, chooses a target, retries where the
// route permits it, and resumes streams at another engine.
package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/quarantine"
)

// Request is the information in the headers of a caller's request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if it is not stated.
	Timeout time.Duration
	// APIKey is the caller's API key; empty if there is none.
	APIKey string
	// PromptTokens and OutputTokens are the size of a model request.
	// HasTokenCounts is false if the size is not stated.
	PromptTokens   int
	OutputTokens   int
	HasTokenCounts bool
	// Parts are the parts of the prompt. The last one belongs to this request
	// only.
	Parts []PromptPart
	// ResumeAfter is the last event that the caller has received, if it resumes
	// a stream.
	ResumeAfter string
}

// PromptPart is one part of a prompt, as the caller states it.
type PromptPart struct {
	Name   string `json:"name"`
	Tokens int    `json:"tokens"`
}

// Attempt is the information sent to a target in addition to the caller's own
// headers.
type Attempt struct {
	TargetID string
	// Workspace is the owner of the key; empty if the request has no known key.
	Workspace string
	// Timeout is the time left for the response.
	Timeout time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Scope limits which requests may share cached parts; empty for plain
	// services.
	Scope string
	// Weights is the version of the model weights that the engine must run; 0
	// accepts any.
	Weights uint64
	// FetchFrom is the address of an engine or store that holds parts of the
	// prompt.
	FetchFrom string
	// SaveTo is the address of the store to which the engine saves the parts
	// that it prefills.
	SaveTo string
	// BackupTo is the address of the engine that gets a copy of the run; empty for no copy.
	BackupTo string
	// CopyAt is the address of the engine from whose copy the run RunID continues; empty if
	// the request does not continue from a copy.
	CopyAt, RunID string
	// ResumeAfter is the last event delivered to the caller.
	ResumeAfter string
}

// Response is the information in the headers of a target's response.
type Response struct {
	RequestID string
	// Signed is true if the response has the target's signature.
	Signed bool
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// Misdirected is true if the address now belongs to another target.
	Misdirected bool
	// OtherWeights is true if the engine does not run the requested version.
	// Weights is then the version that it runs, if stated.
	OtherWeights bool
	Weights      uint64
	// Notice is what the target says about the requests that it accepts.
	Notice placement.Notice
	// Ignored names the headers of the notice that have no valid value.
	Ignored []string
}

// Codec translates between headers and the types of this package. It is
// stateless.
type Codec interface {
	DecodeRequest(h http.Header) (Request, error)
	// EncodeAttempt returns the headers of an attempt: the caller's headers
	// that are passed on and those set by the front.
	EncodeAttempt(caller http.Header, a *Attempt) http.Header
	DecodeResponse(status int, h http.Header, targetID string) Response
	// CopyResponseHeaders copies the headers of a response that are passed on
	// to the caller.
	CopyResponseHeaders(caller, response http.Header)
}

// State is the cluster state that a front uses for a request.
type State struct {
	// Table is nil until the first configuration document arrives.
	Table *gatewayconfig.Table
	// Weights maps each model to the version that engines have to run.
	Weights map[string]uint64
	// Confirmed is when a quorum last confirmed this state, on a clock that
	// continues during a suspension.
	Confirmed time.Duration
	// FrontCount is the number of VMs that share the retry budgets.
	FrontCount int
}

// Quota enforces the rate limits of workspaces, which apply to the fleet as a
// whole.
type Quota interface {
	Admit(now time.Duration, workspace string, rate, burst, tokens float64) (wait time.Duration, ok bool)
	// Refund reverses a charge that was admitted at the time charged.
	Refund(now, charged time.Duration, workspace string, tokens float64)
}

// Shutdown is the shutdown of this VM.
type Shutdown interface {
	// Elapsed returns the time since the shutdown began; 0 before that. Once it has
	// begun, callers must move to other VMs.
	Elapsed() time.Duration
	// Rejects reports whether a request with the given deadline must move to another
	// VM, because this one may end before it.
	Rejects(deadline time.Time) bool
	// Ended returns a context that is done once requests in flight must be ended,
	// shortly before this VM ends.
	Ended() context.Context
}

// Quarantine keeps requests away from targets if they, or a part of their prompts, crash
// targets. The last part of a prompt, which belongs to one request only, is not considered.
type Quarantine interface {
	// Decide returns whether a request may reach a target.
	Decide(r quarantine.Request) quarantine.Decision
	// RecordBroken records that a request broke off at a target. sentAt is when it was
	// sent, on a clock that continues during a suspension.
	RecordBroken(t placement.Target, r quarantine.Request, sentAt time.Duration)
	// RecordEnded records that the response to a request ended with its connection. Only
	// a target that can still be reached shows that the response is complete.
	RecordEnded(t placement.Target, r quarantine.Request, sentAt time.Duration)
	// RecordCompletion records that a request has completed, or that its answer has gone
	// on for long enough to show that it does not crash targets.
	RecordCompletion(r quarantine.Request)
}

// Placer chooses targets and is told the outcome of each attempt.
type Placer interface {
	Choose(req placement.Request) (*placement.Choice, int)
	// MaySend reports whether the chosen target may still get the request. It is asked
	// right before the request is sent, which may be some time after the choice.
	MaySend(c *placement.Choice) bool
	// Continue returns the choice of the engine that has the copy of a run; nil if it cannot
	// be used.
	Continue(first *placement.Choice, req placement.Request) *placement.Choice
	RecordFirstByte(c *placement.Choice)
	RecordNotice(c *placement.Choice, n placement.Notice)
	AdmittedAfter(service string) (placement.PassReason, time.Duration)
	AdmissionFacts(service string) []placement.AdmissionFact
	SetWeights(c *placement.Choice, version uint64)
	Done(c *placement.Choice, result placement.Result)
}
