// Package placement chooses the target of a request from what one front VM
// knows: the registry, the parts of prompts that it has sent where, and how the
// targets have answered. The package does no I/O.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retainedPart is the part of an engine's memory that holds cached parts;
	// requests that run take the rest.
	retainedPart = 0.8
	// defaultCache applies to engines whose memory is not known, in tokens.
	defaultCache = 80_000
	// waitHalfLife is how fast an observed wait at a target is forgotten.
	waitHalfLife = 700 * time.Millisecond
	// failureHalfLife is how fast the failures of a target are forgotten.
	failureHalfLife = 4 * time.Second
	// prefillRate is the prompt tokens that an engine reads in a millisecond.
	// It reads chunkTokens in a step, each of which takes stepMS more, and
	// pairMS for each token and token before it; see the sheet of the engines.
	prefillRate = 41.4
	chunkTokens = 1024
	stepMS      = 4.63
	pairMS      = 0.59e-6
	// sameRegion and otherRegion are the round trips to a target.
	sameRegion  = 1 * time.Millisecond
	otherRegion = 60 * time.Millisecond
	// Fetching a token of cached memory from another engine takes this many
	// milliseconds, by where it is; see the rates of the links.
	fetchSameZone    = 0.002
	fetchOtherZone   = 0.004
	fetchOtherRegion = 0.02
	// fetchSetupMS is the fixed time of a fetch.
	fetchSetupMS = 2.0
	// minFetch is the number of tokens from which a fetch is worth its set-up.
	minFetch = 128
	// tieMS is the difference in milliseconds within which targets count as
	// equal and the less loaded one is taken.
	tieMS = 3.0
	// homePart is the preference for the home of a prompt, as a part of the
	// time that its shared parts take to read. It keeps the prompts of a
	// subject together, so that their parts are cached once rather than on
	// many engines.
	homePart = 0.8
	// slotMS is what one more request of this VM at a target adds to the
	// expected wait, in milliseconds.
	slotMS = 2.0
	// failureMS is the penalty of a target that fails every request.
	failureMS = 4000.0
)

// Target is what placement knows of one incarnation.
type Target struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Closed targets get no new requests. Gone ones are about to end.
	Closed bool
	Gone   bool
	// Started is the start of the incarnation: an engine may start again under
	// its ID.
	Started int64
	// Weights is the version of the model that the engine runs.
	Weights uint64
	// CacheTokens is the memory of the engine; 0 if it is not known.
	CacheTokens int
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Want describes a request to place.
type Want struct {
	Service string
	// Parts are the parts of the prompt in order; Own is the number of
	// trailing parts that no other request shares.
	Parts []Part
	Own   int
	// Prefer is the version of the weights that engines should run; older
	// ones come last.
	Prefer uint64
	// Exclude lists targets that have failed this request.
	Exclude []string
}

// shared returns the parts that other requests may share.
func (w *Want) shared() []Part { return w.Parts[:max(len(w.Parts)-w.Own, 0)] }

// Choice is a chosen target. Exactly one of its outcomes must be reported.
type Choice struct {
	Target Target
	// CachedTokens is the part of the prompt believed to be cached.
	CachedTokens int
	// Home is set if all VMs expect the shared parts here.
	Home bool
	// Source is an engine or store from which more of the prompt can be
	// fetched; nil if there is none.
	Source *Target
	// Save is the address of a store that takes what the engine reads; empty
	// if the engine holds the shared parts already.
	Save string
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration

	member  *member
	prefill float64
	// inserted is the number of tokens that the request brings into memory.
	inserted float64
	// bias is the part of Expected that was observed at earlier requests.
	bias    float64
	sent    time.Time
	started bool
}

type member struct {
	Target
	hash uint64
	// registered is the version of the weights in the registry; Weights may be
	// what the engine itself has stated since.
	registered uint64
	// inflight counts requests of this VM.
	inflight int
	// backlogMS is the prompt work of all VMs that the engine had not done as
	// of backlogAt.
	backlogMS float64
	backlogAt time.Time
	// waitMS is the observed wait beyond the expected one as of waitAt.
	waitMS float64
	waitAt time.Time
	// failures is the decayed share of failed requests as of failedAt.
	failures float64
	failedAt time.Time
	// paused keeps requests away from a target that was not reachable.
	paused bool
	// inserted is the number of tokens that requests of all VMs have brought
	// into the engine's memory, and parts holds its value at the last use of a
	// part: the least recently used parts yield to what came after them.
	inserted float64
	parts    map[uint32]float64
}

type service struct{ members []*member }

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	// Region is the region of this VM, Zone its zone.
	Region string
	Zone   string
	// Clock returns the current time.
	Clock func() time.Time

	mu       sync.Mutex
	services map[string]*service
	// outbox holds packets for the other fronts.
	outbox [][]byte
	wake   chan struct{}
	// engines finds members by engineHash.
	engines map[uint32]*member
	stores  []*store
}

// New returns a placer without targets.
func New(zone, region string, clock func() time.Time) *Placer {
	return &Placer{Region: region, Zone: zone, Clock: clock, wake: make(chan struct{}, 1)}
}

// Update replaces the registry. What is known of targets that stay is kept.
func (p *Placer) Update(targets map[string][]Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*service, len(targets))
	for name, list := range targets {
		known := make(map[string]*member)
		if old := p.services[name]; old != nil {
			for _, m := range old.members {
				known[m.ID] = m
			}
		}
		s := &service{}
		for _, t := range list {
			s.members = append(s.members, adopt(known[t.ID], t))
		}
		next[name] = s
	}
	p.services = next
	p.index()
}

