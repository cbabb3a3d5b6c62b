// Package servicepick chooses among the replicas of a plain service. The package
// does no I/O.
package servicepick

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Health tells which targets to avoid.
type Health interface {
	Usable(ref target.Ref) bool
	Penalty(ref target.Ref) time.Duration
}

// Picker picks the replica with the fewest requests in flight from this VM,
// preferring the own zone, then the own region.
type Picker struct {
	// Registry knows the targets.
	Registry *target.Registry
	// Clock returns the current time.
	Clock serving.Clock
	// Zone and Region are where this VM is.
	Zone, Region string
	// Health tells which replicas to avoid.
	Health Health

	mu       sync.Mutex
	inFlight map[string]int
}

// noReplica refuses a request for which no replica is usable.
var noReplica = &serving.Refusal{
	Status:     http.StatusServiceUnavailable,
	Code:       "no_target",
	Message:    "no replica of the service can take the request now",
	Run:        serving.NotRun,
	RetryAfter: time.Second,
}

// Pick implements serving.Picker.
func (p *Picker) Pick(_ context.Context, req serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	replicas := p.Registry.Services(req.Call.Route.Service, p.Clock())
	replicas = slices.DeleteFunc(replicas, func(t *target.Target) bool { return slices.Contains(req.Exclude, t.Ref()) })
	healthy := slices.DeleteFunc(slices.Clone(replicas), func(t *target.Target) bool { return !p.Health.Usable(t.Ref()) })
	if len(healthy) > 0 {
		// With every breaker open the breakers are as likely to be wrong.
		replicas = healthy
	}
	if len(replicas) == 0 {
		return nil, noReplica
	}
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight = make(map[string]int)
	}
	best := slices.MinFunc(replicas, func(a, b *target.Target) int { return p.cost(a) - p.cost(b) })
	p.inFlight[best.ID]++
	return &serving.Pick{Target: best, Done: func(serving.AttemptResult) { p.release(best.ID) }}, nil
}

// Costs in requests in flight: another zone is used once the own has this
// many more per replica.
const (
	otherZoneCost   = 16
	otherRegionCost = 1024
	// penaltyUnit of penalty counts like one request in flight.
	penaltyUnit = 10 * time.Millisecond
)

func (p *Picker) cost(t *target.Target) int {
	cost := p.inFlight[t.ID] + int(p.Health.Penalty(t.Ref())/penaltyUnit)
	switch {
	case t.Zone == p.Zone:
		return cost
	case t.Region == p.Region:
		return cost + otherZoneCost
	}
	return cost + otherRegionCost
}

func (p *Picker) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[id]--
	if p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}
