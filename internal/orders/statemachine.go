// Package orders decides which engines are ordered to load which model version.
// The control log holds the order lease, its fencing tokens and every open order,
// so that a new leader continues where the old one stopped. The package does no
// I/O.
package orders

import (
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	ordersv1 "github.com/cuminwing/cuminwing/proto/orders/v1"
)

// closedRetention is how long a closed order is kept, so that an issue command
// for the same order that arrives late has no effect.
const closedRetention = time.Hour

// State is the order state after one command. Callers must not modify it.
type State struct {
	// VM and Incarnation identify the holder of the lease. FencingToken is the
	// token under which it holds the lease.
	VM           string
	Incarnation  uint64
	FencingToken uint64
	// Orders holds the open and the recently closed orders by ID.
	Orders map[string]*ordersv1.Order
}

// OpenOrders returns the open orders, sorted by ID.
func (s *State) OpenOrders() []*ordersv1.Order {
	var open []*ordersv1.Order
	for _, o := range s.Orders {
		if o.GetClosedMs() == 0 {
			open = append(open, o)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].GetId() < open[j].GetId() })
	return open
}

// StateMachine is the replicated order state. It implements
// control.StateMachine. Only its State method is safe for concurrent use.
type StateMachine struct{ state atomic.Pointer[State] }

// NewStateMachine returns a StateMachine without a lease holder and without
// orders.
func NewStateMachine() *StateMachine {
	m := &StateMachine{}
	m.state.Store(&State{Orders: make(map[string]*ordersv1.Order)})
	return m
}

// State returns the current state.
func (m *StateMachine) State() *State { return m.state.Load() }

// Apply implements control.StateMachine.
func (m *StateMachine) Apply(_ uint64, now time.Time, body []byte) []byte {
	var c ordersv1.Command
	next := m.State().clone(now)
	accepted := proto.Unmarshal(body, &c) == nil && next.apply(&c, now)
	if accepted {
		m.state.Store(next)
	}
	response, err := proto.Marshal(&ordersv1.Answer{Accepted: accepted, Fence: m.State().FencingToken})
	if err != nil {
		return nil
	}
	return response
}

// clone returns a modifiable copy without the closed orders whose retention has
// expired.
func (s *State) clone(now time.Time) *State {
	next := *s
	next.Orders = make(map[string]*ordersv1.Order, len(s.Orders))
	for id, o := range s.Orders {
		if o.GetClosedMs() == 0 || now.Sub(time.UnixMilli(o.GetClosedMs())) < closedRetention {
			next.Orders[id] = o
		}
	}
	return &next
}

func (s *State) apply(c *ordersv1.Command, now time.Time) bool {
	switch k := c.GetKind().(type) {
	case *ordersv1.Command_Acquire:
		return s.acquire(k.Acquire)
	case *ordersv1.Command_Issue:
		return s.issue(k.Issue, now)
	case *ordersv1.Command_Close:
		return s.closeOrders(k.Close, now)
	}
	return false
}

// acquire grants the lease to the requesting VM under a new fencing token. If
// the command already contains a fencing token, it renews the lease of that
// holder instead. Only the leader of the control log requests the lease. The
// new holder is responsible for waiting until the former holder has stopped.
func (s *State) acquire(a *ordersv1.Acquire) bool {
	holds := s.VM == a.GetVm() && s.Incarnation == a.GetIncarnation() && s.FencingToken == a.GetFence()
	if a.GetFence() != 0 {
		return holds
	}
	s.VM, s.Incarnation = a.GetVm(), a.GetIncarnation()
	s.FencingToken++
	return true
}

// issue records orders. It ignores orders with a known ID, so that the command
// may be repeated.
func (s *State) issue(i *ordersv1.Issue, now time.Time) bool {
	if i.GetFence() != s.FencingToken {
		return false
	}
	for _, o := range i.GetOrders() {
		if _, known := s.Orders[o.GetId()]; known {
			continue
		}
		o.IssuedMs, o.ClosedMs = now.UnixMilli(), 0
		s.Orders[o.GetId()] = o
	}
	return true
}

func (s *State) closeOrders(c *ordersv1.Close, now time.Time) bool {
	if c.GetFence() != s.FencingToken {
		return false
	}
	for _, id := range c.GetIds() {
		o, known := s.Orders[id]
		if !known || o.GetClosedMs() != 0 {
			continue
		}
		closed := proto.Clone(o).(*ordersv1.Order)
		closed.ClosedMs, closed.Done = now.UnixMilli(), c.GetDone()
		s.Orders[id] = closed
	}
	return true
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	s := m.State()
	out := &ordersv1.Snapshot{Vm: s.VM, Incarnation: s.Incarnation, Fence: s.FencingToken}
	for _, o := range s.Orders {
		out.Orders = append(out.Orders, o)
	}
	sort.Slice(out.Orders, func(i, j int) bool { return out.Orders[i].GetId() < out.Orders[j].GetId() })
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var in ordersv1.Snapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode snapshot of orders: %w", err)
	}
	s := &State{VM: in.GetVm(), Incarnation: in.GetIncarnation(), FencingToken: in.GetFence(), Orders: make(map[string]*ordersv1.Order)}
	for _, o := range in.GetOrders() {
		s.Orders[o.GetId()] = o
	}
	m.state.Store(s)
	return nil
}
