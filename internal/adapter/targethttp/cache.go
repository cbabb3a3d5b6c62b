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

// Headers that name the cached blocks of a prompt. The engine uses these names
// in its cache events and keeps blocks of different scopes apart.
const (
	HeaderPrefixBlocks = "X-Prefix-Blocks"
	HeaderPrefixScope  = "X-Prefix-Scope"
	// HeaderKVSource is the base URL of a KV store from which the engine
	// should import missing blocks before it computes the rest.
	HeaderKVSource = "X-KV-Source"
)

// Paths of the target protocol.
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

// CacheEvents is the answer to GET /v1/cache/events?after=N. With after=0, or
// if the events after N are no longer kept, the answer is a snapshot: its
// events are the whole content, and the numbering goes on after Through, which
// is at least 1.
// Otherwise the call waits up to a second for events.
type CacheEvents struct {
	// Incarnation is the start that the events belong to.
	Incarnation uint64 `json:"incarnation"`
	// Snapshot is true if the events are the whole content.
	Snapshot bool `json:"snapshot,omitempty"`
	// Through is the last number that the answer covers.
	Through uint64 `json:"through"`
	// Events are in order.
	Events []prefix.Event `json:"events"`
}

// CacheWait is how long a target may hold back an answer without events.
const CacheWait = time.Second

const (
	cacheTimeout        = 3 * time.Second
	maxCacheAnswerBytes = 64 << 20
)

// CacheReader reads the cache events and the load of targets.
type CacheReader struct{ client *http.Client }

// NewCacheReader returns a reader that connects through dial.
func NewCacheReader(dial Dialer) *CacheReader {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleConnTimeout}
	return &CacheReader{client: &http.Client{Transport: transport, Timeout: cacheTimeout}}
}

// Events returns the events after a number.
func (c *CacheReader) Events(ctx context.Context, base string, after uint64) (CacheEvents, error) {
	var answer CacheEvents
	err := c.get(ctx, base+CacheEventsPath+"?after="+strconv.FormatUint(after, 10), &answer)
	return answer, err
}

// Load returns the load of a target.
func (c *CacheReader) Load(ctx context.Context, base string) (target.Load, error) {
	var answer target.Load
	err := c.get(ctx, base+LoadPath, &answer)
	return answer, err
}

// KVTransfer is the body of KV export and import. An export answers with the
// leading blocks that the target holds; on an import the target fetches them
// from Source by an export and answers with what it then holds.
type KVTransfer struct {
	// Scope separates workspaces, weights and adapters.
	Scope string `json:"scope"`
	// Blocks is the chain.
	Blocks []prefix.Hash `json:"blocks"`
	// Source is the base URL to import from.
	Source string `json:"source,omitempty"`
}

// Import asks the target at base to take blocks over from source.
func (c *CacheReader) Import(ctx context.Context, base, source string, scope prefix.ScopeDigest, blocks []prefix.Hash) error {
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
		return statusError(resp)
	}
	return nil
}

func (c *CacheReader) get(ctx context.Context, url string, answer any) error {
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
		return statusError(resp)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxCacheAnswerBytes)
	if err := json.NewDecoder(body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}
