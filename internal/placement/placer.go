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
	// cacheFraction is the part of an engine's memory that holds cached parts;
	// requests that run take the rest.
	cacheFraction = 0.8
	// defaultCacheTokens applies to engines whose memory is not known, in tokens.
	defaultCacheTokens = 80_000
	// waitHalfLife is how fast an observed wait at a target is forgotten.
	waitHalfLife = 700 * time.Millisecond
	// failureHalfLife is how fast the failures of a target are forgotten.
	failureHalfLife = 4 * time.Second
	// prefillTokensPerMS is the prompt tokens that an engine reads in a millisecond.
	// It reads chunkTokens in a step, each of which takes stepMS more, and
	// pairMS for each token and token before it; see the sheet of the engines.
	prefillTokensPerMS = 41.4
	prefillChunkTokens = 1024
	prefillStepMS      = 4.63
	attentionPairMS    = 0.59e-6
	// sameRegionRTT and otherRegion are the round trips to a target.
	sameRegionRTT  = 1 * time.Millisecond
	crossRegionRTT = 60 * time.Millisecond
	// Fetching a token of cached memory from another engine takes this many
	// milliseconds, by where it is; see the rates of the links.
	fetchSameZoneMS    = 0.002
	fetchCrossZoneMS   = 0.004
	fetchCrossRegionMS = 0.02
	// fetchSetupMS is the fixed time of a fetch.
	fetchSetupMS = 2.0
	// minFetchTokens is the number of tokens from which a fetch is worth its set-up.
	minFetchTokens = 128
	// tieThresholdMS is the difference in milliseconds within which targets count as
	// equal and the less loaded one is taken.
	tieThresholdMS = 3.0
	// homeDiscount is the preference for the home of a prompt, as a part of the
	// time that its shared parts take to read. It keeps the prompts of a
	// subject together, so that their parts are cached once rather than on
	// many engines.
	homeDiscount = 0.8
	// inflightPenaltyMS is what one more request of this VM at a target adds to the
	// expected wait, in milliseconds.
	inflightPenaltyMS = 2.0
	// failurePenaltyMS is the penalty of a target that fails every request.
	failurePenaltyMS = 4000.0
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

// Request describes a request to place.
type Request struct {
	Service string
	// Parts are the parts of the prompt in order; Own is the number of
	// trailing parts that no other request shares.
	Parts       []Part
	UniqueParts int
	// Weights is the version of the weights that engines should run; older
	// ones come last.
	Weights uint64
	// Exclude lists targets that have failed this request.
	Exclude []string
}

// sharedParts returns the parts that other requests may share.
func (w *Request) sharedParts() []Part { return w.Parts[:max(len(w.Parts)-w.UniqueParts, 0)] }

// Choice is a chosen target. Exactly one of its outcomes must be reported.
type Choice struct {
	Target Target
	// CachedTokens is the part of the prompt believed to be cached.
	CachedTokens int
	// Home is set if all VMs expect the shared parts here.
	Home bool
	// FetchFrom is an engine or store from which more of the prompt can be
	// fetched; nil if there is none.
	FetchFrom *Target
	// SaveTo is the address of a store that takes what the engine reads; empty
	// if the engine holds the shared parts already.
	SaveTo string
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration

	member *member
	workMS float64
	// insertedTokens is the number of tokens that the request brings into memory.
	insertedTokens float64
	// includedWaitMS is the part of Expected that was observed at earlier requests.
	includedWaitMS float64
	sentAt         time.Time
	firstByteSeen  bool
}

type member struct {
	Target
	hash uint64
	// registryWeights is the version of the weights in the registry; Weights may be
	// what the engine itself has stated since.
	registryWeights uint64
	// inflight counts requests of this VM.
	inflight int
	// backlogMS is the prompt work of all VMs that the engine had not done as
	// of backlogAt.
	backlogMS float64
	backlogAt time.Time
	// waitMS is the observed wait beyond the expected one as of waitAt.
	waitMS float64
	waitAt time.Time
	// failureRate is the decayed share of failed requests as of failedAt.
	failureRate   float64
	failureRateAt time.Time
	// down keeps requests away from a target that was not reachable.
	down bool
	// insertedTokens is the number of tokens that requests of all VMs have brought
	// into the engine's memory, and parts holds its value at the last use of a
	// part: the least recently used parts yield to what came after them.
	insertedTokens float64
	parts          map[uint32]float64
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
	outbox     [][]byte
	hintsReady chan struct{}
	// enginesByHash finds members by engineHash.
	enginesByHash map[uint32]*member
	stores        []*store
}

// New returns a placer without targets.
func New(zone, region string, clock func() time.Time) *Placer {
	return &Placer{Region: region, Zone: zone, Clock: clock, hintsReady: make(chan struct{}, 1)}
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
			s.members = append(s.members, mergeMember(known[t.ID], t))
		}
		next[name] = s
	}
	p.services = next
	p.rebuildEngineIndex()
}

// mergeMember keeps what is known of an incarnation. New weights empty its cache.
func mergeMember(m *member, t Target) *member {
	if m == nil || m.Address != t.Address || m.Started != t.Started {
		return &member{Target: t, registryWeights: t.Weights, hash: xxhash.Sum64String(t.ID), parts: make(map[uint32]float64)}
	}
	weights := m.Weights
	if t.Weights != m.registryWeights {
		// The engine's own statement may be newer than the registry.
		weights = max(t.Weights, m.Weights)
	}
	m.registryWeights, t.Weights = t.Weights, weights
	if m.Weights != weights {
		m.parts = make(map[uint32]float64)
	}
	m.Target = t
	return m
}

