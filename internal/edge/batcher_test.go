package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against calls to the leader that grow with the number of fronts: calls
// that wait at the same time have to share one batch.
func TestWaitingCallsShareABatch(t *testing.T) {
	var batches atomic.Int64
	b := newBatcher(batchLimits{gather: 50 * time.Millisecond, timeout: time.Second}, func(_ context.Context, inputs []int) ([]int, error) {
		batches.Add(1)
		return inputs, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.serve(ctx)
	const calls = 300
	results := make(chan error, calls)
	for i := range calls {
		go func() {
			got, err := b.call(ctx, i)
			if err == nil && got != i {
				err = errors.Newf("call %d got the result of %d", i, got)
			}
			results <- err
		}()
	}
	for range calls {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if n := batches.Load(); n > calls/10 {
		t.Errorf("%d calls took %d batches", calls, n)
	}
}

// Guards against a collapse by retries: calls whose callers have given up were
// still carried out, and the next ones came sooner than they could be.
func TestAbandonedCallsAreNotCarriedOut(t *testing.T) {
	inputs := make(chan []int, 2)
	b := newBatcher(batchLimits{timeout: time.Second}, func(_ context.Context, batch []int) ([]int, error) {
		inputs <- batch
		return batch, nil
	})
	abandoned, abandon := context.WithCancel(context.Background())
	abandon()
	for i := range 5 {
		if _, err := b.call(abandoned, i); !errors.Is(err, context.Canceled) {
			t.Fatalf("abandoned call: %v, want %v", err, context.Canceled)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.serve(ctx)
	if _, err := b.call(ctx, 7); err != nil {
		t.Fatal(err)
	}
	if batch := <-inputs; len(batch) != 1 || batch[0] != 7 {
		t.Errorf("the batch has the inputs %v, want only 7", batch)
	}
}

// Guards against a queue that grows without end while batches stall.
func TestCallsBeyondTheLimitFailAtOnce(t *testing.T) {
	b := newBatcher(batchLimits{timeout: time.Second}, func(_ context.Context, batch []int) ([]int, error) { return batch, nil })
	abandoned, abandon := context.WithCancel(context.Background())
	abandon()
	for i := range maxPendingCalls {
		if _, err := b.call(abandoned, i); !errors.Is(err, context.Canceled) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if _, err := b.call(context.Background(), 0); !errors.Is(err, errOverloaded) {
		t.Errorf("call beyond the limit: %v, want %v", err, errOverloaded)
	}
}

// Guards against a batch that its receiver rejects because of its size, and against a call that
// exceeds the limit by itself and is never carried out.
func TestBatchesAreLimitedInSize(t *testing.T) {
	const maxSize = 10
	largest := 0
	b := newBatcher(batchLimits{gather: 20 * time.Millisecond, timeout: time.Second, maxSize: maxSize}, func(_ context.Context, inputs []int) ([]int, error) {
		sum := 0
		for _, input := range inputs {
			sum += input
		}
		if len(inputs) > 1 {
			largest = max(largest, sum)
		}
		return inputs, nil
	})
	b.size = func(input int) int { return input }
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		b.serve(ctx)
	}()
	var calls sync.WaitGroup
	for i := range 40 {
		size := 1 + i%5
		if i%10 == 0 {
			size = 3 * maxSize
		}
		calls.Go(func() {
			if got, err := b.call(ctx, size); err != nil || got != size {
				t.Errorf("a call of size %d has the result %d, %v", size, got, err)
			}
		})
	}
	calls.Wait()
	cancel()
	<-served
	if largest > maxSize {
		t.Errorf("a batch of several calls has the size %d, want %d at most", largest, maxSize)
	}
}
