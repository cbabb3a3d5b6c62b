// Package placement chooses the target of a request from the local knowledge of
// one front VM: the registry, the parts of prompts placed at each engine, and
// the outcomes of earlier requests. The package does no I/O.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/targetstate"
)

const (
	// prefillTokensPerMS is the number of prompt tokens that an engine prefills
	// per millisecond. Prefill proceeds in steps of prefillChunkTokens. Each
	// step adds prefillStepMS, and each pair of a token and an earlier token
	// adds attentionPairMS. The figures are from the data sheet of the engines.
	prefillTokensPerMS = 41.4
	prefillChunkTokens = 1024
	prefillStepMS      = 4.63
	attentionPairMS    = 0.59e-6
	// sameRegionRTT and crossRegionRTT are the round-trip times to a target.
	sameRegionRTT  = 1 * time.Millisecond
	crossRegionRTT = 60 * time.Millisecond
	// tieThresholdMS is the cost difference in milliseconds below which targets
	// count as equal; the less loaded one is then chosen.
	tieThresholdMS = 3.0
	// homeDiscount is the preference for the home of a prompt, as a fraction of
	// the prefill time of its shared parts. It keeps prompts with the same
	// shared parts together, so that these are cached once rather than on many
	// engines. blindHomeDiscount replaces it on VMs that do not see the hints
	// of all others, and so do not know which engines hold the parts.
	homeDiscount      = 0.25
	blindHomeDiscount = 0.8
	// inflightPenaltyMS is the load that each request of this VM in flight at a
	// target adds in the choice between targets of equal cost, in milliseconds.
	inflightPenaltyMS = 2.0
	// failurePenaltyMS is the penalty for a target that fails every request, in
	// milliseconds.
	failurePenaltyMS = 4000.0
	// ejectedPenaltyMS is the penalty for an ejected target, in milliseconds. It comes on
	// top of that for its failures. The other targets may be so busy that a target which
	// answers a part of its requests serves more of them in time.
	ejectedPenaltyMS = 200.0
)

// member is a target with the state that this VM tracks for it.
type member struct {
	Target
	hash uint64
	// registryWeights is the weight version in the registry. Target.Weights may
	// be a version that the engine itself has reported since.
	registryWeights uint64
	// inflight counts the requests of this VM in flight.
	inflight int
	state    *targetstate.Target
	// down is set after a failed connection. A target that is down gets
	// requests only if no other one is left.
	down bool
	// held is what the engine has in memory.
	held holding
	// insertion is how fast prompts of all VMs add tokens to the engine's memory.
	insertion decayingRate
	// admission is what the target has said about the requests that it accepts.
	admission admission
	engineState
}

type service struct {
	members []*member
	group   *targetstate.Group
	sizes   requestSizes
	// profile is what has been learned of the engines.
	profile *engineProfile
	// copyEngines is the number of engines that can keep copies, by region.
	copyEngines map[string]int
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	// Zone and Region are those of this VM.
	Region string
	Zone   string
	Clock  func() time.Time
	// OnNotice is called when what this VM knows of the requests that a target accepts
	// changes. It must not block or call the Placer. It may be nil.
	OnNotice func(NoticeChange)
	// OnFirstByte is called with the expected and the actual time to a first byte, and
	// OnUnanswered with the cause if an attempt ends without one. They must not block or
	// call the Placer. They may be nil.
	OnFirstByte  func(expected, actual time.Duration)
	OnUnanswered func(expected time.Duration, cause Cause)
	// Stopping reports whether this VM stops. It may be nil.
	Stopping func() bool
	// random returns a random number from 0 to 1. drawn are numbers that explanations have taken
	// from it and that the next choices take first, and draws is the method draw.
	random func() float64
	drawn  []float64
	draws  func() float64

	mu       sync.Mutex
	services map[string]*service
	// outbox holds the packets to be sent to the other fronts.
	outbox     [][]byte
	hintsReady chan struct{}
	// enginesByHash maps engineHash to members.
	enginesByHash map[uint32]*member
	stores        []*store
	// frontCount is the number of VMs, as of frontCountSeen.
	frontCount     int
	visibleFronts  int
	frontCountSeen time.Time
	passedOver     [passReasons]uint64
	rereadTokens   [rereadCauses]uint64
	uses           partUses
	unseen         unseen
}