// Choose returns the target with the least expected time to the first byte,
// or nil if there is none. The second result says how many targets the service
// has at all.
func (p *Placer) Choose(req Request) (*Choice, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[req.Service]
	if s == nil {
		return nil, 0
	}
	now := p.Clock()
	best := p.cheapest(s, &req, now, false)
	if best == nil {
		best = p.cheapest(s, &req, now, true)
	}
	if best != nil {
		p.recordChoice(best, &req, now)
	}
	return best, len(s.members)
}

// cheapest finds the best member; desperate also considers paused ones.
func (p *Placer) cheapest(s *service, req *Request, now time.Time, includeDown bool) *Choice {
	home := homeFor(s, req)
	var best *Choice
	bestCost, bestLoad := math.Inf(1), 0.0
	for _, m := range s.members {
		if !eligible(m, req, includeDown) {
			continue
		}
		c := p.evaluate(s, m, home, req, now)
		cost := p.roundTripMS(m) + c.workMS + m.currentWait(now) + m.currentBacklog(now) + m.currentFailureRate(now)*failurePenaltyMS
		if req.Weights > m.Weights && m.Weights > 0 {
			cost += staleWeightsPenaltyMS
		}
		c.Expected = time.Duration((cost - m.currentFailureRate(now)*failurePenaltyMS) * float64(time.Millisecond))
		if c.Home {
			cost -= homeDiscount * float64(totalTokens(req.sharedParts())) / prefillTokensPerMS
		}
		load := float64(m.inflight)*inflightPenaltyMS + rand.Float64()
		if cost < bestCost-tieThresholdMS || cost < bestCost+tieThresholdMS && load < bestLoad {
			best, bestCost, bestLoad = c, cost, load
		}
	}
	return best
}

// evaluate returns m as a choice with the work that the prompt means there.
func (p *Placer) evaluate(s *service, m, home *member, req *Request, now time.Time) *Choice {
	cached := m.cachedTokens(req)
	c := &Choice{Target: m.Target, CachedTokens: cached, Home: m == home, member: m}
	fetched, fetch := p.planTransfers(c, s, req, now)
	all := totalTokens(req.Parts)
	c.insertedTokens = float64(all - cached)
	c.workMS = prefillMS(all-cached-fetched, cached+fetched) + fetch
	return c
}

// prefillMS is the time that an engine needs to read new tokens of a prompt
// after those that are cached.
func prefillMS(fresh, cached int) float64 {
	if fresh <= 0 {
		return prefillStepMS
	}
	chunks := float64((fresh + prefillChunkTokens - 1) / prefillChunkTokens)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return float64(fresh)/prefillTokensPerMS + chunks*prefillStepMS + pairs*attentionPairMS
}

// fetchSource returns the member that holds the most of the prompt beyond what m
// holds, with the same weights; nil if that is too little.
func (m *member) fetchSource(s *service, req *Request, cached int) *member {
	if len(req.Parts) == 0 || m.Weights == 0 {
		return nil
	}
	var best *member
	bestGain := 0.0
	for _, other := range s.members {
		if other == m || other.Weights != m.Weights || other.Gone || other.down {
			continue
		}
		more := other.cachedTokens(req) - cached
		if more < minFetchTokens {
			continue
		}
		if gain := float64(more) * (2/prefillTokensPerMS - fetchMSPerToken(m, other)); gain > bestGain {
			best, bestGain = other, gain
		}
	}
	return best
}

func fetchMSPerToken(to, from *member) float64 {
	switch {
	case to.Zone == from.Zone:
		return fetchSameZoneMS
	case to.Region == from.Region:
		return fetchCrossZoneMS
	}
	return fetchCrossRegionMS
}

// staleWeightsPenaltyMS is the penalty of an engine that still runs older weights. A fifth
// of the worth of a request is lost there, as with a wait past the objective.
const staleWeightsPenaltyMS = 120.0

func eligible(m *member, req *Request, includeDown bool) bool {
	if m.Closed || m.down && !includeDown {
		return false
	}
	for _, id := range req.Exclude {
		if id == m.ID {
			return false
		}
	}
	return true
}

func (p *Placer) roundTripMS(m *member) float64 {
	rtt := sameRegionRTT
	if m.Region != p.Region {
		rtt = crossRegionRTT
	}
	cost := float64(rtt) / float64(time.Millisecond)
	if m.Zone != p.Zone {
		cost++
	}
	return cost
}

func totalTokens(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

func (p *Placer) recordChoice(c *Choice, req *Request, now time.Time) {
	c.sentAt = now
	m := c.member
	c.includedWaitMS = m.currentWait(now)
	m.inflight++
	m.addBacklog(now, c.workMS)
	m.insertedTokens += c.insertedTokens
	for _, part := range req.Parts {
		m.parts[uint32(part.ID)] = m.insertedTokens
	}
	if c.SaveTo != "" {
		p.recordSave(now, m, partHashes(req.sharedParts()), c.insertedTokens)
	}
	if len(req.Parts) > 0 {
		p.announceChoice(c, req.sharedParts())
	}
	if len(m.parts) > maxMemberParts {
		m.evictParts()
	}
}
