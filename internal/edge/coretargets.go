package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

const (
	// rejectionLogInterval is the shortest time between two log lines about
	// rejected heartbeats. A writer repeats its heartbeat every second or so.
	rejectionLogInterval = 10 * time.Second
	// maxLoggedIDBytes limits the part of an invalid target ID that is logged.
	maxLoggedIDBytes = 64
)

// rejections counts the rejected heartbeats.
type rejections struct {
	mu sync.Mutex
	// count is the number of all rejections, and logged that at the last log line.
	count, logged int
	loggedAt      time.Duration
}

// record counts a rejection. It reports whether it has to be logged, and how many
// others were not logged before it.
func (r *rejections) record(now time.Duration) (due bool, skipped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if r.count > 1 && now-r.loggedAt < rejectionLogInterval {
		return false, 0
	}
	skipped = r.count - r.logged - 1
	r.logged, r.loggedAt = r.count, now
	return true, skipped
}

// total returns the number of rejections.
func (r *rejections) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// RejectHeartbeat records a heartbeat that names no usable target, and returns err as
// a gatewayconfig.ErrInvalid. The registry stays as it is.
func (c *Core) RejectHeartbeat(id string, err error) error {
	if due, skipped := c.rejectedHeartbeats.record(boottime.Now()); due {
		c.logger.Warn("heartbeat rejected", zap.String("target", id[:min(len(id), maxLoggedIDBytes)]), zap.Int("not_logged", skipped), zap.Error(err))
	}
	return errors.Mark(err, gatewayconfig.ErrInvalid)
}

// Announce handles the heartbeat of a target. It proposes an entry only if the
// heartbeat changes the registry, and rejects a target to which no request can be sent.
func (c *Core) Announce(ctx context.Context, t fleet.Target) error {
	if err := t.Check(); err != nil {
		return c.RejectHeartbeat(t.ID, err)
	}
	if c.registry.IsUpToDate(t) {
		return nil
	}
	if replaced := c.registry.ReplacedBy(t); len(replaced) > 0 && !c.namesService(t.Service) {
		return c.RejectHeartbeat(t.ID, errors.Newf("the document does not name the service %q, whose target would replace %q of service %q", t.Service, replaced[0].ID, replaced[0].Service))
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := c.announces.call(ctx, t)
	if err != nil {
		err = proposalError(err)
	}
	c.logger.Info("target announced", zap.String("target", t.ID), zap.String("service", t.Service),
		zap.String("address", t.Address), zap.Bool("draining", t.Draining), zap.Uint64("weights", t.Weights),
		zap.Int64("started", t.Started), zap.Error(err))
	return err
}

// namesService reports whether the document names a service, or there is no document that
// could.
func (c *Core) namesService(name string) bool {
	document, version, err := c.decodeCurrent()
	if version == 0 {
		return true
	}
	if err != nil {
		c.logger.Error("decoding the active document failed", zap.Uint64("version", version), zap.Error(err))
		return true
	}
	return slices.ContainsFunc(document.Services, func(s gatewayconfig.Service) bool { return s.Name == name })
}

// announceAll proposes one entry for several targets.
func (c *Core) announceAll(ctx context.Context, targets []fleet.Target) ([]struct{}, error) {
	return make([]struct{}, len(targets)), c.propose(ctx, control.KindFleet, fleet.Command{Announces: targets}.Encode())
}

// Deregister removes a target from the registry. The departure of a target that is not
// registered is recorded too, because its heartbeat may arrive late.
func (c *Core) Deregister(ctx context.Context, id string) error {
	if fleet.CheckID(id) != nil {
		return nil
	}
	err := c.propose(ctx, control.KindFleet, fleet.Command{Leave: id}.Encode())
	c.logger.Info("target left", zap.String("target", id), zap.Error(err))
	return err
}
