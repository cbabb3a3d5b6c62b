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

// Health says what circuit breakers and outlier detection think of a target.
// The methods must not block and must have no side effects: they are called
// for targets that are not chosen.
type Health interface {
	// Usable reports whether the target may get a request.
	Usable(ref target.Ref) bool
	// Penalty is added to the expected time to first token.
	Penalty(ref target.Ref) time.Duration
}

// Lookup asks the VM that owns a chain which targets hold it. It reports
// false if the owner is this VM or did not answer in time.
type Lookup interface {
	Lookup(ctx context.Context, chain []prefix.Hash) ([]prefix.Holding, bool)
}

// Picker chooses the engine with the least expected time to first token. It
// implements serving.Picker.
type Picker struct {
	// Registry knows the targets.
	Registry *target.Registry
	// Clock returns the current time.
	Clock serving.Clock
	// Rand chooses among near-equal targets.
	Rand *rand.Rand
	// Index holds the chains that this VM owns and its own predictions.
	Index *prefix.Index
	// Remote asks the owner of a chain; nil if this VM owns all.
	Remote Lookup
	// Health may be nil.
	Health Health
	// Dispatched tells the other VMs of a choice; may be nil. It must not
	// block.
	Dispatched func(d Dispatch)
	// Export copies blocks to a KV store; may be nil. It must not block.
	Export func(e Export)
	// Zone and Region are where this VM runs.
	Zone, Region string

	mu     sync.Mutex
	epoch  time.Time
	view   *view
	loads  map[string]*load
	match  prefix.Match
	remote []int
	costs  []time.Duration
	link   linkBudget
	hold   time.Duration
	recent recentChoices
	kv     exports
}

// Dispatch is a choice that a VM made.
type Dispatch struct {
	// Ref is the chosen target.
	Ref target.Ref
	// Chain is the prompt, of which the target holds the first Held blocks.
	Chain []prefix.Hash
	Held  int
	// Work is the expected prefill time.
	Work time.Duration
	// Failed takes the choice back.
	Failed bool
}

// Elsewhere takes note of a choice that another VM made. What the target
// holds by then is up to the index.
func (p *Picker) Elsewhere(ref target.Ref, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.loads[ref.ID]; ok && l.ref == ref {
		l.dispatchedElsewhere(p.Clock().Sub(p.epoch), work)
	}
}

// Report takes over the load of a target whose heartbeats do not come to this
// VM.
func (p *Picker) Report(ref target.Ref, reported target.Load, snap *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.Registry.Get(ref.ID)
	if l, ok := p.loads[ref.ID]; ok && known && l.ref == ref {
		l.report(reported, p.Clock().Sub(p.epoch), tokensPerSecond(snap, t.Model))
	}
}

// maxChoices bounds how often a choice is repeated because the registry
// changed since the view was built.
const maxChoices = 3

// Pick implements serving.Picker.
func (p *Picker) Pick(ctx context.Context, req serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	hint := hintOf(req.Call)
	return p.PickChain(ctx, req, hint)
}

// hintOf names the blocks of a prompt, so that engines and the index speak of
// the same ones.
func hintOf(call *serving.Call) serving.PrefixHint {
	scope := prefix.Scope{Workspace: call.Workspace, Model: call.Model, Version: call.Version, Adapter: call.Adapter}
	hint := serving.PrefixHint{Scope: scope.Digest()}
	hint.Blocks = prefix.AppendChain(nil, hint.Scope, call.Prompt, call.Snapshot.Document.Models[call.Model].BlockTokens)
	return hint
}

