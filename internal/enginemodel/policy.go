package enginemodel

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/routing"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Policy is one way to place requests.
type Policy struct {
	// Name labels the policy.
	Name  string
	build func(s *simulation) policy
}

// Policies lists what is compared. Round robin, hashing and the oracle know at
// once which engines are up; the others learn it from heartbeats.
var Policies = []Policy{
	{"round robin", func(s *simulation) policy { return &roundRobin{simulation: s} }},
	{"least outstanding", func(s *simulation) policy { return newPicked(s, knowledge{}) }},
	{"prefix hash", func(s *simulation) policy { return &prefixHash{s} }},
	{"oracle", func(s *simulation) policy { return &oracle{s} }},
	{"cuminwing", func(s *simulation) policy { return newPicked(s, knowledge{byPrefix: true, owners: true, peers: true}) }},
}

// Parts lists the picker with parts of its knowledge missing.
var Parts = []Policy{
	{"all", Policies[4].build},
	{"without the dispatches of other VMs", func(s *simulation) policy { return newPicked(s, knowledge{byPrefix: true, owners: true}) }},
	{"without the owners of chains", func(s *simulation) policy { return newPicked(s, knowledge{byPrefix: true, peers: true}) }},
	{"without both", func(s *simulation) policy { return newPicked(s, knowledge{byPrefix: true}) }},
}

// knowledge says what a picker uses.
type knowledge struct {
	// byPrefix is false for least outstanding.
	byPrefix bool
	// owners and peers are what other VMs tell.
	owners, peers bool
}

func (s *simulation) up(r *request) []*engine {
	var usable []*engine
	for _, e := range s.engines {
		if !e.down && !slices.Contains(r.exclude, e) {
			usable = append(usable, e)
		}
	}
	return usable
}

type roundRobin struct {
	*simulation
	next int
}

func (p *roundRobin) place(r *request) (*engine, time.Duration) {
	usable := p.up(r)
	if len(usable) == 0 {
		return r.none()
	}
	p.next++
	return usable[p.next%len(usable)], 0
}

// prefixHash sends prompts with the same first blocks to the same engine.
type prefixHash struct{ *simulation }

// hashedBlocks covers the instructions of a workspace and the template.
const hashedBlocks = 6

func (p *prefixHash) place(r *request) (*engine, time.Duration) {
	usable := p.up(r)
	if len(usable) == 0 {
		return r.none()
	}
	key := uint64(r.chain[min(hashedBlocks, len(r.chain))-1])
	best := slices.MaxFunc(usable, func(a, b *engine) int {
		scoreA, scoreB := scramble(key^uint64(a.index+1)), scramble(key^uint64(b.index+1))
		if scoreA < scoreB {
			return -1
		}
		return 1
	})
	return best, 0
}

// oracle knows every cache and queue as it is now and chooses the least time
// to first token, with the same share for the work as the picker: without it
// the oracle does worse.
type oracle struct{ *simulation }

