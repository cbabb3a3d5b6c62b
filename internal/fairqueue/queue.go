// Package fairqueue orders the requests that wait for a group of targets, so
// that no workspace starves another. It implements start-time fair queueing
// over the work of requests and does no I/O.
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
	// decodeCost is the work of one generated token, in prefill tokens. An
	// engine that prefills 20,000 tokens per second and needs 41 ms to generate
	// one token for each of 32 requests spends 1.3 ms, or 26 prefill tokens, on
	// each.
	decodeCost = 26
	// catalogueShare is the fraction of the work that catalogue requests get
	// while interactive requests wait too.
	catalogueShare = 0.1
	// maxWaitingPerWorkspace limits the queue of one workspace, so that one
	// workspace cannot fill the queue of the group.
	maxWaitingPerWorkspace = 256
	// maxWaiting limits the queue of one group.
	maxWaiting = 2048
	// throughputTimeConstant is the time constant of the throughput estimate.
	throughputTimeConstant = 5 * time.Second
	// minThroughputSample is the work, in prefill tokens, that must be finished
	// before the estimate is used to refuse requests.
	minThroughputSample = 10000
	// recheckInterval is how often a waiting request checks for capacity that
	// no released slot has announced, such as that of a target that joined.
	recheckInterval = 50 * time.Millisecond
)

// Queue orders the requests of one VM. It implements serving.Queue.
type Queue struct {
	// Clock returns the current time.
	Clock serving.Clock
	// Capacity returns the limits of a group for this VM, given what this VM
	// has in flight there.
	Capacity func(group string, own Usage) Limits

	mu     sync.Mutex
	groups map[string]*group
}

// Usage is what one VM has in flight in a group.
type Usage struct {
	// InFlight is the number of requests, Prefilling the number of those
	// without a first token.
	InFlight   int
	Prefilling int
}

// Limits limits what one VM may have in flight in a group. InFlight is zero if
// no target is usable; requests then pass the queue, and routing refuses them.
type Limits struct {
	// InFlight limits the requests.
	InFlight int
	// Prefilling limits the requests without a first token. An engine prefills
	// prompts one at a time, so more of them would only wait inside the engine,
	// where neither fair queueing nor routing applies.
	Prefilling int
}

func (l Limits) allow(u Usage) bool {
	return l.InFlight == 0 || (u.InFlight < l.InFlight && u.Prefilling < l.Prefilling)
}

// group holds the requests for one model or service.
type group struct {
	virtualTime     float64
	flows           map[string]*flow
	waiting         []*entry
	usage           Usage
	catalogueCredit float64
	throughput      throughput
}

// flow is the state of one workspace in one group.
type flow struct {
	finishTag float64
	waiting   int
	running   int
}

type entry struct {
	flow      *flow
	workspace string
	catalogue bool
	startTag  float64
	cost      float64
	weight    float64
	deadline  time.Time
	ready     chan struct{}
	admitted  bool
}

// Cost returns the work of a request, in prefill tokens.
func Cost(prefillTokens, decodeTokens int) float64 {
	return math.Max(1, float64(prefillTokens)+decodeCost*float64(decodeTokens))
}

// Acquire implements serving.Queue.
func (q *Queue) Acquire(ctx context.Context, req serving.QueueRequest) (serving.Slot, *serving.Refusal) {
	q.mu.Lock()
	g := q.group(req.Group)
	if refusal := g.refuseEarly(q.Clock(), req); refusal != nil {
		q.mu.Unlock()
		return nil, refusal
	}
	e := g.add(req)
	q.dispatch(req.Group, g)
	q.mu.Unlock()
	if !q.wait(ctx, req.Group, g, e) {
		return nil, newRefusal("queue_timeout", "the request waited too long for a target", time.Second)
	}
	return &slot{queue: q, groupName: req.Group, group: g, entry: e}, nil
}

// slot implements serving.Slot.
type slot struct {
	queue     *Queue
	groupName string
	group     *group
	entry     *entry
	// prefilled and released are guarded by the mutex of the queue.
	prefilled bool
	released  bool
}

// FirstToken implements serving.Slot.
func (s *slot) FirstToken() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.endPrefill()
	s.queue.dispatch(s.groupName, s.group)
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
	s.queue.release(s.groupName, s.group, s.entry, Cost(prefillTokens, decodeTokens))
}

func (s *slot) endPrefill() {
	if !s.prefilled {
		s.prefilled = true
		s.group.usage.Prefilling--
	}
}

// Waiting returns the number of waiting requests of a group.
func (q *Queue) Waiting(groupName string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g, ok := q.groups[groupName]; ok {
		return len(g.waiting)
	}
	return 0
}

func (q *Queue) group(groupName string) *group {
	if q.groups == nil {
		q.groups = make(map[string]*group)
	}
	g, ok := q.groups[groupName]
	if !ok {
		g = &group{flows: make(map[string]*flow)}
		q.groups[groupName] = g
	}
	return g
}

// wait reports whether e was admitted before its deadline and before ctx was
// done.
func (q *Queue) wait(ctx context.Context, groupName string, g *group, e *entry) bool {
	select {
	case <-e.ready:
		return true
	default:
	}
	ticker := time.NewTicker(recheckInterval)
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
			q.dispatch(groupName, g)
			q.mu.Unlock()
		}
	}
}

