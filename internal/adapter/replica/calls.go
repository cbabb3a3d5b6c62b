package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
)

// ErrNotLeader means that the call had no effect and must be sent to another
// replica.
var ErrNotLeader = fmt.Errorf("%w: this replica is not the leader", control.ErrNotCommitted)

// proposal is a command or membership change whose outcome is pending.
type proposal struct {
	kind   control.Kind
	body   []byte
	change *raft.Change
	term   uint64
	// claimed is set either by the replica when it accepts the proposal, or by
	// the caller when it gives up. Whichever sets it first decides whether the
	// proposal is submitted.
	claimed atomic.Bool
	done    chan proposalResult
}

type proposalResult struct {
	response []byte
	err      error
}

func (p *proposal) complete(response []byte, err error) { p.done <- proposalResult{response, err} }

// indexWaiter waits until the entry at index is applied.
type indexWaiter struct {
	index uint64
	done  chan waitResult
}

type waitResult struct {
	index uint64
	err   error
}

// Propose commits a command if this replica leads. Every error wraps
// ErrNotLeader, control.ErrNotCommitted or control.ErrUncertain.
func (r *Replica) Propose(ctx context.Context, kind control.Kind, body []byte) ([]byte, error) {
	if _, ok := r.config.StateMachines[kind]; !ok {
		return nil, fmt.Errorf("%w: unknown command kind %d", control.ErrNotCommitted, kind)
	}
	return r.submit(ctx, &proposal{kind: kind, body: body, done: make(chan proposalResult, 1)})
}

// ChangeMembers commits a membership change if this replica leads.
func (r *Replica) ChangeMembers(ctx context.Context, change raft.Change) error {
	_, err := r.submit(ctx, &proposal{change: &change, done: make(chan proposalResult, 1)})
	return err
}

func (r *Replica) submit(ctx context.Context, p *proposal) ([]byte, error) {
	if !r.enqueue(func() { r.acceptProposal(p) }) {
		return nil, ErrNotLeader
	}
	select {
	case o := <-p.done:
		return o.response, o.err
	case <-ctx.Done():
		return nil, cancelProposal(p, fmt.Errorf("%w: %w", control.ErrNotCommitted, ctx.Err()), ctx.Err())
	case <-r.stopped:
	}
	// The replica may have completed the proposal just before it stopped.
	select {
	case o := <-p.done:
		return o.response, o.err
	default:
		return nil, cancelProposal(p, ErrNotLeader, errStopped)
	}
}

// cancelProposal cancels p. It returns unclaimedErr if the replica has not
// accepted p, and now never will. Otherwise the outcome is uncertain.
func cancelProposal(p *proposal, unclaimedErr, cause error) error {
	if p.claimed.CompareAndSwap(false, true) {
		return unclaimedErr
	}
	return fmt.Errorf("%w: %w", control.ErrUncertain, cause)
}

// acceptProposal queues a command, or proposes a membership change at once. It
// runs on the goroutine of Run.
func (r *Replica) acceptProposal(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	if p.change == nil {
		r.queuedProposals = append(r.queuedProposals, p)
		return
	}
	index, term, err := r.node.ProposeChange(*p.change)
	if err != nil {
		p.complete(nil, proposeError(err))
		return
	}
	p.term = term
	r.pendingProposals[index] = append(r.pendingProposals[index], p)
}

// proposeQueued proposes all queued commands as one batch.
func (r *Replica) proposeQueued() {
	queue := r.queuedProposals
	r.queuedProposals = nil
	if len(queue) == 0 {
		return
	}
	now := r.config.Clock()
	commands := make([][]byte, len(queue))
	for i, p := range queue {
		commands[i] = control.EncodeCommand(p.kind, now, p.body)
	}
	first, term, err := r.node.Propose(commands...)
	for i, p := range queue {
		if err != nil {
			p.complete(nil, proposeError(err))
			continue
		}
		p.term = term
		index := first + uint64(i)
		r.pendingProposals[index] = append(r.pendingProposals[index], p)
	}
}

func proposeError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", control.ErrNotCommitted, err)
}

var errOverwritten = errors.New("an entry of another leader was committed at its log index")