func (p *oracle) place(r *request) (*engine, time.Duration) {
	var best *engine
	var least time.Duration
	for _, e := range p.up(r) {
		work := p.prefillTime(r.tokens - e.heldForNew(r.chain)*p.config.BlockTokens)
		cost := e.wait() + work + work/4
		if e.zone != vmZone(r.vm) {
			cost += zoneRoundTrip
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return r.none()
	}
	return best, 0
}

// picked runs the pickers of the project, one for each VM.
type picked struct {
	*simulation
	snapshot *config.Snapshot
	vms      []pickedVM
	// shared stands for the owners of the chains.
	shared  *prefix.Index
	intents *prefix.Intents
	streams map[target.Ref]uint64
	stream  uint64
}

type pickedVM struct {
	registry *target.Registry
	picker   serving.Picker
	chained  *routing.Picker
}

func newPicked(s *simulation, k knowledge) policy {
	p := &picked{simulation: s, shared: prefix.NewIndex(s.clock), intents: prefix.NewIntents(), streams: make(map[target.Ref]uint64)}
	document := config.Document{Models: map[string]config.Model{model: {
		ServingVersion: version, BlockTokens: s.config.BlockTokens, PrefillTokensPerSecond: s.config.PrefillTokensPerSecond,
	}}}
	p.snapshot = config.NewSnapshot(document, 1)
	for i := range s.config.VMs {
		vm := pickedVM{registry: target.NewRegistry()}
		rng := rand.New(rand.NewPCG(s.config.Seed, uint64(100+i)))
		if k.byPrefix {
			vm.chained = &routing.Picker{
				Registry: vm.registry, Clock: s.clock, Rand: rng, Index: prefix.NewIndex(s.clock),
				Dispatched: p.dispatched(i, k.peers), Zone: vmZone(i), Region: region,
			}
			if k.owners {
				vm.chained.Remote = p
			}
		} else {
			vm.picker = &routing.LeastOutstanding{Registry: vm.registry, Clock: s.clock, Rand: rng}
		}
		p.vms = append(p.vms, vm)
	}
	p.tick()
	return p
}

// tickInterval is that of the daemon.
const tickInterval = 200 * time.Millisecond

func (p *picked) tick() {
	p.shared.Tick()
	for _, vm := range p.vms {
		if vm.chained != nil {
			vm.chained.Index.Tick()
		}
	}
	p.after(tickInterval, p.tick)
}

func (p *picked) place(r *request) (*engine, time.Duration) {
	call := &serving.Call{Model: model, Version: version, Snapshot: p.snapshot, PromptTokens: r.tokens}
	req := serving.PickRequest{Call: call}
	for _, e := range r.exclude {
		req.Exclude = append(req.Exclude, e.ref())
	}
	vm := p.vms[r.vm]
	if vm.chained != nil && vm.chained.Remote != nil && !r.waited {
		r.waited = p.intents.Begin(r.chain, p.shared.Longest(r.chain), p.clock()) != nil
		if r.waited {
			return nil, p.config.PublishLag
		}
	}
	var chosen *serving.Pick
	var refusal *serving.Refusal
	if vm.chained != nil {
		chosen, refusal = vm.chained.PickChain(context.Background(), req, serving.PrefixHint{Blocks: r.chain})
	} else {
		chosen, refusal = vm.picker.Pick(context.Background(), req)
	}
	if refusal != nil {
		return r.none()
	}
	r.done = func(err error, cached int) { chosen.Done(serving.AttemptResult{Err: err, CachedTokens: cached}) }
	return p.engines[slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == chosen.Target.ID })], 0
}

// report implements listener.
func (p *picked) report(a target.Announcement) {
	for _, vm := range p.vms {
		if vm.registry.Announce(a, p.clock()) == target.Replaced && vm.chained != nil {
			vm.chained.Index.Drop(target.Ref{ID: a.ID, Incarnation: a.Incarnation - 1})
		}
	}
}

// event implements listener. A gap is followed by a resync.
func (p *picked) event(ref target.Ref, event prefix.Event) {
	if p.shared.Apply(prefix.Batch{Ref: ref, Stream: p.streams[ref], Events: []prefix.Event{event}}) {
		p.resync(ref)
	}
}

func (p *picked) resync(ref target.Ref) {
	for _, e := range p.engines {
		if e.ref() != ref {
			continue
		}
		p.stream++
		stream := p.stream
		through := e.events
		content := e.cache.content()
		p.after(p.config.PublishLag, func() {
			p.streams[ref] = stream
			p.shared.Apply(prefix.Batch{Ref: ref, Stream: stream, Reset: true, Through: through, Events: []prefix.Event{{Kind: prefix.Stored, Blocks: content}}})
		})
	}
}

// Lookup implements routing.Lookup.
func (p *picked) Lookup(_ context.Context, chain []prefix.Hash) ([]prefix.Holding, bool) {
	return p.shared.Lookup(nil, chain), true
}

// dispatched tells the owner of the chain and the other VMs.
func (p *picked) dispatched(vm int, peers bool) func(d routing.Dispatch) {
	return func(d routing.Dispatch) {
		p.after(p.config.PublishLag, func() {
			if d.Failed {
				p.shared.RetractPredicted(d.Ref, d.Chain)
				return
			}
			p.shared.Predict(d.Ref, d.Chain, d.Held)
			p.intents.Placed(d.Chain)
			for i, other := range p.vms {
				if peers && i != vm {
					other.chained.Elsewhere(d.Ref, d.Work)
				}
			}
		})
	}
}
