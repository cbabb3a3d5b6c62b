package routing

import (
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// viewAge bounds how old the list of candidates may be. A choice is checked
// against the registry again, so that a view never revives a dead target.
const viewAge = 20 * time.Millisecond

// Network costs, as round trips.
const (
	zoneCost   = time.Millisecond
	regionCost = 60 * time.Millisecond
)

// candidate is one usable target.
type candidate struct {
	target *target.Target
	load   *load
	// slot is the place in the index, -1 if it has none.
	slot int
	// fixed is the cost that does not depend on the request.
	fixed time.Duration
}

// groupKey selects the targets that may answer a call.
type groupKey struct{ model, version, adapter string }

// group lists the candidates for one key.
type group struct {
	home, away []candidate
	stores     []candidate
	byID       map[string]int
}

// view is the state of the registry at one moment.
type view struct {
	built  time.Time
	layout uint64
	all    []*target.Target
	groups map[groupKey]*group
}

// refresh rebuilds the view if it is old.
func (p *Picker) refresh(now time.Time, snap *config.Snapshot) {
	if p.view != nil && now.Sub(p.view.built) < viewAge && p.view.layout == p.Index.Layout() {
		return
	}
	v := &view{built: now, layout: p.Index.Layout(), groups: make(map[groupKey]*group)}
	v.all = p.Registry.All()
	for _, t := range v.all {
		p.loadOf(t).heartbeat(t, t.LastHeard.Sub(p.epoch), tokensPerSecond(snap, t.Model))
	}
	p.forgetGone(v)
	p.view = v
}

func tokensPerSecond(snap *config.Snapshot, model string) float64 {
	if m, ok := snap.Document.Models[model]; ok {
		return m.PrefillTokensPerSecond
	}
	return config.DefaultPrefillTokensPerSecond
}

// loadOf returns the load of the incarnation; a new incarnation starts empty.
func (p *Picker) loadOf(t *target.Target) *load {
	l, ok := p.loads[t.ID]
	if !ok || l.ref.Incarnation != t.Incarnation {
		l = &load{ref: t.Ref()}
		p.loads[t.ID] = l
	}
	return l
}

// forgetGone bounds the loads by the targets in the registry.
func (p *Picker) forgetGone(v *view) {
	if len(p.loads) <= len(v.all) {
		return
	}
	known := make(map[string]bool, len(v.all))
	for _, t := range v.all {
		known[t.ID] = true
	}
	for id := range p.loads {
		if !known[id] {
			delete(p.loads, id)
		}
	}
}

// candidates returns the group for key, built on first use in a view.
func (p *Picker) candidates(key groupKey, now time.Time) *group {
	g, ok := p.view.groups[key]
	if ok {
		return g
	}
	g = &group{byID: make(map[string]int)}
	for _, t := range p.view.all {
		if t.Usable(now) {
			p.admit(g, key, t)
		}
	}
	for i := range g.home {
		g.byID[g.home[i].target.ID] = i
	}
	p.view.groups[key] = g
	return g
}

func (p *Picker) admit(g *group, key groupKey, t *target.Target) {
	c := candidate{target: t, load: p.loads[t.ID], slot: p.Index.Slot(t.Ref())}
	if t.Kind == target.KindKVStore {
		if t.Region == p.Region {
			g.stores = append(g.stores, c)
		}
		return
	}
	if !serves(t, key) || !p.healthy(t.Ref()) {
		return
	}
	if t.Zone != p.Zone {
		c.fixed += zoneCost
	}
	if p.Health != nil {
		c.fixed += p.Health.Penalty(t.Ref())
	}
	if t.Region == p.Region {
		g.home = append(g.home, c)
	} else {
		c.fixed += regionCost
		g.away = append(g.away, c)
	}
}

func serves(t *target.Target, key groupKey) bool {
	if t.Kind != target.KindEngine || t.Model != key.model || t.Version != key.version {
		return false
	}
	return key.adapter == "" || slices.Contains(t.Adapters, key.adapter)
}

func (p *Picker) healthy(ref target.Ref) bool {
	return p.Health == nil || p.Health.Usable(ref)
}

// matched returns the leading blocks that c holds.
func matched(m *prefix.Match, c *candidate) int {
	if c.slot < 0 {
		return 0
	}
	return int(m.Blocks[c.slot])
}
