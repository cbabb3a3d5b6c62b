package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/pause"
)

// maxPendingCalls limits the calls that wait for a batch. It leaves room for the
// 350 fronts of the largest deployment the system is designed for.
const maxPendingCalls = 1024

// errOverloaded means that too many calls wait for a batch.
var errOverloaded = errors.New("too many pending calls")

// batcher combines concurrent calls: all calls that are pending when a batch
// starts are carried out together. A call is never part of a batch that started
// before it.
type batcher[In, Out any] struct {
	// run carries out a batch and returns the results in the order of the inputs.
	run    func(context.Context, []In) ([]Out, error)
	limits batchLimits
	// size returns the size of an input for limits.maxSize; nil if there is no such limit.
	size  func(In) int
	queue chan *batchedCall[In, Out]
	// next is the first call of the next batch, if it did not fit into the last one.
	next *batchedCall[In, Out]
}

// batchLimits are the time limits of a batcher.
type batchLimits struct {
	// gather is how long the first call waits for others to join its batch.
	gather time.Duration
	// interval is the shortest time between the starts of two batches.
	interval time.Duration
	// timeout limits one batch.
	timeout time.Duration
	// maxSize limits the sum of the sizes of the inputs in one batch of several calls.
	maxSize int
}

type batchedCall[In, Out any] struct {
	ctx   context.Context
	input In
	done  chan batchResult[Out]
}

type batchResult[Out any] struct {
	output Out
	err    error
}

func newBatcher[In, Out any](limits batchLimits, run func(context.Context, []In) ([]Out, error)) *batcher[In, Out] {
	return &batcher[In, Out]{run: run, limits: limits, queue: make(chan *batchedCall[In, Out], maxPendingCalls)}
}

// call adds a call to the next batch and returns its result. It fails at once if
// too many calls are pending.
func (b *batcher[In, Out]) call(ctx context.Context, input In) (Out, error) {
	call := &batchedCall[In, Out]{ctx, input, make(chan batchResult[Out], 1)}
	var none Out
	select {
	case b.queue <- call:
	default:
		return none, errOverloaded
	}
	select {
	case result := <-call.done:
		return result.output, result.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// serve carries out batches until ctx is done.
func (b *batcher[In, Out]) serve(ctx context.Context) {
	var lastStart time.Duration
	for {
		first := b.next
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-b.queue:
			}
		}
		wait := max(b.limits.gather, lastStart+b.limits.interval-boottime.Now())
		if wait > 0 && !pause.For(ctx, wait) {
			return
		}
		lastStart = boottime.Now()
		b.runBatch(ctx, b.collect(first))
	}
}

// collect returns the pending calls, up to the limit of their size, except those whose callers have
// given up.
func (b *batcher[In, Out]) collect(first *batchedCall[In, Out]) []*batchedCall[In, Out] {
	var pending []*batchedCall[In, Out]
	b.next = nil
	size := 0
	for call := first; ; {
		if call.ctx.Err() == nil {
			if b.size != nil {
				size += b.size(call.input)
			}
			if len(pending) > 0 && size > b.limits.maxSize {
				b.next = call
				return pending
			}
			pending = append(pending, call)
		}
		select {
		case call = <-b.queue:
		default:
			return pending
		}
	}
}

func (b *batcher[In, Out]) runBatch(ctx context.Context, pending []*batchedCall[In, Out]) {
	if len(pending) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.limits.timeout)
	defer cancel()
	inputs := make([]In, len(pending))
	for i, call := range pending {
		inputs[i] = call.input
	}
	outputs, err := b.run(ctx, inputs)
	if err == nil && len(outputs) != len(inputs) {
		err = errors.AssertionFailedf("batch of %d calls has %d results", len(inputs), len(outputs))
	}
	for i, call := range pending {
		if err != nil {
			call.done <- batchResult[Out]{err: err}
			continue
		}
		call.done <- batchResult[Out]{output: outputs[i]}
	}
}
