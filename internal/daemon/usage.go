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
	// usageFlushTimeout limits one attempt to send a batch.
	usageFlushTimeout = 2 * time.Second
	// usageFinalFlushTimeout limits sending the last batches during a shutdown.
	usageFinalFlushTimeout = 5 * time.Second
)

// startUsage registers usage accounting as a state machine and serves usage
// reports.
func (n *Node) startUsage() error {
	n.stateMachines[control.KindUsage] = usage.NewStateMachine()
	n.ledger = usage.NewLedger(n.settings.VM, n.incarnation, n.clock)
	service := usagev1.NewUsageServiceServer(usageServer{n})
	n.adminMux.Handle(service.PathPrefix(), service)
	return nil
}

// startUsageFlush sends usage batches periodically. It must run after
// startControlLog.
func (n *Node) startUsageFlush() error {
	failing := false
	n.background(func(ctx context.Context) {
		every(ctx, usage.FlushInterval, func() {
			err := n.flushUsage(ctx, usageFlushTimeout)
			if (err != nil) != failing {
				failing = err != nil
				n.logger.Info("usage flush changed state", zap.Bool("failing", failing), zap.Error(err))
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

// flushFinalUsage sends the remaining usage before a shutdown.
func (n *Node) flushFinalUsage() {
	deadline := time.Now().Add(usageFinalFlushTimeout)
	err := n.flushUsage(n.ctx, usageFinalFlushTimeout)
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
		err = n.flushUsage(n.ctx, time.Until(deadline))
	}
	if err != nil {
		n.logger.Error("control log did not acknowledge the remaining usage before the shutdown", zap.Error(err))
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
	response, err := s.node.log.Propose(ctx, control.KindUsage, body)
	if errors.Is(err, control.ErrNotCommitted) || errors.Is(err, control.ErrUncertain) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	var totals usagev1.Totals
	if err := proto.Unmarshal(response, &totals); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &totals, nil
}
