package replica

import (
	"context"

	"github.com/twitchtv/twirp"

	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// ForwardingServer serves the control log calls of operator tools on any VM, and
// forwards them to the leader where necessary.
type ForwardingServer struct {
	Log *Log
	VM  string
}

// Propose implements raftv1.LogService. It always fails: operator tools use typed
// calls instead.
func (f ForwardingServer) Propose(context.Context, *raftv1.ProposeRequest) (*raftv1.ProposeResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "commands are proposed by VMs only")
}

// Barrier implements raftv1.LogService.
func (f ForwardingServer) Barrier(ctx context.Context, _ *raftv1.BarrierRequest) (*raftv1.BarrierResponse, error) {
	index, err := f.Log.Barrier(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &raftv1.BarrierResponse{Outcome: raftv1.Outcome_OUTCOME_DONE, Index: index}, nil
}

// GetStatus implements raftv1.LogService. It returns the status as this VM knows
// it, without a call to the leader.
func (f ForwardingServer) GetStatus(ctx context.Context, request *raftv1.GetStatusRequest) (*raftv1.GetStatusResponse, error) {
	if f.Log.Replica != nil {
		return Server{f.Log.Replica}.GetStatus(ctx, request)
	}
	leader, _ := f.Log.Leader()
	return &raftv1.GetStatusResponse{Vm: f.VM, Leader: leader}, nil
}

// ChangeMembers implements raftv1.LogService.
func (f ForwardingServer) ChangeMembers(ctx context.Context, request *raftv1.ChangeMembersRequest) (*raftv1.ChangeMembersResponse, error) {
	if err := validateChange(request); err != nil {
		return nil, err
	}
	err := f.Log.ChangeMembers(ctx, request)
	response := &raftv1.ChangeMembersResponse{Outcome: outcomeOf(err)}
	if err != nil {
		response.Reason = err.Error()
	}
	return response, nil
}

func validateChange(request *raftv1.ChangeMembersRequest) error {
	_, known := changeKinds[request.GetChange()]
	switch {
	case request.GetChange() == raftv1.Change_CHANGE_TRANSFER:
		return nil
	case !known:
		return twirp.InvalidArgumentError("change", "is not known")
	case request.GetVm() == "":
		return twirp.RequiredArgumentError("vm")
	case request.GetChange() == raftv1.Change_CHANGE_ADD_LEARNER && request.GetAddress() == "":
		return twirp.RequiredArgumentError("address")
	}
	return nil
}