// adopt keeps what is known of an incarnation. New weights empty its cache.
func adopt(m *member, t Target) *member {
	if m == nil || m.Address != t.Address || m.Started != t.Started {
		return &member{Target: t, registered: t.Weights, hash: xxhash.Sum64String(t.ID), parts: make(map[uint32]float64)}
	}
	weights := m.Weights
	if t.Weights != m.registered {
		// The engine's own statement may be newer than the registry.
		weights = max(t.Weights, m.Weights)
	}
	m.registered, t.Weights = t.Weights, weights
	if m.Weights != weights {
		m.parts = make(map[uint32]float64)
	}
	m.Target = t
	return m
}

// Choose returns the target with the least expected time to the first byte,
// or nil if there is none. The second result says how many targets the service
// has at all.
func (p *Placer) Choose(want Want) (*Choice, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[want.Service]
	if s == nil {
		return nil, 0
	}
	now := p.Clock()
	best := p.pick(s, &want, now, false)
	if best == nil {
		best = p.pick(s, &want, now, true)
	}
	if best != nil {
		p.take(best, &want, now)
	}
	return best, len(s.members)
}

// pick finds the best member; desperate also considers paused ones.
func (p *Placer) pick(s *service, want *Want, now time.Time, desperate bool) *Choice {
	home := homeOf(s, want)
	var best *Choice
	bestCost, bestLoad := math.Inf(1), 0.0
	for _, m := range s.members {
		if !usable(m, want, desperate) {
			continue
		}
		c := p.assess(s, m, home, want, now)
		cost := p.roundTrip(m) + c.prefill + m.wait(now) + m.backlog(now) + m.failed(now)*failureMS
		if want.Prefer > m.Weights && m.Weights > 0 {
			cost += staleMS
		}
		c.Expected = time.Duration((cost - m.failed(now)*failureMS) * float64(time.Millisecond))
		if c.Home {
			cost -= homePart * float64(total(want.shared())) / prefillRate
		}
		load := float64(m.inflight)*slotMS + rand.Float64()
		if cost < bestCost-tieMS || cost < bestCost+tieMS && load < bestLoad {
			best, bestCost, bestLoad = c, cost, load
		}
	}
	return best
}

// assess returns m as a choice with the work that the prompt means there.
func (p *Placer) assess(s *service, m, home *member, want *Want, now time.Time) *Choice {
	cached := m.cached(want)
	c := &Choice{Target: m.Target, CachedTokens: cached, Home: m == home, member: m}
	fetched, fetch := p.fetch(c, s, want, now)
	all := total(want.Parts)
	c.inserted = float64(all - cached)
	c.prefill = prefillMS(all-cached-fetched, cached+fetched) + fetch
	return c
}

// prefillMS is the time that an engine needs to read new tokens of a prompt
// after those that are cached.
func prefillMS(fresh, cached int) float64 {
	if fresh <= 0 {
		return stepMS
	}
	chunks := float64((fresh + chunkTokens - 1) / chunkTokens)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return float64(fresh)/prefillRate + chunks*stepMS + pairs*pairMS
}

// source returns the member that holds the most of the prompt beyond what m
// holds, with the same weights; nil if that is too little.
func (m *member) source(s *service, want *Want, cached int) *member {
	if len(want.Parts) == 0 || m.Weights == 0 {
		return nil
	}
	var best *member
	bestGain := 0.0
	for _, other := range s.members {
		if other == m || other.Weights != m.Weights || other.Gone || other.paused {
			continue
		}
		more := other.cached(want) - cached
		if more < minFetch {
			continue
		}
		if gain := float64(more) * (2/prefillRate - perToken(m, other)); gain > bestGain {
			best, bestGain = other, gain
		}
	}
	return best
}

func perToken(to, from *member) float64 {
	switch {
	case to.Zone == from.Zone:
		return fetchSameZone
	case to.Region == from.Region:
		return fetchOtherZone
	}
	return fetchOtherRegion
}

// staleMS is the penalty of an engine that still runs older weights. A fifth
// of the worth of a request is lost there, as with a wait past the objective.
const staleMS = 120.0

func usable(m *member, want *Want, desperate bool) bool {
	if m.Closed || m.paused && !desperate {
		return false
	}
	for _, id := range want.Exclude {
		if id == m.ID {
			return false
		}
	}
	return true
}

func (p *Placer) roundTrip(m *member) float64 {
	rtt := sameRegion
	if m.Region != p.Region {
		rtt = otherRegion
	}
	cost := float64(rtt) / float64(time.Millisecond)
	if m.Zone != p.Zone {
		cost++
	}
	return cost
}

func total(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

func (p *Placer) take(c *Choice, want *Want, now time.Time) {
	c.sent = now
	m := c.member
	c.bias = m.wait(now)
	m.inflight++
	m.load(now, c.prefill)
	m.inserted += c.inserted
	for _, part := range want.Parts {
		m.parts[uint32(part.ID)] = m.inserted
	}
	if c.Save != "" {
		p.saved(now, m, hashes(want.shared()), c.inserted)
	}
	if len(want.Parts) > 0 {
		p.announce(c, want.shared())
	}
	if len(m.parts) > maxParts {
		m.forget()
	}
}
