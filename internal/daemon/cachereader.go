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
	// eventPause collects the events of a short time into one publication
	// per owner.
	eventPause = 20 * time.Millisecond
	// eventRetry is the pause after an error.
	eventRetry = 200 * time.Millisecond
	// loadInterval is how often the load is read, as often as heartbeats come.
	loadInterval = target.HeartbeatInterval
)

// cacheReader reads the event stream of one incarnation and forwards it to
// the owners of the chains.
type cacheReader struct {
	duty   *routingDuty
	ref    target.Ref
	url    string
	cancel context.CancelFunc
	// forwarder is nil until a snapshot was read.
	forwarder *prefix.Forwarder
	after     uint64
}

func (r *routingDuty) startReader(ctx context.Context, t *target.Target) *cacheReader {
	ctx, cancel := context.WithCancel(ctx)
	reader := &cacheReader{duty: r, ref: t.Ref(), url: t.URL, cancel: cancel}
	r.done.Go(func() { reader.run(ctx) })
	r.done.Go(func() { every(ctx, loadInterval, func() { reader.readLoad(ctx) }) })
	return reader
}

// readLoad shares the load with the other zones of the region.
func (c *cacheReader) readLoad(ctx context.Context) {
	if !c.duty.otherZones() {
		return
	}
	if l, err := c.duty.cache.Load(ctx, c.url); err == nil {
		c.duty.shareLoad(c.ref, l)
	}
}

func (c *cacheReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := c.duty.cache.Events(ctx, c.url, c.after)
		var status *serving.StatusError
		if errors.As(err, &status) && status.Status == http.StatusNotFound {
			// The target reports no events; predictions have to do.
			return
		}
		if err != nil || answer.Incarnation != c.ref.Incarnation {
			c.lost(ctx)
			wait(ctx, eventRetry)
			continue
		}
		if !c.forward(ctx, answer) {
			c.after = 0
			wait(ctx, eventRetry)
			continue
		}
		wait(ctx, eventPause)
	}
}

// forward passes an answer on. It reports false if the whole content has to
// be read again.
func (c *cacheReader) forward(ctx context.Context, answer targethttp.CacheEvents) bool {
	if answer.Snapshot {
		c.after = answer.Through
		c.forwarder = prefix.NewForwarder(c.ref, rand.Uint64(), c.duty.peers.Load().owners)
		return c.duty.publish(ctx, c.forwarder.Snapshot(answer.Events))
	}
	if c.forwarder == nil || !c.whole(answer) {
		c.lost(ctx)
		return false
	}
	c.after = answer.Through
	return c.duty.publish(ctx, c.forwarder.Split(answer.Events))
}

// whole reports whether no number is missing.
func (c *cacheReader) whole(answer targethttp.CacheEvents) bool {
	next := c.after + 1
	for _, e := range answer.Events {
		if e.Sequence != next {
			return false
		}
		next++
	}
	return answer.Through+1 == next
}

// lost marks the entries uncertain at every owner, once, and asks for a snapshot next.
func (c *cacheReader) lost(ctx context.Context) {
	if c.after != 0 && c.forwarder != nil {
		c.duty.node.logger.Info("cache events are missing; asking for a resync", zap.String("target", c.ref.ID))
		c.duty.publish(ctx, c.forwarder.Gap())
	}
	c.after = 0
	c.forwarder = nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
