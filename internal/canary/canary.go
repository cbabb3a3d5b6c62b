package canary

import (
	"math"
	"time"
)

// Cohort distinguishes the targets of the old version from those of the new
// version.
type Cohort uint8

const (
	// Baseline is the cohort of the targets of the old version.
	Baseline Cohort = iota
	// Canary is the cohort of the targets of the new version.
	Canary

	cohorts = 2
)

// String returns the name of the cohort for logs and metrics.
func (c Cohort) String() string {
	if c == Canary {
		return "canary"
	}
	return "baseline"
}

const (
	// Buckets is the number of buckets of a histogram of times.
	Buckets = 32
	// bucketsPerDoubling is the resolution of the histograms. Two buckets tell
	// apart times that differ by a factor of 1.41, and versions that count as
	// slow differ by more than a factor of 2.
	bucketsPerDoubling = 2
	firstBucketLimit   = 500 * time.Microsecond
)

// BucketLimit returns the longest time that bucket i counts. The last bucket
// also counts all longer times.
func BucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucketLimit) * math.Exp2(float64(i)/bucketsPerDoubling))
}

// Bucket returns the bucket that counts times of length d.
func Bucket(d time.Duration) int {
	if d <= firstBucketLimit {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(firstBucketLimit))))
	return min(i, Buckets-1)
}

// Sample holds the counts of one front since its last report, for one class of
// requests and one cohort.
type Sample struct {
	// Class is the route of the requests.
	Class  string
	Cohort Cohort
	// Sent counts the requests that were sent to the cohort, including those
	// that have not ended. Failures are compared with it, because among the
	// requests that have ended early those that failed at once are too many. If
	// no front reports it, Requests takes its place.
	Sent uint32
	// Requests counts the requests that have ended, Failures those of them that
	// the target failed: error status, broken or missing response.
	Requests uint32
	Failures uint32
	// FirstByte is a histogram of the times to the first byte, counted when the
	// first byte arrives. Interval is one of the mean times between events of a
	// stream. Bucket i counts times up to BucketLimit(i).
	FirstByte, Interval [Buckets]uint32
}

// Order is one ordered rollout. Times are measured on the leader's clock, from
// the order.
type Order struct {
	Service, Version string
	Duration         time.Duration
}

// Limits holds the settings of the guarantees for versions that prove bad.
type Limits struct {
	// ExposeShare is the largest share of all requests to the service from the
	// order to its deadline that a bad version receives, and ExposeSlack a
	// number of requests beyond it.
	ExposeShare, ExposeSlack float64
	// RollbackDelay is the time after the 50th bad response from which a bad
	// version receives nothing.
	RollbackDelay time.Duration
}

// Phase is the state of a rollout.
type Phase uint8

const (
	// Running is the phase in which both versions may receive requests.
	Running Phase = iota
	// Complete ends a rollout with the new version only.
	Complete
	// RolledBack ends a rollout with the old version only.
	RolledBack
)

// String returns the name of the phase for logs and metrics.
func (p Phase) String() string {
	switch p {
	case Complete:
		return "complete"
	case RolledBack:
		return "rolled_back"
	default:
		return "running"
	}
}

// Step is what the leader commits: the share of the requests that the new
// version may receive, or the end of the rollout.
type Step struct {
	Phase Phase
	// Share is the share of each front's requests that the new version may
	// receive, 0 to 1.
	Share float64
	// TargetShare is the fraction of the new targets that receive requests. It
	// is chosen so that the load per target equals that of the old targets.
	TargetShare float64
	// Reason explains the step in logs.
	Reason string
}

// Fleet is what the leader knows of both versions besides the samples.
type Fleet struct {
	BaselineTargets, CanaryTargets, Fronts int
	// BaselineInFlight is the number of requests in flight on old targets, as
	// reported by the fronts.
	BaselineInFlight int
	// UnreportedFronts is the number of fronts that have not reported since the
	// share changed to 1.
	UnreportedFronts int
}
