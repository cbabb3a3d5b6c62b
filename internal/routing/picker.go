package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Health reports the state of circuit breakers and outlier detection. The
// methods must not block and must have no side effects, because they are also
// called for targets that are not chosen.
type Health interface {
	// Usable reports whether the target may receive requests.
	Usable(ref target.Ref) bool
	// Penalty returns a duration that is added to the target's expected time to
	// first token.
	Penalty(ref target.Ref) time.Duration
}

// OwnerLookup asks the VM that owns a chain which targets hold it. It reports
// false if this VM is the owner or if the owner did not respond in time.
type OwnerLookup interface {
	Lookup(ctx context.Context, chain []prefix.Hash) ([]prefix.Holding, bool)
}

// Picker chooses the engine with the lowest expected time to first token. It
// implements serving.Picker.
type Picker struct {
	// Registry lists the known targets.
	Registry *target.Registry
	Clock    serving.Clock
	// Rand chooses among targets of nearly equal cost.
	Rand *rand.Rand
	// Index holds the chains that this VM owns and the predictions from its own
	// dispatches.
	Index *prefix.Index
	// OwnerLookup asks the owner of a chain; nil if this VM owns all chains.
	OwnerLookup OwnerLookup
	// Health is optional.
	Health Health
	// OnDispatch reports each dispatch, and each failed attempt, to the other
	// VMs. It is optional and must not block.
	OnDispatch func(d Dispatch)
	// OnExport requests a copy of blocks to a KV store. It is optional and must
	// not block.
	OnExport func(e Export)
	// Zone and Region are where this VM runs.
	Zone, Region string

	mu            sync.Mutex
	epoch         time.Time
	view          *view
	loads         map[string]*loadEstimate
	match         prefix.Match
	ownerBlocks   []int
	costs         []time.Duration
	regionLink    byteBucket
	holdTime      time.Duration
	recentChoices recentChoices
	exportLimiter exportLimiter
}

// Dispatch describes a request that a VM sent to a target.
type Dispatch struct {
	// Ref is the chosen target.
	Ref target.Ref
	// Chain lists the block hashes of the prompt. The target is expected to hold
	// the first HeldBlocks blocks.
	Chain      []prefix.Hash
	HeldBlocks int
	// PrefillTime is the expected prefill time.
	PrefillTime time.Duration
	// Failed is true if the attempt failed; it retracts the earlier dispatch.
	Failed bool
}

// AddPeerDispatch adds a request dispatched by another VM, with the given
// prefill time, to the load estimate of the target. The index records separately
// which blocks the target will hold.
func (p *Picker) AddPeerDispatch(ref target.Ref, prefill time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.loads[ref.ID]; ok && l.ref == ref {
		l.addOther(p.Clock().Sub(p.epoch), prefill)
	}
}

// ApplyLoadReport applies the load report of a target that sends no heartbeats
// to this VM.
func (p *Picker) ApplyLoadReport(ref target.Ref, reported target.Load, snap *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.Registry.Get(ref.ID)
	if l, ok := p.loads[ref.ID]; ok && known && l.ref == ref {
		l.applyReport(reported, p.Clock().Sub(p.epoch), tokensPerSecond(snap, t.Model))
	}
}

// maxPickAttempts limits how often a choice is repeated because the registry
// has changed since the view was built.
const maxPickAttempts = 3

// Pick implements serving.Picker.
func (p *Picker) Pick(ctx context.Context, req serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	hint := prefixHint(req.Call)
	return p.PickChain(ctx, req, hint)
}

// prefixHint computes the block hashes of a prompt, so that engines and the
// index identify blocks by the same hashes.
func prefixHint(call *serving.Call) serving.PrefixHint {
	scope := prefix.Scope{Workspace: call.Workspace, Model: call.Model, Version: call.Version, Adapter: call.Adapter}
	hint := serving.PrefixHint{Scope: scope.Digest()}
	hint.Blocks = prefix.AppendChain(nil, hint.Scope, call.Prompt, call.Snapshot.Document.Models[call.Model].BlockTokens)
	return hint
}

