package placement

import "time"

// homeFor returns the home of a request: the member that all VMs prefer for its
// shared parts, so that these are cached there. Rendezvous hashing of the last
// shared part lets all VMs choose the same member without exchanging messages.
// Prompts with the same first part have their homes within a small group, so
// that the first part occupies memory only there. A prompt whose shared parts engines
// would evict before their next use has its home where a store keeps them.
func (p *Placer) homeFor(s *service, req *Request, now time.Time) *member {
	shared := len(req.Parts) - req.UniqueParts
	if shared <= 0 {
		return nil
	}
	members := s.members
	if !p.uses.survive(s, req.sharedParts(), now) {
		members = p.storeBacked(s, req)
	}
	first, last := req.Parts[0].ID, req.Parts[shared-1].ID
	minWeight := minGroupWeight(members, req, first)
	var home *member
	best := uint64(0)
	for _, m := range members {
		if !m.canBeHome(req) || mix64(first^m.hash) < minWeight {
			continue
		}
		if weight := mix64(last ^ m.hash); home == nil || weight > best {
			home, best = m, weight
		}
	}
	return home
}

// homeDiscount returns the preference of this VM for homes.
func (p *Placer) homeDiscount() float64 {
	if f := p.fleet(); f.visible < f.fronts {
		return blindHomeDiscount
	}
	return homeDiscount
}

// storeBacked returns the candidates for the home of a request whose region has a store,
// or all members if there are none.
func (p *Placer) storeBacked(s *service, req *Request) []*member {
	var backed []*member
	for _, m := range s.members {
		if m.canBeHome(req) && p.hasStore(m.Region) {
			backed = append(backed, m)
		}
	}
	if len(backed) == 0 {
		return s.members
	}
	return backed
}

// canBeHome reports whether the member is a candidate for the home of a
// request. Engines with older weights are not, because their cache is lost with
// the coming weight update.
func (m *member) canBeHome(r *Request) bool {
	return !m.Excluded && !m.down && m.Weights >= r.Weights && m.Cohort.matches(r.Cohort)
}

// The homes of prompts with the same first part are 1/groupDivisor of the
// service's engines, but at least minGroupSize.
const (
	groupDivisor = 3
	minGroupSize = 3
)

// minGroupWeight returns the lowest rendezvous weight of the members that can
// be homes of prompts with the given first part.
func minGroupWeight(members []*member, req *Request, first uint64) uint64 {
	weights := make([]uint64, 0, len(members))
	for _, m := range members {
		if m.canBeHome(req) {
			weights = append(weights, mix64(first^m.hash))
		}
	}
	size := max(minGroupSize, len(weights)/groupDivisor)
	if len(weights) <= size {
		return 0
	}
	return nthSmallest(weights, len(weights)-size)
}

// nthSmallest returns the element that would be at index n if the list were sorted, and reorders
// the list. Weights are hashes, so that any element is a good pivot.
func nthSmallest(list []uint64, n int) uint64 {
	for {
		pivot := list[len(list)/2]
		less, greater, i := 0, len(list), 0
		for i < greater {
			switch {
			case list[i] < pivot:
				list[less], list[i] = list[i], list[less]
				less++
				i++
			case list[i] > pivot:
				greater--
				list[greater], list[i] = list[i], list[greater]
			default:
				i++
			}
		}
		switch {
		case n < less:
			list = list[:less]
		case n >= greater:
			list, n = list[greater:], n-greater
		default:
			return pivot
		}
	}
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
