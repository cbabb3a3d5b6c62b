package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/control/withdrawnkeys"
	"github.com/cuminwing/cuminwing/internal/target"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	statusv1 "github.com/cuminwing/cuminwing/proto/status/v1"
)

// startAdmin registers the admin service for operators' tools and for calls
// that other VMs forward.
func (n *Node) startAdmin() error {
	service := adminv1.NewAdminServiceServer(adminServer{n})
	n.adminMux.Handle(service.PathPrefix(), service)
	n.peerMux.Handle(service.PathPrefix(), service)
	return nil
}

// adminServer implements adminv1.AdminService.
type adminServer struct{ node *Node }

// GetConfig implements adminv1.AdminService.
func (s adminServer) GetConfig(_ context.Context, req *adminv1.GetConfigRequest) (*adminv1.GetConfigResponse, error) {
	state := s.node.distribution.state.Load()
	return &adminv1.GetConfigResponse{Document: state.EncodeDocument(req.GetSections()...)}, nil
}

// ApplyConfig implements adminv1.AdminService.
func (s adminServer) ApplyConfig(ctx context.Context, req *adminv1.ApplyConfigRequest) (*adminv1.ApplyConfigResponse, error) {
	if req.GetEdit().GetId() == "" {
		return nil, twirp.RequiredArgumentError("edit.id")
	}
	return s.node.distribution.applyEdit(ctx, req.GetEdit())
}

// History implements adminv1.AdminService. Voters hold the complete history.
// Other VMs hold only the changes that they have received, so they query a
// voter first.
func (s adminServer) History(ctx context.Context, req *adminv1.HistoryRequest) (*adminv1.HistoryResponse, error) {
	if !s.node.followsLog() && !req.GetForwarded() {
		if response, ok := s.historyFromVoter(ctx, req.GetLimit()); ok {
			return response, nil
		}
	}
	history := s.node.distribution.state.Load().History()
	count := len(history)
	if limit := int(req.GetLimit()); limit > 0 {
		count = min(count, limit)
	}
	changes := make([]*configv1.Change, 0, count)
	for i := range count {
		changes = append(changes, history[len(history)-1-i])
	}
	return &adminv1.HistoryResponse{Changes: changes}, nil
}

// historyFromVoter queries the voters, nearest first, and returns the first
// response.
func (s adminServer) historyFromVoter(ctx context.Context, limit uint32) (*adminv1.HistoryResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	for _, p := range s.node.distribution.votersByDistance() {
		response, err := s.adminClient(p).History(ctx, &adminv1.HistoryRequest{Limit: limit, Forwarded: true})
		if err == nil {
			return response, true
		}
	}
	return nil, false
}

// WithdrawKeys implements adminv1.AdminService.
func (s adminServer) WithdrawKeys(ctx context.Context, req *adminv1.WithdrawKeysRequest) (*adminv1.WithdrawKeysResponse, error) {
	hashes, err := withdrawnkeys.DecodeHashes(req.GetHashes())
	if err != nil {
		return nil, twirp.InvalidArgumentError("hashes", err.Error())
	}
	if len(hashes) == 0 {
		return nil, twirp.RequiredArgumentError("hashes")
	}
	return s.node.withdrawals.withdraw(ctx, hashes), nil
}

// ListKeys implements adminv1.AdminService.
func (s adminServer) ListKeys(_ context.Context, req *adminv1.ListKeysRequest) (*adminv1.ListKeysResponse, error) {
	response := &adminv1.ListKeysResponse{Withdrawn: uint32(len(s.node.withdrawn.All()))}
	snapshot := s.node.Snapshot()
	if snapshot == nil {
		return response, nil
	}
	for name, workspace := range snapshot.Document.Workspaces {
		if req.GetWorkspace() != "" && req.GetWorkspace() != name {
			continue
		}
		for _, k := range workspace.Keys {
			hash, err := apikeys.ParseHash(k.SHA256)
			if err != nil {
				continue
			}
			response.Keys = append(response.Keys, &adminv1.Key{
				Workspace: name, Id: k.ID, Sha256: hash[:], Withdrawn: s.node.withdrawn.Contains(hash),
			})
		}
	}
	sort.Slice(response.Keys, func(i, j int) bool {
		a, b := response.Keys[i], response.Keys[j]
		return a.GetWorkspace() < b.GetWorkspace() || a.GetWorkspace() == b.GetWorkspace() && a.GetId() < b.GetId()
	})
	return response, nil
}

// Status implements adminv1.AdminService.
func (s adminServer) Status(ctx context.Context, _ *adminv1.StatusRequest) (*adminv1.StatusResponse, error) {
	own, err := statusServer(s).Get(ctx, &statusv1.GetRequest{})
	if err != nil {
		return nil, err
	}
	response := &adminv1.StatusResponse{
		Leader:   own.GetLeader(),
		Revision: own.GetConfigRevision(),
		Targets:  s.countTargets(),
	}
	self := peer{s.node.settings.VM, own.GetZone(), own.GetRegion(), s.node.settings.PeerAddress, s.node.settings.IsInitialVoter()}
	response.Vms = append(s.collectVMStatus(ctx), vmStatus(self, own))
	if response.Leader == "" {
		response.Leader = leaderReportedByVoters(response.Vms)
	}
	sort.Slice(response.Vms, func(i, j int) bool { return response.Vms[i].GetName() < response.Vms[j].GetName() })
	return response, nil
}

