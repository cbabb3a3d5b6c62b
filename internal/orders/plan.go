package orders

import (
	"fmt"
	"sort"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/target"
	ordersv1 "github.com/cuminwing/cuminwing/proto/orders/v1"
)

// KindLoad orders a target to load a version of a model.
const KindLoad = "load"

// loadTimeout is when an order counts as failed. Loading takes about 0.4 s and
// longer if the weights store is slow.
const loadTimeout = 2 * time.Minute

// retryAfter is the pause after a failed order to the same engine.
const retryAfter = 10 * time.Second

// Plan is what the holder of the lease does next.
type Plan struct {
	// Issue lists new orders.
	Issue []*ordersv1.Order
	// Done and Failed list open orders to close, by ID.
	Done   []string
	Failed []string
}

// Next plans the roll-outs. It depends on nothing but its arguments, so that
// a new leader continues the plan of the former one.
func Next(targets []*target.Target, models map[string]config.Model, state *State, now time.Time) Plan {
	p := &planner{
		now:     now,
		state:   state,
		engines: make(map[string]*target.Target),
		busy:    make(map[string]string),
	}
	for _, t := range targets {
		if t.Kind == target.KindEngine {
			p.engines[t.ID] = t
		}
	}
	p.closeOrders()
	for _, name := range sortedNames(models) {
		p.rollOut(name, models[name])
	}
	return p.plan
}

type planner struct {
	now     time.Time
	state   *State
	engines map[string]*target.Target
	// busy maps engines with an order that stays open to its model.
	busy map[string]string
	plan Plan
}

// closeOrders ends orders that are reported as done, that belong to a former
// incarnation, or that took too long.
func (p *planner) closeOrders() {
	for _, o := range p.state.Open() {
		e, known := p.engines[o.GetTarget()]
		age := p.now.Sub(time.UnixMilli(o.GetIssuedMs()))
		switch {
		case known && e.Incarnation == o.GetIncarnation() && reports(e, o):
			p.plan.Done = append(p.plan.Done, o.GetId())
		case known && e.Incarnation > o.GetIncarnation(), age > loadTimeout:
			p.plan.Failed = append(p.plan.Failed, o.GetId())
		default:
			p.busy[o.GetTarget()] = o.GetModel()
		}
	}
}

func reports(e *target.Target, o *ordersv1.Order) bool {
	return e.Model == o.GetModel() && e.Version == o.GetVersion() && !e.Loading
}

// zoneCount counts the engines of one model in one zone.
type zoneCount struct {
	// all may serve or could after loading.
	all int
	// serving are usable with the version that requests run on.
	serving int
	// moved hold the ordered version or are loading it.
	moved int
}

func (p *planner) rollOut(name string, m config.Model) {
	goal := m.ServingVersion
	if m.OrderedVersion != "" {
		goal = m.OrderedVersion
	}
	candidates, loading, zones := p.survey(name, m, goal)
	limit := m.MaxConcurrentLoads
	if limit <= 0 {
		limit = config.DefaultMaxConcurrentLoads
	}
	for _, e := range candidates {
		if loading >= limit {
			return
		}
		z := zones[e.Zone]
		if !mayLoad(e, m, z) {
			continue
		}
		id, ok := p.orderID(e, name, goal)
		if !ok {
			continue
		}
		loading++
		z.moved++
		if p.serves(e, m) {
			z.serving--
		}
		p.plan.Issue = append(p.plan.Issue, &ordersv1.Order{
			Id: id, Target: e.ID, Incarnation: e.Incarnation, Kind: KindLoad,
			Model: name, Version: goal, Adapters: m.Adapters, Role: e.Role,
		})
	}
}

// survey returns the engines that could be ordered, sorted by ID, the number
// that load or may be loading, and the counts per zone.
func (p *planner) survey(name string, m config.Model, goal string) (candidates []*target.Target, loading int, zones map[string]*zoneCount) {
	zones = make(map[string]*zoneCount)
	for _, id := range sortedNames(p.engines) {
		e := p.engines[id]
		_, ordered := p.busy[id]
		busy := ordered && p.busy[id] == name
		if e.Model != name && !busy {
			continue
		}
		// An engine that is silent may still be loading.
		if busy || e.Loading {
			loading++
		}
		if e.Leaving || e.Draining || p.now.Sub(e.LastHeard) >= target.LiveFor {
			continue
		}
		z := zones[e.Zone]
		if z == nil {
			z = &zoneCount{}
			zones[e.Zone] = z
		}
		z.all++
		switch {
		case busy || e.Loading || e.Version == goal:
			z.moved++
		case !ordered:
			candidates = append(candidates, e)
		}
		if !ordered && p.serves(e, m) {
			z.serving++
		}
	}
	for id, model := range p.busy {
		if _, known := p.engines[id]; !known && model == name {
			loading++
		}
	}
	return candidates, loading, zones
}

func (p *planner) serves(e *target.Target, m config.Model) bool {
	return e.Version == m.ServingVersion && e.Usable(p.now)
}

// mayLoad keeps requests served. An engine that does not hold the serving
// version is free. Of the others, while a version is ordered, at most half of
// a zone moves: they serve again only when the operator makes the ordered
// version the serving one, and then the other half follows.
func mayLoad(e *target.Target, m config.Model, z *zoneCount) bool {
	if e.Version != m.ServingVersion {
		return true
	}
	return z.serving > 1 && z.moved < z.all/2
}

// orderID names the next try of a load. The same plan made twice, also by two
// leaders, gives the same ID and therefore one order.
func (p *planner) orderID(e *target.Target, model, version string) (string, bool) {
	for try := 1; ; try++ {
		id := fmt.Sprintf("load/%s/%d/%s/%s/%d", e.ID, e.Incarnation, model, version, try)
		o, known := p.state.Orders[id]
		if !known {
			return id, true
		}
		closed := time.UnixMilli(o.GetClosedMs())
		if o.GetClosedMs() == 0 || p.now.Sub(closed) < retryAfter {
			return "", false
		}
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
