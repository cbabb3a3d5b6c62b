package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

var (
	// ErrRolloutConflict means that a rollout of the same service to another version is
	// running.
	ErrRolloutConflict = errors.New("a rollout of the service to another version is running")
	// ErrNoRollout means that no rollout of the service was ordered.
	ErrNoRollout = errors.New("the service has no rollout")

	errRolloutsFull = errors.New("too many services have rollouts")
)

// OffersRollouts reports whether operators can order rollouts.
func (c *Core) OffersRollouts() bool { return c.settings.Guarantees.OffersRollouts }

// OrderRollout commits the order of a rollout. An order that is gatewayconfig.ErrInvalid or
// ErrRolloutConflict has no effect. After ErrUncertain it may be in force.
func (c *Core) OrderRollout(ctx context.Context, o fleet.RolloutOrder) error {
	if err := c.checkRolloutService(ctx, o); err != nil {
		c.logger.Info("rollout not accepted", zap.String("service", o.Service), zap.String("version", o.Version), zap.Error(err))
		return err
	}
	response, err := c.proposeForResult(ctx, control.KindFleet, fleet.Command{Rollout: &o}.Encode())
	if err == nil {
		err = rolloutError(fleet.RolloutResult(response))
	}
	c.logger.Info("rollout ordered", zap.String("service", o.Service), zap.String("version", o.Version),
		zap.Int64("duration_ms", o.DurationMS), zap.Error(err))
	return err
}

// rolloutError returns the error for the registry's response to an order.
func rolloutError(result fleet.RolloutResult) error {
	switch result {
	case fleet.RolloutAccepted:
		return nil
	case fleet.RolloutConflict:
		return ErrRolloutConflict
	}
	return errors.Mark(errRolloutsFull, ErrUnavailable)
}

// checkRolloutService returns gatewayconfig.ErrInvalid if the document does not name the
// service of an order. A refusal is final for operators, so that it is given only by the
// newest state, and not for an order that was accepted before.
func (c *Core) checkRolloutService(ctx context.Context, o fleet.RolloutOrder) error {
	if _, version, err := c.decodeCurrent(); err == nil && version > 0 && c.namesService(o.Service) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := c.barriers.call(ctx, struct{}{}); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	_, version, err := c.decodeCurrent()
	switch {
	case err != nil || version == 0:
		return errors.Mark(errors.New("there is no document that could name the service"), ErrUnavailable)
	case c.namesService(o.Service) || c.registry.AcceptsRollout(o, time.Now()):
		return nil
	}
	return errors.Mark(errors.Newf("the document does not name the service %q", o.Service), gatewayconfig.ErrInvalid)
}

// Rollout returns the last rollout of a service, by a linearizable read. It returns
// ErrNoRollout if there is none.
func (c *Core) Rollout(ctx context.Context, service string) (fleet.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := c.barriers.call(ctx, struct{}{}); err != nil {
		c.logger.Info("rollout read failed", zap.String("service", service), zap.Error(err))
		return fleet.Rollout{}, ErrUnavailable
	}
	rollout, ok := c.registry.Rollout(service)
	if !ok {
		return fleet.Rollout{}, ErrNoRollout
	}
	return rollout, nil
}