// leaderReportedByVoters returns the leader that a voter reports. A VM that is
// not a voter learns the leader only from its own calls to the log.
func leaderReportedByVoters(vms []*adminv1.VM) string {
	for _, vm := range vms {
		if vm.GetVoter() && vm.GetLeader() != "" {
			return vm.GetLeader()
		}
	}
	return ""
}

// collectVMStatus requests the status of all other VMs in parallel.
func (s adminServer) collectVMStatus(ctx context.Context) []*adminv1.VM {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	responses := make(chan *adminv1.VM, len(s.node.peers())+maxConcurrentCalls)
	s.node.broadcast(ctx, func(ctx context.Context, p peer) {
		client := statusv1.NewStatusServiceProtobufClient(s.node.peerURL(p.address), s.node.peerClient)
		response, err := client.Get(ctx, &statusv1.GetRequest{})
		if err != nil {
			response = nil
		}
		responses <- vmStatus(p, response)
	})
	close(responses)
	var vms []*adminv1.VM
	for vm := range responses {
		vms = append(vms, vm)
	}
	return vms
}

// vmStatus combines the membership data of a VM with its status response, which
// is nil if the VM did not respond.
func vmStatus(p peer, response *statusv1.GetResponse) *adminv1.VM {
	vm := &adminv1.VM{Name: p.vm, Zone: p.zone, Region: p.region, Voter: p.voter, PeerAddress: p.address}
	if response == nil {
		return vm
	}
	vm.Reached = true
	vm.Zone = response.GetZone()
	vm.Region = response.GetRegion()
	vm.Revision = response.GetConfigRevision()
	vm.KeyDigest = response.GetKeyDigest()
	vm.Leader = response.GetLeader()
	return vm
}

// States of a target as shown to operators.
const (
	targetLive     = "live"
	targetSilent   = "silent"
	targetLeaving  = "leaving"
	targetDraining = "draining"
	targetLoading  = "loading"
)

func (s adminServer) targetState(t *target.Target) string {
	switch {
	case t.Draining:
		return targetDraining
	case t.Leaving:
		return targetLeaving
	case t.Loading:
		return targetLoading
	case !t.Usable(s.node.clock()):
		return targetSilent
	}
	return targetLive
}

func (s adminServer) countTargets() map[string]uint32 {
	counts := make(map[string]uint32)
	for _, t := range s.node.registry.All() {
		counts[s.targetState(t)]++
	}
	return counts
}

// ListTargets implements adminv1.AdminService.
func (s adminServer) ListTargets(context.Context, *adminv1.ListTargetsRequest) (*adminv1.ListTargetsResponse, error) {
	response := &adminv1.ListTargetsResponse{}
	for _, t := range s.node.registry.All() {
		model := t.Model
		if model == "" {
			model = t.Service
		}
		response.Targets = append(response.Targets, &adminv1.Target{
			Id: t.ID, Incarnation: t.Incarnation, Kind: string(t.Kind), Address: t.URL, Zone: t.Zone,
			Model: model, Version: t.Version, State: s.targetState(t),
		})
	}
	return response, nil
}

// DrainTarget implements adminv1.AdminService. Membership distributes the drain
// decision; a forwarded call only waits until the decision has arrived. If each
// VM applied the call itself, a late call could overwrite a newer decision. A
// VM that restarts learns the drain decisions from the other VMs.
func (s adminServer) DrainTarget(ctx context.Context, req *adminv1.DrainTargetRequest) (*adminv1.DrainTargetResponse, error) {
	if req.GetForwarded() {
		return &adminv1.DrainTargetResponse{}, s.awaitDrain(ctx, req)
	}
	if _, known := s.node.registry.Get(req.GetId()); !known {
		return nil, twirp.NotFoundError("this VM knows no target " + req.GetId())
	}
	s.node.registry.Drain(req.GetId(), !req.GetResume())
	s.node.logger.Info("operator changed the drain state of a target", zap.String("target", req.GetId()), zap.Bool("resume", req.GetResume()))
	return &adminv1.DrainTargetResponse{Zones: s.forwardDrain(ctx, req)}, nil
}

// awaitDrain returns when this VM has received the drain decision, or an error
// when pushTimeout expires.
func (s adminServer) awaitDrain(ctx context.Context, req *adminv1.DrainTargetRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !s.hasDrainDecision(req.GetId(), !req.GetResume()) {
		select {
		case <-ctx.Done():
			return twirp.NewError(twirp.DeadlineExceeded, "the decision has not arrived here")
		case <-ticker.C:
		}
	}
	return nil
}

// hasDrainDecision reports whether this VM has the given drain state for a
// target. A target without a decision counts as not drained.
func (s adminServer) hasDrainDecision(id string, drained bool) bool {
	for _, d := range s.node.registry.Drains() {
		if d.ID == id {
			return d.Drained == drained
		}
	}
	return !drained
}

func (s adminServer) adminClient(p peer) adminv1.AdminService {
	return adminv1.NewAdminServiceProtobufClient(s.node.peerURL(p.address), s.node.peerClient)
}

// forwardDrain waits for the other VMs to receive the drain decision and counts
// the confirmations by zone.
func (s adminServer) forwardDrain(ctx context.Context, req *adminv1.DrainTargetRequest) []*adminv1.ZoneReach {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	forwarded := &adminv1.DrainTargetRequest{Id: req.GetId(), EditId: req.GetEditId(), Resume: req.GetResume(), Forwarded: true}
	return s.node.pollPeers(ctx, true, func(ctx context.Context, p peer) (string, bool) {
		_, err := s.adminClient(p).DrainTarget(ctx, forwarded)
		return "", err == nil
	})
}
