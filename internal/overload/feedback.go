package overload

import "time"

// The estimates lag behind when all targets become slow, or wait for something that no estimate
// knows. The times to the first byte do not: while all of them are late, a growing share of the
// requests is refused, whatever the estimates are.

const (
	// shareGrowth and shareDecline are by how much the refused share changes in the time of an
	// objective. maxShare is its bound: some requests must always show how long they wait.
	shareGrowth  = 0.15
	shareDecline = 0.5
	maxShare     = 0.8
	// maxSteps limits the change after a time without requests.
	maxSteps = 2
	// minLateResponses is the number of late responses in a row that counts as all.
	minLateResponses = 3
	// longestHalfLife is the half-life of the longest recent time to a first byte.
	longestHalfLife = time.Second
)

// feedback is what the requests of one priority have met.
type feedback struct {
	// lateSince is since when all responses were late; zero if the latest was not.
	lateSince time.Time
	// lateResponses counts the late responses since lateSince.
	lateResponses int
	// refused is the share of requests to refuse, as of at.
	refused float64
	at      time.Time
	// longest is the longest recent time to a first byte, as of longestAt.
	longest   time.Duration
	longestAt time.Time
}

// observe records that a request had its first byte after the given time, or ended then without
// one: if that was soon, it says nothing.
func (f *feedback) observe(now time.Time, r Request, e Estimate, after time.Duration, answered bool) {
	f.longest, f.longestAt = max(f.recentLongest(now), after), now
	late := e.waitKnown(r) && after > r.Objective && after-e.Work > allowedWait(r)
	switch {
	case !late && (e.Limited || !answered):
	case !late:
		f.lateSince, f.lateResponses = time.Time{}, 0
	default:
		if f.lateSince.IsZero() {
			f.lateSince = now
		}
		f.lateResponses++
	}
}

// allLate reports whether all responses have been late for some time.
func (f *feedback) allLate(now time.Time, r Request) bool {
	return f.lateResponses >= minLateResponses && now.Sub(f.lateSince) >= r.Objective
}

func (f *feedback) recentLongest(now time.Time) time.Duration {
	return time.Duration(float64(f.longest) * halved(now.Sub(f.longestAt), longestHalfLife))
}

// share returns the share of requests to refuse now.
func (f *feedback) share(now time.Time, r Request) float64 {
	if r.Objective <= 0 {
		return 0
	}
	steps := min(float64(now.Sub(f.at))/float64(r.Objective), maxSteps)
	if f.allLate(now, r) {
		f.refused = min(f.refused+shareGrowth*steps, maxShare)
	} else {
		f.refused = max(f.refused-shareDecline*steps, 0)
	}
	f.at = now
	return f.refused
}

// age returns how long all responses have been late.
func (f *feedback) age(now time.Time) time.Duration {
	if f.lateSince.IsZero() {
		return 0
	}
	return now.Sub(f.lateSince)
}