// completeProposals completes the proposals at the index of a committed entry. A
// proposal with another term at that index can never be committed.
func (r *Replica) completeProposals(e raft.Entry, response []byte, err error) {
	waiting, ok := r.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.Index)
	for _, p := range waiting {
		switch {
		case p.term != e.Term:
			p.complete(nil, fmt.Errorf("%w: %w", control.ErrNotCommitted, errOverwritten))
		case err != nil:
			p.complete(nil, fmt.Errorf("%w: %w", control.ErrUncertain, err))
		default:
			p.complete(response, nil)
		}
	}
}

// failProposalsThrough fails the proposals up to index, which an installed
// snapshot covers. Their outcome is uncertain, because it is unknown whether the
// snapshot contains them.
func (r *Replica) failProposalsThrough(index uint64) {
	for at, waiting := range r.pendingProposals {
		if at > index {
			continue
		}
		delete(r.pendingProposals, at)
		for _, p := range waiting {
			p.complete(nil, fmt.Errorf("%w: an installed snapshot covers its log index", control.ErrUncertain))
		}
	}
}

// failAll fails all proposals, reads and waiters when the replica stops.
func (r *Replica) failAll() {
	for _, waiting := range r.pendingProposals {
		for _, p := range waiting {
			p.complete(nil, fmt.Errorf("%w: control log replica stopped", control.ErrUncertain))
		}
	}
	for _, p := range r.queuedProposals {
		p.complete(nil, ErrNotLeader)
	}
	for _, w := range r.pendingReads {
		w.done <- waitResult{err: ErrNotLeader}
	}
	for _, w := range r.waiters {
		w.done <- waitResult{err: errStopped}
	}
	r.pendingProposals, r.queuedProposals, r.pendingReads, r.waiters = nil, nil, nil, nil
}

var errStopped = errors.New("control log replica stopped")

// Barrier returns a log index that covers every command committed before the
// call, once this replica has applied that index. It fails with ErrNotLeader
// unless this replica leads.
func (r *Replica) Barrier(ctx context.Context) (uint64, error) {
	w := &indexWaiter{done: make(chan waitResult, 1)}
	return r.wait(ctx, w, func() {
		r.lastReadID++
		id := r.lastReadID
		if err := r.node.ReadIndex(id); err != nil {
			w.done <- waitResult{err: ErrNotLeader}
			return
		}
		r.pendingReads[id] = w
	})
}

// WaitApplied blocks until this replica has applied the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	w := &indexWaiter{index: index, done: make(chan waitResult, 1)}
	_, err := r.wait(ctx, w, func() { r.addWaiter(w) })
	return err
}

func (r *Replica) wait(ctx context.Context, w *indexWaiter, start func()) (uint64, error) {
	if !r.enqueue(start) {
		return 0, ErrNotLeader
	}
	select {
	case result := <-w.done:
		return result.index, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stopped:
		return 0, errStopped
	}
}

func (r *Replica) completeRead(state raft.ReadState) {
	w := r.pendingReads[state.ID]
	delete(r.pendingReads, state.ID)
	if w == nil {
		return
	}
	if state.Failed {
		w.done <- waitResult{err: ErrNotLeader}
		return
	}
	w.index = state.Index
	r.addWaiter(w)
}

func (r *Replica) addWaiter(w *indexWaiter) {
	r.waiters = append(r.waiters, w)
	r.notifyWaiters()
}

// notifyWaiters notifies and removes the waiters whose index is applied.
func (r *Replica) notifyWaiters() {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.index <= r.appliedIndex {
			w.done <- waitResult{index: w.index}
			continue
		}
		kept = append(kept, w)
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

// Transfer transfers leadership to another voter and returns once another
// replica leads.
func (r *Replica) Transfer(ctx context.Context) error {
	done := make(chan bool, 1)
	if !r.enqueue(func() { done <- r.node.TransferLeadership() }) {
		return errStopped
	}
	select {
	case ok := <-done:
		if !ok {
			return errors.New("leadership transfer: no other voter can take over")
		}
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return errStopped
	}
	return r.waitForNewLeader(ctx)
}

// waitForNewLeader blocks until another replica leads. This replica must keep
// running until then, because its MsgTimeoutNow, with which it requests the
// election of its successor, may not have been sent yet.
func (r *Replica) waitForNewLeader(ctx context.Context) error {
	for ctx.Err() == nil {
		if leader := r.Status().Leader; leader != "" && leader != r.config.ID {
			return nil
		}
		pause.For(ctx, retryDelay)
	}
	return ctx.Err()
}
