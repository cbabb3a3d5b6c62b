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

// Policy is one way to place requests on engines.
type Policy struct {
	// Name labels the policy in reports.
	Name  string
	build func(s *simulation) policy
}

// Policies lists the policies to compare. Round robin, prefix hash and the
// oracle know immediately which engines are up; the others learn it from
// heartbeats.
var Policies = []Policy{
	{"round robin", func(s *simulation) policy { return &roundRobin{simulation: s} }},
	{"least outstanding", func(s *simulation) policy { return newPickerPolicy(s, inputs{}) }},
	{"prefix hash", func(s *simulation) policy { return &prefixHash{s} }},
	{"oracle", func(s *simulation) policy { return &oracle{s} }},
	{"cuminwing", func(s *simulation) policy { return newPickerPolicy(s, inputs{index: true, owners: true, peers: true}) }},
}

// Ablations lists variants of the picker that lack some of its inputs.
var Ablations = []Policy{
	{"all", Policies[4].build},
	{"without the dispatches of other VMs", func(s *simulation) policy { return newPickerPolicy(s, inputs{index: true, owners: true}) }},
	{"without the owners of chains", func(s *simulation) policy { return newPickerPolicy(s, inputs{index: true, peers: true}) }},
	{"without both", func(s *simulation) policy { return newPickerPolicy(s, inputs{index: true}) }},
}

// inputs selects the information that a picker uses.
type inputs struct {
	// index selects the prefix-aware picker; without it the policy is least
	// outstanding.
	index bool
	// owners makes pickers query the owner of a chain and wait for a concurrent
	// placement of the same chain. peers makes them count the dispatches of
	// other VMs.
	owners, peers bool
}

