package standin

import (
	"context"
	"slices"
	"sync"
)

// slots is a semaphore whose waiters are served by priority, lower first.
type slots struct {
	mu      sync.Mutex
	free    int
	limited bool
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority int
	ready    chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n, limited: n > 0} }

// acquire waits for a slot. It reports false if ctx ends first.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if !s.limited || s.free > 0 {
		s.free--
		s.mu.Unlock()
		return ctx.Err() == nil || s.giveUp()
	}
	w := &slotWaiter{priority, make(chan struct{})}
	at := slices.IndexFunc(s.waiting, func(o *slotWaiter) bool { return o.priority > priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return s.abandon(w)
	}
}

func (s *slots) giveUp() bool {
	s.release()
	return false
}

// abandon leaves the queue, or passes on a slot that was granted meanwhile.
func (s *slots) abandon(w *slotWaiter) bool {
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

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0].ready)
		s.waiting = s.waiting[1:]
		return
	}
	s.free++
}
