package targetstate

import "time"

// levels is the number of priorities that are told apart. Lower ones count as the last.
const levels = 10

// backlog is the nominal work that is left at a target, by priority. The most urgent work
// is done first.
type backlog struct {
	left [levels]float64
	// sent is the work sent so far.
	sent [levels]float64
	at   time.Time
}

func level(priority int) int { return min(max(priority, 0), levels-1) }

// drain removes the work done until now.
func (b *backlog) drain(now time.Time, slowdown float64) {
	done := ms(now.Sub(b.at)) / slowdown
	for l := range b.left {
		part := min(done, b.left[l])
		b.left[l] -= part
		done -= part
	}
	b.at = now
}

// ahead returns the work that is done before a new request of a priority.
func (b *backlog) ahead(now time.Time, priority int, slowdown float64) float64 {
	sum := 0.0
	for _, left := range b.left[:level(priority)+1] {
		sum += left
	}
	if sum == 0 {
		return 0
	}
	return max(0, sum-ms(now.Sub(b.at))/slowdown)
}

func (b *backlog) add(now time.Time, priority int, workMS, slowdown float64) {
	b.drain(now, slowdown)
	l := level(priority)
	b.left[l] = max(0, b.left[l]+workMS)
	b.sent[l] += max(0, workMS)
}

// limit removes what must be done because a request of a priority was answered: all work
// that is as urgent and was sent before it.
func (b *backlog) limit(priority int, sentBefore *[levels]float64) {
	for l := range level(priority) + 1 {
		b.left[l] = min(b.left[l], b.sent[l]-sentBefore[l])
	}
}

// sentSince returns the more urgent work that was sent after a request.
func (b *backlog) sentSince(a *Attempt) float64 {
	sum := 0.0
	for l := range level(a.work.Priority) {
		sum += b.sent[l] - a.sentBefore[l]
	}
	return sum
}