func (s *simulation) availableEngines(r *request) []*engine {
	var usable []*engine
	for _, e := range s.engines {
		if !e.down && !slices.Contains(r.excluded, e) {
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
	usable := p.availableEngines(r)
	if len(usable) == 0 {
		return r.retryLater()
	}
	p.next++
	return usable[p.next%len(usable)], 0
}

// prefixHash sends prompts with the same first blocks to the same engine.
type prefixHash struct{ *simulation }

// hashedBlocks is the number of leading blocks that are hashed: those of the
// workspace's instructions and of the template.
const hashedBlocks = 6

func (p *prefixHash) place(r *request) (*engine, time.Duration) {
	usable := p.availableEngines(r)
	if len(usable) == 0 {
		return r.retryLater()
	}
	key := uint64(r.chain[min(hashedBlocks, len(r.chain))-1])
	best := slices.MaxFunc(usable, func(a, b *engine) int {
		scoreA, scoreB := mix64(key^uint64(a.index+1)), mix64(key^uint64(b.index+1))
		if scoreA < scoreB {
			return -1
		}
		return 1
	})
	return best, 0
}

// oracle knows the current state of every cache and queue and chooses the
// engine with the least time to first token. It adds the same share of the
// request's own prefill work to the cost as the picker; without this it
// performs worse.
type oracle struct{ *simulation }

func (p *oracle) place(r *request) (*engine, time.Duration) {
	var best *engine
	var least time.Duration
	for _, e := range p.availableEngines(r) {
		work := p.prefillTime(r.promptTokens - e.expectedHeldBlocksForNew(r.chain)*p.config.BlockTokens)
		cost := e.prefillBacklog() + work + work/4
		if e.zone != vmZone(r.vm) {
			cost += zoneRoundTrip
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return r.retryLater()
	}
	return best, 0
}

// pickerPolicy runs the project's pickers, one for each VM.
type pickerPolicy struct {
	*simulation
	snapshot *config.Snapshot
	vms      []pickerVM
	// sharedIndex stands for the indexes of all chain owners.
	sharedIndex *prefix.Index
	coalescer   *prefix.Coalescer
	streams     map[target.Ref]uint64
	lastStream  uint64
}

type pickerVM struct {
	registry         *target.Registry
	leastOutstanding serving.Picker
	prefixPicker     *routing.Picker
}

func newPickerPolicy(s *simulation, enabled inputs) policy {
	p := &pickerPolicy{simulation: s, sharedIndex: prefix.NewIndex(s.clock), coalescer: prefix.NewCoalescer(), streams: make(map[target.Ref]uint64)}
	document := config.Document{Models: map[string]config.Model{model: {
		ServingVersion: version, BlockTokens: s.config.BlockTokens, PrefillTokensPerSecond: s.config.PrefillTokensPerSecond,
	}}}
	p.snapshot = config.NewSnapshot(document, 1)
	for i := range s.config.VMs {
		vm := pickerVM{registry: target.NewRegistry()}
		rng := rand.New(rand.NewPCG(s.config.Seed, uint64(100+i)))
		if enabled.index {
			vm.prefixPicker = &routing.Picker{
				Registry: vm.registry, Clock: s.clock, Rand: rng, Index: prefix.NewIndex(s.clock),
				OnDispatch: p.onDispatch(i, enabled.peers), Zone: vmZone(i), Region: region,
			}
			if enabled.owners {
				vm.prefixPicker.OwnerLookup = p
			}
		} else {
			vm.leastOutstanding = &routing.LeastOutstanding{Registry: vm.registry, Clock: s.clock, Rand: rng}
		}
		p.vms = append(p.vms, vm)
	}
	p.removeExpired()
	return p
}

// expiryInterval is the interval at which expired entries are removed from the
// indexes, as in the daemon.
const expiryInterval = 200 * time.Millisecond

func (p *pickerPolicy) removeExpired() {
	p.sharedIndex.RemoveExpired()
	for _, vm := range p.vms {
		if vm.prefixPicker != nil {
			vm.prefixPicker.Index.RemoveExpired()
		}
	}
	p.scheduleAfter(expiryInterval, p.removeExpired)
}

func (p *pickerPolicy) place(r *request) (*engine, time.Duration) {
	call := &serving.Call{Model: model, Version: version, Snapshot: p.snapshot, PromptTokens: r.promptTokens}
	req := serving.PickRequest{Call: call}
	for _, e := range r.excluded {
		req.Exclude = append(req.Exclude, e.ref())
	}
	vm := p.vms[r.vm]
	if vm.prefixPicker != nil && vm.prefixPicker.OwnerLookup != nil && !r.waitedForPlacement {
		r.waitedForPlacement = p.coalescer.Begin(r.chain, p.sharedIndex.LongestMatch(r.chain), p.clock()) != nil
		if r.waitedForPlacement {
			return nil, p.config.PublishLag
		}
	}
	var chosen *serving.Pick
	var refusal *serving.Refusal
	if vm.prefixPicker != nil {
		chosen, refusal = vm.prefixPicker.PickChain(context.Background(), req, serving.PrefixHint{Blocks: r.chain})
	} else {
		chosen, refusal = vm.leastOutstanding.Pick(context.Background(), req)
	}
	if refusal != nil {
		return r.retryLater()
	}
	r.onDone = func(err error, cached int) { chosen.Done(serving.AttemptResult{Err: err, CachedTokens: cached}) }
	return p.engines[slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == chosen.Target.ID })], 0
}

// onAnnouncement implements observer.
func (p *pickerPolicy) onAnnouncement(a target.Announcement) {
	for _, vm := range p.vms {
		if vm.registry.MergeAnnouncement(a, p.clock()) == target.Replaced && vm.prefixPicker != nil {
			vm.prefixPicker.Index.Drop(target.Ref{ID: a.ID, Incarnation: a.Incarnation - 1})
		}
	}
}

// onCacheEvent implements observer. A gap in the events triggers a resync.
func (p *pickerPolicy) onCacheEvent(ref target.Ref, event prefix.Event) {
	if p.sharedIndex.Apply(prefix.Batch{Ref: ref, Stream: p.streams[ref], Events: []prefix.Event{event}}) {
		p.resync(ref)
	}
}

func (p *pickerPolicy) resync(ref target.Ref) {
	for _, e := range p.engines {
		if e.ref() != ref {
			continue
		}
		p.lastStream++
		stream := p.lastStream
		through := e.eventSequence
		content := e.cache.hashes()
		p.scheduleAfter(p.config.PublishLag, func() {
			p.streams[ref] = stream
			p.sharedIndex.Apply(prefix.Batch{Ref: ref, Stream: stream, Reset: true, LastSequence: through, Events: []prefix.Event{{Kind: prefix.Stored, Blocks: content}}})
		})
	}
}

// Lookup implements routing.OwnerLookup.
func (p *pickerPolicy) Lookup(_ context.Context, chain []prefix.Hash) ([]prefix.Holding, bool) {
	return p.sharedIndex.Lookup(nil, chain), true
}

// onDispatch returns the dispatch callback of a VM, which informs the owner of
// the chain and, if notifyPeers is set, the other VMs.
func (p *pickerPolicy) onDispatch(vm int, notifyPeers bool) func(d routing.Dispatch) {
	return func(d routing.Dispatch) {
		p.scheduleAfter(p.config.PublishLag, func() {
			if d.Failed {
				p.sharedIndex.RetractPredicted(d.Ref, d.Chain)
				return
			}
			p.sharedIndex.Predict(d.Ref, d.Chain, d.HeldBlocks)
			p.coalescer.Complete(d.Chain)
			for i, other := range p.vms {
				if notifyPeers && i != vm {
					other.prefixPicker.AddPeerDispatch(d.Ref, d.PrefillTime)
				}
			}
		})
	}
}
