package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// eventBatchInterval is the pause between two reads of cache events, so that
	// the events of this interval go to each owner in one message.
	eventBatchInterval = 20 * time.Millisecond
	// eventRetryDelay is the delay before reading events again after an error.
	eventRetryDelay = 200 * time.Millisecond
	// loadPollInterval is how often the load of a target is read. It equals the
	// interval of the targets' heartbeats.
	loadPollInterval = target.HeartbeatInterval
)

// cacheReader reads the cache events of one target incarnation and forwards
// them to the owners of the prefix chains.
type cacheReader struct {
	index  *regionIndex
	ref    target.Ref
	url    string
	cancel context.CancelFunc
	// partitioner is nil until the first snapshot has been read.
	partitioner *prefix.EventPartitioner
	// lastSequence is the sequence number up to which events have been read; 0
	// requests a snapshot.
	lastSequence uint64
}

func (r *regionIndex) startReader(ctx context.Context, t *target.Target) *cacheReader {
	ctx, cancel := context.WithCancel(ctx)
	reader := &cacheReader{index: r, ref: t.Ref(), url: t.URL, cancel: cancel}
	r.tasks.Go(func() { reader.run(ctx) })
	r.tasks.Go(func() { every(ctx, loadPollInterval, func() { reader.publishLoad(ctx) }) })
	return reader
}

// publishLoad sends the load of the target to the VMs of the other zones of the
// region.
func (c *cacheReader) publishLoad(ctx context.Context) {
	if !c.index.spansZones() {
		return
	}
	if l, err := c.index.cache.Load(ctx, c.url); err == nil {
		c.index.broadcastLoad(c.ref, l)
	}
}

func (c *cacheReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := c.index.cache.Events(ctx, c.url, c.lastSequence)
		var status *serving.StatusError
		if errors.As(err, &status) && status.Status == http.StatusNotFound {
			// The target does not report cache events, so the index relies on
			// predictions for it.
			return
		}
		if err != nil || response.Incarnation != c.ref.Incarnation {
			c.reportGap(ctx)
			sleep(ctx, eventRetryDelay)
			continue
		}
		if !c.forward(ctx, response) {
			c.lastSequence = 0
			sleep(ctx, eventRetryDelay)
			continue
		}
		sleep(ctx, eventBatchInterval)
	}
}

// forward passes the events to the owners. It returns false if the cache
// contents must be read again as a snapshot.
func (c *cacheReader) forward(ctx context.Context, response targethttp.CacheEvents) bool {
	if response.Snapshot {
		c.lastSequence = response.LastSequence
		c.partitioner = prefix.NewEventPartitioner(c.ref, rand.Uint64(), c.index.peers.Load().owners)
		return c.index.publish(ctx, c.partitioner.SnapshotBatches(response.Events))
	}
	if c.partitioner == nil || !c.contiguous(response) {
		c.reportGap(ctx)
		return false
	}
	c.lastSequence = response.LastSequence
	return c.index.publish(ctx, c.partitioner.Partition(response.Events))
}

// contiguous reports whether the events follow lastSequence without a gap.
func (c *cacheReader) contiguous(response targethttp.CacheEvents) bool {
	next := c.lastSequence + 1
	for _, e := range response.Events {
		if e.Sequence != next {
			return false
		}
		next++
	}
	return response.LastSequence+1 == next
}

// reportGap marks the entries of the target as uncertain at every owner, once
// per gap, and makes the next read request a snapshot.
func (c *cacheReader) reportGap(ctx context.Context) {
	if c.lastSequence != 0 && c.partitioner != nil {
		c.index.node.logger.Info("gap in cache events of target; requesting a snapshot", zap.String("target", c.ref.ID))
		c.index.publish(ctx, c.partitioner.GapBatches())
	}
	c.lastSequence = 0
	c.partitioner = nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
