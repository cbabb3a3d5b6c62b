package daemon

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
	statusv1 "github.com/cuminwing/cuminwing/proto/status/v1"
)

// MembersPath and TargetsPath list the members and targets that this VM knows.
const (
	MembersPath = "/v1/members"
	TargetsPath = "/v1/targets"
)

// startStatus serves the status of this VM to other VMs and to operators'
// tools.
func (n *Node) startStatus() error {
	status := statusv1.NewStatusServiceServer(statusServer{n})
	n.peerMux.Handle(status.PathPrefix(), status)
	n.adminMux.Handle(status.PathPrefix(), status)
	n.adminMux.HandleFunc("GET "+MembersPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Members []membership.Member `json:"members"`
		}{n.members()})
	})
	n.adminMux.HandleFunc("GET "+TargetsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Targets []*target.Target `json:"targets"`
		}{n.registry.All()})
	})
	return nil
}

// statusServer implements statusv1.StatusService for one VM.
type statusServer struct{ node *Node }

// Get implements statusv1.StatusService.
func (s statusServer) Get(context.Context, *statusv1.GetRequest) (*statusv1.GetResponse, error) {
	self := s.node.self()
	leader := ""
	if s.node.log != nil {
		leader, _ = s.node.log.Leader()
	}
	return &statusv1.GetResponse{
		Leader:         leader,
		Vm:             self.VM,
		Zone:           self.Zone,
		Region:         self.Region,
		ConfigRevision: self.ConfigRevision,
		KeyDigest:      self.KeyDigest,
		Incarnation:    self.Incarnation,
	}, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
