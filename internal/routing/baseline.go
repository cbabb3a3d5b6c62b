// Package routing chooses the target for a request. It does no I/O.
package routing

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// LeastOutstanding picks the engine with the fewest in-flight requests from
// this VM. It is the baseline against which prefix-aware routing is measured.
type LeastOutstanding struct {
	// Registry lists the known targets.
	Registry *target.Registry
	Clock    serving.Clock
	// Rand breaks ties between equally loaded engines.
	Rand *rand.Rand

	inFlight serving.InFlight
}

// Pick implements serving.Picker.
func (l *LeastOutstanding) Pick(_ context.Context, req serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	engines := l.Registry.Engines(req.Call.Model, req.Call.Version, l.Clock())
	engines = slices.DeleteFunc(engines, func(t *target.Target) bool {
		return slices.Contains(req.Exclude, t.Ref())
	})
	if len(engines) == 0 {
		return nil, NoTarget
	}
	var best *target.Target
	done := l.inFlight.Begin(func(requests map[string]int) string {
		best = l.leastLoaded(engines, requests)
		return best.ID
	})
	return &serving.Pick{Target: best, Prefix: prefixHint(req.Call), Done: func(serving.AttemptResult) { done() }}, nil
}

// NoTarget is the refusal returned when no usable target exists for a request.
var NoTarget = &serving.Refusal{
	Status:     http.StatusServiceUnavailable,
	Code:       "no_target",
	Message:    "no target can take the request now",
	Run:        serving.NotRun,
	RetryAfter: time.Second,
}

func (l *LeastOutstanding) leastLoaded(engines []*target.Target, requests map[string]int) *target.Target {
	l.Rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return slices.MinFunc(engines, func(a, b *target.Target) int { return requests[a.ID] - requests[b.ID] })
}
