// Package prefillrate learns how fast the engines of a service prefill, which fixed time they
// add, and how fast each engine is compared with the others. The package does no I/O. Its types
// are not safe for concurrent use.
package prefillrate

import (
	"math"
	"time"
)

const (
	// modelHalfLife is the half-life of an observation in a Model, and paceHalfLife that in a
	// Pace. The hardware of engines does not change while they run.
	modelHalfLife = 30 * time.Second
	paceHalfLife  = 15 * time.Second
	// priorTimeMS is the nominal time at which the prior of a Model states the nominal time,
	// besides 0, and priorWeight is the weight of both in observations.
	priorTimeMS = 150.0
	priorWeight = 4.0
	// pacePrior is the number of responses with which the prior of a Pace counts, peerWeight
	// the number for which a report counts, and minReported the number from which a pace is
	// reported.
	pacePrior   = 3.0
	peerWeight  = 0.6
	minReported = 1.5
	// minScale and maxScale limit the ratio of learned and nominal times, and maxFixedMS the
	// fixed time.
	minScale, maxScale = 0.3, 3.0
	maxFixedMS         = 200.0
	// minRatio and maxRatio bound the ratio of observed and expected times that is plausible.
	// A shorter time shows that the prompt was cached, and a longer one that the request
	// waited for others.
	minRatio, maxRatio = 0.25, 4.0
	// scaleTolerance, fixedToleranceMS and paceTolerance are the deviations from the prior
	// that mean nothing, because the nominal times are not exact.
	scaleTolerance = 0.1
	// differentFactor is the ratio of learned and nominal times, either way, from which the
	// engines are not those of the prior. Below it, queueing that cannot be told from the
	// speed of engines may explain the ratio.
	differentFactor  = 1.3
	fixedToleranceMS = 8.0
	paceTolerance    = 0.25
)

func kept(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Model is the time to prefill a prompt as a linear function of the nominal time. The zero
// value states the nominal time.
type Model struct {
	// The sums over the observations of the weight, the nominal time x and the observed time y.
	w, x, y, xx, xy float64
	seen            time.Time
	scale, fixedMS  float64
	learned         bool
}

// Add records the time to the first byte of a request that had the engine nearly to itself.
func (m *Model) Add(now time.Time, nominalMS, observedMS float64) {
	scale, fixed := m.at()
	if expected := fixed + scale*nominalMS; observedMS < minRatio*expected || observedMS > maxRatio*expected {
		return
	}
	k := kept(now.Sub(m.seen), modelHalfLife)
	m.seen = now
	// The error of a time grows with it.
	weight := priorTimeMS / (priorTimeMS + nominalMS)
	m.w = k*m.w + weight
	m.x = k*m.x + weight*nominalMS
	m.y = k*m.y + weight*observedMS
	m.xx = k*m.xx + weight*nominalMS*nominalMS
	m.xy = k*m.xy + weight*nominalMS*observedMS
	m.fit()
}

// fit derives the line with the least squared error, the prior included.
func (m *Model) fit() {
	const p, t = priorWeight, priorTimeMS
	w, x, y, xx, xy := m.w+2*p, m.x+p*t, m.y+p*t, m.xx+p*t*t, m.xy+p*t*t
	scale := min(max((w*xy-x*y)/(w*xx-x*x), minScale), maxScale)
	fixed := (y - scale*x) / w
	if fixed < 0 {
		scale, fixed = min(max(xy/xx, minScale), maxScale), 0
	}
	m.scale, m.fixedMS, m.learned = scale, min(fixed, maxFixedMS), true
}

func (m *Model) at() (scale, fixedMS float64) {
	if !m.learned {
		return 1, 0
	}
	return m.scale, m.fixedMS
}

// Line returns the ratio of the time to prefill a prompt to the nominal time, and the fixed
// time in milliseconds.
func (m *Model) Line() (scale, fixedMS float64) {
	scale, fixedMS = m.at()
	if math.Abs(scale-1) <= scaleTolerance {
		scale = 1
	}
	if fixedMS <= fixedToleranceMS {
		fixedMS = 0
	}
	return scale, fixedMS
}

// Differs reports whether the engines prefill at another rate than the nominal one.
func (m *Model) Differs() bool {
	scale, _ := m.at()
	return scale >= differentFactor || scale <= 1/differentFactor
}

// Pace is how many times longer than the mean engine of the service one engine takes; below 1
// for a faster one. The zero value is 1.
type Pace struct {
	own sums
	// peers has what other processes report.
	peers  sums
	factor float64
}

type sums struct {
	observed, expected float64
	seen               time.Time
}

func (s *sums) add(now time.Time, ratio, weight float64) {
	k := kept(now.Sub(s.seen), paceHalfLife)
	s.observed, s.expected, s.seen = k*s.observed+weight*ratio, k*s.expected+weight, now
}

// Add records the ratio of an observed time and of the one expected at an engine of the mean
// pace. The weight is a number of responses.
func (p *Pace) Add(now time.Time, ratio, weight float64) {
	p.own.add(now, min(max(ratio, minRatio), maxRatio), weight)
	p.combine()
}

// AddPeer records the pace that another process reports. Reports repeat what they are based
// on, so that they count less than responses.
func (p *Pace) AddPeer(now time.Time, pace float64) {
	p.peers.add(now, min(max(pace, minRatio), maxRatio), peerWeight)
	p.combine()
}

func (p *Pace) combine() {
	p.factor = (p.own.observed + p.peers.observed + pacePrior) / (p.own.expected + p.peers.expected + pacePrior)
}

// Own returns what the responses to this process show, and whether they are enough to be
// reported.
func (p *Pace) Own() (float64, bool) {
	if p.own.expected < minReported {
		return 1, false
	}
	return p.own.observed / p.own.expected, true
}

// Factor returns the pace.
func (p *Pace) Factor() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

// Marked returns a pace, or 1 if it deviates little from that.
func Marked(pace float64) float64 {
	if math.Abs(pace-1) > paceTolerance {
		return pace
	}
	return 1
}

// Codes of a pace in reports: the logarithm of the pace in steps of a quarter of an octave.
// Code 0 means that it is not known.
const (
	codeOne   = 8
	maxCode   = 15
	codeSteps = 4.0
)

// Encode returns the code of a pace.
func Encode(pace float64) uint8 {
	return uint8(min(max(math.Round(codeSteps*math.Log2(pace))+codeOne, 1), maxCode))
}

// Decode returns the pace of a code, and false if it is not known.
func Decode(code uint8) (float64, bool) {
	return math.Exp2((float64(code) - codeOne) / codeSteps), code > 0 && code <= maxCode
}
