package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{time.Unix(1000, 0)} }

func (c *fakeClock) read() time.Time { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func testEngines(n int, weights uint64) map[string][]Target {
	var list []Target
	for i := range n {
		list = append(list, Target{
			ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i), Zone: "a", Region: "r",
			Weights: weights, CacheTokens: 80_000,
		})
	}
	return map[string][]Target{"model": list}
}

func newTestPlacer(c *fakeClock, n int) *Placer {
	p := New("a", "r", c.read)
	p.Update(testEngines(n, 1))
	return p
}

// sharedPrompt returns a request whose first part is shared by many subjects,
// whose second part is shared by all requests about a subject, and whose third
// part is unique.
func sharedPrompt(first, subject, own uint64) Request {
	return Request{Service: "model", UniqueParts: 1, Parts: []Part{{1000 + first, 2500}, {2000 + subject, 3800}, {900_000 + own, 2900}}}
}

func shortPrompt(own uint64) Request {
	return Request{Service: "model", UniqueParts: 1, Parts: []Part{{500, 120}, {500_000 + own, 600}}}
}

// exchangeHints delivers the packets of each front to all others.
func exchangeHints(fronts []*Placer) {
	for i, from := range fronts {
		for _, packet := range from.TakeHints() {
			for j, to := range fronts {
				if i != j {
					to.ApplyHints(packet)
				}
			}
		}
	}
}

func mustChoose(t *testing.T, p *Placer, req Request) *Choice {
	t.Helper()
	c, _ := p.Choose(req)
	if c == nil {
		t.Fatal("no engine was chosen")
	}
	return c
}

// Scenario hot_key: guards against one engine that gets every request about a
// subject and makes them wait while other engines are idle.
func TestHotSubjectSpreadsOverEnginesThatFetchIt(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 9)
	used := make(map[string]int)
	slowest, fetched := time.Duration(0), 0
	var running []*Choice
	for i := range uint64(60) {
		running = slices.DeleteFunc(running, func(c *Choice) bool {
			answered := clock.now.Sub(c.sentAt) >= c.Expected
			if answered {
				completeRequest(p, c)
			}
			return answered
		})
		c := mustChoose(t, p, sharedPrompt(1, 7, i))
		used[c.Target.ID]++
		slowest = max(slowest, c.Expected)
		if c.FetchFrom != nil {
			fetched++
		}
		running = append(running, c)
		clock.advance(25 * time.Millisecond)
	}
	if len(used) < 3 {
		t.Errorf("60 requests in 1.5 s used only these engines: %v", used)
	}
	if slowest > 700*time.Millisecond {
		t.Errorf("slowest request has an expected time to first byte of %v, want at most 700ms", slowest)
	}
	if fetched == 0 {
		t.Error("no engine fetches the shared parts from another one")
	}
}

// Scenario with many subjects at a low rate: guards against parts that are
// cached on many engines and so evict each other.
func TestRequestsOfASubjectStayTogetherWhileEnginesAreIdle(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 9)
	where := make(map[uint64]string)
	for i := range uint64(90) {
		subject := i % 30
		c := mustChoose(t, p, sharedPrompt(subject%4, subject, i))
		if before, ok := where[subject]; ok && before != c.Target.ID {
			t.Fatalf("subject %d moved from %s to %s", subject, before, c.Target.ID)
		}
		where[subject] = c.Target.ID
		p.RecordFirstByte(c)
		p.Done(c, Completed)
		clock.advance(time.Second)
	}
}

// Scenario burst: guards against fronts that all choose the same engine because
// each front knows only its own requests.
func TestFrontsSpreadABurstTogether(t *testing.T) {
	clock := newFakeClock()
	var fronts []*Placer
	for range 8 {
		fronts = append(fronts, newTestPlacer(clock, 9))
	}
	used := make(map[string]int)
	for i := range uint64(90) {
		c := mustChoose(t, fronts[i%8], sharedPrompt(i%4, 1000+i, i))
		used[c.Target.ID]++
		clock.advance(10 * time.Millisecond)
		exchangeHints(fronts)
	}
	for id, n := range used {
		if n > 20 {
			t.Errorf("engine %s got %d of 90 requests, want at most 20", id, n)
		}
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 engines were used", len(used))
	}
}

