package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/target"
)

// DefaultLoadTime is how long a stand-in engine loads weights.
const DefaultLoadTime = 400 * time.Millisecond

// OrderOptions describe how an engine takes orders.
type OrderOptions struct {
	// Fencing refuses orders with an old fencing number.
	Fencing bool
	// LoadTime is how long weights load; zero means DefaultLoadTime.
	LoadTime time.Duration
}

// orderBook is what an engine was ordered to do.
type orderBook struct {
	options OrderOptions

	mu      sync.Mutex
	fence   uint64
	seen    map[string]bool
	current targethttp.Order
	loading bool
	loads   int
}

func newOrderBook(options OrderOptions) *orderBook {
	if options.LoadTime == 0 {
		options.LoadTime = DefaultLoadTime
	}
	return &orderBook{options: options, seen: make(map[string]bool)}
}

func (b *orderBook) handle(w http.ResponseWriter, r *http.Request) {
	var o targethttp.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.OrderID == "" {
		http.Error(w, "order is malformed", http.StatusBadRequest)
		return
	}
	if !b.take(o) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// take starts an order, once per ID. It reports false if the order is fenced
// off.
func (b *orderBook) take(o targethttp.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.options.Fencing && o.Fence < b.fence {
		return false
	}
	b.fence = max(b.fence, o.Fence)
	if b.seen[o.OrderID] {
		return true
	}
	b.seen[o.OrderID] = true
	b.loading = true
	b.loads++
	time.AfterFunc(b.options.LoadTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.current = o
		b.loading = false
	})
	return true
}

// describe puts the state into an announcement.
func (b *orderBook) describe(a *target.Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Capabilities.Fencing = b.options.Fencing
	a.Loading = b.loading
	if b.current.OrderID == "" {
		return
	}
	a.Model, a.Version, a.Adapters = b.current.Model, b.current.Version, b.current.Adapters
	if b.current.Role != "" {
		a.Role = b.current.Role
	}
}

// Loads returns how often the engine began to load weights by order.
func (e *Engine) Loads() int {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.loads
}
