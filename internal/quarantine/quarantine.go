// Package quarantine finds parts of prompts that crash engines, so that requests with
// them are rejected. Fronts report the parts of the requests that were running when an
// engine crashed, and which suspected parts were in requests that have completed. The
// leader of the core relates the reports. The package does no I/O.
//
// All requests that run at an engine break off when it crashes, so a single crash says
// little about a part. A part that crashes engines is in each of several crashes and in
// no request that completes; parts of other requests are in some that complete.
package quarantine

import "time"

// Time is how long a part stays quarantined.
const Time = time.Hour

// MaxNameBytes limits the names of parts that are tracked.
const MaxNameBytes = 256

const (
	// minCrashes is the number of crashes, without a completed request in between,
	// after which a part is quarantined.
	minCrashes = 4
	// maxTiedCrashes is the number of crashes after which parts that were all in the
	// same number of crashes are quarantined together.
	maxTiedCrashes = 7
	// minSuspectCrashes is the number of crashes from which on fronts are asked
	// for completed requests with the part.
	minSuspectCrashes = 2
	// distinctCrashTime is the shortest time between two crashes that count
	// separately. Engines that are lost together, for example with their rack, do
	// not crash because of one request.
	distinctCrashTime = 200 * time.Millisecond
	// sameCrashTime is the time within which reports about one incarnation of an engine
	// are about the same crash: fronts notice the loss of a silent engine at different
	// times. An engine that crashes again before it has registered keeps its
	// incarnation.
	sameCrashTime = 5 * time.Second
	// completionReportTime is how long a part is suspected before it is quarantined. In
	// this time all fronts can report completed requests with it.
	completionReportTime = time.Second
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = 10 * time.Minute
	// maxTrackedParts limits the parts that are tracked, and maxSuspects those that
	// fronts are asked for.
	maxTrackedParts = 8192
	maxSuspects     = 256
	// maxCrashesPerPart limits the crashes that are kept for one part.
	maxCrashesPerPart = 64
)

// Crash is the crash of an engine as seen by one front.
type Crash struct {
	// Engine identifies the incarnation of the engine.
	Engine string
	At     time.Duration
	// Parts are the shared parts of the front's requests that broke off.
	Parts []string
}

// Completion is the last completed request with a part at one front.
type Completion struct {
	Part string
	At   time.Duration
}
