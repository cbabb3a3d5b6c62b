package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// Server serves calls from other VMs to one replica.
type Server struct{ Replica *Replica }

// Step implements raftv1.RaftService.
func (s Server) Step(_ context.Context, request *raftv1.StepRequest) (*raftv1.StepResponse, error) {
	messages := make([]raft.Message, 0, len(request.GetMessages()))
	for _, m := range request.GetMessages() {
		// Drop messages for another replica that has used this address.
		// Otherwise this replica would count votes and acknowledgements that
		// the sender gave to the other one.
		if m.GetTo() == s.Replica.config.ID {
			messages = append(messages, decodeMessage(m))
		}
	}
	s.Replica.Step(request.GetFromAddress(), messages)
	return &raftv1.StepResponse{}, nil
}

// Propose implements raftv1.LogService.
func (s Server) Propose(ctx context.Context, request *raftv1.ProposeRequest) (*raftv1.ProposeResponse, error) {
	result, err := s.Replica.Propose(ctx, control.Kind(request.GetKind()), request.GetBody())
	response := &raftv1.ProposeResponse{Outcome: outcomeOf(err), Answer: result, Leader: s.leader()}
	if err != nil {
		response.Reason = err.Error()
	}
	return response, nil
}

// Barrier implements raftv1.LogService.
func (s Server) Barrier(ctx context.Context, _ *raftv1.BarrierRequest) (*raftv1.BarrierResponse, error) {
	index, err := s.Replica.Barrier(ctx)
	return &raftv1.BarrierResponse{Outcome: outcomeOf(err), Index: index, Leader: s.leader()}, nil
}

// GetStatus implements raftv1.LogService.
func (s Server) GetStatus(context.Context, *raftv1.GetStatusRequest) (*raftv1.GetStatusResponse, error) {
	status := s.Replica.Status()
	response := &raftv1.GetStatusResponse{
		Vm: status.ID, Replica: true, Role: status.Role.String(), Term: status.Term, Leader: status.Leader,
		Commit: status.Commit, Applied: status.Applied, First: status.First, Last: status.Last,
		HoldsLease: s.Replica.HoldsLease(), New: status.Bootstrapping,
	}
	if status.Failure != nil {
		response.Failure = status.Failure.Error()
	}
	for _, m := range status.Members {
		response.Members = append(response.Members, &raftv1.MemberStatus{
			Member: encodeMember(m), Match: status.Match[m.ID],
		})
	}
	return response, nil
}

var changeKinds = map[raftv1.Change]raft.ChangeKind{
	raftv1.Change_CHANGE_ADD_LEARNER: raft.AddLearner,
	raftv1.Change_CHANGE_PROMOTE:     raft.Promote,
	raftv1.Change_CHANGE_REMOVE:      raft.Remove,
}

// ChangeMembers implements raftv1.LogService.
func (s Server) ChangeMembers(ctx context.Context, request *raftv1.ChangeMembersRequest) (*raftv1.ChangeMembersResponse, error) {
	var err error
	if request.GetChange() == raftv1.Change_CHANGE_TRANSFER {
		err = s.transfer(ctx)
	} else {
		kind := changeKinds[request.GetChange()]
		err = s.Replica.ChangeMembers(ctx, raft.Change{Kind: kind, ID: request.GetVm(), Address: request.GetAddress()})
	}
	response := &raftv1.ChangeMembersResponse{Outcome: outcomeOf(err), Leader: s.leader()}
	if err != nil {
		response.Reason = err.Error()
	}
	return response, nil
}

func (s Server) transfer(ctx context.Context) error {
	if s.Replica.Status().Role != raft.Leader {
		return ErrNotLeader
	}
	if err := s.Replica.Transfer(ctx); err != nil {
		return errors.Join(control.ErrNotCommitted, err)
	}
	return nil
}

// leader returns the leader that this replica knows, or nil if it knows none.
func (s Server) leader() *raftv1.Member {
	status := s.Replica.Status()
	if member, ok := status.Members.Find(status.Leader); ok {
		return encodeMember(member)
	}
	return nil
}

func outcomeOf(err error) raftv1.Outcome {
	switch {
	case err == nil:
		return raftv1.Outcome_OUTCOME_DONE
	case errors.Is(err, ErrNotLeader):
		return raftv1.Outcome_OUTCOME_NOT_LEADER
	case errors.Is(err, control.ErrNotCommitted):
		return raftv1.Outcome_OUTCOME_NOT_COMMITTED
	default:
		return raftv1.Outcome_OUTCOME_UNCERTAIN
	}
}
