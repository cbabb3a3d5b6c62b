package orders

import (
	"fmt"
	"sort"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/target"
	ordersv1 "github.com/cuminwing/cuminwing/proto/orders/v1"
)

// KindLoad is the kind of an order to load a version of a model.
const KindLoad = "load"

// loadTimeout is the age at which an open order counts as failed. Loading takes
// about 0.4 s, and longer if the weights store is slow.
const loadTimeout = 2 * time.Minute

// retryDelay is the time between the end of a load order and the next attempt of
// the same load on the same engine.
const retryDelay = 10 * time.Second

// Plan lists the commands that the lease holder must propose next.
type Plan struct {
	// Issue lists the orders to issue.
	Issue []*ordersv1.Order
	// Done and Failed list the IDs of the open orders to close, as completed
	// or failed.
	Done   []string
	Failed []string
}

// NextPlan plans the next steps of the rollouts. The result depends only on the
// arguments, so that a new leader continues the plan of the former one.
func NextPlan(targets []*target.Target, models map[string]config.Model, state *State, now time.Time) Plan {
	p := &planner{
		now:          now,
		state:        state,
		engines:      make(map[string]*target.Target),
		pendingModel: make(map[string]string),
	}
	for _, t := range targets {
		if t.Kind == target.KindEngine {
			p.engines[t.ID] = t
		}
	}
	p.closeOrders()
	for _, name := range sortedNames(models) {
		p.planRollout(name, models[name])
	}
	return p.plan
}

type planner struct {
	now     time.Time
	state   *State
	engines map[string]*target.Target
	// pendingModel maps each engine with an order that stays open to the model
	// of that order.
	pendingModel map[string]string
	plan         Plan
}

// closeOrders closes the open orders whose version the engine reports as loaded,
// that belong to a former incarnation, or that have timed out.
func (p *planner) closeOrders() {
	for _, o := range p.state.OpenOrders() {
		e, known := p.engines[o.GetTarget()]
		age := p.now.Sub(time.UnixMilli(o.GetIssuedMs()))
		switch {
		case known && e.Incarnation == o.GetIncarnation() && reportsLoaded(e, o):
			p.plan.Done = append(p.plan.Done, o.GetId())
		case known && e.Incarnation > o.GetIncarnation(), age > loadTimeout:
			p.plan.Failed = append(p.plan.Failed, o.GetId())
		default:
			p.pendingModel[o.GetTarget()] = o.GetModel()
		}
	}
}

func reportsLoaded(e *target.Target, o *ordersv1.Order) bool {
	return e.Model == o.GetModel() && e.Version == o.GetVersion() && !e.Loading
}

// zoneCounts holds the number of engines of one model in one zone, by state.
type zoneCounts struct {
	// available engines are live and neither leaving nor draining. They may be
	// serving or loading.
	available int
	// serving engines are usable, hold the serving version and have no open
	// order.
	serving int
	// updated engines hold the goal version, are loading or have an open order
	// for the model.
	updated int
}

func (p *planner) planRollout(name string, m config.Model) {
	goal := m.ServingVersion
	if m.OrderedVersion != "" {
		goal = m.OrderedVersion
	}
	candidates, loading, zones := p.countEngines(name, m, goal)
	limit := m.MaxConcurrentLoads
	if limit <= 0 {
		limit = config.DefaultMaxConcurrentLoads
	}
	for _, e := range candidates {
		if loading >= limit {
			return
		}
		z := zones[e.Zone]
		if !canLoad(e, m, z) {
			continue
		}
		id, ok := p.orderID(e, name, goal)
		if !ok {
			continue
		}
		loading++
		z.updated++
		if p.isServing(e, m) {
			z.serving--
		}
		p.plan.Issue = append(p.plan.Issue, &ordersv1.Order{
			Id: id, Target: e.ID, Incarnation: e.Incarnation, Kind: KindLoad,
			Model: name, Version: goal, Adapters: m.Adapters, Role: e.Role,
		})
	}
}

// countEngines returns the engines that are candidates for an order, sorted by ID,
// the number of engines that are or may be loading, and the counts per zone.
func (p *planner) countEngines(name string, m config.Model, goal string) (candidates []*target.Target, loading int, zones map[string]*zoneCounts) {
	zones = make(map[string]*zoneCounts)
	for _, id := range sortedNames(p.engines) {
		e := p.engines[id]
		_, pending := p.pendingModel[id]
		pendingForModel := pending && p.pendingModel[id] == name
		if e.Model != name && !pendingForModel {
			continue
		}
		// An engine that has stopped sending heartbeats may still be loading.
		if pendingForModel || e.Loading {
			loading++
		}
		if e.Leaving || e.Draining || p.now.Sub(e.LastHeartbeat) >= target.HeartbeatTimeout {
			continue
		}
		z := zones[e.Zone]
		if z == nil {
			z = &zoneCounts{}
			zones[e.Zone] = z
		}
		z.available++
		switch {
		case pendingForModel || e.Loading || e.Version == goal:
			z.updated++
		case !pending:
			candidates = append(candidates, e)
		}
		if !pending && p.isServing(e, m) {
			z.serving++
		}
	}
	for id, model := range p.pendingModel {
		if _, known := p.engines[id]; !known && model == name {
			loading++
		}
	}
	return candidates, loading, zones
}

func (p *planner) isServing(e *target.Target, m config.Model) bool {
	return e.Version == m.ServingVersion && e.Usable(p.now)
}

// canLoad reports whether an engine may be taken out of service to load. An
// engine that does not hold the serving version always may. Another engine may
// only if at least one other engine of its zone keeps serving, and if at most
// half of the zone then holds or loads the ordered version: that half serves again only when the operator
// makes the ordered version the serving version, and then the other half
// follows.
func canLoad(e *target.Target, m config.Model, z *zoneCounts) bool {
	if e.Version != m.ServingVersion {
		return true
	}
	return z.serving > 1 && z.updated < z.available/2
}

// orderID returns the ID of the next attempt of a load. It reports false if an
// attempt is open or retryDelay has not passed since the last one. Two leaders
// that make the same plan use the same ID, so that only one order results.
func (p *planner) orderID(e *target.Target, model, version string) (string, bool) {
	for attempt := 1; ; attempt++ {
		id := fmt.Sprintf("load/%s/%d/%s/%s/%d", e.ID, e.Incarnation, model, version, attempt)
		o, known := p.state.Orders[id]
		if !known {
			return id, true
		}
		closed := time.UnixMilli(o.GetClosedMs())
		if o.GetClosedMs() == 0 || p.now.Sub(closed) < retryDelay {
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
