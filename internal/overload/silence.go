package overload

import "time"

const (
	// silentFactor is the multiple of the expected time to the first byte after which a
	// target counts as silent, and minSilentFactor the smallest one with which it can.
	silentFactor    = 4
	minSilentFactor = 2
	// silentObjectives is the part of the objective that a target may always be silent, and
	// silentPatience the part of the time that the caller still waits after which no other
	// target is tried.
	silentObjectives = 0.5
	silentPatience   = 0.5
)

func silenceLimit(expected, objective, left time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	limit := max(silentFactor*expected, time.Duration(silentObjectives*float64(objective)))
	if limit = min(limit, time.Duration(silentPatience*float64(left))); limit < minSilentFactor*expected {
		return 0
	}
	return limit
}
