package edge

import (
	"context"
)

// barrierBatcher batches concurrent linearizable reads: all reads that are
// pending when a barrier starts share one quorum round trip.
type barrierBatcher struct {
	barrier func(context.Context) error
	queue   chan *pendingRead
}

// pendingRead is a read that waits for a barrier to complete.
type pendingRead struct {
	done chan error
}

// maxPendingReads limits the queue of pending reads. It leaves room for the 350
// fronts of the largest deployment the system is designed for.
const maxPendingReads = 1024

func newBarrierBatcher(barrier func(context.Context) error) *barrierBatcher {
	return &barrierBatcher{barrier: barrier, queue: make(chan *pendingRead, maxPendingReads)}
}

// wait blocks until a barrier that started after the call has completed, and
// returns its error, or until ctx is done.
func (b *barrierBatcher) wait(ctx context.Context) error {
	read := &pendingRead{done: make(chan error, 1)}
	select {
	case b.queue <- read:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *barrierBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case read := <-b.queue:
			b.runBarrier(ctx, b.collectPending(read))
		}
	}
}

func (b *barrierBatcher) collectPending(first *pendingRead) []*pendingRead {
	pending := []*pendingRead{first}
	for {
		select {
		case read := <-b.queue:
			pending = append(pending, read)
		default:
			return pending
		}
	}
}

func (b *barrierBatcher) runBarrier(ctx context.Context, pending []*pendingRead) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := b.barrier(ctx)
	for _, read := range pending {
		read.done <- err
	}
}
