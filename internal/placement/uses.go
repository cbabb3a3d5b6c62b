package placement

import (
	"math"
	"time"
)

const (
	// insertionHalfLife is the half-life of the insertions that a decayingRate counts.
	insertionHalfLife = 3 * time.Second
	// intervalSmoothing is the weight of one use in the mean interval between uses.
	intervalSmoothing = 0.25
	// longGapFactor is how many times longer than the mean a gap between two uses may be.
	// Of random arrivals, two gaps in a hundred are longer.
	longGapFactor = 4
	// minBackedTokens is the number of shared tokens from which it matters whether a store
	// keeps them: one step of a prefill.
	minBackedTokens = prefillChunkTokens
	// maxTrackedUses limits the parts whose uses are tracked, and useExpiry is how long a
	// part is tracked after its last use.
	maxTrackedUses = 1 << 14
	useExpiry      = time.Minute
)

// decayingRate measures a rate per second.
type decayingRate struct {
	sum float64
	at  time.Time
}

func (r *decayingRate) add(now time.Time, amount float64) {
	r.sum = decay(r.sum, now.Sub(r.at), insertionHalfLife) + amount
	r.at = now
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return decay(r.sum, now.Sub(r.at), insertionHalfLife) * math.Ln2 / insertionHalfLife.Seconds()
}

// partUse is how often a shared part is used by the requests of all VMs.
type partUse struct {
	// tokens is the size of the part; 0 if no request of this VM has named it.
	tokens int
	last   time.Time
	// interval is the mean time between two uses; 0 before the second one.
	interval time.Duration
}

// partUses tracks the uses of the shared parts of prompts.
type partUses struct{ parts map[uint32]partUse }

func (u *partUses) record(now time.Time, parts []Part) {
	if u.parts == nil {
		u.parts = make(map[uint32]partUse)
	}
	for _, part := range parts {
		use, known := u.parts[uint32(part.ID)]
		use.tokens = max(use.tokens, part.Tokens)
		gap := now.Sub(use.last)
		switch {
		case !known:
		case use.interval == 0:
			use.interval = gap
		default:
			use.interval += time.Duration(intervalSmoothing * float64(gap-use.interval))
		}
		use.last = now
		u.parts[uint32(part.ID)] = use
	}
	if len(u.parts) > maxTrackedUses {
		u.expire(now)
	}
}

// sized returns parts with their sizes as far as they are known.
func (u *partUses) sized(hashes []uint32) []Part {
	parts := make([]Part, len(hashes))
	for i, hash := range hashes {
		parts[i] = Part{ID: uint64(hash), Tokens: u.parts[hash].tokens}
	}
	return parts
}

// expire forgets the parts that are no longer used, or all of them if too many are left.
func (u *partUses) expire(now time.Time) {
	for part, use := range u.parts {
		if now.Sub(use.last) > useExpiry {
			delete(u.parts, part)
		}
	}
	if len(u.parts) > maxTrackedUses {
		clear(u.parts)
	}
}

// survive reports whether engines of the service keep the shared parts of a prompt from one
// use to the next, at the rate at which tokens are inserted into their memories now. Small
// parts count as kept. Parts that were used only once do not: until more is known of them, a
// store should get them.
func (u *partUses) survive(s *service, shared []Part, now time.Time) bool {
	if totalTokens(shared) < minBackedTokens {
		return true
	}
	interval := u.parts[uint32(shared[len(shared)-1].ID)].interval
	if interval == 0 {
		return false
	}
	memory, rate := 0.0, 0.0
	for _, m := range s.members {
		if m.state.Ejected(now) {
			continue
		}
		memory += m.cacheBudget()
		rate += m.insertion.perSecond(now)
	}
	return rate*longGapFactor*interval.Seconds() < memory
}
