package canary

import (
	"math"
	"time"
)

const (
	// minTimes is the number of times of the old version from which a class and
	// epoch can be compared.
	minTimes = 20
	// minCanaryTimes is the number of times of the new version, or of requests
	// that wait for a response, below which a class and epoch are not compared:
	// few late responses in a row are common when the targets of both versions
	// are slow at times.
	minCanaryTimes = 8
	// priorTimes is the weight, in times, of the whole epoch in the distribution
	// of a shorter window. A short window alone has too few late responses.
	priorTimes = 30
	// outlierShare is the share of times that may lie anywhere, also for a good
	// version.
	outlierShare = 0.04
	// slowBurstLength is shorter than burstLength, because times are compared
	// only after the cold start, and the rollback must not be later for it.
	slowBurstLength = time.Second
	// kernel is the part of a count that is attributed to each neighbouring
	// bucket, because few times leave gaps between the buckets.
	kernel = 0.1
)

// slowdown states that a part of the responses takes longer by a number of
// buckets.
type slowdown struct {
	part  float64
	shift int
}

// slowdowns lists the hypotheses that are compared. The first harmless ones are
// those of a good version: equal, or slower by no more than the resolution of
// the histogram.
var slowdowns = []slowdown{
	{0, 0}, {0.5, 1}, {1, 1},
	{0.15, 3}, {0.3, 3}, {0.6, 3}, {1, 3},
	{0.15, 4}, {0.3, 4}, {0.6, 4}, {1, 4},
	{0.15, 6}, {0.3, 6}, {0.6, 6}, {1, 6},
	{0.15, 9}, {0.4, 9}, {1, 9},
}

const (
	// harmless is the number of hypotheses of a good version.
	harmless = 3
	// uniformPenalty weighs the last harmless one, all responses slower by a
	// bucket, as unlikely beforehand. With few responses it is hard to tell from
	// a part of them being several times slower.
	uniformPenalty = 3
)

// likelihoods holds the logarithm of the likelihood of each hypothesis.
type likelihoods [18]float64

// score returns the logarithm of the likelihood ratio of the most likely
// slowdown to the most likely harmless hypothesis.
func (l *likelihoods) score() float64 {
	bad, good := math.Inf(-1), math.Inf(-1)
	for i, v := range l {
		switch {
		case i >= harmless:
			bad = max(bad, v)
		case i == harmless-1:
			good = max(good, v-uniformPenalty)
		default:
			good = max(good, v)
		}
	}
	return max(0, bad-good)
}

// slowEvidence holds the likelihoods by the start of their slot.
type slowEvidence struct {
	total  likelihoods
	bursts map[time.Duration]*likelihoods
}

func (e *slowEvidence) add(start time.Duration, l *likelihoods) {
	at := e.bursts[start]
	if at == nil {
		at = &likelihoods{}
		e.bursts[start] = at
	}
	for i, v := range l {
		e.total[i] += v
		at[i] += v
	}
}

func (e *slowEvidence) merge(o *slowEvidence) {
	for start, l := range o.bursts {
		e.add(start, l)
	}
}

// finding returns the score, and the lower one without the worst burst.
func (e *slowEvidence) finding() (score, raw float64) {
	raw = e.total.score()
	if raw == 0 {
		return raw, raw
	}
	rest := raw
	for start := range e.bursts {
		without := e.total
		for at := start; at < start+slowBurstLength; at += slotLength {
			if l := e.bursts[at]; l != nil {
				for i := range without {
					without[i] -= l[i]
				}
			}
		}
		rest = min(rest, without.score())
	}
	return min(raw, rest/restFraction), raw
}

// times selects one of the histograms.
type times uint8

const (
	firstByteTimes times = iota
	intervalTimes
)

func (t times) of(c *counts) *[Buckets]uint32 {
	if t == firstByteTimes {
		return &c.firstByte
	}
	return &c.interval
}

// slowness returns the evidence of slowness of a class from the given time on,
// without requests that were sent while new targets may still have been cold.
func (a *Analysis) slowness(c *class, of times, from, warmUp time.Duration) slowEvidence {
	e := slowEvidence{bursts: map[time.Duration]*likelihoods{}}
	end := len(c.slots)
	for end > 0 && c.slots[end-1].start >= from {
		begin := end - 1
		for begin > 0 && c.slots[begin-1].epoch == c.slots[end-1].epoch && c.slots[begin-1].start >= from {
			begin--
		}
		a.compareTimes(&e, c.slots[begin:end], c.epochTimes(of, begin), of, warmUp)
		end = begin
	}
	return e
}

// epochTimes sums the times of the old version in the epoch of slot i.
func (c *class) epochTimes(of times, i int) [Buckets]uint32 {
	for i > 0 && c.slots[i-1].epoch == c.slots[i].epoch {
		i--
	}
	var h [Buckets]uint32
	for epoch := c.slots[i].epoch; i < len(c.slots) && c.slots[i].epoch == epoch && !c.slots[i].alone; i++ {
		for b, n := range of.of(&c.slots[i].counts[Baseline]) {
			h[b] += n
		}
	}
	return h
}

