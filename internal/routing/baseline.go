// Package routing chooses the target for a request. It does no I/O.
package routing

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

// LeastOutstanding picks the engine with the fewest in-flight requests from
// this VM. It is the baseline against which prefix-aware routing is measured.
type LeastOutstanding struct {
	// Registry lists the known targets.
	Registry *target.Registry
	Clock    serving.Clock
	// Rand breaks ties between equally loaded engines.
	Rand *rand.Rand

	mu       sync.Mutex
	inFlight map[string]int
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
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.leastLoaded(engines)
	if l.inFlight == nil {
		l.inFlight = make(map[string]int)
	}
	l.inFlight[best.ID]++
	return &serving.Pick{
		Target: best,
		Prefix: prefixHint(req.Call),
		Done:   func(serving.AttemptResult) { l.release(best.ID) },
	}, nil
}

// NoTarget is the refusal returned when no usable target exists for a request.
var NoTarget = &serving.Refusal{
	Status:     http.StatusServiceUnavailable,
	Code:       "no_target",
	Message:    "no target can take the request now",
	Run:        serving.NotRun,
	RetryAfter: time.Second,
}

func (l *LeastOutstanding) leastLoaded(engines []*target.Target) *target.Target {
	l.Rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return slices.MinFunc(engines, func(a, b *target.Target) int {
		return l.inFlight[a.ID] - l.inFlight[b.ID]
	})
}

func (l *LeastOutstanding) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[id]--
	if l.inFlight[id] <= 0 {
		delete(l.inFlight, id)
	}
}
