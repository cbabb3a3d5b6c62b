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

func startCaching(t *testing.T, cache CacheOptions) *Engine {
	t.Helper()
	e, err := StartEngine("127.0.0.1:0", EngineOptions{ID: "e", Zone: "a", Region: "r", Model: "m", Version: "v", BatchSlots: 1, Cache: cache})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func chainOf(seed, blocks int) []prefix.Hash {
	text := strings.Repeat(fmt.Sprintf("%04d", seed), blocks)
	return prefix.AppendChain(nil, prefix.ScopeDigest{}, text, 1)
}

// complete sends a prompt of one token per block and returns what the engine
// states as reused.
func complete(t *testing.T, e *Engine, scope, source string, chain []prefix.Hash) string {
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

func events(t *testing.T, e *Engine, after uint64) targethttp.CacheEvents {
	t.Helper()
	answer, err := targethttp.NewCacheReader(nil).Events(context.Background(), e.URL(), after)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// Guards the contract of the cache: whole leading blocks of the same scope are
// reused, memory is limited, and events tell what changed.
func TestCacheContract(t *testing.T) {
	e := startCaching(t, CacheOptions{Blocks: 5, BlockTokens: 1})
	a, b := chainOf(1, 4), chainOf(2, 4)
	start := events(t, e, 0)
	if !start.Snapshot || start.Through == 0 || start.Incarnation != e.incarnation {
		t.Errorf("first answer is %+v", start)
	}
	for i, step := range []struct {
		scope, want string
		chain       []prefix.Hash
	}{{"s", "0", a}, {"s", "4", a}, {"other", "0", a[:1]}, {"s", "0", b}, {"s", "0", a}} {
		if got := complete(t, e, step.scope, "", step.chain); got != step.want {
			t.Errorf("step %d: reused %s tokens, want %s", i, got, step.want)
		}
	}
	got := events(t, e, start.Through)
	next := start.Through + 1
	kinds := map[prefix.EventKind]int{}
	for _, event := range got.Events {
		if event.Sequence != next || len(event.Blocks) == 0 {
			t.Errorf("event %+v, want number %d", event, next)
		}
		next++
		kinds[event.Kind] += len(event.Blocks)
	}
	if got.Through != next-1 || kinds[prefix.Stored]-kinds[prefix.Evicted] != 5 {
		t.Errorf("events up to %d count %v", got.Through, kinds)
	}
	if again := events(t, e, 1<<40); !again.Snapshot {
		t.Error("unknown number is not answered with a snapshot")
	}
}

// Guards the stand-in's faults: a lost event leaves a gap in the numbers.
func TestLostEventsLeaveGap(t *testing.T) {
	e := startCaching(t, CacheOptions{Blocks: 100, BlockTokens: 1, EventLoss: 1})
	before := events(t, e, 0)
	complete(t, e, "s", "", chainOf(1, 2))
	e.kv.events.loss = 0
	complete(t, e, "s", "", chainOf(2, 2))
	if got := events(t, e, before.Through); len(got.Events) != 1 || got.Events[0].Sequence != before.Through+2 {
		t.Errorf("events after a loss: %+v", got)
	}
}

// Guards KV transfer: an engine takes the leading blocks from a KV store that
// took them from another engine.
func TestImportFromStore(t *testing.T) {
	cache := CacheOptions{Blocks: 100, BlockTokens: 1}
	first, second := startCaching(t, cache), startCaching(t, cache)
	cache.KVStore = true
	store := startCaching(t, cache)
	chain := chainOf(1, 4)
	complete(t, first, "s", "", chain[:3])
	body, _ := json.Marshal(targethttp.KVTransfer{Scope: "s", Blocks: chain, Source: first.URL()})
	resp, err := http.Post(store.URL()+targethttp.KVImportPath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := complete(t, second, "other", store.URL(), chain); got != "0" {
		t.Errorf("imported %s tokens of another scope", got)
	}
	if got := complete(t, second, "s", store.URL(), chain); got != "3" {
		t.Errorf("reused %s tokens, want 3", got)
	}
}

// Guards the order of the queue and against slots lost to callers that leave.
func TestSlotsByPriority(t *testing.T) {
	s := newSlots(1)
	ctx, cancel := context.WithCancel(context.Background())
	s.acquire(ctx, 0)
	order := make(chan int)
	for i, priority := range []int{10, 0} {
		go func() {
			s.acquire(context.Background(), priority)
			order <- priority
		}()
		waitFor(t, s, i+1)
	}
	left := make(chan bool)
	go func() { left <- s.acquire(ctx, 0) }()
	waitFor(t, s, 3)
	cancel()
	if <-left {
		t.Error("got a slot after the caller left")
	}
	for _, want := range []int{0, 10} {
		s.release()
		if got := <-order; got != want {
			t.Errorf("priority %d runs, want %d", got, want)
		}
	}
}

func waitFor(t *testing.T, s *slots, n int) {
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
	t.Fatalf("%d waiters did not come", n)
}