// New returns a Placer without targets.
func New(zone, region string, clock func() time.Time) *Placer {
	return NewWithRandom(zone, region, clock, rand.Float64)
}

// NewWithRandom is like New, with a source of random numbers from 0 to 1.
func NewWithRandom(zone, region string, clock func() time.Time, random func() float64) *Placer {
	p := &Placer{Region: region, Zone: zone, Clock: clock, random: random, hintsReady: make(chan struct{}, 1)}
	p.draws = p.draw
	return p
}

// draw returns the next random number from 0 to 1.
func (p *Placer) draw() float64 {
	if len(p.drawn) == 0 {
		return p.random()
	}
	next := p.drawn[0]
	p.drawn = p.drawn[1:]
	return next
}

// Update replaces the registry. The state of targets that stay is kept.
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
		s := &service{group: targetstate.NewGroup(p.draws), profile: &engineProfile{}}
		if old := p.services[name]; old != nil {
			s.sizes, s.group, s.profile = old.sizes, old.group, old.profile
		}
		states := make([]*targetstate.Target, len(list))
		for i, t := range list {
			m := mergeMember(known[t.ID], t, s.group)
			m.profile = s.profile
			s.members = append(s.members, m)
			states[i] = m.state
		}
		s.group.SetTargets(states)
		s.countCopyEngines()
		next[name] = s
	}
	p.services = next
	p.rebuildEngineIndex()
}

// mergeMember applies a registry entry to the known member. The state is kept
// if the incarnation is the same; new weights invalidate the cache.
func mergeMember(m *member, t Target, g *targetstate.Group) *member {
	if m == nil || m.Address != t.Address || m.Started != t.Started {
		next := &member{
			Target: t, registryWeights: t.Weights, hash: xxhash.Sum64String(t.ID),
			state: targetstate.NewTarget(g),
		}
		if m != nil && m.Address == t.Address {
			next.admission.keepPause(&m.admission, time.UnixMilli(t.Started))
		}
		return next
	}
	weights := m.Weights
	if t.Weights != m.registryWeights {
		// The version reported by the engine may be newer than the registry.
		weights = max(t.Weights, m.Weights)
	}
	m.registryWeights, t.Weights = t.Weights, weights
	if m.Weights != weights {
		m.held = holding{}
	}
	m.Target = t
	return m
}

// Choose returns the target with the lowest expected time to the first byte, or
// nil if none is eligible. The second result is the number of targets of the
// service, eligible or not.
func (p *Placer) Choose(req Request) (*Choice, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[req.Service]
	if s == nil {
		return nil, 0
	}
	now := p.Clock()
	best := p.decide(s, &req, now, nil)
	p.queueStateHints(s)
	if best == nil {
		return nil, len(s.members)
	}
	if best.Refused = req.Accept != nil && !req.Accept(best); !best.Refused {
		p.recordChoice(s, best, &req, now)
	}
	return best, len(s.members)
}

// decide returns the choice for a request, or nil if no target is eligible, and records nothing
// at the target. x gets the terms of the choice; it is nil unless they are asked for.
func (p *Placer) decide(s *service, req *Request, now time.Time, x *explainer) *Choice {
	s.group.Processes = p.fleet().fronts
	s.group.Review(now)
	tokens, _ := req.size()
	s.sizes.record(now, tokens)
	use := p.limitUseFor(s, now, tokens)
	best := p.cheapest(s, req, now, use, false, x)
	if best == nil && !use.preferred {
		use = limitUse{preferred: true}
		best = p.cheapest(s, req, now, use, false, x)
	}
	if best == nil && !req.OnlyReachable {
		best = p.cheapest(s, req, now, use, true, x)
	}
	if best != nil {
		best.Certain = best.member.state.Certain(now, req.Priority, req.Bounds.claimMS(best))
	}
	return best
}

