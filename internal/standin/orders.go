package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/target"
)

// DefaultLoadTime is the time that an engine takes to load weights if
// OrderOptions.LoadTime is zero.
const DefaultLoadTime = 400 * time.Millisecond

// OrderOptions configures how an engine handles orders to load weights.
type OrderOptions struct {
	// Fencing rejects orders with a stale fencing token.
	Fencing bool
	// LoadTime is the time to load weights; zero means DefaultLoadTime.
	LoadTime time.Duration
}

// orderState tracks the orders that an engine accepted and the weights it loaded
// for them.
type orderState struct {
	options OrderOptions

	mu           sync.Mutex
	highestToken uint64
	accepted     map[string]bool
	current      targethttp.Order
	loading      bool
	loads        int
}

func newOrderState(options OrderOptions) *orderState {
	if options.LoadTime == 0 {
		options.LoadTime = DefaultLoadTime
	}
	return &orderState{options: options, accepted: make(map[string]bool)}
}

func (s *orderState) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o targethttp.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.OrderID == "" {
		http.Error(w, "malformed order: invalid JSON or no order ID", http.StatusBadRequest)
		return
	}
	if !s.accept(o) {
		http.Error(w, "order rejected: stale fencing token", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// accept starts to load the weights of an order, once per order ID. It reports
// false if the fencing token is stale.
func (s *orderState) accept(o targethttp.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Fencing && o.FencingToken < s.highestToken {
		return false
	}
	s.highestToken = max(s.highestToken, o.FencingToken)
	if s.accepted[o.OrderID] {
		return true
	}
	s.accepted[o.OrderID] = true
	s.loading = true
	s.loads++
	time.AfterFunc(s.options.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.current = o
		s.loading = false
	})
	return true
}

// fillAnnouncement adds the loaded weights, the loading state and the fencing
// capability to an announcement.
func (s *orderState) fillAnnouncement(a *target.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Capabilities.Fencing = s.options.Fencing
	a.Loading = s.loading
	if s.current.OrderID == "" {
		return
	}
	a.Model, a.Version, a.Adapters = s.current.Model, s.current.Version, s.current.Adapters
	if s.current.Role != "" {
		a.Role = s.current.Role
	}
}

// LoadCount returns the number of weight loads that orders have started.
func (e *Engine) LoadCount() int {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.loads
}
