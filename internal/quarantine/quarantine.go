// Package quarantine finds requests, and parts of prompts, that crash engines, so that
// they are rejected. Fronts report the requests that were running when an engine crashed,
// and which suspected requests and parts have completed. The leader of the core relates
// the reports. The package does no I/O.
//
// All requests that run at an engine break off when it crashes, so a single crash says
// little about one of them. A request that crashes engines is in each of several crashes
// and never completes. A part that crashes engines is in crashes of different requests
// and in no request that completes.
package quarantine

import (
	"strings"
	"time"
)

// Time is how long a request or part stays quarantined.
const Time = time.Hour

// requestPrefix distinguishes the keys of requests from the names of parts, which
// contain no colon.
const requestPrefix = "request:"

const (
	// minRequestCrashes is the number of crashes, without a completion in between,
	// after which a request is quarantined. minPartCrashes applies to parts, which
	// sound requests share.
	minRequestCrashes = 3
	minPartCrashes    = 4
	// minSuspicion is the weight of the crashes after which a request is quarantined: 2
	// for each, 1 if another request explains it. All but one of minRequestCrashes may
	// be explained, as fatal requests meet at the few engines of a service.
	minSuspicion = minRequestCrashes + 1
	// minOtherCrashes is the number of crashes in which a quarantined part must have
	// been without the one of its requests that was in most crashes. Otherwise that
	// request explains the crashes.
	minOtherCrashes = 2
	// maxTiedCrashes is the number of crashes after which parts that were all in the
	// same number of crashes are quarantined together.
	maxTiedCrashes = 7
	// minSuspectCrashes is the number of crashes from which on fronts are asked
	// for completed requests with the suspect.
	minSuspectCrashes = 2
	// distinctCrashTime is the shortest time between two crashes that count
	// separately, unless a request was sent between them. Engines that are lost
	// together, for example with their rack, do not crash because of one request.
	distinctCrashTime = 200 * time.Millisecond
	// distinctRequestCrashTime applies to a request that was running at an engine which
	// then refused connections. It is at one engine at a time, unless callers repeat it
	// concurrently, and covers the difference between the delays of two reports.
	distinctRequestCrashTime = 60 * time.Millisecond
	// sameCrashTime is the time within which reports about one incarnation of an engine
	// are about the same crash: fronts notice the loss of a silent engine at different
	// times. An engine that is back keeps its incarnation until it has registered.
	sameCrashTime = 5 * time.Second
	// restartTime is the shortest time in which an engine is back after a crash. It exceeds
	// the difference between the delays of two reports.
	restartTime = 300 * time.Millisecond
	// completionReportTime is how long a suspect is known before it is quarantined. In
	// this time all fronts can report completed requests with it. Fronts hold suspected
	// requests back meanwhile.
	completionReportTime = time.Second
	// crashReportTime is the time in which all fronts report the crashes that they know to a
	// new leader.
	crashReportTime = 4 * time.Second
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = 10 * time.Minute
)

// Request is a request as far as it matters for the evidence.
type Request struct {
	// Key identifies the request and its repeats, which have the same path, caller and
	// body. RequestKey makes it.
	Key string
	// Parts are the names of the parts of its prompt that other requests may share, in
	// their order.
	Parts []string
}

// Part is a part of the prompt of a broken request.
type Part struct {
	// ID identifies the part: its name, or a digest of it.
	ID string
	// Position is the number of parts before it in the prompt.
	Position int
	// CompletedAt is the last completed request with the part at the front that has reported
	// the crash; 0 if there is none.
	CompletedAt time.Duration
}

// RequestKey returns the key of a request from a digest of its path, caller and body.
func RequestKey(digest string) string { return requestPrefix + digest }

// IsRequestKey reports whether a suspect is a request and not a part.
func IsRequestKey(suspect string) bool { return strings.HasPrefix(suspect, requestPrefix) }

// BrokenRequest is a request that broke off when its engine crashed.
type BrokenRequest struct {
	Key string
	// Parts are shared parts of its prompt. A crash may have the request several times,
	// each with other parts.
	Parts []Part
	// CompletedAt is the last completed request with the key at the front that has reported
	// the crash; 0 if there is none.
	CompletedAt time.Duration
	// SentAt is when the request was sent; 0 if that is not known.
	SentAt time.Duration
	// Resent is set if the request was sent after the same front had seen another one
	// with its key break off.
	Resent bool
}

// suspects returns the key of a request and the IDs of its parts.
func (r BrokenRequest) suspects() []string {
	list := []string{r.Key}
	for _, part := range r.Parts {
		list = append(list, part.ID)
	}
	return list
}

// Crash is the crash of an engine as seen by one front.
type Crash struct {
	// Engine identifies the incarnation of the engine.
	Engine string
	At     time.Duration
	// Requests are the front's requests that broke off.
	Requests []BrokenRequest
}

// Verdict is what a front does with a request.
type Verdict uint8

const (
	// Admitted means that the request may reach an engine.
	Admitted Verdict = iota
	// Suspected means that the request was in several crashes, and that the leader is
	// about to decide whether it caused them.
	Suspected
	// Quarantined means that the request or a part of its prompt crashes engines.
	Quarantined
)

// Decision is a verdict on a request and its reason.
type Decision struct {
	Verdict Verdict
	// Suspect is the request or part that is suspected or quarantined.
	Suspect string
	// RetryAfter is when the verdict changes, unless Verdict is Admitted.
	RetryAfter time.Duration
}

// Completion is the last completed request with a suspect at one front.
type Completion struct {
	// Suspect is the key of a request or the name of a part.
	Suspect string
	At      time.Duration
}