// cheapest returns a Choice of the member with the lowest cost. Members that are
// down are considered only if includeDown is set, and members with a limit only as far as
// use allows.
func (p *Placer) cheapest(s *service, req *Request, now time.Time, use limitUse, includeDown bool, x *explainer) *Choice {
	home := p.homeFor(s, req, now)
	holders := s.holdersByZone(req, now)
	var best, fastest, c Choice
	least, bestCost, bestLoad := math.Inf(1), math.Inf(1), 0.0
	p.estimateUnseen(s, req, now)
	tie := p.tieMS()
	if x != nil {
		x.begin(includeDown, tie)
	}
	for i, m := range s.members {
		if x != nil {
			x.preserve(m)
		}
		if why := p.exclusion(m, req, now, use, includeDown); why != NotExcluded {
			if x != nil {
				x.exclude(m, why)
			}
			continue
		}
		fetchMS := p.evaluate(&c, m, home, holders, req, now)
		c.expectation = m.state.Expect(now, p.work(&c, req))
		c.Expected = time.Duration(c.expectation.MS * float64(time.Millisecond))
		c.slowdown = m.state.Slowdown(now)
		terms := costTerms{
			expected: c.expectation.MS, batch: m.batchPriceMS(now), noRoom: c.wait.penaltyMS(), pauses: p.pausePenaltyMS(&c, req, now),
			failures: m.state.FailureRate(now) * failurePenaltyMS,
			limits:   use.delayToOthers(m, c.workMS), late: req.Bounds.penaltyMS(&c), unseen: p.unseen.chargeMS(i),
		}
		if req.Weights > m.Weights && m.Weights > 0 {
			terms.weights = staleWeightsPenaltyMS
		}
		if !m.state.Usable(now) {
			terms.ejected = ejectedPenaltyMS
		}
		c.costMS = terms.withoutPreferences()
		if fastest.member == nil || c.costMS < fastest.costMS {
			fastest = c
		}
		terms.reuse = s.tokenFactor() * p.reusePriceMS(&c, holders, req, now)
		if c.Home {
			terms.home = -p.homeDiscount() * s.tokenFactor() * float64(totalTokens(req.sharedParts())) / prefillTokensPerMS
		}
		cost := terms.total()
		load := float64(m.inflight)*inflightPenaltyMS + p.draw()
		if x != nil {
			x.add(p, &c, &terms, req, fetchMS, load)
		}
		least = min(least, cost)
		if bestCost >= least+tie || cost < least+tie && load < bestLoad {
			best, bestCost, bestLoad = c, cost, load
		}
	}
	if x != nil {
		x.restore()
	}
	if best.member == nil {
		return nil
	}
	if best.costMS > fastest.costMS+maxReuseWaitMS {
		best = fastest
	}
	chosen := best
	chosen.Target = best.member.Target
	if best.FetchFrom != nil {
		source := *best.FetchFrom
		chosen.FetchFrom = &source
	}
	return &chosen
}

// evaluate sets c to a choice of m, but for its Target, with the work that the request
// causes there, and returns the time of the fetch in milliseconds. FetchFrom points to the state
// of the Placer.
func (p *Placer) evaluate(c *Choice, m, home *member, holders []cacheHolder, req *Request, now time.Time) (fetchMS float64) {
	cached := m.cachedTokens(req)
	*c = Choice{CachedTokens: cached, Home: m == home, Limited: m.admission.limited, member: m}
	fetched, fetchMS := p.planTransfers(c, holders, req, now)
	c.fetchedTokens = fetched
	all, _ := req.size()
	c.insertedTokens = float64(all - cached)
	c.workMS = m.workMS(c, prefillMS(all-cached-fetched, cached+fetched), fetchMS)
	c.wait = m.admissionWait(req, cached, all, now)
	return fetchMS
}

