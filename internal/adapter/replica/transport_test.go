package replica

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// stuckReplica responds to no message before a number of requests has arrived.
type stuckReplica struct {
	arrived chan struct{}
	release chan struct{}
}

func (s *stuckReplica) Step(ctx context.Context, _ *raftv1.StepRequest) (*raftv1.StepResponse, error) {
	s.arrived <- struct{}{}
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return &raftv1.StepResponse{}, nil
}

// Guards against heartbeats and votes that wait while a connection waits for a lost
// packet: a leader lost its lease, and elections took seconds.
func TestUrgentMessagesDoNotWaitForAStuckRequest(t *testing.T) {
	stuck := &stuckReplica{arrived: make(chan struct{}, urgentSenders), release: make(chan struct{})}
	server := httptest.NewServer(raftv1.NewRaftServiceServer(stuck))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := &TwirpTransport{
		Self: "self", URL: func(string) string { return server.URL }, Client: server.Client(),
		Go: func(f func(context.Context)) { go f(ctx) },
	}
	for range urgentSenders {
		transport.Send("peer", []raft.Message{{Kind: raft.MsgAppend, From: "a", To: "b", Term: 1}})
		// Each message arrives although there is no response to those before it.
		<-stuck.arrived
	}
	close(stuck.release)
}
