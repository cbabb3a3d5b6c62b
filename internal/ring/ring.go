// Package ring provides a bounded queue that joins the goroutines of a daemon.
//
// A full ring never blocks the producer: Push reports false and the caller
// decides whether to drop, refuse or retry. This keeps one slow duty from
// stopping the others.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue for any number of producers and
// consumers.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	dropped uint64
	closed  bool
	wake    chan struct{}
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{
		items: make([]T, capacity),
		wake:  make(chan struct{}, 1),
	}
}

// Push appends v. It reports false when the ring is full or closed.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	if r.closed || r.count == len(r.items) {
		r.dropped++
		r.mu.Unlock()
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	r.mu.Unlock()
	r.signal()
	return true
}

// Pop removes the oldest item, waiting until there is one. It reports false
// when the ring is closed and empty or ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		v, ok, closed := r.tryPop()
		if ok || closed {
			return v, ok
		}
		select {
		case <-ctx.Done():
			return v, false
		case <-r.wake:
		}
	}
}

// TryPop removes the oldest item without waiting.
func (r *Ring[T]) TryPop() (T, bool) {
	v, ok, _ := r.tryPop()
	return v, ok
}

// Close rejects further items. Items already queued can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns how many items Push rejected.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) tryPop() (v T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		if r.closed {
			r.signal()
		}
		return v, false, r.closed
	}
	var zero T
	v = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	if r.count > 0 {
		// One wake-up may stand for several pushes; pass it on.
		r.signal()
	}
	return v, true, false
}

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
