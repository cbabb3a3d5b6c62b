// Package fairqueue orders the requests that wait for a group of targets, so
// that no workspace crowds out another. It uses start-time fair queueing over
// the work of requests and does no I/O.
package fairqueue

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

const (
	// decodeCost is the work of one generated token in prefill tokens: an
	// engine that prefills 20,000 tokens a second and generates a token of 32
	// requests in 41 ms spends 1.3 ms, or 26 prefill tokens, on each.
	decodeCost = 26
	// catalogueShare is the part of the work that catalogue requests get
	// while interactive requests wait too.
	catalogueShare = 0.1
	// maxWaitingPerWorkspace bounds the queue of one workspace, so that one
	// workspace cannot fill the queue of the group.
	maxWaitingPerWorkspace = 256
	// maxWaiting bounds the queue of one group.
	maxWaiting = 2048
	// throughputDecay is the time constant of the throughput estimate.
	throughputDecay = 5 * time.Second
	// minThroughputSample is the work that must be done before the estimate
	// is used to refuse requests.
	minThroughputSample = 10000
	// recheck is how often a waiting request looks for capacity that came
	// from elsewhere, such as a target that joined.
	recheck = 50 * time.Millisecond
)

// Queue orders the requests of one VM. It implements serving.Queue.
type Queue struct {
	// Clock returns the current time.
	Clock serving.Clock
	// Capacity returns the limits of a group for this VM, given what is in
	// flight from it.
	Capacity func(group string, own Usage) Limits

	mu     sync.Mutex
	groups map[string]*group
}

// Usage is what one VM has in flight in a group.
type Usage struct {
	// InFlight is the number of requests, Prefilling those without a first
	// token.
	InFlight   int
	Prefilling int
}

// Limits bounds what one VM may have in flight in a group. Zero InFlight means
// that no target is usable; requests then pass, and routing refuses them.
type Limits struct {
	// InFlight bounds the requests.
	InFlight int
	// Prefilling bounds the requests without a first token. An engine
	// prefills one prompt after the other, so more of them only queue there,
	// where neither fairness nor routing reaches them.
	Prefilling int
}

func (l Limits) allow(u Usage) bool {
	return l.InFlight == 0 || (u.InFlight < l.InFlight && u.Prefilling < l.Prefilling)
}

// group holds the requests for one model or service.
type group struct {
	virtual    float64
	flows      map[string]*flow
	waiting    []*entry
	usage      Usage
	debt       float64
	throughput throughput
}

// flow is the state of one workspace in one group.
type flow struct {
	finish  float64
	waiting int
	running int
}

type entry struct {
	flow      *flow
	workspace string
	catalogue bool
	start     float64
	cost      float64
	weight    float64
	deadline  time.Time
	ready     chan struct{}
	admitted  bool
}

// Cost returns the work of a request in prefill tokens.
func Cost(prefillTokens, decodeTokens int) float64 {
	return math.Max(1, float64(prefillTokens)+decodeCost*float64(decodeTokens))
}

// Acquire implements serving.Queue.
func (q *Queue) Acquire(ctx context.Context, req serving.QueueRequest) (serving.Slot, *serving.Refusal) {
	q.mu.Lock()
	g := q.group(req.Group)
	if refusal := g.refuse(q.Clock(), req); refusal != nil {
		q.mu.Unlock()
		return nil, refusal
	}
	e := g.add(req)
	q.dispatch(req.Group, g)
	q.mu.Unlock()
	if !q.wait(ctx, req.Group, g, e) {
		return nil, refuse("queue_timeout", "the request waited too long for a target", time.Second)
	}
	return &slot{queue: q, name: req.Group, group: g, entry: e}, nil
}

// slot implements serving.Slot.
type slot struct {
	queue *Queue
	name  string
	group *group
	entry *entry
	// prefilled and released are guarded by the mutex of the queue.
	prefilled bool
	released  bool
}

// FirstToken implements serving.Slot.
func (s *slot) FirstToken() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.endPrefill()
	s.queue.dispatch(s.name, s.group)
}

// Release implements serving.Slot.
func (s *slot) Release(prefillTokens, decodeTokens int) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	s.endPrefill()
	s.queue.release(s.name, s.group, s.entry, Cost(prefillTokens, decodeTokens))
}

func (s *slot) endPrefill() {
	if !s.prefilled {
		s.prefilled = true
		s.group.usage.Prefilling--
	}
}

// Waiting returns the number of waiting requests of a group.
func (q *Queue) Waiting(name string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g, ok := q.groups[name]; ok {
		return len(g.waiting)
	}
	return 0
}

func (q *Queue) group(name string) *group {
	if q.groups == nil {
		q.groups = make(map[string]*group)
	}
	g, ok := q.groups[name]
	if !ok {
		g = &group{flows: make(map[string]*flow)}
		q.groups[name] = g
	}
	return g
}

