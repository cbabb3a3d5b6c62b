// Package ring provides a bounded queue, implemented as a ring buffer, that
// connects the goroutines of a daemon.
//
// A full ring does not block the producer: Push reports false, and the caller
// decides whether to drop the item, refuse it or retry. This keeps a slow
// consumer from blocking other work of the daemon.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use by any number of
// producers and consumers.
type Ring[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int
	count    int
	dropped  uint64
	closed   bool
	notEmpty chan struct{}
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{
		items:    make([]T, capacity),
		notEmpty: make(chan struct{}, 1),
	}
}

// Push appends v. It reports false if the ring is full or closed.
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

// Pop removes and returns the oldest item. It waits while the ring is empty. It
// reports false if the ring is closed and empty, or if ctx is done while it
// waits.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		v, ok, closed := r.tryPop()
		if ok || closed {
			return v, ok
		}
		select {
		case <-ctx.Done():
			return v, false
		case <-r.notEmpty:
		}
	}
}

// TryPop removes and returns the oldest item without waiting. It reports false
// if the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	v, ok, _ := r.tryPop()
	return v, ok
}

// Close makes Push reject further items. Queued items can still be popped.
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

// Dropped returns the number of items that Push has rejected.
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
		// Several pushes may have produced a single signal, so signal again for
		// the remaining items.
		r.signal()
	}
	return v, true, false
}

func (r *Ring[T]) signal() {
	select {
	case r.notEmpty <- struct{}{}:
	default:
	}
}
