package placement

import (
	"fmt"
	"testing"
	"time"
)

// fakeClock is a clock that tests move.
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

// sharedPrompt has a first part that many subjects share, the part of a subject and
// an own part.
func sharedPrompt(first, subject, own uint64) Request {
	return Request{Service: "model", UniqueParts: 1, Parts: []Part{{1000 + first, 2500}, {2000 + subject, 3800}, {900_000 + own, 2900}}}
}

func shortPrompt(own uint64) Request {
	return Request{Service: "model", UniqueParts: 1, Parts: []Part{{500, 120}, {500_000 + own, 600}}}
}

// exchangeHints tells fronts what the others have sent.
func exchangeHints(fronts []*Placer) {
	for i, from := range fronts {
		for _, packet := range from.TakeSent() {
			for j, to := range fronts {
				if i != j {
					to.Hint(packet)
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

// Pattern hot_key: guards against one engine that gets every request about a
// subject and makes them wait while others are idle.
func TestHotSubjectSpreadsOverEnginesThatFetchIt(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 9)
	used := make(map[string]int)
	slowest, fetched := time.Duration(0), 0
	for i := range uint64(60) {
		c := mustChoose(t, p, sharedPrompt(1, 7, i))
		used[c.Target.ID]++
		slowest = max(slowest, c.Expected)
		if c.FetchFrom != nil {
			fetched++
		}
		clock.advance(25 * time.Millisecond)
	}
	if len(used) < 3 {
		t.Errorf("60 requests in 1.5 s used only the engines %v", used)
	}
	if slowest > 700*time.Millisecond {
		t.Errorf("a request is expected to wait %v", slowest)
	}
	if fetched == 0 {
		t.Error("no engine fetches the parts that another one holds")
	}
}

// Pattern of many subjects at a low rate: guards against parts that are cached
// on many engines and push each other out.
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
		p.Done(c, Answered)
		clock.advance(time.Second)
	}
}

// Pattern burst: guards against fronts that all choose the same engine because
// each knows only its own requests.
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
			t.Errorf("engine %s got %d of 90 requests", id, n)
		}
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 engines were used", len(used))
	}
}

// Pattern of short and long prompts: guards against short requests that wait
// behind the prompts of long ones.
func TestShortRequestsAvoidEnginesThatReadLongPrompts(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 3)
	busy := map[string]bool{}
	for i := range uint64(2) {
		busy[mustChoose(t, p, sharedPrompt(1, i, i)).Target.ID] = true
	}
	for i := range uint64(10) {
		if c := mustChoose(t, p, shortPrompt(i)); busy[c.Target.ID] && len(busy) < 3 {
			t.Fatalf("short request %d goes to an engine that reads a long prompt", i)
		}
	}
}

// Pattern srv_crash dark: guards against every front losing a request to a
// silent engine, and against one that never takes it back.
func TestUnreachableEngineIsAnnouncedAndUsedAgainOnceReachable(t *testing.T) {
	clock := newFakeClock()
	fronts := []*Placer{newTestPlacer(clock, 2), newTestPlacer(clock, 2)}
	c := mustChoose(t, fronts[0], shortPrompt(1))
	lost := c.Target.ID
	fronts[0].Done(c, Unreachable)
	exchangeHints(fronts)
	for i, p := range fronts {
		for n := range uint64(5) {
			if got := mustChoose(t, p, shortPrompt(10+n)); got.Target.ID == lost {
				t.Fatalf("front %d sends to the lost engine", i)
			}
		}
		if paused := p.Paused(); len(paused) != 1 || paused[0].ID != lost {
			t.Fatalf("front %d looks for %v", i, paused)
		}
	}
	fronts[1].Reachable(lost)
	if len(fronts[1].Paused()) != 0 {
		t.Error("engine that was reached is still avoided")
	}
	clock.advance(time.Minute)
	seen := false
	for n := range uint64(20) {
		seen = seen || mustChoose(t, fronts[1], shortPrompt(50+n)).Target.ID == lost
	}
	if !seen {
		t.Error("engine that was reached gets no requests")
	}
}

// Guards against prompts that are expected to be cached after their parts have
// yielded: 9,000 tokens were read where 2,900 were expected.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 1)
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.CachedTokens != 6300 {
		t.Errorf("%d tokens are expected in the cache, want 6300", c.CachedTokens)
	}
	for i := range uint64(12) {
		mustChoose(t, p, sharedPrompt(10+i, 100+i, 100+i))
	}
	if c := mustChoose(t, p, sharedPrompt(1, 1, 3)); c.CachedTokens != 0 {
		t.Errorf("%d tokens are expected in the cache after 110,000 others", c.CachedTokens)
	}
}

// Guards against memory of other weights: an engine must fetch only from one
// that runs the same version, and new weights empty a cache.
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
		t.Errorf("engine with weights 2 is to use %d tokens and fetch from %v", c.CachedTokens, c.FetchFrom)
	}
}

// Guards against a panic on a datagram that is cut short or made up.
func TestMalformedPacketsAreIgnored(t *testing.T) {
	p := newTestPlacer(newFakeClock(), 2)
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	packet := p.TakeSent()[0]
	for n := range len(packet) {
		p.Hint(packet[:n])
	}
	p.Hint([]byte{1, 2, 3, 4, 5, 6, 7, 8, 255})
}

// Guards against requests to targets that are leaving or have moved.
func TestClosedTargetsGetNoRequests(t *testing.T) {
	p := newTestPlacer(newFakeClock(), 2)
	c := mustChoose(t, p, shortPrompt(1))
	p.Done(c, Misdirected)
	for n := range uint64(5) {
		if got := mustChoose(t, p, shortPrompt(n)); got.Target.ID == c.Target.ID {
			t.Fatal("request goes to an address that another target has")
		}
	}
	targets := testEngines(2, 1)
	for i := range targets["model"] {
		targets["model"][i].Closed = true
	}
	p.Update(targets)
	if got, known := p.Choose(shortPrompt(9)); got != nil || known != 2 {
		t.Errorf("chose %v of %d closed targets", got, known)
	}
}
