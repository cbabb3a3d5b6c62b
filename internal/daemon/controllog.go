package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// transferTimeout bounds how long a shutdown waits for another voter to take
// over the control log.
const transferTimeout = time.Second

// startControl opens the control log. A voter, or a VM with a disk that may
// become one, has a replica; all others forward to the voters. Steps that add
// parts must run before.
func (n *Node) startControl() error {
	if n.options.Log != nil {
		n.log = n.options.Log(n.parts)
		return nil
	}
	log := &replica.Log{
		Voters: raft.NewVoters(n.settings.Voters),
		URL:    n.peerURL,
		Client: n.peerClient,
	}
	n.log = log
	if n.settings.DataFolder == "" {
		n.handleLog(nil, log)
		return nil
	}
	config := replica.Config{
		ID:     n.settings.VM,
		Folder: n.settings.DataFolder,
		Parts:  n.parts,
		Transport: &replica.Peers{
			Self:   n.settings.PeerAddress,
			URL:    n.peerURL,
			Client: n.peerClient,
			Start:  n.duty,
		},
		Clock:    n.clock,
		OnChange: n.logReplica,
	}
	if n.settings.Voter() {
		config.Bootstrap = log.Voters
	}
	r, err := replica.Open(config)
	if err != nil {
		return err
	}
	n.replica = r
	log.Replica = r
	n.handleLog(r, log)
	n.duty(r.Run)
	return nil
}

func (n *Node) peerURL(address string) string {
	if n.settings.PeerTLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

// handleLog serves the log to other VMs and to operators' tools. Tools reach
// the leader through any VM.
func (n *Node) handleLog(r *replica.Replica, log *replica.Log) {
	if r != nil {
		server := replica.Server{Replica: r}
		step := raftv1.NewRaftServiceServer(server)
		n.peerMux.Handle(step.PathPrefix(), step)
		calls := raftv1.NewLogServiceServer(server)
		n.peerMux.Handle(calls.PathPrefix(), calls)
	}
	admin := raftv1.NewLogServiceServer(replica.Forwarder{Log: log, VM: n.settings.VM})
	n.adminMux.Handle(admin.PathPrefix(), admin)
}

func (n *Node) logReplica(s replica.Status) {
	if s.Failure != nil {
		n.logger.Error("control log failed; this replica makes no promises until it is restarted", zap.Error(s.Failure))
		return
	}
	n.logger.Info("control log changed", zap.String("role", s.Role.String()), zap.String("leader", s.Leader), zap.Uint64("term", s.Term))
}

// leaveControl hands the leadership over before a shutdown.
func (n *Node) leaveControl() {
	if n.replica == nil || n.replica.Status().Role != raft.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, transferTimeout)
	defer cancel()
	if err := n.replica.Transfer(ctx); err != nil {
		n.logger.Info("control log leadership was not handed over", zap.Error(err))
	}
}
