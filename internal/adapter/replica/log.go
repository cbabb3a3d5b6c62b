package replica

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const (
	// defaultCallTimeout bounds calls whose context has no deadline. It is
	// longer than a failover takes.
	defaultCallTimeout = 5 * time.Second
	// attemptTimeout bounds a single barrier or status call to one VM, so that
	// an unresponsive connection does not use up the caller's deadline.
	attemptTimeout = ElectionTimeout
	// retryDelay is the delay between two attempts of a call, and between two
	// checks for a new leader.
	retryDelay = 20 * time.Millisecond
	// maxLeaderAge is the age at which a VM without an active replica refreshes
	// what it knows about the leader.
	maxLeaderAge = time.Second
)

// Log implements control.Log on any VM. It calls the VM's own replica if that is
// the leader, and forwards calls to the leader otherwise.
type Log struct {
	// Replica is the replica on this VM, or nil if it has none.
	Replica *Replica
	// Voters is the initial voter set. Log calls these voters in turn while no
	// leader is known.
	Voters raft.Membership
	// URL returns the base URL for an address.
	URL func(address string) string
	// Client sends the forwarded calls.
	Client *http.Client

	mu            sync.Mutex
	leader        raft.Member
	leaderUpdated time.Time
	nextVoter     int
	refreshing    atomic.Bool
}

var _ control.Log = (*Log)(nil)

// callResult is the result of one call to one replica.
type callResult struct {
	outcome  raftv1.Outcome
	response []byte
	index    uint64
	leader   *raftv1.Member
	reason   string
}

// logCall makes one call to a replica through service, which is either a client
// for another VM or the Server of the local replica.
type logCall func(ctx context.Context, service raftv1.LogService) (callResult, error)

// Propose implements control.Log.
func (l *Log) Propose(ctx context.Context, kind control.Kind, body []byte) ([]byte, error) {
	request := &raftv1.ProposeRequest{Kind: uint32(kind), Body: body}
	result, err := l.callUntilOutcome(ctx, func(ctx context.Context, s raftv1.LogService) (callResult, error) {
		r, err := s.Propose(ctx, request)
		return callResult{r.GetOutcome(), r.GetAnswer(), 0, r.GetLeader(), r.GetReason()}, err
	})
	return result.response, err
}

// ChangeMembers requests a membership change from the leader.
func (l *Log) ChangeMembers(ctx context.Context, request *raftv1.ChangeMembersRequest) error {
	_, err := l.callUntilOutcome(ctx, func(ctx context.Context, s raftv1.LogService) (callResult, error) {
		r, err := s.ChangeMembers(ctx, request)
		return callResult{r.GetOutcome(), nil, 0, r.GetLeader(), r.GetReason()}, err
	})
	return err
}

