// Package metrics publishes counters through expvar. Each VM has its own map in
// the variable "cuminwing", so that the counters of several VMs in one process
// stay separate.
package metrics

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// maxLabelledNames limits the number of counters with a route or refusal code in
// their name. Further routes and refusal codes are counted under otherLabel.
const (
	maxLabelledNames = 256
	otherLabel       = "(other)"
)

var (
	publishOnce sync.Once
	vms         *expvar.Map
)

// Set holds the metrics of one VM.
type Set struct {
	counters      *expvar.Map
	mu            sync.Mutex
	labelledNames map[string]struct{}
}

// New returns a Set and publishes it under the name of the VM.
func New(vm string) *Set {
	publishOnce.Do(func() { vms = expvar.NewMap("cuminwing") })
	s := &Set{counters: new(expvar.Map).Init(), labelledNames: make(map[string]struct{})}
	vms.Set(vm, s.counters)
	return s
}

// Handler serves all expvar variables of the process as JSON.
func Handler() http.Handler { return expvar.Handler() }

// Add adds delta to a counter.
func (s *Set) Add(name string, delta int64) { s.counters.Add(name, delta) }

// Value returns the value of a counter, or 0 if there is none with that name.
func (s *Set) Value(name string) int64 {
	if v, ok := s.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge publishes a value that is computed on each read.
func (s *Set) Gauge(name string, value func() any) { s.counters.Set(name, expvar.Func(value)) }

// Observe adds a finished request to the counters.
func (s *Set) Observe(sample serving.Sample) {
	s.Add("requests", 1)
	s.Add(s.labelledName("requests_route_", sample.Route), 1)
	if sample.Refusal != "" {
		s.Add(s.labelledName("refusals_", sample.Refusal), 1)
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
		s.Add("first_token_seconds_le_"+firstTokenBucket(sample.FirstToken.Seconds()), 1)
	}
}

// firstTokenBuckets are the upper bounds of the first-token histogram buckets,
// in seconds. 0.84 s is the objective for the time to the first token.
var firstTokenBuckets = []float64{0.05, 0.1, 0.25, 0.5, 0.84, 2, 5}

func firstTokenBucket(seconds float64) string {
	for _, b := range firstTokenBuckets {
		if seconds <= b {
			return strconv.FormatFloat(b, 'g', -1, 64)
		}
	}
	return "inf"
}

func (s *Set) labelledName(prefix, value string) string {
	name := prefix + value
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.labelledNames[name]; known {
		return name
	}
	if len(s.labelledNames) >= maxLabelledNames {
		return prefix + otherLabel
	}
	s.labelledNames[name] = struct{}{}
	return name
}
