package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/occupancy"
)

// This file explains choices. An explanation is made by decide, which also places requests, and
// what that changes is restored afterwards.

// costTerms are the terms of the cost of a candidate, in milliseconds. Terms has their meaning.
type costTerms struct {
	expected, batch, noRoom, pauses, failures, weights, ejected float64
	limits, late, unseen                                        float64
	reuse, home                                                 float64
}

// withoutPreferences returns the cost without prices and preferences.
func (t *costTerms) withoutPreferences() float64 {
	return t.expected + t.batch + t.noRoom + t.pauses + t.failures + t.weights + t.ejected + (t.limits + t.late + t.unseen)
}

func (t *costTerms) total() float64 { return t.withoutPreferences() + t.reuse + t.home }

// Terms are the terms of the cost of a candidate, in milliseconds. The first ones, up to Overdue,
// are the expected time to the first byte.
type Terms struct {
	// Distance is the round-trip time, Fixed the fixed time of the engines beyond it.
	Distance float64 `json:"distance_ms"`
	Fixed    float64 `json:"fixed_ms"`
	// Prefill and Fetch are the nominal times to prefill the prompt and to fetch parts of it.
	Prefill float64 `json:"prefill_ms"`
	Fetch   float64 `json:"fetch_ms"`
	// Queue is the nominal time for the known work ahead, Memory the time beyond it until the
	// target has memory and a slot.
	Queue  float64 `json:"queue_ms"`
	Memory float64 `json:"memory_ms"`
	// Speed is how much longer than nominal the target takes for Prefill, Fetch and Queue.
	Speed float64 `json:"speed_ms"`
	// Wait is the wait beyond the known work that earlier requests met, Overdue what a request
	// that is overdue at the target adds.
	Wait    float64 `json:"wait_ms"`
	Overdue float64 `json:"overdue_ms"`
	// Batch is the price of one more request in the batch, Pauses the cost of pauses of streams.
	Batch  float64 `json:"batch_ms"`
	Pauses float64 `json:"pauses_ms"`
	// NoRoom, Failures, Weights, Ejected and Late are the penalties for a prompt that is larger
	// than the memory, for failures, for older weights, for an ejected target, and for one that
	// is expected to begin too late.
	NoRoom   float64 `json:"no_room_ms"`
	Failures float64 `json:"failures_ms"`
	Weights  float64 `json:"weights_ms"`
	Ejected  float64 `json:"ejected_ms"`
	Late     float64 `json:"late_ms"`
	// Limits is the delay of requests that cannot use targets with limits.
	Limits float64 `json:"limits_ms"`
	// Unseen is the work that other fronts are expected to have sent since their hints.
	Unseen float64 `json:"unseen_ms"`
	// Reuse is the price of shared parts that are prefilled again or copied, Home the preference
	// for the home of the prompt, which is negative.
	Reuse float64 `json:"reuse_ms"`
	Home  float64 `json:"home_ms"`
}

// unknownAge is the age of information that has never come.
const unknownAge = -1

// Candidate is a target that the request could be sent to.
type Candidate struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Weights uint64 `json:"weights,omitempty"`
	// Cost is the sum of the terms. Expected is the time to the first byte.
	Cost     float64 `json:"cost_ms"`
	Expected float64 `json:"expected_ms"`
	Terms    Terms   `json:"terms"`
	// Load decides among candidates of equal cost.
	Load          float64 `json:"load_ms"`
	InFlight      int     `json:"in_flight"`
	CachedTokens  int     `json:"cached_tokens"`
	FetchedTokens int     `json:"fetched_tokens"`
	FetchFrom     string  `json:"fetch_from,omitempty"`
	SaveTo        string  `json:"save_to,omitempty"`
	Home          bool    `json:"home,omitempty"`
	// LoadAge is the age of the latest change of the known work at the target, by a request of
	// this front or a hint of another one, and AnswerAge that of the latest first byte that this
	// front got from it, in milliseconds; -1 if there was none.
	LoadAge   float64 `json:"load_age_ms"`
	AnswerAge float64 `json:"answer_age_ms"`

	member *member
}

