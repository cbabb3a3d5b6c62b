package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/usage"
	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

const (
	// usageTimeout bounds one try to send a batch.
	usageTimeout = 2 * time.Second
	// usageLastTimeout bounds the last batches of a VM that shuts down.
	usageLastTimeout = 5 * time.Second
)

// startUsage bills requests through the control log.
func (n *Node) startUsage() error {
	n.parts[control.KindUsage] = usage.NewPart()
	n.ledger = usage.NewLedger(n.settings.VM, n.incarnation, n.clock)
	service := usagev1.NewUsageServiceServer(usageServer{n})
	n.adminMux.Handle(service.PathPrefix(), service)
	return nil
}

// startUsageFlush sends batches; it runs once the control log is open.
func (n *Node) startUsageFlush() error {
	failing := false
	n.duty(func(ctx context.Context) {
		every(ctx, usage.FlushInterval, func() {
			err := n.flushUsage(ctx, usageTimeout)
			if (err != nil) != failing {
				failing = err != nil
				n.logger.Info("sending of usage batches changed", zap.Bool("failing", failing), zap.Error(err))
			}
		})
	})
	return nil
}

func (n *Node) flushUsage(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.ledger.Flush(ctx, n.log)
}

// flushLastUsage sends what is left before a shutdown.
func (n *Node) flushLastUsage() {
	deadline := time.Now().Add(usageLastTimeout)
	err := n.flushUsage(n.ctx, usageLastTimeout)
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
		err = n.flushUsage(n.ctx, time.Until(deadline))
	}
	if err != nil {
		n.logger.Error("usage was not acknowledged before the shutdown", zap.Error(err))
	}
}

// usageServer implements usagev1.UsageService.
type usageServer struct{ node *Node }

// Report implements usagev1.UsageService.
func (s usageServer) Report(ctx context.Context, query *usagev1.Query) (*usagev1.Totals, error) {
	body, err := proto.Marshal(&usagev1.Command{Kind: &usagev1.Command_Query{Query: query}})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	answer, err := s.node.log.Propose(ctx, control.KindUsage, body)
	if errors.Is(err, control.ErrNotCommitted) || errors.Is(err, control.ErrUncertain) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	var totals usagev1.Totals
	if err := proto.Unmarshal(answer, &totals); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &totals, nil
}
