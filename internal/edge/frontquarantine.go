package edge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/quarantine"
)

// crashGatherTime is how long the requests that break off at an engine are gathered
// before the engine is probed.
const crashGatherTime = 30 * time.Millisecond

// maxInconclusiveProbes is the number of inconclusive probes after which the engine no longer
// counts as crashed. A process that ends resets the connections that it had not accepted, but its port
// refuses the next one. A faulty link resets all of them.
const maxInconclusiveProbes = 3

// maxLoggedNames limits the requests and the parts in the log line of one crash.
const maxLoggedNames = 32

// frontQuarantine implements proxy.Quarantine. A request that breaks off says that its
// engine has crashed only if the engine cannot be reached afterwards.
type frontQuarantine struct {
	*quarantine.Observer
	// probe returns an error if a target cannot be reached.
	probe  func(ctx context.Context, address string) error
	logger *zap.Logger
	// ctx is done when the process stops.
	ctx context.Context

	// leaves reports whether a target is known to drain or to have left. It is nil if
	// that is not known of any.
	leaves func(id string) bool

	mu sync.Mutex
	// ended maps the IDs of engines to the requests that ended there with their
	// connection, until the engine is probed.
	ended map[string][]endedRequest
}

// endedRequest is a request that ended with its connection.
type endedRequest struct {
	quarantine.SentRequest
	// broken is set if the response was incomplete.
	broken bool
}

var _ proxy.Quarantine = (*frontQuarantine)(nil)

func newFrontQuarantine(probe func(context.Context, string) error, logger *zap.Logger) *frontQuarantine {
	return &frontQuarantine{
		Observer: quarantine.NewObserver(boottime.Now), probe: probe, logger: logger, ctx: context.Background(),
		ended: make(map[string][]endedRequest),
	}
}

// RecordBroken implements proxy.Quarantine.
func (q *frontQuarantine) RecordBroken(t placement.Target, r quarantine.Request, sentAt time.Duration) {
	q.recordEnd(t, endedRequest{quarantine.SentRequest{Request: r, SentAt: sentAt}, true})
}

// RecordEnded implements proxy.Quarantine.
func (q *frontQuarantine) RecordEnded(t placement.Target, r quarantine.Request, sentAt time.Duration) {
	q.recordEnd(t, endedRequest{quarantine.SentRequest{Request: r, SentAt: sentAt}, false})
}

func (q *frontQuarantine) recordEnd(t placement.Target, r endedRequest) {
	if r.broken {
		r.Resent = q.RecordBreak(r.Key, r.SentAt)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ended[t.ID]) == 0 {
		at := boottime.Now()
		go q.verifyCrash(t, at)
	}
	q.ended[t.ID] = append(q.ended[t.ID], r)
}

// verifyCrash records a crash if the target cannot be reached.
func (q *frontQuarantine) verifyCrash(t placement.Target, at time.Duration) {
	pause.For(q.ctx, crashGatherTime)
	err := q.probeUntilKnown(t.Address)
	q.mu.Lock()
	ended := q.ended[t.ID]
	delete(q.ended, t.ID)
	q.mu.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	if err == nil {
		q.recordComplete(ended)
		return
	}
	if isInconclusive(err) || q.leaves != nil && q.leaves(t.ID) {
		return
	}
	requests := make([]quarantine.SentRequest, 0, len(ended))
	for _, r := range ended {
		requests = append(requests, r.SentRequest)
	}
	keys, parts := crashNames(requests)
	leftOut := q.RecordCrash(t.ID+"/"+strconv.FormatInt(t.Started, 10), at, requests, isUnresponsive(err))
	q.logger.Info("engine crashed while it served requests", zap.String("target", t.ID), zap.Int("requests", len(requests)),
		zap.Int("parts_left_out", leftOut), zap.Strings("keys", keys), zap.Strings("parts", parts), zap.Error(err))
}

// crashNames returns the sorted keys of requests and the names of their parts for the log, each
// up to maxLoggedNames.
func crashNames(requests []quarantine.SentRequest) (keys, parts []string) {
	for _, r := range requests {
		keys, parts = append(keys, r.Key), append(parts, r.Parts...)
	}
	return firstNames(keys), firstNames(parts)
}

// firstNames returns the first maxLoggedNames of the sorted names, each once.
func firstNames(names []string) []string {
	slices.Sort(names)
	names = slices.Compact(names)
	return names[:min(len(names), maxLoggedNames)]
}

// probeUntilKnown probes a target until the result tells whether it is there, or
// maxInconclusiveProbes times.
func (q *frontQuarantine) probeUntilKnown(address string) error {
	err := q.probe(q.ctx, address)
	for n := 1; n < maxInconclusiveProbes && isInconclusive(err) && pause.For(q.ctx, crashGatherTime); n++ {
		err = q.probe(q.ctx, address)
	}
	return err
}

// isInconclusive reports whether a probe failed for a reason that does not tell whether the
// engine is there: its connection was reset, or this VM can open none.
func isInconclusive(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, targetconn.ErrNoDescriptor)
}

// recordComplete records the requests that are complete because their engine is still there.
func (q *frontQuarantine) recordComplete(ended []endedRequest) {
	for _, r := range ended {
		if !r.broken {
			q.RecordCompletion(r.Request)
		}
	}
}

// isUnresponsive reports whether a probe failed because nothing answered. The link to the
// target, or its whole zone, may be lost.
func isUnresponsive(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
