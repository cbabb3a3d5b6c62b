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
	ordersInterval = 500 * time.Millisecond
	// orderTimeout bounds the delivery of one order.
	orderTimeout = time.Second
	// orderResend is the pause before an order that was taken is sent again,
	// in case the target forgot it.
	orderResend = 5 * time.Second
	// ordersLogTimeout bounds one command to the control log.
	ordersLogTimeout = time.Second
)

// ordering is the duty that orders targets while this VM leads.
type ordering struct {
	node   *Node
	part   *orders.Part
	client *http.Client
	lease  orders.Lease
	// renewed is when the lease was last renewed.
	renewed time.Time
	// taken holds when a target last took an order, by order ID.
	taken map[string]time.Time
}

// startOrders adds the order state; it must run before startControl.
func (n *Node) startOrders() error {
	n.orders = orders.NewPart()
	n.parts[control.KindOrders] = n.orders
	return nil
}

// startOrdering orders targets; it must run after startControl.
func (n *Node) startOrdering() error {
	o := &ordering{
		node:   n,
		part:   n.orders,
		client: &http.Client{Transport: &http.Transport{DialContext: n.options.Dial, IdleConnTimeout: peerIdleTimeout}},
		taken:  make(map[string]time.Time),
	}
	n.duty(func(ctx context.Context) {
		every(ctx, ordersInterval, func() { o.step(ctx) })
	})
	return nil
}

// step does one round: hold the lease, plan, record, send.
func (o *ordering) step(ctx context.Context) {
	snapshot := o.node.Snapshot()
	if snapshot == nil || !o.node.log.HoldsLease() {
		o.release()
		return
	}
	if err := o.hold(ctx); err != nil {
		o.node.logger.Info("order lease is not held", zap.Error(err))
		return
	}
	plan := orders.Next(o.node.registry.All(), snapshot.Document.Models, o.part.State(), o.node.clock())
	if err := o.record(ctx, plan); err != nil {
		o.node.logger.Info("order plan was not recorded", zap.Error(err))
		return
	}
	o.sendAll(ctx)
}

func (o *ordering) release() {
	o.lease = orders.Lease{}
	clear(o.taken)
}

// hold takes or renews the order lease.
func (o *ordering) hold(ctx context.Context) error {
	sent := o.node.clock()
	if o.lease.Holds(sent) && sent.Sub(o.renewed) < orders.RenewInterval {
		return nil
	}
	if !o.lease.Holds(sent) {
		o.release()
	}
	request := &ordersv1.Acquire{Vm: o.node.settings.VM, Incarnation: o.node.incarnation, Fence: o.lease.Fence}
	answer, err := o.propose(ctx, &ordersv1.Command{Kind: &ordersv1.Command_Acquire{Acquire: request}})
	if err != nil {
		return err
	}
	if !answer.GetAccepted() {
		o.release()
		return fmt.Errorf("another VM holds it under fencing number %d", answer.GetFence())
	}
	o.renewed = sent
	if o.lease.Fence != 0 {
		o.lease.Renew(sent)
		return nil
	}
	o.lease = orders.Take(answer.GetFence(), sent, o.node.clock())
	o.node.logger.Info("order lease taken", zap.Uint64("fence", answer.GetFence()))
	return nil
}

// record commits the plan before anything is sent.
func (o *ordering) record(ctx context.Context, plan orders.Plan) error {
	fence := o.lease.Fence
	var commands []*ordersv1.Command
	if len(plan.Done) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fence, Ids: plan.Done, Done: true}}})
	}
	if len(plan.Failed) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Close{Close: &ordersv1.Close{Fence: fence, Ids: plan.Failed}}})
	}
	if len(plan.Issue) > 0 {
		commands = append(commands, &ordersv1.Command{Kind: &ordersv1.Command_Issue{Issue: &ordersv1.Issue{Fence: fence, Orders: plan.Issue}}})
	}
	for _, c := range commands {
		answer, err := o.propose(ctx, c)
		if err != nil {
			return err
		}
		if !answer.GetAccepted() {
			o.release()
			return fmt.Errorf("fencing number %d is old", fence)
		}
	}
	o.log(plan)
	return nil
}

func (o *ordering) log(plan orders.Plan) {
	for _, issued := range plan.Issue {
		o.node.logger.Info("order issued", zap.String("order", issued.GetId()))
	}
	for _, id := range plan.Done {
		delete(o.taken, id)
		o.node.logger.Info("order done", zap.String("order", id))
	}
	for _, id := range plan.Failed {
		delete(o.taken, id)
		o.node.logger.Warn("order failed", zap.String("order", id))
	}
}

// sendAll delivers the open orders. The number is bounded by the loads that
// may run at once.
func (o *ordering) sendAll(ctx context.Context) {
	for _, open := range o.part.State().Open() {
		t, known := o.node.registry.Get(open.GetTarget())
		if !known || t.Incarnation != open.GetIncarnation() || !o.due(open, t) {
			continue
		}
		err := o.send(ctx, open, t)
		if errors.Is(err, targethttp.ErrFenced) {
			o.node.logger.Warn("order lease was lost", zap.Error(err))
			o.release()
			return
		}
		if err == nil {
			o.taken[open.GetId()] = o.node.clock()
		}
	}
}

// due reports whether an order may and should be sent to t now.
func (o *ordering) due(open *ordersv1.Order, t *target.Target) bool {
	now := o.node.clock()
	if taken, ok := o.taken[open.GetId()]; ok && now.Sub(taken) < orderResend {
		return false
	}
	// An order must not arrive after the lease has ended.
	if !o.lease.Holds(now.Add(orderTimeout)) || !o.node.log.HoldsLease() {
		return false
	}
	return t.Capabilities.Fencing || o.lease.HoldsAlone(now)
}

func (o *ordering) send(ctx context.Context, open *ordersv1.Order, t *target.Target) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return targethttp.SendOrder(ctx, o.client, t, targethttp.Order{
		OrderID:  open.GetId(),
		Fence:    o.lease.Fence,
		Kind:     open.GetKind(),
		Model:    open.GetModel(),
		Version:  open.GetVersion(),
		Adapters: open.GetAdapters(),
		Role:     open.GetRole(),
	})
}

func (o *ordering) propose(ctx context.Context, c *ordersv1.Command) (*ordersv1.Answer, error) {
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
	var answer ordersv1.Answer
	if err := proto.Unmarshal(data, &answer); err != nil {
		return nil, fmt.Errorf("decode answer to order command: %w", err)
	}
	return &answer, nil
}