// Excluded is a target that the request cannot be sent to.
type Excluded struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	// Age is the time since this front has learned of it, and Wait how long it lasts, in
	// milliseconds; 0 if that is not known. FromPeer is set if another front has passed it on.
	Age      float64 `json:"age_ms,omitempty"`
	Wait     float64 `json:"wait_ms,omitempty"`
	FromPeer bool    `json:"from_peer,omitempty"`
}

// Explanation is where a request would go now, and why.
type Explanation struct {
	// Chosen is the target, empty if there is none, and Because the rule that chose it among
	// the candidates. Certain is as in Choice, and SendDelay how long the request would be held
	// back.
	Chosen    string  `json:"chosen"`
	Because   string  `json:"because,omitempty"`
	Certain   bool    `json:"certain"`
	SendDelay float64 `json:"send_delay_ms"`
	// Cohort is the software version that the request is offered to; "any" outside of rollouts.
	Cohort string `json:"cohort"`
	// Tie is the cost difference up to which candidates count as equal.
	Tie float64 `json:"tie_ms"`
	// HintAge is the mean age of the hints of other fronts on their arrival. Visible of all
	// Fronts exchange hints with this one, including itself.
	HintAge float64 `json:"hint_age_ms"`
	Fronts  int     `json:"fronts"`
	Visible int     `json:"visible_fronts"`
	// Unreachable is set if the candidates include targets that could not be reached.
	Unreachable bool `json:"includes_unreachable,omitempty"`
	// Candidates begin with the chosen one; the others follow by cost.
	Candidates []Candidate `json:"candidates"`
	Excluded   []Excluded  `json:"excluded"`
}

// explainer collects the terms of a choice, and keeps what reading them changes.
type explainer struct {
	*Explanation
	fleet fleet
	now   time.Time
	// preserved is the member whose state is kept in admission and occupancy.
	preserved *member
	admission admission
	occupancy occupancy.Tracker
}

// Explain returns where the request would go now. It changes nothing, and does not call
// Request.Accept. A call of Choose that follows at once decides alike.
func (p *Placer) Explain(req Request) *Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, f := p.Clock(), p.fleet()
	x := &explainer{Explanation: &Explanation{
		Cohort: req.Cohort.String(), HintAge: inMS(p.unseen.age), Fronts: f.fronts, Visible: f.visible, Candidates: []Candidate{}, Excluded: []Excluded{},
	}, fleet: f, now: now}
	s := p.services[req.Service]
	if s == nil {
		return x.Explanation
	}
	defer p.preserve(s)()
	if best := p.decide(s, &req, now, x); best != nil {
		x.finish(best)
		x.SendDelay = inMS(p.sendDelay(best.member, &req, now))
	}
	return x.Explanation
}

// preserve returns a function that restores what decide changes of the Placer and a service. The
// random numbers that are drawn until then are drawn again after it.
func (p *Placer) preserve(s *service) (restore func()) {
	sizes, passedOver, unseen, random := s.sizes, p.passedOver, p.unseen, p.random
	restoreGroup := s.group.Preserve()
	drawn, next := slices.Clone(p.drawn), 0
	p.unseen.costs, p.drawn = nil, nil
	p.random = func() float64 {
		if next == len(drawn) {
			drawn = append(drawn, random())
		}
		next++
		return drawn[next-1]
	}
	return func() {
		restoreGroup()
		s.sizes, p.passedOver, p.unseen, p.random, p.drawn = sizes, passedOver, unseen, random, drawn
	}
}

// begin starts anew with the members of a service.
func (x *explainer) begin(includeDown bool, tie float64) {
	x.Candidates, x.Excluded = x.Candidates[:0], x.Excluded[:0]
	x.Unreachable, x.Tie = includeDown, tie
}