// PickChain chooses a target for a prompt whose chain is known.
func (p *Picker) PickChain(ctx context.Context, req serving.PickRequest, hint serving.PrefixHint) (*serving.Pick, *serving.Refusal) {
	var holdings []prefix.Holding
	answered := false
	if p.Remote != nil && len(hint.Blocks) > 0 {
		holdings, answered = p.Remote.Lookup(ctx, hint.Blocks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	stale := p.view != nil
	for range maxChoices {
		q := p.newQuery(req, hint.Blocks, holdings, answered)
		best, ok := p.choose(q)
		if !ok && stale {
			// A target may have joined since the view was built.
			p.view, stale = nil, false
			continue
		}
		if !ok {
			return nil, NoTarget
		}
		if p.current(best.target, q.now) {
			return p.commit(q, best, hint), nil
		}
		p.view = nil
	}
	return nil, NoTarget
}

// current checks the choice against the registry.
func (p *Picker) current(t *target.Target, now time.Time) bool {
	known, ok := p.Registry.Get(t.ID)
	return ok && known.Incarnation == t.Incarnation && known.Usable(now) && p.healthy(t.Ref())
}

// query is one decision.
type query struct {
	req serving.PickRequest
	now time.Time
	// instant is now since the picker's epoch.
	instant instant
	chain   []prefix.Hash
	group   *group
	// block and rest are the prefill times of one block and of the tokens
	// after the last whole block.
	block, rest time.Duration
	// kvBlock is the transfer time of one block from a KV store.
	kvBlock time.Duration
	stored  int
	store   *candidate
	hold    time.Duration
	// answered is true if the owner of the chain was asked.
	answered bool
}

func (p *Picker) newQuery(req serving.PickRequest, chain []prefix.Hash, holdings []prefix.Holding, answered bool) *query {
	call := req.Call
	model := call.Snapshot.Document.Models[call.Model]
	perToken := float64(time.Second) / model.PrefillTokensPerSecond
	q := &query{req: req, now: p.Clock(), chain: chain, answered: answered}
	q.block = time.Duration(perToken * float64(model.BlockTokens))
	q.rest = time.Duration(perToken * float64(max(1, call.PromptTokens-len(chain)*model.BlockTokens)))
	q.kvBlock = time.Duration(float64(model.BlockTokens*model.KVBytesPerToken) / kvBytesPerSecond * float64(time.Second))
	if p.loads == nil {
		p.loads = make(map[string]*load)
		p.hold = defaultHold
		p.epoch = q.now
	}
	q.instant = q.now.Sub(p.epoch)
	q.hold = p.hold
	p.refresh(q.now, call.Snapshot)
	q.group = p.candidates(groupKey{call.Model, call.Version, call.Adapter}, q.now)
	p.Index.Match(&p.match, chain)
	if answered {
		p.placeRemote(q, holdings)
	}
	p.findStore(q, holdings)
	return q
}

// placeRemote spreads the owner's answer over the candidates at home. What
// this VM chose in the last moments is added, because the owner may not have
// heard of it.
func (p *Picker) placeRemote(q *query, holdings []prefix.Holding) {
	p.remote = resize(p.remote, len(q.group.home))
	clear(p.remote)
	for _, h := range holdings {
		if i, ok := q.group.byID[h.Ref.ID]; ok && q.group.home[i].target.Incarnation == h.Ref.Incarnation {
			p.remote[i] = min(h.Blocks, len(q.chain))
		}
	}
	p.recent.each(q.now, q.chain, func(ref target.Ref, blocks int) {
		if i, ok := q.group.byID[ref.ID]; ok && q.group.home[i].target.Incarnation == ref.Incarnation {
			p.remote[i] = max(p.remote[i], blocks)
		}
	})
}

// commit books the choice.
func (p *Picker) commit(q *query, c *choice, hint serving.PrefixHint) *serving.Pick {
	ref := c.target.Ref()
	call := q.req.Call
	c.load.dispatched(q.instant, c.prefill)
	if c.away {
		p.link.spend(len(call.Body))
	}
	if len(q.chain) > 0 {
		p.Index.Predict(ref, q.chain, c.blocks)
		p.recent.add(q.now, ref, q.chain)
	}
	if p.Dispatched != nil {
		p.Dispatched(Dispatch{Ref: ref, Chain: q.chain, Held: c.blocks, Work: c.prefill})
	}
	if c.imports {
		hint.KVSource = q.store.target.URL
	}
	p.export(q, c, hint.Scope)
	blockTokens := call.Snapshot.Document.Models[call.Model].BlockTokens
	expected := min(c.blocks*blockTokens, call.PromptTokens)
	var once sync.Once
	done := func(result serving.AttemptResult) {
		once.Do(func() { p.finish(c, q, result, blockTokens) })
	}
	return &serving.Pick{Target: c.target, ExpectedCachedTokens: expected, Prefix: hint, Done: done}
}

// finish takes the outcome of an attempt into account.
func (p *Picker) finish(c *choice, q *query, result serving.AttemptResult, blockTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	c.load.finished()
	if result.Err != nil {
		p.Index.RetractPredicted(c.target.Ref(), q.chain)
		if p.Dispatched != nil && len(q.chain) > 0 {
			p.Dispatched(Dispatch{Ref: c.target.Ref(), Chain: q.chain, Failed: true})
		}
		return
	}
	p.hold += time.Duration(holdWeight * float64(now.Sub(q.now)-p.hold))
	// Zero is no statement: not every engine reports reused tokens.
	if reused := result.CachedTokens / blockTokens; result.CachedTokens > 0 && reused < c.blocks {
		p.Index.Retract(c.target.Ref(), q.chain[reused:c.blocks])
	}
}

func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}

// objectiveFirstToken is the kind of the objectives on time to first token.
const objectiveFirstToken = "first_token"

// firstTokenObjective returns the tightest objective of the call's route, or
// its stall limit if it has none.
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