// Scenario with short and long prompts: guards against short requests that wait
// while an engine prefills long prompts.
func TestShortRequestsAvoidEnginesThatPrefillLongPrompts(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 3)
	busy := map[string]bool{}
	for i := range uint64(2) {
		busy[mustChoose(t, p, sharedPrompt(1, i, i)).Target.ID] = true
	}
	for i := range uint64(10) {
		if c := mustChoose(t, p, shortPrompt(i)); busy[c.Target.ID] && len(busy) < 3 {
			t.Fatalf("short request %d was placed at an engine that prefills a long prompt", i)
		}
	}
}

// Scenario srv_crash dark: guards against each front losing a request to an
// unresponsive engine, and against an engine that is never used again after it
// becomes reachable.
func TestUnreachableEngineIsAnnouncedAndUsedAgainOnceReachable(t *testing.T) {
	clock := newFakeClock()
	fronts := []*Placer{newTestPlacer(clock, 2), newTestPlacer(clock, 2)}
	c := mustChoose(t, fronts[0], shortPrompt(1))
	unreachable := c.Target.ID
	fronts[0].Done(c, Unreachable)
	exchangeHints(fronts)
	for i, p := range fronts {
		for n := range uint64(5) {
			if got := mustChoose(t, p, shortPrompt(10+n)); got.Target.ID == unreachable {
				t.Fatalf("front %d placed a request at the unreachable engine", i)
			}
		}
		if down := p.UnreachableTargets(); len(down) != 1 || down[0].ID != unreachable {
			t.Fatalf("front %d lists %v as down, want only the unreachable engine", i, down)
		}
	}
	fronts[1].RecordReachable(unreachable)
	if len(fronts[1].UnreachableTargets()) != 0 {
		t.Error("engine is still marked as down after it was reached")
	}
	clock.advance(time.Minute)
	seen := false
	for n := range uint64(20) {
		seen = seen || mustChoose(t, fronts[1], shortPrompt(50+n)).Target.ID == unreachable
	}
	if !seen {
		t.Error("engine gets no requests after it was reached")
	}
}

// Guards against evicted parts that still count as cached: an engine then
// prefilled 9,000 tokens where 2,900 were expected.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 1)
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.CachedTokens != 6300 {
		t.Errorf("%d tokens count as cached, want 6300", c.CachedTokens)
	}
	for i := range uint64(12) {
		mustChoose(t, p, sharedPrompt(10+i, 100+i, 100+i))
	}
	if c := mustChoose(t, p, sharedPrompt(1, 1, 3)); c.CachedTokens != 0 {
		t.Errorf("%d tokens count as cached after 110,000 others were inserted, want 0", c.CachedTokens)
	}
}

// Guards against reuse of a cache computed with other weights: an engine must
// fetch only from one that runs the same version, and new weights invalidate a
// cache.
func TestNothingIsFetchedFromOtherWeights(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 2)
	first := mustChoose(t, p, sharedPrompt(1, 1, 1))
	targets := testEngines(2, 1)
	for i := range targets["model"] {
		if targets["model"][i].ID != first.Target.ID {
			targets["model"][i].Weights = 2
		}
	}
	p.Update(targets)
	req := sharedPrompt(1, 1, 2)
	req.Exclude = []string{first.Target.ID}
	if c := mustChoose(t, p, req); c.FetchFrom != nil || c.CachedTokens != 0 {
		t.Errorf("engine with weights 2 counts %d tokens as cached and fetches from %v, want 0 and nil", c.CachedTokens, c.FetchFrom)
	}
}

// Guards against a panic on a truncated or forged datagram.
func TestMalformedPacketsAreIgnored(t *testing.T) {
	p := newTestPlacer(newFakeClock(), 2)
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	packet := p.TakeHints()[0]
	for n := range len(packet) {
		p.ApplyHints(packet[:n])
	}
	p.ApplyHints([]byte{1, 2, 3, 4, 5, 6, 7, 8, 255})
}

// Guards against requests to targets that are excluded or whose address now
// belongs to another target.
func TestExcludedTargetsGetNoRequests(t *testing.T) {
	p := newTestPlacer(newFakeClock(), 2)
	c := mustChoose(t, p, shortPrompt(1))
	p.Done(c, Misdirected)
	for n := range uint64(5) {
		if got := mustChoose(t, p, shortPrompt(n)); got.Target.ID == c.Target.ID {
			t.Fatal("request was placed at an address that now belongs to another target")
		}
	}
	targets := testEngines(2, 1)
	for i := range targets["model"] {
		targets["model"][i].Excluded = true
	}
	p.Update(targets)
	if got, known := p.Choose(shortPrompt(9)); got != nil || known != 2 {
		t.Errorf("chose %v with %d excluded targets, want nil with 2", got, known)
	}
}