// abandon removes a waiting request. It returns false if the request was
// admitted in the meantime.
func (q *Queue) abandon(g *group, e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.admitted {
		return false
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(other *entry) bool { return other == e })
	e.flow.waiting--
	// The work was not done, so it must not count against the workspace.
	e.flow.finishTag -= e.cost / e.weight
	g.dropIdleFlow(e)
	return true
}

// release must be called with the mutex held.
func (q *Queue) release(groupName string, g *group, e *entry, cost float64) {
	g.usage.InFlight--
	e.flow.running--
	e.flow.finishTag += (cost - e.cost) / e.weight
	g.throughput.add(q.Clock(), cost)
	g.dropIdleFlow(e)
	q.dispatch(groupName, g)
}

// dispatch admits waiting requests while there is capacity.
func (q *Queue) dispatch(groupName string, g *group) {
	for len(g.waiting) > 0 {
		if !q.Capacity(groupName, g.usage).allow(g.usage) {
			return
		}
		g.admit(g.next())
	}
}

// add queues a request behind the earlier requests of its workspace.
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
		startTag:  max(g.virtualTime, f.finishTag),
		cost:      Cost(req.PrefillTokens, req.DecodeTokens),
		weight:    max(req.Weight, 1e-3),
		deadline:  req.Deadline,
		ready:     make(chan struct{}),
	}
	f.finishTag = e.startTag + e.cost/e.weight
	f.waiting++
	g.waiting = append(g.waiting, e)
	return e
}

// next returns the index of the request to admit next: the lowest start tag of
// the interactive class, or of the catalogue class if no interactive request
// waits or if the catalogue credit covers its cost.
func (g *group) next() int {
	interactive := g.lowestStartTag(false)
	catalogue := g.lowestStartTag(true)
	if interactive < 0 {
		return catalogue
	}
	if catalogue < 0 {
		return interactive
	}
	if g.catalogueCredit >= g.waiting[catalogue].cost {
		return catalogue
	}
	return interactive
}

func (g *group) lowestStartTag(catalogue bool) int {
	best := -1
	for i, e := range g.waiting {
		if e.catalogue == catalogue && (best < 0 || e.startTag < g.waiting[best].startTag) {
			best = i
		}
	}
	return best
}

func (g *group) admit(i int) {
	e := g.waiting[i]
	g.waiting = slices.Delete(g.waiting, i, i+1)
	g.updateCatalogueCredit(e)
	g.virtualTime = max(g.virtualTime, e.startTag)
	g.usage.InFlight++
	g.usage.Prefilling++
	e.flow.waiting--
	e.flow.running++
	e.admitted = true
	close(e.ready)
}

// updateCatalogueCredit accounts for an admitted request. Credit grows only
// while catalogue requests wait, so that an idle class does not accumulate it.
func (g *group) updateCatalogueCredit(e *entry) {
	switch {
	case e.catalogue:
		g.catalogueCredit = max(0, g.catalogueCredit-e.cost)
	case g.lowestStartTag(true) >= 0:
		g.catalogueCredit += e.cost * catalogueShare
	}
}

// dropIdleFlow deletes the flow of e if it is idle and the virtual time has
// reached its finish tag.
func (g *group) dropIdleFlow(e *entry) {
	f := e.flow
	if f.waiting == 0 && f.running == 0 && f.finishTag <= g.virtualTime {
		delete(g.flows, e.workspace)
	}
}

// refuseEarly refuses a request if the queue is full or if the request is not
// expected to start before its deadline. Otherwise it returns nil.
func (g *group) refuseEarly(now time.Time, req serving.QueueRequest) *serving.Refusal {
	if len(g.waiting) >= maxWaiting {
		return newRefusal("queue_full", "too many requests wait for this group of targets", time.Second)
	}
	if f, ok := g.flows[req.Workspace]; ok && f.waiting >= maxWaitingPerWorkspace {
		return newRefusal("queue_full", "too many requests of the workspace are waiting", time.Second)
	}
	wait := g.expectedWait(now, req)
	if now.Add(wait).After(req.Deadline) {
		return newRefusal("deadline_unreachable", "the request cannot start before its deadline", wait)
	}
	return nil
}

// expectedWait estimates the time until the work ahead of the request is done.
func (g *group) expectedWait(now time.Time, req serving.QueueRequest) time.Duration {
	rate, ok := g.throughput.perSecond(now)
	if !ok || len(g.waiting) == 0 {
		return 0
	}
	startTag := g.virtualTime
	if f, known := g.flows[req.Workspace]; known {
		startTag = max(startTag, f.finishTag)
	}
	catalogue := req.Class == config.ClassCatalogue
	ahead := 0.0
	for _, e := range g.waiting {
		if (e.startTag <= startTag && e.catalogue == catalogue) || (catalogue && !e.catalogue) {
			ahead += e.cost
		}
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

func newRefusal(code, message string, retryAfter time.Duration) *serving.Refusal {
	return &serving.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		Run:        serving.NotRun,
		RetryAfter: min(max(retryAfter, time.Second), time.Minute),
	}
}
