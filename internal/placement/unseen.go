package placement

import (
	"math"
	"time"

	"github.com/cuminwing/cuminwing/internal/spread"
)

const (
	// maxHintAge limits the age of hints that is reckoned with. Beyond it, the engines have done
	// what was sent since the hints.
	maxHintAge = time.Second
	// hintAgeSmoothing is the weight of one measured age in their mean.
	hintAgeSmoothing = 0.1
	// maxTieMS limits the cost difference in milliseconds below which targets count as equal
	// because of what other fronts may have sent. Wider ties give away more than the choice by
	// the requests of this front gains.
	maxTieMS = 20.0
)

// unseen estimates the work that other fronts have sent without this front knowing of it. Fronts
// with the same information would otherwise all choose the engine that seems idle.
type unseen struct {
	// age is the mean age of hints when they arrive.
	age time.Duration
	// sent measures the work of the requests that this front knows of, in milliseconds.
	sent decayingRate
	// sinceHintsMS is the work that other fronts are expected to have sent to each engine
	// since their last hints, and level the cost without a request of its own up to which this
	// work fills the engines.
	sinceHintsMS, level float64
	// costs has the costs of the members of the service without the request, as far as they are
	// usable.
	costs []float64
}

// SetHintAge records an age with which hints of other fronts arrive. It is 0 at first, so that
// only the work that is known counts.
func (p *Placer) SetHintAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	age = min(max(age, 0), maxHintAge)
	if p.unseen.age == 0 {
		p.unseen.age = age
	}
	p.unseen.age += time.Duration(hintAgeSmoothing * float64(age-p.unseen.age))
}

// UnseenWork returns the work that other fronts are expected to have sent to each engine since
// their last hints, as of the latest choice, in milliseconds.
func (p *Placer) UnseenWork() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unseen.sinceHintsMS
}

// estimateUnseen updates the estimate for a request. Fronts of other regions that announce
// nothing here are assumed to use the engines of their own region.
func (p *Placer) estimateUnseen(s *service, req *Request, now time.Time) {
	u, f := &p.unseen, p.fleet()
	u.sinceHintsMS, u.level = 0, 0
	if f.visible == 1 || u.age == 0 {
		return
	}
	u.costs = u.costs[:0]
	near := 0.0
	for _, m := range s.members {
		if m.Excluded || m.down {
			u.costs = append(u.costs, math.Inf(1))
			continue
		}
		u.costs = append(u.costs, p.roundTripMS(m)+m.state.Slowdown(now)*m.state.Backlog(now, req.Priority))
		if f.visible == f.fronts || m.Region == p.Region {
			near++
		}
	}
	if near == 0 {
		return
	}
	// Fronts are assumed to send alike.
	others := float64(f.visible-1) / float64(f.visible)
	u.sinceHintsMS = u.sent.perSecond(now) * u.age.Seconds() * others / near
	if u.sinceHintsMS > 0 {
		u.level = spread.Level(u.costs, u.sinceHintsMS*near)
	}
}

// chargeMS returns the work that other fronts are expected to have sent to the n-th member since
// their last hints.
func (u *unseen) chargeMS(n int) float64 {
	if u.level == 0 {
		return 0
	}
	return max(0, u.level-u.costs[n])
}

// tieMS returns the cost difference below which targets count as equal. It grows with the work
// that is not known, because the requests of this front then tell more.
func (p *Placer) tieMS() float64 {
	return min(max(tieThresholdMS, p.unseen.sinceHintsMS), maxTieMS)
}
