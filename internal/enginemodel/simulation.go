package enginemodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// The group that is modelled.
const (
	region  = "home"
	model   = "model"
	version = "v1"
)

// Config describes one run.
type Config struct {
	// Name labels the run.
	Name string
	// Seed makes the run repeatable.
	Seed uint64
	// Engines and VMs are spread evenly over two zones.
	Engines, VMs int
	// Slots is the number of requests an engine runs at once.
	Slots int
	// CacheBlocks and BlockTokens size the cache of an engine.
	CacheBlocks, BlockTokens int
	// PrefillTokensPerSecond is the speed of one engine.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// Workload is what callers send.
	Workload Workload
	// Duration is the modelled time, of which Warmup is not measured.
	Duration, Warmup time.Duration
	// Restart is how long a crashed engine is away; Crashes lists when
	// engines crash, always the first ones.
	Restart time.Duration
	Crashes []Crash
	// LoadInterval and LoadLag are those of load reports.
	LoadInterval, LoadLag time.Duration
	// EventLag and EventLoss are those of cache events.
	EventLag  time.Duration
	EventLoss float64
	// PublishLag is how long the owner of a chain hears of a choice later.
	PublishLag time.Duration
}

// Crash is the loss of engines at one moment.
type Crash struct {
	// At is when it happens.
	At time.Duration
	// Engines is how many engines crash.
	Engines int
}

// request is one prompt.
type request struct {
	workspace int
	vm        int
	chain     []prefix.Hash
	tokens    int
	output    int
	arrived   time.Duration
	exclude   []*engine
	done      func(err error, cached int)
	// planned is the prefill work expected when it was queued.
	planned int
	cached  int
	// waited is true once the request waited for another one to be placed.
	waited bool
	// known is what some live engine held when the request was placed.
	known int
}

// policy places requests.
type policy interface {
	// place returns an engine, or after which time to try again.
	place(r *request) (*engine, time.Duration)
}

// listener is a policy that follows reports and events.
type listener interface {
	report(a target.Announcement)
	event(ref target.Ref, event prefix.Event)
}

type simulation struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	serial  int
	engines []*engine
	policy  policy
	result  *Result
}

// stallLimit is the time to first token after which a request counts as
// refused.
const stallLimit = 10 * time.Second

// retryPause is the pause before a request that found no engine tries again.
const retryPause = 100 * time.Millisecond

// none lets a request that found no engine try all of them again later.
func (r *request) none() (*engine, time.Duration) {
	r.exclude = nil
	return nil, retryPause
}

// zoneRoundTrip is added to the time to first token across zones.
const zoneRoundTrip = time.Millisecond

// Run runs one policy.
func Run(c Config, p Policy) *Result {
	s := &simulation{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	s.result = newResult(c)
	for i := range c.Engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	s.policy = p.build(s)
	for _, r := range c.Workload.generate(c) {
		s.at(r.arrived, func() { s.dispatch(r) })
	}
	for _, crash := range c.Crashes {
		s.at(crash.At, func() {
			for _, e := range s.engines[:crash.Engines] {
				e.crash()
			}
		})
	}
	if l, ok := s.policy.(listener); ok {
		for i, e := range s.engines {
			s.report(l, e, time.Duration(i)*c.LoadInterval/time.Duration(c.Engines))
		}
	}
	for len(s.queue) > 0 && s.now < c.Duration+stallLimit {
		next := heap.Pop(&s.queue).(scheduled)
		s.now = next.at
		next.run()
	}
	return s.result
}

// report sends the load of an engine at each interval; it is heard after the
// lag.
func (s *simulation) report(l listener, e *engine, first time.Duration) {
	l.report(e.announcement())
	var tick func()
	tick = func() {
		made := e.announcement()
		s.after(s.config.LoadLag, func() { l.report(made) })
		s.after(s.config.LoadInterval, tick)
	}
	s.at(first, tick)
}

func (s *simulation) dispatch(r *request) {
	if s.now-r.arrived > stallLimit {
		s.result.refuse(r)
		return
	}
	r.known = s.knownTokens(r)
	e, later := s.policy.place(r)
	if e == nil {
		s.after(later, func() { s.dispatch(r) })
		return
	}
	if e.down {
		s.failed(r, e)
		return
	}
	e.accept(r)
}

// failed sends a request to another engine.
func (s *simulation) failed(r *request, e *engine) {
	if r.done != nil {
		r.done(fmt.Errorf("engine %s is down", e.id), 0)
	}
	r.exclude = append(r.exclude, e)
	s.after(time.Millisecond, func() { s.dispatch(r) })
}

// knownTokens is the longest leading part that any live engine holds.
func (s *simulation) knownTokens(r *request) int {
	most := 0
	for _, e := range s.engines {
		if !e.down {
			most = max(most, e.cache.match(r.chain))
		}
	}
	return most * s.config.BlockTokens
}

func (s *simulation) first(r *request, e *engine) {
	took := s.now - r.arrived
	if e.zone != vmZone(r.vm) {
		took += zoneRoundTrip
	}
	s.result.add(r, took)
}

func (s *simulation) finished(r *request) {
	if r.done != nil {
		r.done(nil, r.cached)
	}
}

// cacheEvent delivers an event after the lag, unless it is lost.
func (s *simulation) cacheEvent(e *engine, event prefix.Event) {
	l, ok := s.policy.(listener)
	if !ok || s.rng.Float64() < s.config.EventLoss {
		return
	}
	ref := e.ref()
	s.after(s.config.EventLag, func() { l.event(ref, event) })
}

func (s *simulation) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(0, tokens)) / s.config.PrefillTokensPerSecond * float64(time.Second))
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) at(at time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, scheduled{at, s.serial, run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func engineID(i int) string { return fmt.Sprintf("engine-%03d", i) }

func vmZone(vm int) string { return [...]string{"a", "b"}[vm%2] }

type scheduled struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
