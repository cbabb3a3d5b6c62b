package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/prefix"
)

func startCachingEngine(t *testing.T, cache CacheOptions) *Engine {
	t.Helper()
	e, err := StartEngine("127.0.0.1:0", EngineOptions{ID: "e", Zone: "a", Region: "r", Model: "m", Version: "v", BatchSlots: 1, Cache: cache})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func testChain(seed, blocks int) []prefix.Hash {
	text := strings.Repeat(fmt.Sprintf("%04d", seed), blocks)
	return prefix.AppendChain(nil, prefix.ScopeDigest{}, text, 1)
}

// sendCompletion sends a prompt of one token per block and returns the number
// of cached tokens that the engine reports.
func sendCompletion(t *testing.T, e *Engine, scope, source string, chain []prefix.Hash) string {
	t.Helper()
	body := fmt.Sprintf(`{"max_tokens":1,"prompt":%q}`, strings.Repeat("x", 4*len(chain)-2))
	req, err := http.NewRequest(http.MethodPost, e.URL()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(targethttp.HeaderPrefixBlocks, prefix.FormatChain(chain))
	req.Header.Set(targethttp.HeaderPrefixScope, scope)
	if source != "" {
		req.Header.Set(targethttp.HeaderKVSource, source)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.Header.Get(targethttp.HeaderCachedTokens)
}

func readEvents(t *testing.T, e *Engine, after uint64) targethttp.CacheEvents {
	t.Helper()
	response, err := targethttp.NewCacheClient(nil).Events(context.Background(), e.URL(), after)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards the cache contract: complete leading blocks of the same scope are
// reused, the capacity is limited, and events report every change.
func TestCacheContract(t *testing.T) {
	e := startCachingEngine(t, CacheOptions{CapacityBlocks: 5, BlockTokens: 1})
	a, b := testChain(1, 4), testChain(2, 4)
	start := readEvents(t, e, 0)
	if !start.Snapshot || start.LastSequence == 0 || start.Incarnation != e.incarnation {
		t.Errorf("first events response: %+v", start)
	}
	for i, step := range []struct {
		scope, want string
		chain       []prefix.Hash
	}{{"s", "0", a}, {"s", "4", a}, {"other", "0", a[:1]}, {"s", "0", b}, {"s", "0", a}} {
		if got := sendCompletion(t, e, step.scope, "", step.chain); got != step.want {
			t.Errorf("step %d: reused %s tokens, want %s", i, got, step.want)
		}
	}
	got := readEvents(t, e, start.LastSequence)
	wantSequence := start.LastSequence + 1
	kinds := map[prefix.EventKind]int{}
	for _, event := range got.Events {
		if event.Sequence != wantSequence || len(event.Blocks) == 0 {
			t.Errorf("event %+v: want sequence number %d and at least one block", event, wantSequence)
		}
		wantSequence++
		kinds[event.Kind] += len(event.Blocks)
	}
	if got.LastSequence != wantSequence-1 || kinds[prefix.Stored]-kinds[prefix.Evicted] != 5 {
		t.Errorf("events up to sequence number %d: blocks by kind %v", got.LastSequence, kinds)
	}
	if again := readEvents(t, e, 1<<40); !again.Snapshot {
		t.Error("no snapshot for an unknown sequence number")
	}
}

// Guards event loss: a dropped event must leave a gap in the sequence numbers.
func TestLostEventsLeaveGap(t *testing.T) {
	e := startCachingEngine(t, CacheOptions{CapacityBlocks: 100, BlockTokens: 1, EventLossRate: 1})
	before := readEvents(t, e, 0)
	sendCompletion(t, e, "s", "", testChain(1, 2))
	e.kv.events.loss = 0
	sendCompletion(t, e, "s", "", testChain(2, 2))
	if got := readEvents(t, e, before.LastSequence); len(got.Events) != 1 || got.Events[0].Sequence != before.LastSequence+2 {
		t.Errorf("events after a dropped event: %+v", got)
	}
}

// Guards KV transfer: an engine imports the leading blocks from a KV store that
// imported them from another engine.
func TestImportFromStore(t *testing.T) {
	cache := CacheOptions{CapacityBlocks: 100, BlockTokens: 1}
	first, second := startCachingEngine(t, cache), startCachingEngine(t, cache)
	cache.KVStore = true
	store := startCachingEngine(t, cache)
	chain := testChain(1, 4)
	sendCompletion(t, first, "s", "", chain[:3])
	body, _ := json.Marshal(targethttp.KVTransfer{Scope: "s", Blocks: chain, Source: first.URL()})
	resp, err := http.Post(store.URL()+targethttp.KVImportPath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := sendCompletion(t, second, "other", store.URL(), chain); got != "0" {
		t.Errorf("reused %s tokens of another scope", got)
	}
	if got := sendCompletion(t, second, "s", store.URL(), chain); got != "3" {
		t.Errorf("reused %s tokens, want 3", got)
	}
}

// Guards the priority order of waiters, and against slots that leak when a
// waiter is canceled.
func TestSlotsByPriority(t *testing.T) {
	s := newSemaphore(1)
	ctx, cancel := context.WithCancel(context.Background())
	s.acquire(ctx, 0)
	order := make(chan int)
	for i, priority := range []int{10, 0} {
		go func() {
			s.acquire(context.Background(), priority)
			order <- priority
		}()
		waitForWaiters(t, s, i+1)
	}
	acquired := make(chan bool)
	go func() { acquired <- s.acquire(ctx, 0) }()
	waitForWaiters(t, s, 3)
	cancel()
	if <-acquired {
		t.Error("acquire succeeded after its context was canceled")
	}
	for _, want := range []int{0, 10} {
		s.release()
		if got := <-order; got != want {
			t.Errorf("slot granted to priority %d, want %d", got, want)
		}
	}
}

func waitForWaiters(t *testing.T, s *semaphore, n int) {
	t.Helper()
	for range 5000 {
		s.mu.Lock()
		waiting := len(s.waiting)
		s.mu.Unlock()
		if waiting == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("number of waiters did not reach %d", n)
}
