package quarantine

import (
	"hash/maphash"
	"slices"
	"time"
)

// completions holds when requests and parts last completed, by a hash of their key or name.
type completions struct {
	seed maphash.Seed
	at   map[uint64]time.Duration
}

func newCompletions() completions {
	return completions{seed: maphash.MakeSeed(), at: make(map[uint64]time.Duration)}
}

// last returns the last completion with a suspect; 0 if none is known.
func (c *completions) last(suspect string) time.Duration {
	return c.at[maphash.String(c.seed, suspect)]
}

// record records a completion with a suspect. If the limit is reached, the older half is
// forgotten, but for those that needed returns.
func (c *completions) record(suspect string, now time.Duration, needed func() []string) {
	h := maphash.String(c.seed, suspect)
	if _, known := c.at[h]; !known && len(c.at) >= maxCompleted {
		kept := make(map[uint64]time.Duration)
		for _, name := range needed() {
			if at := c.last(name); at != 0 {
				kept[maphash.String(c.seed, name)] = at
			}
		}
		forgetOlderHalf(c.at, now)
		for h, at := range kept {
			c.at[h] = at
		}
	}
	c.at[h] = now
}

// forgetOlderHalf deletes the entries whose times are at or before the median.
func forgetOlderHalf[K comparable](entries map[K]time.Duration, now time.Duration) {
	ages := make([]time.Duration, 0, len(entries))
	for _, at := range entries {
		ages = append(ages, now-at)
	}
	slices.Sort(ages)
	median := ages[len(ages)/2]
	for key, at := range entries {
		if now-at >= median {
			delete(entries, key)
		}
	}
}
