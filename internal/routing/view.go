package routing

import (
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// maxViewAge limits the age of the candidate list. Each choice is checked
// against the registry again, so a stale view never leads to a dead target.
const maxViewAge = 20 * time.Millisecond

// Network round-trip times added to the cost of a candidate.
const (
	crossZoneCost   = time.Millisecond
	crossRegionCost = 60 * time.Millisecond
)

// candidate is a usable target.
type candidate struct {
	target *target.Target
	load   *loadEstimate
	// indexSlot is the target's slot in the index; -1 if it has none.
	indexSlot int
	// fixedCost is the part of the cost that does not depend on the request.
	fixedCost time.Duration
}

// groupKey selects the targets that can serve a call.
type groupKey struct{ model, version, adapter string }

// candidateGroup holds the candidates for one key.
type candidateGroup struct {
	home, crossRegion []candidate
	stores            []candidate
	homeByID          map[string]int
}

// view is a snapshot of the registry.
type view struct {
	built         time.Time
	layoutVersion uint64
	targets       []*target.Target
	groups        map[groupKey]*candidateGroup
}

// refresh rebuilds the view if it is too old or the index layout has changed.
func (p *Picker) refresh(now time.Time, snap *config.Snapshot) {
	if p.view != nil && now.Sub(p.view.built) < maxViewAge && p.view.layoutVersion == p.Index.LayoutVersion() {
		return
	}
	v := &view{built: now, layoutVersion: p.Index.LayoutVersion(), groups: make(map[groupKey]*candidateGroup)}
	v.targets = p.Registry.All()
	for _, t := range v.targets {
		p.loadFor(t).applyHeartbeat(t, t.LastHeartbeat.Sub(p.epoch), tokensPerSecond(snap, t.Model))
	}
	p.pruneLoads(v)
	p.view = v
}

func tokensPerSecond(snap *config.Snapshot, model string) float64 {
	if m, ok := snap.Document.Models[model]; ok {
		return m.PrefillTokensPerSecond
	}
	return config.DefaultPrefillTokensPerSecond
}

// loadFor returns the load estimate of the incarnation. A new incarnation
// starts with an empty one.
func (p *Picker) loadFor(t *target.Target) *loadEstimate {
	l, ok := p.loads[t.ID]
	if !ok || l.ref.Incarnation != t.Incarnation {
		l = &loadEstimate{ref: t.Ref()}
		p.loads[t.ID] = l
	}
	return l
}

// pruneLoads removes the load estimates of targets that are no longer in the
// registry.
func (p *Picker) pruneLoads(v *view) {
	if len(p.loads) <= len(v.targets) {
		return
	}
	known := make(map[string]bool, len(v.targets))
	for _, t := range v.targets {
		known[t.ID] = true
	}
	for id := range p.loads {
		if !known[id] {
			delete(p.loads, id)
		}
	}
}

// groupFor returns the candidate group for key. Groups are built on first use
// in a view.
func (p *Picker) groupFor(key groupKey, now time.Time) *candidateGroup {
	g, ok := p.view.groups[key]
	if ok {
		return g
	}
	g = &candidateGroup{homeByID: make(map[string]int)}
	for _, t := range p.view.targets {
		if t.Usable(now) {
			p.addCandidate(g, key, t)
		}
	}
	for i := range g.home {
		g.homeByID[g.home[i].target.ID] = i
	}
	p.view.groups[key] = g
	return g
}

func (p *Picker) addCandidate(g *candidateGroup, key groupKey, t *target.Target) {
	c := candidate{target: t, load: p.loads[t.ID], indexSlot: p.Index.Slot(t.Ref())}
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
		c.fixedCost += crossZoneCost
	}
	if p.Health != nil {
		c.fixedCost += p.Health.Penalty(t.Ref())
	}
	if t.Region == p.Region {
		g.home = append(g.home, c)
	} else {
		c.fixedCost += crossRegionCost
		g.crossRegion = append(g.crossRegion, c)
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

// matchedBlocks returns how many leading blocks of the chain c holds according
// to the index.
func matchedBlocks(m *prefix.Match, c *candidate) int {
	if c.indexSlot < 0 {
		return 0
	}
	return int(m.Blocks[c.indexSlot])
}
