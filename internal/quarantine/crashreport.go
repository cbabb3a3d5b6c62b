package quarantine

import (
	"cmp"
	"hash/maphash"
	"slices"
	"strings"
)

// crashReporter divides the evidence of crashes into pieces of limited size.
type crashReporter struct {
	seed maphash.Seed
	// hasCompleted reports whether a request with a part is known to have completed, and
	// isSuspected whether the leader suspects a part.
	hasCompleted, isSuspected func(id string) bool
	// crashes is the number of crashes so far. It decides which parts lose first.
	crashes uint64
}

// pieces returns the report of a crash in pieces of limited size, the likeliest evidence first, and
// the number of parts that are left out.
func (c *crashReporter) pieces(crash Crash) (pieces []Crash, leftOut int) {
	c.crashes++
	unknown, completed := c.split(crash.Requests)
	c.limit(unknown, maxCrashParts)
	c.limit(completed, min(maxCompletedParts, maxCrashParts-partCount(unknown)))
	chunks := append(chunks(unknown, true), chunks(completed, false)...)
	return packed(crash, chunks), differentParts(crash.Requests) - differentParts(chunks)
}

// packed divides the chunks of a crash into pieces of limited size.
func packed(crash Crash, chunks []BrokenRequest) []Crash {
	var pieces []Crash
	size := 0
	for _, chunk := range chunks {
		if len(pieces) == 0 || size+chunk.bytes() > maxPieceBytes {
			pieces = append(pieces, Crash{Engine: crash.Engine, At: crash.At})
			size = 0
		}
		size += chunk.bytes()
		last := &pieces[len(pieces)-1]
		last.Requests = append(last.Requests, chunk)
	}
	return pieces
}

// split returns the requests with those of their parts that are not known to have completed, and
// with the others. A part is in maxRequestsPerSighting of the requests at most.
func (c *crashReporter) split(requests []BrokenRequest) (unknown, completed []BrokenRequest) {
	seen := make(map[string]int)
	for _, r := range requests {
		u, s := r, r
		u.Parts, s.Parts = nil, nil
		for _, part := range withoutDuplicates(r.Parts) {
			if seen[part.ID]++; seen[part.ID] > maxRequestsPerSighting {
				continue
			}
			if c.hasCompleted(part.ID) {
				s.Parts = append(s.Parts, part)
			} else {
				u.Parts = append(u.Parts, part)
			}
		}
		unknown, completed = append(unknown, u), append(completed, s)
	}
	return unknown, completed
}

// withoutDuplicates returns the parts in their order, each once.
func withoutDuplicates(parts []Part) []Part {
	seen := make(map[string]bool, len(parts))
	return slices.DeleteFunc(slices.Clone(parts), func(part Part) bool {
		duplicate := seen[part.ID]
		seen[part.ID] = true
		return duplicate
	})
}

// limit leaves the requests as many parts as the budget allows, each the same share at most.
func (c *crashReporter) limit(requests []BrokenRequest, budget int) {
	share := fairShare(partCounts(requests), budget)
	for i := range requests {
		r := &requests[i]
		if len(r.Parts) > MaxChunkParts || float64(len(r.Parts)) > share {
			c.sortByRank(r.Parts)
		}
		if float64(len(r.Parts)) > share {
			r.Parts = r.Parts[:int(share)]
		}
	}
}

// sortByRank sorts the parts of a request such that those that the leader suspects come first. The
// order of the others differs at each crash.
func (c *crashReporter) sortByRank(parts []Part) {
	ranks := make(map[string]uint64, len(parts))
	for _, part := range parts {
		if !c.isSuspected(part.ID) {
			ranks[part.ID] = 1 + mix(maphash.String(c.seed, part.ID), c.crashes)>>1
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(ranks[a.ID], ranks[b.ID]) })
}

// chunks divides requests into ones with MaxChunkParts parts at most. The first chunk of each
// request precedes all second ones. With all set, requests without parts are kept.
func chunks(requests []BrokenRequest, all bool) []BrokenRequest {
	var list []BrokenRequest
	for first := 0; ; first += MaxChunkParts {
		added := false
		for _, r := range requests {
			if first < len(r.Parts) || all && first == 0 {
				chunk := r
				chunk.Parts = r.Parts[first:min(first+MaxChunkParts, len(r.Parts))]
				list = append(list, chunk)
				added = true
			}
		}
		if !added {
			return list
		}
	}
}

// differentParts returns the number of different parts in the requests.
func differentParts(requests []BrokenRequest) int {
	seen := make(map[string]bool)
	for _, r := range requests {
		for _, part := range r.Parts {
			seen[part.ID] = true
		}
	}
	return len(seen)
}

func partCounts(requests []BrokenRequest) []int {
	counts := make([]int, len(requests))
	for i, r := range requests {
		counts[i] = len(r.Parts)
	}
	return counts
}

func partCount(requests []BrokenRequest) int {
	count := 0
	for _, r := range requests {
		count += len(r.Parts)
	}
	return count
}

// brokenParts returns the parts with the names as evidence. It does not keep the memory of the
// names, which are in the head of a request.
func brokenParts(names []string) []Part {
	parts := make([]Part, len(names))
	for i, name := range names {
		parts[i] = Part{ID: strings.Clone(partID(name)), Position: i}
	}
	return parts
}

// bytes returns the size of the names of the request.
func (r BrokenRequest) bytes() int {
	size := len(r.Key)
	for _, part := range r.Parts {
		size += len(part.ID)
	}
	return size
}
