package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

// kvEngine simulates the queue, the prefill and the prefix cache of a target.
type kvEngine struct {
	incarnation uint64
	options     CacheOptions
	events      *eventLog
	cache       *cache
	load        *loadHistory
	batchSlots  *semaphore
	prefillSlot *semaphore
}

func newKVEngine(incarnation uint64, o EngineOptions) *kvEngine {
	k := &kvEngine{
		incarnation: incarnation,
		options:     o.Cache,
		events:      newEventLog(o.Cache),
		load:        &loadHistory{lag: o.Cache.LoadLag},
		batchSlots:  newSemaphore(o.BatchSlots),
		prefillSlot: newSemaphore(1),
	}
	k.cache = newCache(o.Cache.CapacityBlocks, k.events)
	return k
}

func (k *kvEngine) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+targethttp.LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(k.load.report())
	})
	if k.options.CapacityBlocks > 0 {
		mux.HandleFunc("GET "+targethttp.CacheEventsPath, k.serveEvents)
		mux.HandleFunc("POST "+targethttp.KVExportPath, k.serveExport)
		mux.HandleFunc("POST "+targethttp.KVImportPath, k.serveImport)
	}
}

// admit waits for a batch slot and runs the prefill. It returns a function that
// frees the slot and the number of cached tokens, or false if the request ended
// first.
func (k *kvEngine) admit(r *http.Request, promptBytes int) (release func(), cached int, ok bool) {
	chain, err := prefix.ParseChain(r.Header.Get(targethttp.HeaderPrefixBlocks))
	if err != nil {
		chain = nil
	}
	priority, _ := strconv.Atoi(r.Header.Get(targethttp.HeaderPriority))
	tokens := (promptBytes + prefix.BytesPerToken - 1) / prefix.BytesPerToken
	missing := max(0, tokens-k.options.BlockTokens*k.cache.match(r.Header.Get(targethttp.HeaderPrefixScope), chain))
	k.load.update(func(l *target.Load) { l.Waiting++; l.QueuedPrefillTokens += missing })
	done := func() { k.load.update(func(l *target.Load) { l.Waiting--; l.QueuedPrefillTokens -= missing }) }
	if !k.batchSlots.acquire(r.Context(), priority) {
		done()
		return nil, 0, false
	}
	cached, ok = k.prefill(r, priority, chain, tokens)
	done()
	if !ok {
		k.batchSlots.release()
		return nil, 0, false
	}
	k.load.update(func(l *target.Load) { l.Running++ })
	return func() {
		k.load.update(func(l *target.Load) { l.Running-- })
		k.batchSlots.release()
	}, cached, true
}

// prefill imports missing blocks if the request names a source, waits for the
// time that the remaining tokens take and caches the chain. It returns the number
// of tokens that needed no prefill, or false if the request ended first.
func (k *kvEngine) prefill(r *http.Request, priority int, chain []prefix.Hash, tokens int) (int, bool) {
	ctx := r.Context()
	if !k.prefillSlot.acquire(ctx, priority) {
		return 0, false
	}
	defer k.prefillSlot.release()
	scope := r.Header.Get(targethttp.HeaderPrefixScope)
	held := k.cache.match(scope, chain)
	if source := r.Header.Get(targethttp.HeaderKVSource); source != "" && held < len(chain) {
		held = max(held, k.importBlocks(ctx, source, scope, chain))
	}
	cached := min(held*k.options.BlockTokens, tokens)
	if k.options.PrefillTokensPerSecond > 0 {
		seconds := float64(tokens-cached) / k.options.PrefillTokensPerSecond
		if !pause.For(ctx, time.Duration(seconds*float64(time.Second))) {
			return 0, false
		}
	}
	k.cache.store(scope, chain)
	return cached, true
}

// importBlocks imports leading blocks of chain from another target and returns
// their number.
func (k *kvEngine) importBlocks(ctx context.Context, source, scope string, chain []prefix.Hash) int {
	body, err := json.Marshal(targethttp.KVTransfer{Scope: scope, Blocks: chain})
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, source+targethttp.KVExportPath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var response targethttp.KVTransfer
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&response) != nil {
		return 0
	}
	missing := len(response.Blocks) - k.cache.match(scope, chain)
	if len(response.Blocks) > len(chain) || !pause.For(ctx, time.Duration(max(0, missing))*k.options.ImportPerBlock) {
		return 0
	}
	k.cache.store(scope, chain[:len(response.Blocks)])
	return len(response.Blocks)
}

func (k *kvEngine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req targethttp.KVTransfer
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.Blocks = req.Blocks[:k.cache.match(req.Scope, req.Blocks)]
	_ = json.NewEncoder(w).Encode(req)
}

func (k *kvEngine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req targethttp.KVTransfer
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.Blocks = req.Blocks[:k.importBlocks(r.Context(), req.Source, req.Scope, req.Blocks)]
	_ = json.NewEncoder(w).Encode(req)
}
