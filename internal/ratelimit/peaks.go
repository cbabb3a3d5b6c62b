package ratelimit

import (
	"slices"
	"time"
)

// maxPeaks limits the memory of a peakHistory.
const maxPeaks = 32

// peakHistory records the peak fill levels of a bucket. A refund may raise the
// bucket only as far as it would have filled if the tokens had never been
// charged. The highest level since the charge limits that.
type peakHistory struct {
	// entries have increasing times and decreasing levels. The level of an
	// entry is the highest since the time of that entry.
	entries []peak
}

type peak struct {
	at    time.Time
	level float64
}

// record adds the level at now and removes earlier entries that do not exceed
// it.
func (p *peakHistory) record(now time.Time, level float64) {
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].level <= level {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, peak{now, level})
	if len(p.entries) > maxPeaks {
		p.thin()
	}
}

// thin merges pairs of entries. A merged entry has the later time and the
// higher, older level, so a refund becomes smaller, never larger.
func (p *peakHistory) thin() {
	kept := p.entries[:1]
	for i := 1; i < len(p.entries)-1; i += 2 {
		e := p.entries[i]
		e.at = p.entries[i+1].at
		kept = append(kept, e)
	}
	p.entries = append(kept, p.entries[len(p.entries)-1])
}

// addSince adds increase to every level recorded at or after t. A refund raises
// the bucket as if its tokens had never been charged, and later refunds must
// take that into account.
func (p *peakHistory) addSince(t time.Time, increase float64) {
	raised := p.entries
	p.entries = nil
	for _, e := range raised {
		if !e.at.Before(t) {
			e.level += increase
		}
		p.record(e.at, e.level)
	}
}

// maxSince returns the highest level recorded at or after t. If there is none,
// it returns the last level, because the bucket may still have had that level
// at t.
func (p *peakHistory) maxSince(t time.Time) float64 {
	i, _ := slices.BinarySearchFunc(p.entries, t, func(e peak, t time.Time) int { return e.at.Compare(t) })
	if i == len(p.entries) {
		i--
	}
	if i < 0 {
		return 0
	}
	return p.entries[i].level
}
