package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainHolding is a holding as a plain list, the most recently used entry last. Unknown
// tokens are entries without an ID.
type plainHolding []heldPart

func (h *plainHolding) use(id uint32, tokens float64) {
	if n := slices.IndexFunc(*h, func(p heldPart) bool { return p.id == id }); n >= 0 {
		tokens = max(tokens, (*h)[n].tokens)
		*h = slices.Delete(*h, n, n+1)
	}
	*h = append(*h, heldPart{id: id, tokens: tokens})
}

func (h *plainHolding) evict(capacity float64) {
	sum := 0.0
	for _, p := range *h {
		sum += p.tokens
	}
	for sum > capacity && len(*h) > 0 {
		oldest := &(*h)[0]
		if yielded := min(oldest.tokens, sum-capacity); oldest.id == 0 && yielded < oldest.tokens {
			oldest.tokens -= yielded
			return
		}
		sum -= oldest.tokens
		*h = (*h)[1:]
	}
}

func (h plainHolding) has(id uint32) bool {
	return slices.ContainsFunc(h, func(p heldPart) bool { return p.id == id })
}

// Guards against an order of eviction other than that of the last use, and against a sum of
// tokens that drifts away from what is held.
func TestLeastRecentlyUsedTokensYieldFirst(t *testing.T) {
	const parts, capacity = 30, 2000
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var held holding
		var plain plainHolding
		for step := range 500 {
			if id := uint32(1 + random.IntN(parts)); random.IntN(3) > 0 {
				// The size of a part is known from some of its uses.
				tokens := float64(random.IntN(2)) * float64(10*id)
				held.use(id, tokens, time.Time{})
				plain.use(id, tokens)
			} else if len(plain) > 0 {
				held.useUnknown(float64(id))
				plain = append(plain, heldPart{tokens: float64(id)})
			}
			held.evict(capacity, maxMemberParts)
			plain.evict(capacity)
			for id := range uint32(parts + 1) {
				if id > 0 && held.has(id) != plain.has(id) {
					t.Fatalf("seed %d, step %d: part %d is held: %t, want %t", seed, step, id, held.has(id), plain.has(id))
				}
			}
		}
	}
}

// Guards against tracked parts that grow without bound where their sizes are not known.
func TestTrackedPartsOfATargetAreBounded(t *testing.T) {
	var held holding
	for id := range uint32(3 * maxMemberParts) {
		held.use(id, 0, time.Time{})
		held.evict(1000, maxMemberParts)
	}
	if len(held.index) > maxMemberParts || len(held.parts) > maxMemberParts+2 {
		t.Errorf("%d parts are tracked in %d entries, want at most %d", len(held.index), len(held.parts), maxMemberParts)
	}
}

// Guards against an engine that is told to fetch a part from one that is only about to
// prefill it: the fetch misses, and both prefill the part.
func TestPartsThatAreBeingPrefilledAreNotFetched(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 3)
	first := mustChoose(t, p, sharedPrompt(1, 1, 1))
	second := mustChoose(t, p, sharedPrompt(1, 1, 2))
	if second.FetchFrom != nil {
		t.Errorf("%s fetches from %s while that one still prefills the part", second.Target.ID, second.FetchFrom.ID)
	}
	clock.advance(first.Expected)
	members := p.services["model"].members
	prompt := sharedPrompt(1, 1, 3)
	if len(p.services["model"].holdersByZone(&prompt, clock.now)) == 0 {
		t.Errorf("none of the %d engines is a source once the part is prefilled", len(members))
	}
}
