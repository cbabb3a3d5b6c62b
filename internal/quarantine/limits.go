package quarantine

import (
	"math"
	"slices"
	"time"
)

// This file has all limits on evidence, so that one can see who loses what, where and why. They bound
// memory and messages. None drops evidence by the position or the name of a part, which callers
// choose, and where requests compete, those with many parts lose first:
//
//   - A name over MaxNameBytes is replaced by a digest (names.go).
//   - A request with more than MaxChunkParts parts is reported in several chunks.
//   - A crash with more than maxPieceBytes is reported in several pieces, and what does not fit into
//     a report of maxReportBytes is in the next one.
//   - A front reports maxCrashParts parts of one crash, maxCompletedParts of them with parts that
//     have completed at this front. Each request has the same share, so requests with many parts
//     lose first, others of their parts at each crash, so that each part has its turn. A part that
//     the leader suspects is not left out.
//   - A front remembers the last completions of maxCompleted requests and parts. The older ones lose
//     first, but for suspects and what is in the crashes that it keeps. Completions are reported
//     with the crashes, and for suspects, of which the leader asks for fewer than
//     MaxReportedCompletions.
//   - A front remembers for maxBroken requests when one broke off; the older ones lose first. Repeats
//     of a forgotten one count by the time between their crashes.
//   - The leader records for the next one, which may know of no front that saw the crashes,
//     maxRecordedCrashes crashes, and of each maxRecordedParts parts in the order of the reports,
//     the likeliest first, and maxRecordedSuspects that were in several crashes. The oldest crashes
//     lose first. A part that is not recorded in its first crash is in its second one.
//   - A part is reported with maxRequestsPerSighting requests of a crash.
//   - The leader tracks maxTrackedRequests requests, and maxTrackedParts parts that were in several
//     crashes. Those with the fewest crashes lose first; among equals, the requests of the crash,
//     or the parts of the request, that has the most of them. Of such a part the latest crash
//     stays, like that of a part that was in one crash only.
//   - The leader keeps maxFirstSightings parts that were in one crash only. Those that have
//     completed since lose first, then those of the requests with the most parts in the oldest
//     crashes: a part that crashes engines is in the next crash too.
//   - The leader asks the fronts for completions of maxAskedRequests requests and maxAskedParts parts,
//     and of maxAskedQuarantined quarantined ones. Those with the most crashes come first; among
//     equals, the requests, or the crashes, have one each in turn, others first after each
//     askedTime. Of a request the last parts come first: of parts that were in the same crashes,
//     the last one is quarantined. What is not asked for is not quarantined.
//   - The leader compares maxCandidates requests in one decision, those with the most crashes, others
//     after each askedTime, and counts maxCrashesPerSuspect crashes of a suspect, which are more
//     than any decision needs.
//   - A front keeps maxKeptParts for the next leader. Of the crashes that the leader has, the one
//     with the most parts loses first, beginning with those that have completed.
const (
	// MaxChunkParts is the number of parts of a request in one chunk. Members of the core
	// reject a report with longer ones.
	MaxChunkParts = 64
	// maxPieceBytes limits the names in one piece of the report of a crash, and maxReportBytes
	// those in one report, which contains one piece at least.
	maxPieceBytes  = 32 << 10
	maxReportBytes = 64 << 10
	// maxCrashRequests limits the requests of one crash that a front reports, maxCrashParts
	// their parts, and maxCompletedParts those that have completed at the front.
	maxCrashRequests  = 2048
	maxCrashParts     = 65536
	maxCompletedParts = 8192
	// maxKeptParts limits the parts that a front keeps for the next leader, and maxKeptPieces
	// the pieces with them.
	maxKeptParts  = 131072
	maxKeptPieces = 256
	// maxCompleted limits the requests and parts whose last completion a front remembers, and
	// maxBroken the requests of which it remembers when one broke off. maxCompleted exceeds the
	// number of suspects and of kept parts.
	maxCompleted = 262144
	maxBroken    = 4096
	// MaxReportedCompletions limits the completions of suspects in one report.
	MaxReportedCompletions = 1024
	// maxRecordedCrashes limits the crashes in an EvidenceRecord, and maxRecordedBytes the names
	// in them. Of one crash maxRecordedRequests requests are recorded, maxRecordedParts parts,
	// and maxRecordedSuspects suspected parts in addition.
	maxRecordedCrashes  = 128
	maxRecordedBytes    = 1 << 20
	maxRecordedRequests = 256
	maxRecordedParts    = 1024
	maxRecordedSuspects = 1024
	// maxTrackedRequests and maxTrackedParts limit the suspects that the leader tracks, and
	// maxFirstSightings the parts that were in one crash only.
	maxTrackedRequests = 8192
	maxTrackedParts    = 8192
	maxFirstSightings  = 131072
	// maxAskedRequests, maxAskedParts and maxAskedQuarantined limit the suspects that fronts
	// are asked for.
	maxAskedRequests    = 128
	maxAskedParts       = 512
	maxAskedQuarantined = 128
	// askedTime is the time after which others of the suspects with the same number of crashes
	// are asked for. It covers completionReportTime and the interval of a few crashes.
	askedTime = 4 * time.Second
	// maxCandidates limits the requests that are compared in one decision, and
	// maxCrashesPerSuspect the crashes that are kept for one suspect.
	maxCandidates        = 128
	maxCrashesPerSuspect = 64
	// maxRequestsPerSighting limits the requests with a part that are told apart in one crash.
	maxRequestsPerSighting = 8
)

// fairShare returns the largest share for which the sum of all sizes, each cut to the share, is
// within the budget. It is infinite if nothing has to be cut.
func fairShare(sizes []int, budget int) float64 {
	sorted := slices.Sorted(slices.Values(sizes))
	for i, size := range sorted {
		share := float64(max(budget, 0)) / float64(len(sorted)-i)
		if float64(size) > share {
			return share
		}
		budget -= size
	}
	return math.Inf(1)
}

// mix returns a hash of a hash and a number. It decides what is left out where a limit leaves
// a choice.
func mix(hash, n uint64) uint64 {
	hash ^= n * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