// callUntilOutcome retries a call for as long as it is certain that the previous
// attempt had no effect.
func (l *Log) callUntilOutcome(ctx context.Context, f logCall) (callResult, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		if err := ctx.Err(); err != nil {
			return callResult{}, fmt.Errorf("%w: no leader could be reached: %w", control.ErrNotCommitted, err)
		}
		result, sent, err := l.callReplica(ctx, f)
		switch {
		case err != nil && sent:
			return callResult{}, fmt.Errorf("%w: %w", control.ErrUncertain, err)
		case err != nil || result.outcome == raftv1.Outcome_OUTCOME_NOT_LEADER:
			pause.For(ctx, retryDelay)
		case result.outcome == raftv1.Outcome_OUTCOME_DONE:
			return result, nil
		case result.outcome == raftv1.Outcome_OUTCOME_NOT_COMMITTED:
			return callResult{}, fmt.Errorf("%w: %s", control.ErrNotCommitted, result.reason)
		default:
			return callResult{}, fmt.Errorf("%w: %s", control.ErrUncertain, result.reason)
		}
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// callReplica makes one call to the local replica if it leads, and otherwise to
// the address from chooseAddress. It also reports whether the request may have
// reached a replica.
func (l *Log) callReplica(ctx context.Context, f logCall) (callResult, bool, error) {
	if l.Replica != nil && l.Replica.Status().Role == raft.Leader {
		result, err := f(ctx, Server{l.Replica})
		return result, true, err
	}
	address := l.chooseAddress()
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	result, err := f(tracedCtx, raftv1.NewLogServiceProtobufClient(l.URL(address), l.Client))
	if err != nil {
		l.clearLeader(address)
		return result, connected.Load(), err
	}
	l.updateLeader(result.leader, address)
	return result, true, nil
}

// chooseAddress returns the address of the leader. While no leader is known, it
// returns the addresses of the voters in turn.
func (l *Log) chooseAddress() string {
	if l.Replica != nil {
		status := l.Replica.Status()
		if member, ok := status.Members.Find(status.Leader); ok {
			return member.Address
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader.Address != "" {
		return l.leader.Address
	}
	l.nextVoter++
	return l.Voters[l.nextVoter%len(l.Voters)].Address
}

// updateLeader records the leader that the VM at address responder reported.
func (l *Log) updateLeader(leader *raftv1.Member, responder string) {
	if leader.GetAddress() == "" {
		l.clearLeader(responder)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = raft.Member{ID: leader.GetId(), Address: leader.GetAddress()}
	l.leaderUpdated = time.Now()
}

func (l *Log) clearLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader.Address == address {
		l.leader = raft.Member{}
	}
}

// Barrier implements control.Log.
func (l *Log) Barrier(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		index, err := l.barrierAttempt(ctx)
		if err == nil {
			return index, nil
		}
		pause.For(ctx, retryDelay)
		if ctx.Err() != nil {
			return 0, fmt.Errorf("control log: barrier failed: %w", errors.Join(ctx.Err(), err))
		}
	}
}

func (l *Log) barrierAttempt(ctx context.Context) (uint64, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, _, err := l.callReplica(attemptCtx, func(ctx context.Context, s raftv1.LogService) (callResult, error) {
		r, err := s.Barrier(ctx, &raftv1.BarrierRequest{})
		return callResult{r.GetOutcome(), nil, r.GetIndex(), r.GetLeader(), ""}, err
	})
	if err == nil && result.outcome != raftv1.Outcome_OUTCOME_DONE {
		err = ErrNotLeader
	}
	if err != nil {
		return 0, err
	}
	if l.hasActiveReplica() {
		return result.index, l.Replica.WaitApplied(ctx, result.index)
	}
	return result.index, nil
}

// hasActiveReplica reports whether this VM has a replica that is a member and
// has not failed, so that the VM's own state follows the log.
func (l *Log) hasActiveReplica() bool {
	if l.Replica == nil {
		return false
	}
	status := l.Replica.Status()
	_, ok := status.Members.Find(status.ID)
	return ok && status.Failure == nil
}

// Leader implements control.Log.
func (l *Log) Leader() (string, bool) {
	if l.hasActiveReplica() {
		leader := l.Replica.Status().Leader
		return leader, leader != ""
	}
	l.mu.Lock()
	leader, age := l.leader.ID, time.Since(l.leaderUpdated)
	l.mu.Unlock()
	if age > maxLeaderAge && len(l.Voters) > 0 && l.refreshing.CompareAndSwap(false, true) {
		go l.refreshLeader()
	}
	return leader, leader != ""
}

// refreshLeader queries the last known leader, or one of the voters, for the
// current leader.
func (l *Log) refreshLeader() {
	defer l.refreshing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	_, _, _ = l.callReplica(ctx, func(ctx context.Context, s raftv1.LogService) (callResult, error) {
		r, err := s.GetStatus(ctx, &raftv1.GetStatusRequest{})
		for _, m := range r.GetMembers() {
			if m.GetMember().GetId() == r.GetLeader() {
				return callResult{leader: m.GetMember()}, err
			}
		}
		return callResult{}, err
	})
}

// HoldsLease implements control.Log.
func (l *Log) HoldsLease() bool { return l.Replica != nil && l.Replica.HoldsLease() }
