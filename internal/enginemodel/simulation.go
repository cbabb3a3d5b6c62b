package enginemodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Region, model and weights version of the modelled engine group.
const (
	region  = "home"
	model   = "model"
	version = "v1"
)

// Config describes one run.
type Config struct {
	// Name labels the run in reports.
	Name string
	// Seed initializes the random numbers and makes the run repeatable.
	Seed uint64
	// Engines and VMs are distributed evenly over two zones.
	Engines, VMs int
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheBlocks is the cache size of an engine in blocks, and BlockTokens the
	// size of a block in tokens.
	CacheBlocks, BlockTokens int
	// PrefillTokensPerSecond is the prefill speed of one engine.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two output tokens.
	TokenInterval time.Duration
	// Workload describes the requests.
	Workload Workload
	// Duration is the simulated time. Requests that arrive during Warmup, its
	// first part, are not measured.
	Duration, Warmup time.Duration
	// Restart is how long a crashed engine is down. Crashes lists the crashes;
	// each affects the engines with the lowest indexes.
	Restart time.Duration
	Crashes []Crash
	// LoadInterval is the interval of load reports, and LoadLag the delay until
	// they arrive.
	LoadInterval, LoadLag time.Duration
	// EventLag is the delay until cache events arrive, and EventLoss the
	// fraction of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// PublishLag is the delay of messages between VMs: the owner of a chain
	// learns of a placement this much later.
	PublishLag time.Duration
}

// Crash is the simultaneous crash of some engines.
type Crash struct {
	// At is the time of the crash.
	At time.Duration
	// Engines is the number of engines that crash.
	Engines int
}

// request is one prompt.
type request struct {
	workspace    int
	vm           int
	chain        []prefix.Hash
	promptTokens int
	outputTokens int
	arrived      time.Duration
	excluded     []*engine
	onDone       func(err error, cached int)
	// plannedPrefillTokens is the number of tokens that were expected to need
	// prefill when the request was queued.
	plannedPrefillTokens int
	cachedTokens         int
	// waitedForPlacement is true once the request has waited for the placement
	// of another one.
	waitedForPlacement bool
	// reusableTokens is the longest prefix, in tokens, that a live engine held
	// when the request was placed.
	reusableTokens int
}

// policy chooses engines for requests.
type policy interface {
	// place returns an engine, or nil and the delay before the next try.
	place(r *request) (*engine, time.Duration)
}

// observer is a placement policy that receives announcements and cache events.
type observer interface {
	onAnnouncement(a target.Announcement)
	onCacheEvent(ref target.Ref, event prefix.Event)
}

type simulation struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastSequence int
	engines      []*engine
	policy       policy
	result       *Result
}

// firstTokenTimeout is the time to first token above which a request counts as
// refused.
const firstTokenTimeout = 10 * time.Second

// placementRetryDelay is the delay before a request for which no engine was
// found is placed again.
const placementRetryDelay = 100 * time.Millisecond

// retryLater returns the result of place for a request for which no engine was
// found. It clears the excluded engines, so that the next try considers all of
// them.
func (r *request) retryLater() (*engine, time.Duration) {
	r.excluded = nil
	return nil, placementRetryDelay
}

// zoneRoundTrip is added to the time to first token if VM and engine are in
// different zones.
const zoneRoundTrip = time.Millisecond

// Run simulates one run with one policy.
func Run(c Config, p Policy) *Result {
	s := &simulation{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	s.result = newResult(c)
	for i := range c.Engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	s.policy = p.build(s)
	for _, r := range c.Workload.generate(c) {
		s.schedule(r.arrived, func() { s.dispatch(r) })
	}
	for _, crash := range c.Crashes {
		s.schedule(crash.At, func() {
			for _, e := range s.engines[:crash.Engines] {
				e.crash()
			}
		})
	}
	if o, ok := s.policy.(observer); ok {
		for i, e := range s.engines {
			s.scheduleAnnouncements(o, e, time.Duration(i)*c.LoadInterval/time.Duration(c.Engines))
		}
	}
	for len(s.queue) > 0 && s.now < c.Duration+firstTokenTimeout {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.run()
	}
	return s.result
}

// scheduleAnnouncements delivers an announcement of the engine now, and from
// first on sends one at each load interval, which arrives after the load lag.
func (s *simulation) scheduleAnnouncements(o observer, e *engine, first time.Duration) {
	o.onAnnouncement(e.announcement())
	var tick func()
	tick = func() {
		announcement := e.announcement()
		s.scheduleAfter(s.config.LoadLag, func() { o.onAnnouncement(announcement) })
		s.scheduleAfter(s.config.LoadInterval, tick)
	}
	s.schedule(first, tick)
}

func (s *simulation) dispatch(r *request) {
	if s.now-r.arrived > firstTokenTimeout {
		s.result.recordRefusal(r)
		return
	}
	r.reusableTokens = s.reusableTokens(r)
	e, retryAfter := s.policy.place(r)
	if e == nil {
		s.scheduleAfter(retryAfter, func() { s.dispatch(r) })
		return
	}
	if e.down {
		s.redispatch(r, e)
		return
	}
	e.accept(r)
}

// redispatch sends a request whose engine is down to another engine.
func (s *simulation) redispatch(r *request, e *engine) {
	if r.onDone != nil {
		r.onDone(fmt.Errorf("engine %s is down", e.id), 0)
	}
	r.excluded = append(r.excluded, e)
	s.scheduleAfter(time.Millisecond, func() { s.dispatch(r) })
}

// reusableTokens returns the length, in tokens, of the longest prefix that any
// live engine holds.
func (s *simulation) reusableTokens(r *request) int {
	most := 0
	for _, e := range s.engines {
		if !e.down {
			most = max(most, e.cache.matchLength(r.chain))
		}
	}
	return most * s.config.BlockTokens
}

func (s *simulation) recordFirstToken(r *request, e *engine) {
	timeToFirstToken := s.now - r.arrived
	if e.zone != vmZone(r.vm) {
		timeToFirstToken += zoneRoundTrip
	}
	s.result.recordFirstToken(r, timeToFirstToken)
}

func (s *simulation) completeRequest(r *request) {
	if r.onDone != nil {
		r.onDone(nil, r.cachedTokens)
	}
}

// deliverCacheEvent delivers an event after the event lag unless it is lost.
func (s *simulation) deliverCacheEvent(e *engine, event prefix.Event) {
	o, ok := s.policy.(observer)
	if !ok || s.rng.Float64() < s.config.EventLoss {
		return
	}
	ref := e.ref()
	s.scheduleAfter(s.config.EventLag, func() { o.onCacheEvent(ref, event) })
}

func (s *simulation) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(0, tokens)) / s.config.PrefillTokensPerSecond * float64(time.Second))
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) schedule(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, scheduledEvent{at, s.lastSequence, run})
}

func (s *simulation) scheduleAfter(d time.Duration, run func()) { s.schedule(s.now+d, run) }

func engineID(i int) string { return fmt.Sprintf("engine-%03d", i) }

func vmZone(vm int) string { return [...]string{"a", "b"}[vm%2] }

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
