package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomService returns a service with engines in three zones of two regions that hold
// random parts of a prompt.
func randomService(random *rand.Rand, engines int) (*service, *Request) {
	req := &Request{Service: "s"}
	for part := range 4 {
		req.Parts = append(req.Parts, Part{ID: uint64(part + 1), Tokens: 100 + random.IntN(400)})
	}
	s := &service{}
	for n := range engines {
		zone := random.IntN(3)
		m := &member{Target: Target{
			ID: fmt.Sprint(n), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2), Weights: uint64(random.IntN(3)),
			Terminating: random.IntN(10) == 0,
		}, down: random.IntN(10) == 0}
		for part := range random.IntN(len(req.Parts) + 1) {
			m.held.use(uint32(part+1), 0, time.Time{})
		}
		s.members = append(s.members, m)
	}
	return s, req
}

// bestGain returns the gain of the best of all members as a source for m, found by trying
// all of them.
func bestGain(s *service, m *member, req *Request) float64 {
	best := 0.0
	for _, other := range s.members {
		more := other.cachedTokens(req) - m.cachedTokens(req)
		if other == m || m.Weights == 0 || other.Weights != m.Weights || other.Terminating || other.down || more < minFetchTokens {
			continue
		}
		best = max(best, gainOf(m, other, more))
	}
	return best
}

func gainOf(m, source *member, more int) float64 {
	return float64(more) * (2/prefillTokensPerMS - fetchMSPerToken(m, source))
}

// Guards against an engine that fetches parts of a prompt from a worse source than the
// best one, because only a few members are considered.
func TestFetchSourceIsTheBestOfAllMembers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		s, req := randomService(random, 1+random.IntN(40))
		holders := s.holdersByZone(req, time.Now())
		for _, m := range s.members {
			cached := m.cachedTokens(req)
			got := 0.0
			if source := m.fetchSource(holders, cached); source != nil {
				got = gainOf(m, source.member, source.tokens-cached)
			}
			if want := bestGain(s, m, req); got != want {
				t.Fatalf("%d engines: the gain of the source is %v, that of the best one %v", len(s.members), got, want)
			}
		}
	}
}

// Guards against the cost of a choice that grows with the square of the number of engines.
func TestSourcesToCompareDoNotGrowWithTheFleet(t *testing.T) {
	for _, engines := range []int{8, 80, 320} {
		s, req := randomService(rand.New(rand.NewPCG(1, 1)), engines)
		for _, m := range s.members {
			for _, part := range req.Parts {
				m.held.use(uint32(part.ID), 0, time.Time{})
			}
		}
		const zones, versions = 3, 2
		if n := len(s.holdersByZone(req, time.Now())); n > zones*versions {
			t.Errorf("%d sources are compared for each of %d engines, want at most %d", n, engines, zones*versions)
		}
	}
}
