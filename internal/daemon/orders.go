package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/orders"
	"github.com/cuminwing/cuminwing/internal/target"
	ordersv1 "github.com/cuminwing/cuminwing/proto/orders/v1"
)

const (
	// orderRoundInterval is how often the leader plans and sends orders.
	orderRoundInterval = 500 * time.Millisecond
	// orderTimeout limits the delivery of one order.
	orderTimeout = time.Second
	// orderResendInterval is how long an accepted order is not sent again. It is
	// then resent in case the target has lost it.
	orderResendInterval = 5 * time.Second
	// ordersLogTimeout limits one command to the control log.
	ordersLogTimeout = time.Second
)

// orderDispatcher plans orders and sends them to targets while this VM leads
// the control log.
type orderDispatcher struct {
	node         *Node
	stateMachine *orders.StateMachine
	client       *http.Client
	lease        orders.Lease
	// leaseRenewed is when the lease was last acquired or renewed.
	leaseRenewed time.Time
	// acceptedAt records when the target last accepted an order, by order ID.
	acceptedAt map[string]time.Time
}

// startOrders registers the order state as a state machine. It must run
// before startControlLog.
func (n *Node) startOrders() error {
	n.orders = orders.NewStateMachine()
	n.stateMachines[control.KindOrders] = n.orders
	return nil
}

// startOrderDispatcher starts the order dispatcher. It must run after
// startControlLog.
func (n *Node) startOrderDispatcher() error {
	o := &orderDispatcher{
		node:         n,
		stateMachine: n.orders,
		client:       &http.Client{Transport: &http.Transport{DialContext: n.options.Dial, IdleConnTimeout: peerIdleTimeout}},
		acceptedAt:   make(map[string]time.Time),
	}
	n.background(func(ctx context.Context) {
		every(ctx, orderRoundInterval, func() { o.step(ctx) })
	})
	return nil
}

// step runs one round: acquire or renew the lease, plan, commit the plan, send
// the orders.
func (o *orderDispatcher) step(ctx context.Context) {
	snapshot := o.node.Snapshot()
	if snapshot == nil || !o.node.log.HoldsLease() {
		o.dropLease()
		return
	}
	if err := o.acquireLease(ctx); err != nil {
		o.node.logger.Info("failed to acquire or renew the order lease", zap.Error(err))
		return
	}
	plan := orders.NextPlan(o.node.registry.All(), snapshot.Document.Models, o.stateMachine.State(), o.node.clock())
	if err := o.commitPlan(ctx, plan); err != nil {
		o.node.logger.Info("failed to commit the order plan", zap.Error(err))
		return
	}
	o.sendAll(ctx)
}

func (o *orderDispatcher) dropLease() {
	o.lease = orders.Lease{}
	clear(o.acceptedAt)
}

// acquireLease acquires or renews the order lease.
func (o *orderDispatcher) acquireLease(ctx context.Context) error {
	sent := o.node.clock()
	if o.lease.Holds(sent) && sent.Sub(o.leaseRenewed) < orders.RenewInterval {
		return nil
	}
	if !o.lease.Holds(sent) {
		o.dropLease()
	}
	request := &ordersv1.Acquire{Vm: o.node.settings.VM, Incarnation: o.node.incarnation, Fence: o.lease.FencingToken}
	response, err := o.propose(ctx, &ordersv1.Command{Kind: &ordersv1.Command_Acquire{Acquire: request}})
	if err != nil {
		return err
	}
	if !response.GetAccepted() {
		o.dropLease()
		return fmt.Errorf("another VM holds the order lease with fencing token %d", response.GetFence())
	}
	o.leaseRenewed = sent
	if o.lease.FencingToken != 0 {
		o.lease.Renew(sent)
		return nil
	}
	o.lease = orders.NewLease(response.GetFence(), sent, o.node.clock())
	o.node.logger.Info("order lease taken", zap.Uint64("fence", response.GetFence()))
	return nil
}

// commitPlan commits the plan to the log before any order is sent.
func (o *orderDispatcher) commitPlan(ctx context.Context, plan orders.Plan) error {
	fencingToken := o.lease.FencingToken
	var commands []*ordersv1.Command
	if len(plan.Done) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fencingToken, Ids: plan.Done, Done: true}}})
	}
	if len(plan.Failed) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fencingToken, Ids: plan.Failed}}})
	}
	if len(plan.Issue) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Issue{Issue: &ordersv1.Issue{Fence: fencingToken, Orders: plan.Issue}}})
	}
	for _, c := range commands {
		response, err := o.propose(ctx, c)
		if err != nil {
			return err
		}
		if !response.GetAccepted() {
			o.dropLease()
			return fmt.Errorf("fencing token %d is stale", fencingToken)
		}
	}
	o.logPlan(plan)
	return nil
}

func (o *orderDispatcher) logPlan(plan orders.Plan) {
	for _, issued := range plan.Issue {
		o.node.logger.Info("order issued", zap.String("order", issued.GetId()))
	}
	for _, id := range plan.Done {
		delete(o.acceptedAt, id)
		o.node.logger.Info("order done", zap.String("order", id))
	}
	for _, id := range plan.Failed {
		delete(o.acceptedAt, id)
		o.node.logger.Warn("order failed", zap.String("order", id))
	}
}

// sendAll delivers the open orders. Their number is limited by the concurrent
// loads that the models allow.
func (o *orderDispatcher) sendAll(ctx context.Context) {
	for _, open := range o.stateMachine.State().OpenOrders() {
		t, known := o.node.registry.Get(open.GetTarget())
		if !known || t.Incarnation != open.GetIncarnation() || !o.shouldSend(open, t) {
			continue
		}
		err := o.send(ctx, open, t)
		if errors.Is(err, targethttp.ErrFenced) {
			o.node.logger.Warn("target rejected an order as fenced; giving up the order lease", zap.Error(err))
			o.dropLease()
			return
		}
		if err == nil {
			o.acceptedAt[open.GetId()] = o.node.clock()
		}
	}
}

// shouldSend reports whether an order is due and may be sent to t now.
func (o *orderDispatcher) shouldSend(open *ordersv1.Order, t *target.Target) bool {
	now := o.node.clock()
	if accepted, ok := o.acceptedAt[open.GetId()]; ok && now.Sub(accepted) < orderResendInterval {
		return false
	}
	// An order must not arrive after the lease has expired.
	if !o.lease.Holds(now.Add(orderTimeout)) || !o.node.log.HoldsLease() {
		return false
	}
	return t.Capabilities.Fencing || o.lease.IsExclusive(now)
}

func (o *orderDispatcher) send(ctx context.Context, open *ordersv1.Order, t *target.Target) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return targethttp.SendOrder(ctx, o.client, t, targethttp.Order{
		OrderID:      open.GetId(),
		FencingToken: o.lease.FencingToken,
		Kind:         open.GetKind(),
		Model:        open.GetModel(),
		Version:      open.GetVersion(),
		Adapters:     open.GetAdapters(),
		Role:         open.GetRole(),
	})
}

func (o *orderDispatcher) propose(ctx context.Context, c *ordersv1.Command) (*ordersv1.Answer, error) {
	body, err := proto.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode order command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, ordersLogTimeout)
	defer cancel()
	data, err := o.node.log.Propose(ctx, control.KindOrders, body)
	if err != nil {
		return nil, err
	}
	var response ordersv1.Answer
	if err := proto.Unmarshal(data, &response); err != nil {
		return nil, fmt.Errorf("decode response to order command: %w", err)
	}
	return &response, nil
}