// warmBuckets returns the number of buckets that hold only responses to
// requests that were sent when all targets were warm.
func (s *slot) warmBuckets(warmUp time.Duration) int {
	if s.alone || s.sinceGrowth <= warmUp {
		return 0
	}
	return Bucket(s.sinceGrowth - warmUp)
}

// compareTimes adds the likelihoods of the slots of one epoch. prior holds the
// times of the old version in the whole epoch.
func (a *Analysis) compareTimes(e *slowEvidence, slots []slot, prior [Buckets]uint32, of times, warmUp time.Duration) {
	var base [Buckets]uint32
	nc := 0.0
	for i := range slots {
		if slots[i].alone {
			continue
		}
		for b, n := range of.of(&slots[i].counts[Baseline]) {
			base[b] += n
		}
		for _, n := range of.of(&slots[i].counts[Canary])[:slots[i].warmBuckets(warmUp)] {
			nc += float64(n)
		}
	}
	waiting, ages := 0.0, [Buckets]float64{}
	if of == firstByteTimes {
		waiting, ages = a.waiting(slots, warmUp)
	}
	nb := float64(sum(&base))
	if nb < minTimes || nc+waiting < minCanaryTimes {
		return
	}
	density, whole := smooth(&base, nb), smooth(&prior, float64(sum(&prior)))
	for b := range density {
		density[b] = (nb*density[b] + priorTimes*whole[b]) / (nb + priorTimes)
	}
	var logs [len(likelihoods{})][Buckets]float64
	var late likelihoods
	// The old version's distribution is known from nb times only, which adds to
	// the variance of the comparison in the proportion of nc to nb.
	weight := nb / (nb + nc + waiting)
	for h, s := range slowdowns {
		exceeds, remaining := 0.0, 1.0
		for b := range Buckets {
			p := s.probability(&density, b)
			logs[h][b] = weight * math.Log(p)
			remaining -= p
			exceeds += ages[b] * max(0, remaining)
		}
		if waiting > 0 {
			late[h] = weight * waiting * math.Log(max(exceeds, 1e-3))
		}
	}
	for i := range slots {
		l, any := likelihoods{}, false
		for b, n := range of.of(&slots[i].counts[Canary])[:slots[i].warmBuckets(warmUp)] {
			if n == 0 {
				continue
			}
			any = true
			for h := range l {
				l[h] += float64(n) * logs[h][b]
			}
		}
		if any {
			e.add(slots[i].start, &l)
		}
	}
	e.addWaiting(slots, waiting, &late)
}

// addWaiting adds the likelihoods of the waiting requests to the slots in which
// the last requests were sent: these have most likely no response yet, and a
// pause of one target then remains a single burst.
func (e *slowEvidence) addWaiting(slots []slot, waiting float64, late *likelihoods) {
	left := waiting
	for i := len(slots) - 1; i >= 0 && left > 0; i-- {
		n := min(left, float64(slots[i].counts[Canary].sent))
		if n == 0 {
			continue
		}
		part := *late
		for h := range part {
			part[h] *= n / waiting
		}
		e.add(slots[i].start, &part)
		left -= n
	}
}

// waiting returns the number of requests to warm new targets that have no
// response yet, and the distribution of the ages of all such requests. Without
// them, the slowest responses would be missing in the comparison.
func (a *Analysis) waiting(slots []slot, warmUp time.Duration) (float64, [Buckets]float64) {
	sent, answered, ages := 0.0, 0.0, [Buckets]float64{}
	if !a.sentReported {
		return 0, ages
	}
	last := slots[len(slots)-1].start
	for i := range slots {
		s := &slots[i]
		canary := &s.counts[Canary]
		for _, n := range canary.firstByte[:s.warmBuckets(warmUp)] {
			answered += float64(n)
		}
		if s.sinceGrowth > warmUp && !s.alone {
			answered += float64(canary.failures)
		}
		// A slot later, responses in the bucket that the end of the warm-up cuts
		// are not taken for missing ones.
		if s.sinceGrowth > warmUp+slotLength && canary.sent > 0 && !s.alone {
			sent += float64(canary.sent)
			if age := last - s.start; age > 0 {
				ages[Bucket(age)-1] += float64(canary.sent)
			}
		}
	}
	for b := range ages {
		ages[b] /= max(1, sent)
	}
	return max(0, sent-answered), ages
}

// probability returns the probability of bucket b under the hypothesis.
func (s slowdown) probability(density *[Buckets]float64, b int) float64 {
	p := (1 - s.part) * density[b]
	if b-s.shift >= 0 {
		p += s.part * density[b-s.shift]
	}
	if b == Buckets-1 {
		for i := b - s.shift + 1; i < Buckets; i++ {
			p += s.part * density[i]
		}
	}
	return (1-outlierShare)*p + outlierShare/Buckets
}

// smooth returns the distribution of the times, with a part of each count
// attributed to the neighbouring buckets.
func smooth(h *[Buckets]uint32, total float64) [Buckets]float64 {
	var density [Buckets]float64
	for b, n := range h {
		p := float64(n) / total
		density[b] += (1 - 2*kernel) * p
		density[max(0, b-1)] += kernel * p
		density[min(Buckets-1, b+1)] += kernel * p
	}
	return density
}
