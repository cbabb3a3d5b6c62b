package serving

import "sync"

// InFlight counts the requests that this VM has in flight at each target, by its ID. It is
// safe for concurrent use.
type InFlight struct {
	mu       sync.Mutex
	requests map[string]int
}

// Begin picks a target with choose, which gets the present counts by ID, and counts a
// request there. The function done removes it again.
func (f *InFlight) Begin(choose func(requests map[string]int) string) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[string]int)
	}
	id := choose(f.requests)
	f.requests[id]++
	return func() { f.end(id) }
}

func (f *InFlight) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[id]--
	if f.requests[id] <= 0 {
		delete(f.requests, id)
	}
}