// wait reports whether e got its turn before its deadline.
func (q *Queue) wait(ctx context.Context, name string, g *group, e *entry) bool {
	select {
	case <-e.ready:
		return true
	default:
	}
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for {
		select {
		case <-e.ready:
			return true
		case <-ctx.Done():
			return !q.abandon(g, e)
		case <-ticker.C:
			if q.Clock().After(e.deadline) {
				return !q.abandon(g, e)
			}
			q.mu.Lock()
			q.dispatch(name, g)
			q.mu.Unlock()
		}
	}
}

// abandon removes a waiting request. It reports false if the request got its
// turn in the meantime.
func (q *Queue) abandon(g *group, e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.admitted {
		return false
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(other *entry) bool { return other == e })
	e.flow.waiting--
	// The work was not done, so it must not count against the workspace.
	e.flow.finish -= e.cost / e.weight
	g.forget(e)
	return true
}

// release is called with the mutex held.
func (q *Queue) release(name string, g *group, e *entry, cost float64) {
	g.usage.InFlight--
	e.flow.running--
	e.flow.finish += (cost - e.cost) / e.weight
	g.throughput.add(q.Clock(), cost)
	g.forget(e)
	q.dispatch(name, g)
}

// dispatch lets requests go while there is capacity.
func (q *Queue) dispatch(name string, g *group) {
	for len(g.waiting) > 0 {
		if !q.Capacity(name, g.usage).allow(g.usage) {
			return
		}
		g.admit(g.next())
	}
}

// add queues a request behind the earlier work of its workspace.
func (g *group) add(req serving.QueueRequest) *entry {
	f, ok := g.flows[req.Workspace]
	if !ok {
		f = &flow{}
		g.flows[req.Workspace] = f
	}
	e := &entry{
		flow:      f,
		workspace: req.Workspace,
		catalogue: req.Class == config.ClassCatalogue,
		start:     max(g.virtual, f.finish),
		cost:      Cost(req.PrefillTokens, req.DecodeTokens),
		weight:    max(req.Weight, 1e-3),
		deadline:  req.Deadline,
		ready:     make(chan struct{}),
	}
	f.finish = e.start + e.cost/e.weight
	f.waiting++
	g.waiting = append(g.waiting, e)
	return e
}

// next returns the index of the request that goes next: interactive before
// catalogue, unless catalogue has earned its share; the lowest start tag
// within a class.
func (g *group) next() int {
	interactive := g.lowest(false)
	catalogue := g.lowest(true)
	if interactive < 0 {
		return catalogue
	}
	if catalogue < 0 {
		return interactive
	}
	if g.debt >= g.waiting[catalogue].cost {
		return catalogue
	}
	return interactive
}

func (g *group) lowest(catalogue bool) int {
	best := -1
	for i, e := range g.waiting {
		if e.catalogue == catalogue && (best < 0 || e.start < g.waiting[best].start) {
			best = i
		}
	}
	return best
}

func (g *group) admit(i int) {
	e := g.waiting[i]
	g.waiting = slices.Delete(g.waiting, i, i+1)
	g.account(e)
	g.virtual = max(g.virtual, e.start)
	g.usage.InFlight++
	g.usage.Prefilling++
	e.flow.waiting--
	e.flow.running++
	e.admitted = true
	close(e.ready)
}

// account keeps the share of catalogue requests. Debt grows only while they
// wait, so that an idle class does not save up work.
func (g *group) account(e *entry) {
	switch {
	case e.catalogue:
		g.debt = max(0, g.debt-e.cost)
	case g.lowest(true) >= 0:
		g.debt += e.cost * catalogueShare
	}
}

// forget drops a flow that is idle and owes nothing.
func (g *group) forget(e *entry) {
	f := e.flow
	if f.waiting == 0 && f.running == 0 && f.finish <= g.virtual {
		delete(g.flows, e.workspace)
	}
}

// refuse decides early about a request that cannot be served in time.
func (g *group) refuse(now time.Time, req serving.QueueRequest) *serving.Refusal {
	if len(g.waiting) >= maxWaiting {
		return refuse("queue_full", "too many requests wait for this group of targets", time.Second)
	}
	if f, ok := g.flows[req.Workspace]; ok && f.waiting >= maxWaitingPerWorkspace {
		return refuse("queue_full", "too many requests of the workspace are waiting", time.Second)
	}
	wait := g.expectedWait(now, req)
	if now.Add(wait).After(req.Deadline) {
		return refuse("deadline_unreachable", "the request cannot start before its deadline", wait)
	}
	return nil
}

// expectedWait is the time until the work ahead of the request is done.
func (g *group) expectedWait(now time.Time, req serving.QueueRequest) time.Duration {
	rate, ok := g.throughput.perSecond(now)
	if !ok || len(g.waiting) == 0 {
		return 0
	}
	start := g.virtual
	if f, known := g.flows[req.Workspace]; known {
		start = max(start, f.finish)
	}
	catalogue := req.Class == config.ClassCatalogue
	ahead := 0.0
	for _, e := range g.waiting {
		if (e.start <= start && e.catalogue == catalogue) || (catalogue && !e.catalogue) {
			ahead += e.cost
		}
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

func refuse(code, message string, retryAfter time.Duration) *serving.Refusal {
	return &serving.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		Run:        serving.NotRun,
		RetryAfter: min(max(retryAfter, time.Second), time.Minute),
	}
}
