package exposure

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/canary"
)

// Batch holds the samples of one service since the batch before.
type Batch struct {
	Service string
	// Order identifies the rollout.
	Order   uint64
	Samples []canary.Sample
}

// Reporter collects the samples of a front, and holds the last batches until the leader has
// them. It is safe for concurrent use.
type Reporter struct {
	mu      sync.Mutex
	pending map[sampleKey]*pendingSample
	// sent are the batches that are not confirmed, and sequence is their number.
	sent     []Batch
	sequence uint64
}

type sampleKey struct {
	service string
	order   uint64
	class   string
	cohort  canary.Cohort
}

// pendingSample is a sample that is not reported yet. More requests may have been taken back
// than were sent since the last report.
type pendingSample struct {
	canary.Sample
	sent int
}

// NewReporter returns a Reporter without samples.
func NewReporter() *Reporter {
	return &Reporter{pending: make(map[sampleKey]*pendingSample)}
}

// Outcome is what a front has seen of one request.
type Outcome struct {
	Failed bool
	// Interval is the mean time between the events of a stream, if it had several.
	Interval    time.Duration
	HasInterval bool
}

// Sent counts a request that is sent.
func (r *Reporter) Sent(serviceName, className string, t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sample(serviceName, className, t).sent++
}

// NotSent takes back a request that was counted but not sent, or that its target has not run.
func (r *Reporter) NotSent(serviceName, className string, t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sample(serviceName, className, t).sent--
}

// FirstByte counts the time to the first byte of a response.
func (r *Reporter) FirstByte(serviceName, className string, t Ticket, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sample(serviceName, className, t).FirstByte[canary.Bucket(after)]++
}

// Ended counts an ended request.
func (r *Reporter) Ended(serviceName, className string, t Ticket, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sample(serviceName, className, t)
	s.Requests++
	if o.Failed {
		s.Failures++
	}
	if o.HasInterval {
		s.Interval[canary.Bucket(o.Interval)]++
	}
}

// sample returns the pending sample for a request.
func (r *Reporter) sample(serviceName, className string, t Ticket) *pendingSample {
	key := sampleKey{serviceName, t.order, className, t.Cohort}
	if s := r.pending[key]; s != nil {
		return s
	}
	if len(r.pending) >= 2*maxClasses {
		key.class = otherClass
	}
	s := r.pending[key]
	if s == nil {
		s = &pendingSample{Sample: canary.Sample{Class: key.class, Cohort: t.Cohort}}
		r.pending[key] = s
	}
	return s
}

// Report returns the batches for the next report and their number. They are the same until
// Confirm is called, so that the leader can tell a repeated report from a new one.
func (r *Reporter) Report() ([]Batch, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sent) > 0 || len(r.pending) == 0 {
		return r.sent, r.sequence
	}
	r.sequence++
	keys := slices.SortedFunc(maps.Keys(r.pending), func(a, b sampleKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.order, b.order), cmp.Compare(a.class, b.class), cmp.Compare(a.cohort, b.cohort))
	})
	rest := make(map[sampleKey]*pendingSample)
	for _, k := range keys {
		p := r.pending[k]
		if p.sent < 0 {
			rest[k] = &pendingSample{Sample: canary.Sample{Class: k.class, Cohort: k.cohort}, sent: p.sent}
		}
		p.Sent = uint32(max(p.sent, 0))
		last := len(r.sent) - 1
		if last < 0 || r.sent[last].Service != k.service || r.sent[last].Order != k.order {
			r.sent = append(r.sent, Batch{Service: k.service, Order: k.order})
			last++
		}
		r.sent[last].Samples = append(r.sent[last].Samples, p.Sample)
	}
	r.pending = rest
	return r.sent, r.sequence
}

// Confirm records that the leader has the batches with a number.
func (r *Reporter) Confirm(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence == r.sequence {
		r.sent = nil
	}
}

// Discard forgets all samples. It is called when no rollout is running any more.
func (r *Reporter) Discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = nil
	clear(r.pending)
}

// Selected returns the targets of a new version that receive requests, given the IDs of all
// of them and the committed fraction. All fronts select the same ones, so that each of
// these has the load that the fraction is meant to give it.
func Selected(ids []string, fraction float64) map[string]bool {
	ranked := slices.SortedFunc(slices.Values(ids), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	// The tolerance keeps a rounding error from selecting one target more.
	const tolerance = 1e-6
	n := int(math.Ceil(fraction*float64(len(ranked)) - tolerance))
	selected := make(map[string]bool, max(n, 0))
	for _, id := range ranked[:max(min(n, len(ranked)), 0)] {
		selected[id] = true
	}
	return selected
}
