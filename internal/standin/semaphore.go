package standin

import (
	"context"
	"slices"
	"sync"
)

// semaphore limits concurrency. Waiters are served by priority, lowest value
// first.
type semaphore struct {
	mu      sync.Mutex
	free    int
	limited bool
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// newSemaphore returns a semaphore with n slots; zero means no limit.
func newSemaphore(n int) *semaphore { return &semaphore{free: n, limited: n > 0} }

// acquire waits for a slot. It reports false if ctx is canceled first.
func (s *semaphore) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if !s.limited || s.free > 0 {
		s.free--
		s.mu.Unlock()
		return ctx.Err() == nil || s.releaseCancelled()
	}
	w := &waiter{priority, make(chan struct{})}
	at := slices.IndexFunc(s.waiting, func(o *waiter) bool { return o.priority > priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return s.cancelWait(w)
	}
}

// releaseCancelled releases a slot that was granted after the context was
// canceled. It returns false, the result of acquire.
func (s *semaphore) releaseCancelled() bool {
	s.release()
	return false
}

// cancelWait removes w from the queue. If a slot was granted to w in the
// meantime, it releases that slot. It returns false, the result of acquire.
func (s *semaphore) cancelWait(w *waiter) bool {
	s.mu.Lock()
	at := slices.Index(s.waiting, w)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 {
		s.release()
	}
	return false
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0].ready)
		s.waiting = s.waiting[1:]
		return
	}
	s.free++
}
