// Package servicepick selects among the replicas of a plain service. The
// package does no I/O.
package servicepick

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Health provides the health state of targets.
type Health interface {
	Usable(ref target.Ref) bool
	Penalty(ref target.Ref) time.Duration
}

// Picker picks the replica with the fewest requests in flight from this VM. It
// prefers replicas in its own zone, then those in its own region.
type Picker struct {
	Registry *target.Registry
	Clock    serving.Clock
	// Zone and Region are the location of this VM.
	Zone, Region string
	Health       Health

	inFlight serving.InFlight
}

// noReplica is the refusal of a request if no replica can take it.
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
		// If no replica is usable, all of them stay candidates: circuit
		// breakers that are all open are as likely to be wrong as the replicas
		// are to be down.
		replicas = healthy
	}
	if len(replicas) == 0 {
		return nil, noReplica
	}
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	var best *target.Target
	done := p.inFlight.Begin(func(requests map[string]int) string {
		best = slices.MinFunc(replicas, func(a, b *target.Target) int {
			return p.cost(a, requests[a.ID]) - p.cost(b, requests[b.ID])
		})
		return best.ID
	})
	return &serving.Pick{Target: best, Done: func(serving.AttemptResult) { done() }}, nil
}

// Costs are in units of requests in flight. A replica in another zone is picked
// once each replica in this VM's zone has otherZoneCost more requests in flight;
// otherRegionCost does the same for regions.
const (
	otherZoneCost   = 16
	otherRegionCost = 1024
	// penaltyUnit is the penalty that counts as one request in flight.
	penaltyUnit = 10 * time.Millisecond
)

// cost returns the cost of a replica with the given number of requests in flight.
func (p *Picker) cost(t *target.Target, inFlight int) int {
	cost := inFlight + int(p.Health.Penalty(t.Ref())/penaltyUnit)
	switch {
	case t.Zone == p.Zone:
		return cost
	case t.Region == p.Region:
		return cost + otherZoneCost
	}
	return cost + otherRegionCost
}
