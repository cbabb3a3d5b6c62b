package ratelimit

import (
	"slices"
	"time"
)

// maxPeaks bounds the memory of a peaks value.
const maxPeaks = 32

// peaks remembers the highest fill of a bucket since any moment. A refund may
// only raise the bucket as far as it would stand if the tokens had never been
// charged, and that is limited by the highest fill since the charge.
type peaks struct {
	// entries have growing times and falling values; the value at i is the
	// highest fill from entries[i].at on, up to the next entry's time.
	entries []peak
}

type peak struct {
	at    time.Time
	value float64
}

// note records the fill at now. A fill stays the highest until it is exceeded.
func (p *peaks) note(now time.Time, value float64) {
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].value <= value {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, peak{now, value})
	if len(p.entries) > maxPeaks {
		p.merge()
	}
}

// merge drops every second entry. The next older entry, whose value is higher,
// then stands for it: the refund becomes smaller, never larger.
func (p *peaks) merge() {
	kept := p.entries[:1]
	for i := 1; i < len(p.entries)-1; i += 2 {
		e := p.entries[i]
		e.at = p.entries[i+1].at
		kept = append(kept, e)
	}
	p.entries = append(kept, p.entries[len(p.entries)-1])
}

// raise adds value to every fill at or after t: a refund raises the bucket as
// if its tokens had never been charged, and a later refund must see that.
func (p *peaks) raise(t time.Time, value float64) {
	raised := p.entries
	p.entries = nil
	for _, e := range raised {
		if !e.at.Before(t) {
			e.value += value
		}
		p.note(e.at, e.value)
	}
}

// since returns the highest fill noted at or after t. The last entry before t
// counts too, because the fill may have stood there at t.
func (p *peaks) since(t time.Time) float64 {
	i, _ := slices.BinarySearchFunc(p.entries, t, func(e peak, t time.Time) int { return e.at.Compare(t) })
	if i == len(p.entries) {
		i--
	}
	if i < 0 {
		return 0
	}
	return p.entries[i].value
}
