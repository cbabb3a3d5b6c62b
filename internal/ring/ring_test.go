package ring

import (
	"context"
	"sync"
	"testing"
)

// Guards against lost wake-ups with several consumers, and against consumers
// that keep waiting after the ring is closed.
func TestRingDeliversEveryItemOnce(t *testing.T) {
	const items, consumers = 2000, 4
	r := New[int](8)
	var mu sync.Mutex
	seen := make(map[int]int)
	var wg sync.WaitGroup
	for range consumers {
		wg.Go(func() {
			for {
				v, ok := r.Pop(context.Background())
				if !ok {
					return
				}
				mu.Lock()
				seen[v]++
				mu.Unlock()
			}
		})
	}
	for i := 0; i < items; {
		if r.Push(i) {
			i++
		}
	}
	r.Close()
	wg.Wait()
	for i := range items {
		if seen[i] != 1 {
			t.Fatalf("item %d was delivered %d times, want once", i, seen[i])
		}
	}
}

// Guards against a full ring that blocks the producer.
func TestPushOnFullRingIsRejected(t *testing.T) {
	r := New[int](1)
	if !r.Push(1) || r.Push(2) {
		t.Fatal("want the first item accepted and the second rejected")
	}
	if r.Dropped() != 1 {
		t.Fatalf("Dropped() = %d, want 1", r.Dropped())
	}
}
