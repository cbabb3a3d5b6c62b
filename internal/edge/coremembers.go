package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
)

const (
	joinPath  = "/join"
	leavePath = "/leave"
	// repairInterval is the time between two checks of the membership.
	repairInterval = 100 * time.Millisecond
	// nextChangeDelay is the time from a committed membership change to the next
	// check. The second step of a replacement must not wait, because there is one
	// voter less until then.
	nextChangeDelay = 5 * time.Millisecond
	// maxReplicaIDBytes limits the ID of a replica that joins.
	maxReplicaIDBytes = 256
)

// joinRequest asks the leader to add a replica to the control log.
type joinRequest struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// check returns an error if the request does not describe a replica that the other
// members can call.
func (r *joinRequest) check() error {
	if r.ID == "" || len(r.ID) > maxReplicaIDBytes {
		return errors.Newf("the replica ID has %d bytes, want 1 to %d", len(r.ID), maxReplicaIDBytes)
	}
	if address, err := netip.ParseAddrPort(r.Address); err != nil || address.Port() == 0 {
		return errors.Newf("the address %.64q is not an IP address and a port", r.Address)
	}
	return nil
}

// joinResponse holds the peer addresses of the leader and of all members.
type joinResponse struct {
	Leader string   `json:"leader,omitempty"`
	Core   []string `json:"core,omitempty"`
}

// leaveRequest asks the leader to give the vote of a replica that stops to a learner.
type leaveRequest struct {
	ID string `json:"id"`
}

// leaveResponse is the leader's response to a leaveRequest. The vote may be lost at a
// stop of the replica if Left is false.
type leaveResponse struct {
	// Left is set if the replica has no vote any more.
	Left bool `json:"left"`
}

func (c *Core) registerMembers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+leavePath, func(w http.ResponseWriter, r *http.Request) {
		var request leaveRequest
		if !readJSON(w, r, &request) {
			return
		}
		writeJSON(w, leaveResponse{Left: c.replaceLeaver(r.Context(), request.ID)})
	})
	mux.HandleFunc("POST "+joinPath, func(w http.ResponseWriter, r *http.Request) {
		var request joinRequest
		if !readJSON(w, r, &request) {
			return
		}
		if err := request.check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if c.replica.Status().Role == raft.Leader {
			c.addLearner(r.Context(), request)
		}
		writeJSON(w, joinResponse{Leader: c.leaderAddress(), Core: c.coreAddresses()})
	})
}

// addLearner adds a replica as a learner. A learner that is registered at its address
// has lost its disk and is removed first. If another change of the membership is in
// progress, it does nothing, and the replica asks again.
func (c *Core) addLearner(ctx context.Context, request joinRequest) {
	if !c.changingMembers.TryLock() {
		return
	}
	defer c.changingMembers.Unlock()
	for {
		change, ok := raft.NextJoinChange(c.replica.Status().Members, request.ID, request.Address)
		if !ok || !c.changeMembers(ctx, change) {
			return
		}
	}
}

// replaceLeaver gives the vote of a replica that is about to stop to a learner. It
// reports whether the replica has no vote any more.
func (c *Core) replaceLeaver(ctx context.Context, id string) bool {
	c.changingMembers.Lock()
	defer c.changingMembers.Unlock()
	for {
		status := c.replica.Status()
		change, ok := raft.NextLeaveChange(&status.Status, id)
		if !ok {
			return status.Role == raft.Leader && !status.Members.IsVoter(id)
		}
		if !c.changeMembers(ctx, change) {
			return false
		}
	}
}

// changeMembers commits a membership change. It reports whether it is committed. The
// caller holds changingMembers.
func (c *Core) changeMembers(ctx context.Context, change raft.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := c.replica.ChangeMembers(ctx, change)
	c.logger.Info("control log membership change proposed", zap.String("change", change.Kind.String()),
		zap.String("replica", change.ID), zap.String("address", change.Address), zap.Error(err))
	return err == nil
}

// repairMembers promotes learners and removes unreachable voters.
func (c *Core) repairMembers(ctx context.Context) {
	repairer := raft.NewRepairer()
	delay := repairInterval
	for pause.For(ctx, delay) {
		delay = repairInterval
		if c.repairOnce(ctx, repairer) {
			delay = nextChangeDelay
		}
	}
}

// repairOnce makes the next change that the membership needs. It reports whether one
// was committed.
func (c *Core) repairOnce(ctx context.Context, repairer *raft.Repairer) bool {
	c.changingMembers.Lock()
	defer c.changingMembers.Unlock()
	status := c.replica.Status()
	change, ok := repairer.Next(boottime.Now(), &status.Status)
	return ok && c.changeMembers(ctx, change)
}

// postJSON sends a request to another VM and decodes its response.
func postJSON(ctx context.Context, client *http.Client, url string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: unexpected status %s", url, httpResponse.Status)
	}
	return json.NewDecoder(httpResponse.Body).Decode(response)
}
