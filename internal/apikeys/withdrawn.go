package apikeys

import (
	"context"
	"encoding/binary"
	"sync"
)

// WithdrawnSet is a grow-only set of the hashes of withdrawn keys. It is safe
// for concurrent use.
type WithdrawnSet struct {
	mu       sync.RWMutex
	set      map[Hash]struct{}
	digest   uint64
	watchers map[Hash]map[*watcher]struct{}
}

type watcher struct{ cancel context.CancelFunc }

// NewWithdrawnSet returns an empty set.
func NewWithdrawnSet() *WithdrawnSet {
	return &WithdrawnSet{
		set:      make(map[Hash]struct{}),
		watchers: make(map[Hash]map[*watcher]struct{}),
	}
}

// Add adds hashes to the set, cancels the contexts that watch their keys and
// returns the hashes that were not in the set before.
func (w *WithdrawnSet) Add(hashes ...Hash) []Hash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var added []Hash
	for _, h := range hashes {
		if _, known := w.set[h]; known {
			continue
		}
		w.set[h] = struct{}{}
		w.digest ^= binary.LittleEndian.Uint64(h[:8])
		added = append(added, h)
		for watcher := range w.watchers[h] {
			watcher.cancel()
		}
		delete(w.watchers, h)
	}
	return added
}

// Contains reports whether the key is withdrawn.
func (w *WithdrawnSet) Contains(h Hash) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	_, ok := w.set[h]
	return ok
}

// Digest returns a digest of the set. Sets with equal content have equal
// digests.
func (w *WithdrawnSet) Digest() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.digest
}

// All returns the hashes of all withdrawn keys in no particular order.
func (w *WithdrawnSet) All() []Hash {
	w.mu.RLock()
	defer w.mu.RUnlock()
	out := make([]Hash, 0, len(w.set))
	for h := range w.set {
		out = append(out, h)
	}
	return out
}

// Watch returns a context that is canceled when the key is withdrawn. The
// caller must call the returned function to release the watch.
func (w *WithdrawnSet) Watch(ctx context.Context, h Hash) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	watch := &watcher{cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, withdrawn := w.set[h]; withdrawn {
		cancel()
		return ctx, cancel
	}
	if w.watchers[h] == nil {
		w.watchers[h] = make(map[*watcher]struct{})
	}
	w.watchers[h][watch] = struct{}{}
	return ctx, func() {
		cancel()
		w.unwatch(h, watch)
	}
}

func (w *WithdrawnSet) unwatch(h Hash, watch *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watchers[h], watch)
	if len(w.watchers[h]) == 0 {
		delete(w.watchers, h)
	}
}