// prefillMS returns the time that an engine needs to prefill new tokens after
// cached ones.
func prefillMS(fresh, cached int) float64 {
	if fresh <= 0 {
		return prefillStepMS
	}
	chunks := float64((fresh + prefillChunkTokens - 1) / prefillChunkTokens)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return float64(fresh)/prefillTokensPerMS + chunks*prefillStepMS + pairs*attentionPairMS
}

// staleWeightsPenaltyMS is the penalty for an engine that still runs older
// weights. Its response loses a fifth of its value, as does one that exceeds
// the latency objective.
const staleWeightsPenaltyMS = 120.0

// work returns the request of a choice as far as it matters for the time that the target
// needs. The time for a request without a prompt does not follow from its size.
func (p *Placer) work(c *Choice, req *Request) targetstate.Work {
	ahead := req.Priority
	if c.wait.ms == 0 {
		// The engine has room, so it has admitted all work that it got. Priorities decide on
		// admission only; admitted prompts are prefilled side by side.
		ahead = max(ahead, req.PeerPriority)
	}
	return targetstate.Work{
		Class: req.Class, Priority: req.Priority, AheadPriority: ahead, WorkMS: c.workMS, RoundTripMS: p.roundTripMS(c.member) + c.fixedMS, Known: len(req.Parts) > 0 && !c.FromCopy,
		AdmissionMS: c.wait.ms,
	}
}

// exclusion returns why the request cannot be placed at m.
func (p *Placer) exclusion(m *member, req *Request, now time.Time, use limitUse, includeDown bool) Exclusion {
	if why := ineligible(m, req, includeDown); why != NotExcluded {
		return why
	}
	if reason := p.admits(m, now); reason != Admitted {
		return [...]Exclusion{PassDraining: ExcludedLeaving, PassPaused: ExcludedPaused, PassLimited: ExcludedLimited}[reason]
	}
	if !use.allows(m, now, p.fleet()) {
		return ExcludedLimitKept
	}
	return NotExcluded
}

// ineligible returns why the request cannot be placed at m, whatever m admits at present.
func ineligible(m *member, req *Request, includeDown bool) Exclusion {
	switch {
	case m.Excluded:
		return m.excludedFor()
	case m.down && !includeDown:
		return ExcludedUnreachable
	case !m.Cohort.matches(req.Cohort):
		return ExcludedCohort
	case slices.Contains(req.Exclude, m.ID):
		return ExcludedFailed
	}
	return NotExcluded
}

// admits returns why m accepts no request at now, and counts that.
func (p *Placer) admits(m *member, now time.Time) PassReason {
	reason, _ := m.admission.check(now, p.fleet())
	p.passedOver[reason]++
	return reason
}

// roundTripMS returns the round-trip time to m. A target in another zone costs a
// millisecond more.
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

// recordChoice updates the state of the chosen member and queues a hint for the
// other fronts.
func (p *Placer) recordChoice(s *service, c *Choice, req *Request, now time.Time) {
	p.countRereads(c, req, now)
	c.sentAt = now
	m := c.member
	if !c.FromCopy {
		c.SendDelay = p.sendDelay(m, req, now)
	}
	c.expectation = c.expectation.AtLeast(c.SendDelay)
	c.Expected = max(c.Expected, c.SendDelay)
	m.admission.take(now, p.fleet())
	c.Belief = m.belief(now)
	c.service, c.priority = req.Service, req.Priority
	c.attempt = m.state.Send(now, p.work(c, req), c.expectation)
	m.inflight++
	m.addBacklog(now, c.priority, c.workMS)
	p.unseen.sent.add(now, c.workMS/prefillShare)
	ready := now.Add(c.Expected)
	shared, saves := req.sharedParts(), c.SaveTo != ""
	if added := m.recordPrompt(now, ready, shared, req.Parts[len(shared):], c.insertedTokens); added || saves {
		p.recordStoreUse(now, ready, m, shared, c.insertedTokens, saves)
	}
	p.occupy(c, req, now)
	p.placeBackup(s, c, req, now)
	p.uses.record(now, shared)
	if len(req.Parts) > 0 || m.admission.limited {
		c.announced = true
		p.queueChoiceHint(c, shared)
	}
}