// preserve keeps what the evaluation of m changes, and restores the member before.
func (x *explainer) preserve(m *member) {
	x.restore()
	x.preserved, x.admission = m, m.admission
	if m.occupancy != nil {
		x.occupancy = *m.occupancy
	}
}

func (x *explainer) restore() {
	m := x.preserved
	if m == nil {
		return
	}
	m.admission = x.admission
	if m.occupancy != nil {
		*m.occupancy = x.occupancy
	}
	x.preserved = nil
}

// exclude records why m is no candidate.
func (x *explainer) exclude(m *member, why Exclusion) {
	e := Excluded{Target: m.ID, Address: m.Address, Zone: m.Zone, Reason: why.String()}
	switch why {
	case ExcludedLeaving, ExcludedPaused, ExcludedLimited:
		reason, wait := m.admission.check(x.now, x.fleet)
		fact := m.admission.fact(m.ID, reason, wait, x.now)
		e.Age, e.Wait, e.FromPeer = inMS(fact.Age), inMS(fact.Wait), fact.FromPeer
	}
	x.Excluded = append(x.Excluded, e)
}

// add records a candidate. load decides among candidates of equal cost.
func (x *explainer) add(p *Placer, c *Choice, t *costTerms, req *Request, fetchMS, load float64) {
	m, now := c.member, x.now
	candidate := Candidate{
		Target: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region, Weights: m.Weights,
		Cost: t.total(), Expected: t.expected, Load: load, InFlight: m.inflight,
		CachedTokens: c.CachedTokens, FetchedTokens: c.fetchedTokens, SaveTo: c.SaveTo, Home: c.Home, member: m,
		LoadAge: ageMS(now, m.state.LoadSeen()), AnswerAge: ageMS(now, m.state.AnswerSeen()),
	}
	if c.FetchFrom != nil {
		candidate.FetchFrom = c.FetchFrom.Address
	}
	candidate.Terms = Terms{
		Distance: p.roundTripMS(m), Fixed: c.fixedMS, Prefill: c.workMS - fetchMS, Fetch: fetchMS,
		Batch: t.batch, Pauses: t.pauses, NoRoom: t.noRoom, Failures: t.failures, Weights: t.weights, Ejected: t.ejected, Late: t.late,
		Limits: t.limits, Unseen: t.unseen, Reuse: t.reuse, Home: t.home,
	}
	terms := &candidate.Terms
	terms.Memory, terms.Wait = c.expectation.WaitsMS()
	if len(req.Parts) > 0 {
		terms.Queue = m.state.Backlog(now, p.work(c, req).AheadPriority)
		terms.Speed = (c.slowdown - 1) * (c.workMS + terms.Queue)
	}
	terms.Overdue = t.expected - (terms.Distance + terms.Fixed + c.workMS + terms.Queue + terms.Memory + terms.Speed + terms.Wait)
	if terms.Overdue < roundingMS {
		terms.Overdue = 0
	}
	x.Candidates = append(x.Candidates, candidate)
}

// roundingMS is the largest error of the sum of terms by rounding.
const roundingMS = 1e-6

// finish sets the order of the candidates and why best was chosen.
func (x *explainer) finish(best *Choice) {
	least := slices.MinFunc(x.Candidates, byCost).Cost
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int {
		switch {
		case a.member == best.member:
			return -1
		case b.member == best.member:
			return 1
		}
		return byCost(a, b)
	})
	x.Chosen, x.Certain = best.member.ID, best.Certain
	switch cost := x.Candidates[0].Cost; {
	case len(x.Candidates) == 1:
		x.Because = "it is the only candidate"
	case cost == least:
		x.Because = "it has the lowest cost"
	case cost < least+x.Tie:
		x.Because = "its cost counts as equal to the lowest one, and it has less load"
	default:
		x.Because = "the cheapest one would begin too much later than this one, which is the fastest"
	}
}

func byCost(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) }

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ageMS returns the age of information in milliseconds.
func ageMS(now, seen time.Time) float64 {
	if seen.IsZero() {
		return unknownAge
	}
	return inMS(now.Sub(seen))
}
