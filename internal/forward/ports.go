// Package forward carries the requests of callers to targets byte for byte:
// admission by key, quota and route, choice of target, repeated sends where
// they are allowed, and streams that go on at another engine.
package forward

import (
	"net/http"
	"time"

	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// Request is what the headers of a caller's request say.
type Request struct {
	// ID is the caller's name of this attempt.
	ID string
	// Limit is how long the caller waits; 0 if it does not say.
	Limit time.Duration
	// Key is the caller's key; empty without one.
	Key string
	// PromptTokens and OutputTokens are the size of a model request; Sized is
	// false if it is not stated.
	PromptTokens int
	OutputTokens int
	Sized        bool
	// Parts are the parts of the prompt, the last of them the request's own.
	Parts []PromptPart
	// ResumeAfter is the last event that the caller has, if it resumes a
	// stream.
	ResumeAfter string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	Name   string
	Tokens int
}

// Attempt is what a target is told beside the caller's own headers.
type Attempt struct {
	TargetID string
	// Workspace owns the key; empty on open routes.
	Workspace string
	// Limit is the time left for the answer.
	Limit time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Scope separates cached parts that must not be shared; empty for plain
	// services.
	Scope string
	// Weights is the version that the engine must run; 0 takes any.
	Weights uint64
	// FetchFrom is the address of an engine or store that holds parts of the
	// prompt.
	FetchFrom string
	// SaveTo is the address of a store that takes what the engine reads.
	SaveTo string
	// ResumeAfter is the last event that was delivered.
	ResumeAfter string
}

// Answer is what the headers of a target's answer say.
type Answer struct {
	RequestID string
	// Signed is true if the answer bears the target's signature.
	Signed bool
	// NotRun is true if the target states that it has not run the request.
	NotRun bool
	// Misdirected is true if another target has the address.
	Misdirected bool
	// OtherWeights is true if the engine does not run the version asked for;
	// Weights is then what it runs, if it says so.
	OtherWeights bool
	Weights      uint64
}

// Codec translates headers. It holds no state.
type Codec interface {
	Request(h http.Header) (Request, error)
	// Outgoing returns the headers of an attempt: those of the caller that are
	// passed on, and those that the system sets.
	Outgoing(caller http.Header, a *Attempt) http.Header
	Answer(status int, h http.Header, targetID string) Answer
	// Reply adds the headers of an answer that the caller gets.
	Reply(caller, answer http.Header)
}

// State is what a front knows at the time of a request.
type State struct {
	// Table is nil before the first document.
	Table *gateway.Table
	// Weights maps models to the version that engines have to run.
	Weights map[string]uint64
	// Confirmed is when a quorum has confirmed this state, on the clock that
	// does not stop during a suspension.
	Confirmed time.Duration
	// Fronts is the number of VMs that share budgets.
	Fronts int
}

// Quota admits requests by the fleet-wide rate of their workspace.
type Quota interface {
	Admit(now time.Duration, workspace string, rate, burst, tokens float64) (wait time.Duration, ok bool)
	Refund(workspace string, tokens float64)
}

// Placer chooses targets.
type Placer interface {
	Choose(want placement.Request) (*placement.Choice, int)
	RecordFirstByte(c *placement.Choice)
	SetWeights(c *placement.Choice, version uint64)
	Done(c *placement.Choice, result placement.Result)
}
