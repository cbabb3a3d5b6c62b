package targethttp

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// Headers that identify the cached blocks of a prompt. The engine uses the same
// block and scope identifiers in its cache events, and does not share blocks
// between scopes.
const (
	HeaderPrefixBlocks = "X-Prefix-Blocks"
	HeaderPrefixScope  = "X-Prefix-Scope"
	// HeaderKVSource is the base URL of a KV store from which the engine should
	// import missing blocks before it computes the remaining ones.
	HeaderKVSource = "X-KV-Source"
)

// Endpoints of the target protocol for caches and load.
const (
	CacheEventsPath = "/v1/cache/events"
	LoadPath        = "/v1/load"
	KVExportPath    = "/v1/kv/export"
	KVImportPath    = "/v1/kv/import"
)

func setPrefixHeaders(h http.Header, hint serving.PrefixHint) {
	if len(hint.Blocks) == 0 {
		return
	}
	h.Set(HeaderPrefixBlocks, prefix.FormatChain(hint.Blocks))
	h.Set(HeaderPrefixScope, hex.EncodeToString(hint.Scope[:]))
	if hint.KVSource != "" {
		h.Set(HeaderKVSource, hint.KVSource)
	}
}

// CacheEvents is the response to GET /v1/cache/events?after=N. If N is 0, or
// the target no longer has the events after N, the response is a snapshot: its
// events are the complete cache content, and the events that follow have
// sequence numbers above LastSequence, which is at least 1. Otherwise the target
// waits up to MaxEventsWait for events (long polling).
type CacheEvents struct {
	// Incarnation identifies the start of the target to which the events
	// belong.
	Incarnation uint64 `json:"incarnation"`
	// Snapshot is true if the events are the complete cache content.
	Snapshot bool `json:"snapshot,omitempty"`
	// LastSequence is the last sequence number that the response covers.
	LastSequence uint64 `json:"through"`
	// Events are in sequence order.
	Events []prefix.Event `json:"events"`
}

// MaxEventsWait is the maximum time that a target may delay a response when it
// has no events.
const MaxEventsWait = time.Second

const (
	cacheTimeout          = 3 * time.Second
	maxCacheResponseBytes = 64 << 20
)

// CacheClient requests cache events, load reports and KV imports from targets.
type CacheClient struct{ client *http.Client }

// NewCacheClient returns a CacheClient that opens connections with dial.
func NewCacheClient(dial Dialer) *CacheClient {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleConnTimeout}
	return &CacheClient{client: &http.Client{Transport: transport, Timeout: cacheTimeout}}
}

// Events returns the cache events of the target at base after a sequence
// number.
func (c *CacheClient) Events(ctx context.Context, base string, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.get(ctx, base+CacheEventsPath+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// Load returns the load reported by the target at base.
func (c *CacheClient) Load(ctx context.Context, base string) (target.Load, error) {
	var load target.Load
	err := c.get(ctx, base+LoadPath, &load)
	return load, err
}

// KVTransfer is the request body of KV exports and imports. The response to an
// export contains the leading blocks of the chain that the target holds. On an
// import, the target fetches the blocks from Source with an export and reports
// which blocks it holds afterwards.
type KVTransfer struct {
	// Scope separates the blocks of different workspaces, weights and adapters.
	Scope string `json:"scope"`
	// Blocks is the chain of block hashes.
	Blocks []prefix.Hash `json:"blocks"`
	// Source is the base URL from which to import.
	Source string `json:"source,omitempty"`
}

// Import asks the target at base to import blocks from source.
func (c *CacheClient) Import(ctx context.Context, base, source string, scope prefix.ScopeDigest, blocks []prefix.Hash) error {
	body, err := json.Marshal(KVTransfer{Scope: hex.EncodeToString(scope[:]), Blocks: blocks, Source: source})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+KVImportPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return newStatusError(resp)
	}
	return nil
}

func (c *CacheClient) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return newStatusError(resp)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxCacheResponseBytes)
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("decode response from %s: %w", url, err)
	}
	return nil
}
