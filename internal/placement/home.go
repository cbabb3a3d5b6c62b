package placement

import "slices"

// homeFor returns the member at which all VMs expect the last shared part, by
// rendezvous hashing, so that they agree without messages. Prompts with the
// same first part share a few homes, so that the first part takes memory on
// these only.
func homeFor(s *service, req *Request) *member {
	shared := len(req.Parts) - req.UniqueParts
	if shared <= 0 {
		return nil
	}
	first, last := req.Parts[0].ID, req.Parts[shared-1].ID
	minWeight := minGroupWeight(s, req, first)
	var home *member
	best := uint64(0)
	for _, m := range s.members {
		if !m.canBeHome(req) || mix64(first^m.hash) < minWeight {
			continue
		}
		if weight := mix64(last ^ m.hash); home == nil || weight > best {
			home, best = m, weight
		}
	}
	return home
}

// canBeHome reports whether a member can be a home: engines with older weights lose
// what they hold soon.
func (m *member) canBeHome(r *Request) bool { return !m.Closed && !m.down && m.Weights >= r.Weights }

// groupPart is the part of a service's engines that are homes of the prompts
// with one first part, and groupMin the least number.
const (
	groupDivisor = 3
	minGroupSize = 3
)

// minGroupWeight returns the rendezvous weight that the homes of a first part reach
// at least.
func minGroupWeight(s *service, req *Request, first uint64) uint64 {
	weights := make([]uint64, 0, len(s.members))
	for _, m := range s.members {
		if m.canBeHome(req) {
			weights = append(weights, mix64(first^m.hash))
		}
	}
	size := max(minGroupSize, len(weights)/groupDivisor)
	if len(weights) <= size {
		return 0
	}
	slices.Sort(weights)
	return weights[len(weights)-size]
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
