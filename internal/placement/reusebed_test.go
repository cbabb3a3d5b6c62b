package placement

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// reuseBed plays requests on engines whose memory it models: parts of prompts and running
// requests share it, the least recently used parts yield, and parts can be fetched from other
// engines and from a store. Eight fronts place the requests and exchange hints; nothing goes
// over a network. The results are those of the engines, whatever the fronts believe.
type reuseBed struct {
	now    float64
	events bedEvents
	// scheduled counts the events, and uses has the times at which parts are used.
	scheduled int
	uses      map[uint64][]float64
	engines   map[string]*bedEngine
	order     []*bedEngine
	store     *bedMemory
	clock     *fakeClock
	fronts    []*Placer
	// lastUse is when an engine last used a part.
	lastUse map[uint64]float64
	result  bedResult
}

// bedResult counts tokens of prompts, and the times to the first byte of long ones.
type bedResult struct {
	read, again int
	// againHeld is the number of tokens among again that an engine or the store held.
	againHeld int
	firstByte []float64
}

func (r bedResult) percentile(p float64) float64 {
	sorted := slices.Sorted(slices.Values(r.firstByte))
	return sorted[int(p*float64(len(sorted)-1))]
}

// againShare is the share of the tokens read that had been read before.
func (r bedResult) againShare() float64 { return float64(r.again) / float64(r.read) }

const (
	bedEngineTokens = 82_000
	bedStoreTokens  = 720_000
	bedSeconds      = 34
	// againWindowMS is the time after its last use within which a part that is read counts
	// as read again.
	againWindowMS = 10_000
	// bedOutputTokens is the memory that the response of a request takes.
	bedOutputTokens = 24
	bedCrossRegion  = 30.0
	bedSameRegion   = 0.5
)

// bedMemory is the memory of an engine or a store.
type bedMemory struct {
	capacity, tokens, running int
	index                     map[uint64]*list.Element
	recency                   *list.List
}

type bedPart struct {
	id           uint64
	tokens, pins int
}

func newBedMemory(capacity int) *bedMemory {
	return &bedMemory{capacity: capacity, index: make(map[uint64]*list.Element), recency: list.New()}
}