// PickChain chooses a target for a prompt whose block hashes are known.
func (p *Picker) PickChain(ctx context.Context, req serving.PickRequest, hint serving.PrefixHint) (*serving.Pick, *serving.Refusal) {
	var holdings []prefix.Holding
	ownerResponded := false
	if p.OwnerLookup != nil && len(hint.Blocks) > 0 {
		holdings, ownerResponded = p.OwnerLookup.Lookup(ctx, hint.Blocks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	mayBeStale := p.view != nil
	for range maxPickAttempts {
		q := p.newQuery(req, hint.Blocks, holdings, ownerResponded)
		best, ok := p.choose(q)
		if !ok && mayBeStale {
			// A target may have joined since the view was built.
			p.view, mayBeStale = nil, false
			continue
		}
		if !ok {
			return nil, NoTarget
		}
		if p.stillUsable(best.target, q.now) {
			return p.commit(q, best, hint), nil
		}
		p.view = nil
	}
	return nil, NoTarget
}

// stillUsable reports whether the registry still lists this incarnation as
// usable and it is healthy.
func (p *Picker) stillUsable(t *target.Target, now time.Time) bool {
	known, ok := p.Registry.Get(t.ID)
	return ok && known.Incarnation == t.Incarnation && known.Usable(now) && p.healthy(t.Ref())
}

// query holds the inputs to one choice of target.
type query struct {
	req serving.PickRequest
	now time.Time
	// elapsed is the time from the picker's epoch to now.
	elapsed instant
	chain   []prefix.Hash
	group   *candidateGroup
	// blockPrefill and tailPrefill are the prefill times of one block and of the
	// tokens after the last whole block.
	blockPrefill, tailPrefill time.Duration
	// blockImport is the transfer time of one block from a KV store.
	blockImport time.Duration
	// store is the KV store that holds the most leading blocks of the chain,
	// storeBlocks is their number. store is nil if no store holds any
	// or if importing a block is not faster than computing it.
	storeBlocks int
	store       *candidate
	holdTime    time.Duration
	// ownerResponded is true if another VM owns the chain and responded to
	// the lookup.
	ownerResponded bool
}

func (p *Picker) newQuery(req serving.PickRequest, chain []prefix.Hash, holdings []prefix.Holding, ownerResponded bool) *query {
	call := req.Call
	model := call.Snapshot.Document.Models[call.Model]
	perToken := float64(time.Second) / model.PrefillTokensPerSecond
	q := &query{req: req, now: p.Clock(), chain: chain, ownerResponded: ownerResponded}
	q.blockPrefill = time.Duration(perToken * float64(model.BlockTokens))
	q.tailPrefill = time.Duration(perToken * float64(max(1, call.PromptTokens-len(chain)*model.BlockTokens)))
	q.blockImport = time.Duration(float64(model.BlockTokens*model.KVBytesPerToken) / kvBytesPerSecond * float64(time.Second))
	if p.loads == nil {
		p.loads = make(map[string]*loadEstimate)
		p.holdTime = defaultHoldTime
		p.epoch = q.now
	}
	q.elapsed = q.now.Sub(p.epoch)
	q.holdTime = p.holdTime
	p.refresh(q.now, call.Snapshot)
	q.group = p.groupFor(groupKey{call.Model, call.Version, call.Adapter}, q.now)
	p.Index.Match(&p.match, chain)
	if ownerResponded {
		p.applyOwnerResponse(q, holdings)
	}
	p.findStore(q, holdings)
	return q
}

// applyOwnerResponse assigns the owner's response to the candidates in the home
// region. It adds the recent choices of this VM, which the owner may not have
// received yet.
func (p *Picker) applyOwnerResponse(q *query, holdings []prefix.Holding) {
	p.ownerBlocks = resize(p.ownerBlocks, len(q.group.home))
	clear(p.ownerBlocks)
	for _, h := range holdings {
		if i, ok := q.group.homeByID[h.Ref.ID]; ok && q.group.home[i].target.Incarnation == h.Ref.Incarnation {
			p.ownerBlocks[i] = min(h.Blocks, len(q.chain))
		}
	}
	p.recentChoices.eachMatching(q.now, q.chain, func(ref target.Ref, blocks int) {
		if i, ok := q.group.homeByID[ref.ID]; ok && q.group.home[i].target.Incarnation == ref.Incarnation {
			p.ownerBlocks[i] = max(p.ownerBlocks[i], blocks)
		}
	})
}

// commit records the choice in the load estimates and the index, and reports it
// to the other VMs.
func (p *Picker) commit(q *query, c *choice, hint serving.PrefixHint) *serving.Pick {
	ref := c.target.Ref()
	call := q.req.Call
	c.load.addOwn(q.elapsed, c.prefill)
	if c.crossRegion {
		p.regionLink.take(len(call.Body))
	}
	if len(q.chain) > 0 {
		p.Index.Predict(ref, q.chain, c.heldBlocks)
		p.recentChoices.add(q.now, ref, q.chain)
	}
	if p.OnDispatch != nil {
		p.OnDispatch(Dispatch{Ref: ref, Chain: q.chain, HeldBlocks: c.heldBlocks, PrefillTime: c.prefill})
	}
	if c.importsKV {
		hint.KVSource = q.store.target.URL
	}
	p.exportToStore(q, c, hint.Scope)
	blockTokens := call.Snapshot.Document.Models[call.Model].BlockTokens
	expected := min(c.heldBlocks*blockTokens, call.PromptTokens)
	var once sync.Once
	done := func(result serving.AttemptResult) {
		once.Do(func() { p.recordResult(c, q, result, blockTokens) })
	}
	return &serving.Pick{Target: c.target, ExpectedCachedTokens: expected, Prefix: hint, Done: done}
}

// recordResult applies the result of an attempt to the load estimate and the
// index.
func (p *Picker) recordResult(c *choice, q *query, result serving.AttemptResult, blockTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	c.load.finishOwn()
	if result.Err != nil {
		p.Index.RetractPredicted(c.target.Ref(), q.chain)
		if p.OnDispatch != nil && len(q.chain) > 0 {
			p.OnDispatch(Dispatch{Ref: c.target.Ref(), Chain: q.chain, Failed: true})
		}
		return
	}
	p.holdTime += time.Duration(holdTimeWeight * float64(now.Sub(q.now)-p.holdTime))
	// Zero means unknown, because not every engine reports reused tokens.
	if reused := result.CachedTokens / blockTokens; result.CachedTokens > 0 && reused < c.heldBlocks {
		p.Index.Retract(c.target.Ref(), q.chain[reused:c.heldBlocks])
	}
}

func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}

// objectiveFirstToken is the kind of objectives for the time to first token.
const objectiveFirstToken = "first_token"

// firstTokenObjective returns the tightest objective for the call's route, or
// the route's first-token timeout if that is shorter or there is no objective.
func firstTokenObjective(call *serving.Call) time.Duration {
	limit := call.Route.FirstTokenTimeout()
	for _, o := range call.Snapshot.Document.Objectives {
		applies := o.Kind == objectiveFirstToken && o.Route == call.RouteName
		if applies && (o.Workspace == "" || o.Workspace == call.Workspace) {
			limit = min(limit, time.Duration(o.ThresholdMS)*time.Millisecond)
		}
	}
	return limit
}
