// Package metrics publishes counters through expvar. Each VM of the process
// has a map of its own under the name "cuminwing", so that several VMs in one
// process do not mix.
package metrics

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// maxLabels bounds how many routes and refusal codes get a counter of their
// own; the rest is counted under otherLabel.
const (
	maxLabels  = 256
	otherLabel = "(other)"
)

var (
	publish sync.Once
	vms     *expvar.Map
)

// Set holds the counters of one VM.
type Set struct {
	counters *expvar.Map
	mu       sync.Mutex
	labels   map[string]struct{}
}

// New returns the counters of a VM.
func New(vm string) *Set {
	publish.Do(func() { vms = expvar.NewMap("cuminwing") })
	s := &Set{counters: new(expvar.Map).Init(), labels: make(map[string]struct{})}
	vms.Set(vm, s.counters)
	return s
}

// Handler serves all counters of the process as JSON.
func Handler() http.Handler { return expvar.Handler() }

// Add increases a counter.
func (s *Set) Add(name string, delta int64) { s.counters.Add(name, delta) }

// Value returns a counter.
func (s *Set) Value(name string) int64 {
	if v, ok := s.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge publishes a value that is computed when it is read.
func (s *Set) Gauge(name string, value func() any) { s.counters.Set(name, expvar.Func(value)) }

// Observe counts one request.
func (s *Set) Observe(sample serving.Sample) {
	s.Add("requests", 1)
	s.Add(s.label("requests_route_", sample.Route), 1)
	if sample.Refusal != "" {
		s.Add(s.label("refusals_", sample.Refusal), 1)
	}
	if sample.Complete {
		s.Add("complete_answers", 1)
	}
	if sample.Attempts > 1 {
		s.Add("extra_attempts", int64(sample.Attempts-1))
	}
	s.Add("prompt_tokens", int64(sample.PromptTokens))
	s.Add("cached_tokens", int64(sample.CachedTokens))
	s.Add("wasted_tokens", int64(sample.WastedTokens))
	if sample.FirstToken > 0 {
		s.Add("first_token_seconds_le_"+bound(sample.FirstToken.Seconds()), 1)
	}
}

// bounds are the classes of the first-token counter in seconds. One of them is
// the objective of 0.84 s.
var bounds = []float64{0.05, 0.1, 0.25, 0.5, 0.84, 2, 5}

func bound(seconds float64) string {
	for _, b := range bounds {
		if seconds <= b {
			return strconv.FormatFloat(b, 'g', -1, 64)
		}
	}
	return "inf"
}

func (s *Set) label(prefix, value string) string {
	name := prefix + value
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.labels[name]; known {
		return name
	}
	if len(s.labels) >= maxLabels {
		return prefix + otherLabel
	}
	s.labels[name] = struct{}{}
	return name
}