func (m *bedMemory) held(parts []Part) int {
	sum := 0
	for _, part := range parts {
		if m.index[part.ID] == nil {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// use adds parts or makes them the most recently used ones, and pins them if asked to.
func (m *bedMemory) use(parts []Part, pins int) {
	for _, part := range slices.Backward(parts) {
		e := m.index[part.ID]
		if e == nil {
			e = m.recency.PushFront(&bedPart{id: part.ID, tokens: part.Tokens})
			m.index[part.ID] = e
			m.tokens += part.Tokens
		}
		m.recency.MoveToFront(e)
		e.Value.(*bedPart).pins += pins
	}
	m.evict()
}

func (m *bedMemory) unpin(parts []Part) {
	for _, part := range parts {
		if e := m.index[part.ID]; e != nil {
			e.Value.(*bedPart).pins--
		}
	}
}

func (m *bedMemory) evict() {
	for e := m.recency.Back(); e != nil && m.tokens+m.running > m.capacity; {
		newer := e.Prev()
		if part := e.Value.(*bedPart); part.pins == 0 {
			m.recency.Remove(e)
			delete(m.index, part.id)
			m.tokens -= part.tokens
		}
		e = newer
	}
}

type bedEngine struct {
	*bedMemory
	Target
	queue []*bedRequest
	// current is the request that is being prefilled. sent has the requests, placed by the
	// oracle, whose prefill has not ended.
	current *bedRequest
	sent    []*bedRequest
}

// bedRequest is a request with its place. firstByte and done are called when the front sees
// its first byte and its end.
type bedRequest struct {
	Request
	sentAt, decodeMS float64
	front            int
	engine           *bedEngine
	source           *bedMemory
	sourceMS         float64
	saves            bool
	workMS           float64
	// held and reserved are the tokens of the prompt that the engine need not read, and that
	// are not in its memory, when the request is admitted.
	held, reserved                int
	prefillMS, startedAt, delayMS float64
	firstByte, done               func()
}

type bedEvent struct {
	at  float64
	seq int
	do  func()
}

type bedEvents []bedEvent

func (e bedEvents) Len() int { return len(e) }
func (e bedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e bedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *bedEvents) Push(x any)   { *e = append(*e, x.(bedEvent)) }
func (e *bedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (b *reuseBed) after(ms float64, do func()) {
	b.scheduled++
	heap.Push(&b.events, bedEvent{b.now + ms, b.scheduled, do})
}

// newReuseBed returns a bed with engines in three zones of two regions. The smaller region has
// a store.
func newReuseBed(engines int) *reuseBed {
	b := &reuseBed{
		engines: make(map[string]*bedEngine), store: newBedMemory(bedStoreTokens), clock: newFakeClock(),
		lastUse: make(map[uint64]float64), uses: make(map[uint64][]float64),
	}
	var targets []Target
	for n := range engines {
		t := Target{ID: "e" + strconv.Itoa(n), Address: "10.0.0." + strconv.Itoa(n) + ":80", Weights: 1, CacheTokens: bedEngineTokens}
		t.Zone, t.Region = bedZone(n)
		e := &bedEngine{bedMemory: newBedMemory(bedEngineTokens), Target: t}
		b.engines[t.ID], b.order, targets = e, append(b.order, e), append(targets, t)
	}
	for n := range 8 {
		zone, region := bedZone(n)
		p := New(zone, region, b.clock.read)
		random := rand.New(rand.NewPCG(uint64(n), 1))
		p.random = random.Float64
		p.Update(map[string][]Target{"s": targets})
		p.UpdateStores([]Store{{Address: storeAddress, Zone: "b", Region: "r2", CapacityTokens: bedStoreTokens, TransferMSPerToken: storeTokenMS}})
		b.fronts = append(b.fronts, p)
	}
	return b
}

func bedZone(n int) (zone, region string) {
	return [...]string{"a", "b", "c"}[n%3], [...]string{"r", "r2", "r"}[n%3]
}

// load makes the requests: long prompts about subjects, each of which has one of a few first
// parts, and short ones.
func (b *reuseBed) load(seed uint64, choose func(*bedRequest)) {
	const subjects, firstParts, longPerSecond, shortPerSecond = 120, 4, 19.0, 30.0
	random := rand.New(rand.NewPCG(seed, 2))
	size := func(mean, spread float64) int {
		return 16 + int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2))
	}
	var first, subject []int
	for range firstParts {
		first = append(first, size(2500, 0.4))
	}
	for range subjects {
		subject = append(subject, size(3800, 0.6))
	}
	for at, n := 0.0, uint64(0); at < bedSeconds*1000; n++ {
		at += random.ExpFloat64() * 1000 / (longPerSecond + shortPerSecond)
		r := &bedRequest{front: random.IntN(len(b.fronts)), sentAt: at}
		r.Service, r.UniqueParts = "s", 1
		s := uint64(random.IntN(subjects))
		own := Part{ID: 1_000_000 + n, Tokens: size(600, 0.8)}
		r.Parts = []Part{{1000 + s%20, 120}, {2000 + s, 80}, own}
		r.decodeMS = 2500
		if random.Float64() < longPerSecond/(longPerSecond+shortPerSecond) {
			own.Tokens = size(2900, 0.8)
			r.Parts = []Part{{s % firstParts, first[s%firstParts]}, {100 + s, subject[s]}, own}
			r.decodeMS = 300
		}
		for _, part := range r.sharedParts() {
			b.uses[part.ID] = append(b.uses[part.ID], at)
		}
		b.after(at, func() {
			choose(r)
			b.after(r.delayMS, func() { b.send(r) })
		})
	}
}

// play runs all events and returns the result.
func (b *reuseBed) play() bedResult {
	start := b.clock.now
	for len(b.events) > 0 {
		event := heap.Pop(&b.events).(bedEvent)
		b.now = event.at
		b.clock.now = start.Add(time.Duration(b.now * float64(time.Millisecond)))
		event.do()
	}
	return b.result
}

func (b *reuseBed) wayMS(r *bedRequest) float64 {
	if _, region := bedZone(r.front); region != r.engine.Region {
		return bedCrossRegion
	}
	return bedSameRegion
}

func (b *reuseBed) send(r *bedRequest) {
	b.after(b.wayMS(r), func() { b.admit(r) })
}

// admit adds a request to the queue of its engine, which looks up then what it or the source
// holds of the prompt.
func (b *reuseBed) admit(r *bedRequest) {
	e, all := r.engine, totalTokens(r.Parts)
	cached, fetchMS := max(e.held(r.Parts), e.prefilled(r, b.now)), 0.0
	r.held = cached
	if r.source != nil {
		if n := r.source.held(r.Parts); n > cached {
			r.held, fetchMS = n, fetchSetupMS+float64(n-cached)*r.sourceMS
			r.source.use(r.Parts[:r.heldParts(n)], 0)
		}
	}
	b.countRead(r)
	r.reserved = all - cached
	e.running += r.reserved
	e.evict()
	r.prefillMS = fetchMS + prefillMS(all-r.held, r.held)/prefillShare
	e.queue = append(e.queue, r)
	if e.current == nil {
		b.prefill(e)
	}
}

// prefill starts the first request in the queue.
func (b *reuseBed) prefill(e *bedEngine) {
	r := e.queue[0]
	e.queue, e.current, r.startedAt = e.queue[1:], r, b.now
	b.after(r.prefillMS, func() { b.endPrefill(r) })
}

// prefilled returns how many leading tokens of a prompt the engine has from the prompt that it
// is prefilling.
func (e *bedEngine) prefilled(r *bedRequest, now float64) int {
	q := e.current
	if q == nil {
		return 0
	}
	common := 0
	for n, part := range r.Parts {
		if n >= len(q.Parts) || q.Parts[n].ID != part.ID {
			break
		}
		common += part.Tokens
	}
	done := (now - q.startedAt) / q.prefillMS
	return min(common, q.held+int(done*float64(totalTokens(q.Parts)-q.held)))
}

// heldParts returns how many parts make up the leading tokens.
func (r *bedRequest) heldParts(tokens int) int {
	n := 0
	for ; n < len(r.Parts) && tokens > 0; n++ {
		tokens -= r.Parts[n].Tokens
	}
	return n
}

// countRead counts the tokens of a prompt that its engine reads.
func (b *reuseBed) countRead(r *bedRequest) {
	b.result.read += totalTokens(r.Parts) - r.held
	end := 0
	for _, part := range r.sharedParts() {
		end += part.Tokens
		missing := min(part.Tokens, end-r.held)
		last, used := b.lastUse[part.ID]
		b.lastUse[part.ID] = b.now
		if missing <= 0 || !used || b.now-last > againWindowMS {
			continue
		}
		b.result.again += missing
		isHeld := func(e *bedEngine) bool { return e.index[part.ID] != nil }
		if b.store.index[part.ID] != nil || slices.ContainsFunc(b.order, isHeld) {
			b.result.againHeld += missing
		}
	}
}

func (b *reuseBed) endPrefill(r *bedRequest) {
	e, shared, own := r.engine, r.sharedParts(), r.Parts[len(r.Parts)-1]
	if own.Tokens+totalTokens(shared) > 2000 {
		b.result.firstByte = append(b.result.firstByte, b.now+b.wayMS(r)-r.sentAt)
	}
	e.running += own.Tokens + bedOutputTokens - r.reserved
	e.use(shared, 1)
	if r.saves {
		b.store.use(r.Parts, 0)
	}
	b.after(b.wayMS(r), r.firstByte)
	b.after(r.decodeMS, func() {
		e.running -= own.Tokens + bedOutputTokens
		e.unpin(shared)
		e.use(r.Parts[len(shared):], 0)
		for _, part := range shared {
			b.lastUse[part.ID] = b.now
		}
		b.after(b.wayMS(r), r.done)
	})
	e.sent = slices.DeleteFunc(e.sent, func(other *bedRequest) bool { return other == r })
	e.current = nil
	if len(e.queue) > 0 {
		b.prefill(e)
	}
}

// byFronts places a request as the front that gets it does.
func (b *reuseBed) byFronts(r *bedRequest) {
	p := b.fronts[r.front]
	c, _ := p.Choose(r.Request)
	r.engine, r.saves = b.engines[c.Target.ID], c.SaveTo != ""
	r.delayMS = float64(c.SendDelay) / float64(time.Millisecond)
	r.firstByte = func() { p.RecordFirstByte(c) }
	r.done = func() { p.Done(c, Completed) }
	if from := c.FetchFrom; from != nil {
		r.fetchFrom(b, b.engines[from.ID])
	}
	packets := p.TakeHints()
	for n, other := range b.fronts {
		delay := bedSameRegion
		if _, region := bedZone(n); region != p.Region {
			delay = bedCrossRegion
		}
		if other != p {
			b.after(delay, func() {
				for _, packet := range packets {
					other.ApplyHints(packet)
				}
			})
		}
	}
}

// Prices of the oracle in milliseconds per token: of tokens that are read again, of tokens that
// the engine does not hold, of tokens that no store has at an engine without one, if they are
// used again, and of tokens away from their home.
const (
	oracleAgainMS   = 0.12
	oracleCopyMS    = 0.005
	oracleUnsavedMS = 0.02
	oracleHomeMS    = 0.015
)

// byOracle places a request with the knowledge of all memories, queues and later requests.
func (b *reuseBed) byOracle(r *bedRequest) {
	shared := r.sharedParts()
	size, best := totalTokens(shared), math.Inf(1)
	saved, home := b.store.held(shared), b.oracleHome(shared)
	for _, e := range b.order {
		try := *r
		workMS, reads := b.bestSource(&try, e)
		cost := 2*b.wayMS(&try) + e.backlogMS(b.now) + workMS + oracleAgainMS*float64(reads) + oracleCopyMS*float64(max(0, size-e.coming(r.Parts)))
		if e != home {
			cost += oracleHomeMS * float64(size)
		}
		if e.Region != "r2" && b.isUsedLater(shared) {
			cost += oracleUnsavedMS * float64(size-saved)
		}
		if cost < best {
			best = cost
			try.saves, try.workMS = e.Region == "r2" && saved < size, workMS
			*r = try
		}
	}
	r.firstByte, r.done = func() {}, func() {}
	r.engine.sent = append(r.engine.sent, r)
}

// bestSource sets the engine of a request and the source from which the engine has the prompt
// first. It returns the time for that and the number of shared tokens that the engine reads.
func (b *reuseBed) bestSource(r *bedRequest, e *bedEngine) (workMS float64, reads int) {
	all, shared := totalTokens(r.Parts), totalTokens(r.sharedParts())
	r.engine, r.source = e, nil
	held := e.coming(r.Parts)
	workMS, reads = prefillMS(all-held, held), max(shared-held, 0)
	for _, from := range append([]*bedEngine{nil}, b.order...) {
		option := *r
		option.fetchFrom(b, from)
		more := option.source.held(r.Parts) - held
		if more < minFetchTokens || from == nil && e.Region != "r2" {
			continue
		}
		ms := fetchSetupMS + float64(more)*option.sourceMS + prefillMS(all-held-more, held+more)
		if ms < workMS {
			workMS, reads, *r = ms, max(shared-held-more, 0), option
		}
	}
	return workMS, reads
}

// oracleHome returns the engine beside the store at which the oracle prefers to keep parts.
func (b *reuseBed) oracleHome(shared []Part) *bedEngine {
	var home *bedEngine
	best := uint64(0)
	for n, e := range b.order {
		if weight := mix64(mix64(shared[len(shared)-1].ID) ^ mix64(uint64(n))); e.Region == "r2" && weight > best {
			home, best = e, weight
		}
	}
	return home
}

// coming returns the number of leading tokens that the engine will hold when it has prefilled
// what was sent to it.
func (e *bedEngine) coming(parts []Part) int {
	sum := 0
	for _, part := range parts {
		isPart := func(p Part) bool { return p.ID == part.ID }
		isSent := func(r *bedRequest) bool { return slices.ContainsFunc(r.Parts, isPart) }
		if e.index[part.ID] == nil && !slices.ContainsFunc(e.sent, isSent) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// backlogMS returns how long the engine takes for what was sent to it.
func (e *bedEngine) backlogMS(now float64) float64 {
	sum := 0.0
	for _, r := range e.sent {
		if r == e.current {
			sum += r.startedAt + r.prefillMS - now
		} else {
			sum += r.workMS / prefillShare
		}
	}
	return sum
}

// isUsedLater reports whether another request uses the last of the parts.
func (b *reuseBed) isUsedLater(parts []Part) bool {
	uses := b.uses[parts[len(parts)-1].ID]
	return uses[len(uses)-1] > b.now
}

// fetchFrom sets the source of a request to another engine, or to the store if it is nil.
func (r *bedRequest) fetchFrom(b *reuseBed, from *bedEngine) {
	if from == nil {
		r.source, r.sourceMS = b.store, storeTokenMS
		return
	}
	r.source, r.sourceMS = from.bedMemory, fetchMSPerToken(&member{Target: r.engine.Target}, &member{Target: from.Target})
}
