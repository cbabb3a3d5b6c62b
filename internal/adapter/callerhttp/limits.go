package callerhttp

import (
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// busyRetryAfter is the Retry-After value for requests rejected by a
// concurrency limit.
const busyRetryAfter = time.Second

func checkLimits(r *http.Request, snap *config.Snapshot, active int64) *serving.Refusal {
	limits := snap.Document.Limits
	if headerBytes(r) > limits.MaxHeaderBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the request header exceeds the limit")
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return errBodyTooLarge
	}
	if active > int64(limits.MaxConcurrentPerVM) {
		refusal := newRefusal(http.StatusServiceUnavailable, "vm_busy", "this VM runs as many requests as it may")
		refusal.RetryAfter = busyRetryAfter
		return refusal
	}
	return nil
}

// headerBytes returns the smallest size that the request header can have had in HTTP/1.1
// encoding: spaces around values and carriage returns may be left out.
func headerBytes(r *http.Request) int {
	const separators = len(":\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			total += len(name) + len(v) + separators
		}
	}
	return total
}

// concurrencyLimiter limits the requests of each workspace that run
// concurrently on this VM.
type concurrencyLimiter struct {
	mu     sync.Mutex
	counts map[string]int
}

// acquire counts a request of workspace, or returns a refusal if the workspace
// has reached its limit. The release function must be called exactly once.
func (c *concurrencyLimiter) acquire(workspace string, snap *config.Snapshot) (release func(), refusal *serving.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	if workspace != "" && c.counts[workspace] >= snap.Document.Workspaces[workspace].MaxConcurrent {
		refusal := newRefusal(http.StatusTooManyRequests, "workspace_busy", "the workspace runs as many requests on this VM as it may")
		refusal.RetryAfter = busyRetryAfter
		return nil, refusal
	}
	c.counts[workspace]++
	return func() { c.release(workspace) }, nil
}

func (c *concurrencyLimiter) release(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[workspace]--
	if c.counts[workspace] == 0 {
		delete(c.counts, workspace)
	}
}
