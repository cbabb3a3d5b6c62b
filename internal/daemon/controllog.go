package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// transferTimeout limits how long a shutdown waits for another voter to take
// over the leadership of the control log.
const transferTimeout = time.Second

// startControlLog opens the control log. A voter, or a VM with a data folder,
// which may become a voter, runs a replica; all other VMs forward to the
// voters. Steps that register state machines must run before this one.
func (n *Node) startControlLog() error {
	if n.options.NewLog != nil {
		n.log = n.options.NewLog(n.stateMachines)
		return nil
	}
	log := &replica.Log{
		Voters: raft.NewVoters(n.settings.InitialVoters),
		URL:    n.peerURL,
		Client: n.peerClient,
	}
	n.log = log
	if n.settings.DataFolder == "" {
		n.registerLogServices(nil, log)
		return nil
	}
	config := replica.Config{
		ID:            n.settings.VM,
		Folder:        n.settings.DataFolder,
		StateMachines: n.stateMachines,
		Transport: &replica.TwirpTransport{
			Self:   n.settings.PeerAddress,
			URL:    n.peerURL,
			Client: n.peerClient,
			Go:     n.background,
			Logger: n.logger,
		},
		Clock:    n.clock,
		OnChange: n.logReplicaStatus,
	}
	if n.settings.IsInitialVoter() {
		config.Bootstrap = log.Voters
	}
	r, err := replica.Open(config)
	if err != nil {
		return err
	}
	n.replica = r
	log.Replica = r
	n.registerLogServices(r, log)
	n.background(r.Run)
	return nil
}

func (n *Node) peerURL(address string) string {
	if n.settings.PeerTLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

// registerLogServices serves the log to other VMs and to operators' tools.
// Operators' tools can reach the leader through any VM.
func (n *Node) registerLogServices(r *replica.Replica, log *replica.Log) {
	if r != nil {
		server := replica.Server{Replica: r}
		raftService := raftv1.NewRaftServiceServer(server)
		n.peerMux.Handle(raftService.PathPrefix(), raftService)
		logService := raftv1.NewLogServiceServer(server)
		n.peerMux.Handle(logService.PathPrefix(), logService)
	}
	admin := raftv1.NewLogServiceServer(replica.ForwardingServer{Log: log, VM: n.settings.VM})
	n.adminMux.Handle(admin.PathPrefix(), admin)
}

func (n *Node) logReplicaStatus(s replica.Status) {
	if s.Failure != nil {
		n.logger.Error("control log replica failed; it does not vote or acknowledge entries until this VM restarts", zap.Error(s.Failure))
		return
	}
	n.logger.Info("control log changed", zap.String("role", s.Role.String()), zap.String("leader", s.Leader), zap.Uint64("term", s.Term))
}

// transferLeadership hands the leadership of the control log to another voter
// before a shutdown.
func (n *Node) transferLeadership() {
	if n.replica == nil || n.replica.Status().Role != raft.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, transferTimeout)
	defer cancel()
	if err := n.replica.Transfer(ctx); err != nil {
		n.logger.Info("failed to transfer the leadership of the control log", zap.Error(err))
	}
}
