package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
)

// maxPeerRequestBytes limits the body of a request from another VM.
const maxPeerRequestBytes = 1 << 20

func (c *Core) registerSync(mux *http.ServeMux) {
	mux.HandleFunc("POST "+fleetsync.Path, func(w http.ResponseWriter, r *http.Request) {
		received := boottime.Now()
		var request fleetsync.Request
		if !readJSON(w, r, &request) {
			return
		}
		response, err := c.serveSync(r.Context(), received, request)
		if err != nil {
			c.logger.Info("sync request of a front failed", zap.String("front", request.VM), zap.Error(err))
			http.Error(w, "not confirmed", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, response)
	})
}

// readJSON decodes the body of a request. If that fails, it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, "request cannot be decoded: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// serveSync handles the long poll of a front. Only the leader returns the state;
// other members return the address of the leader. The document and the registry
// are read after a read barrier. The response states the start of the barrier,
// relative to received.
func (c *Core) serveSync(ctx context.Context, received time.Duration, request fleetsync.Request) (fleetsync.Response, error) {
	leader, leading := c.awaitLeadership(ctx)
	if !leading {
		return fleetsync.Response{Leader: c.leaderAddress(), Core: c.coreAddresses()}, nil
	}
	leader.fronts.RecordRequest(received, request)
	if !request.NoWait {
		c.awaitChange(ctx, request)
	}
	response := fleetsync.Response{
		IsLeader: true, Core: c.coreAddresses(),
		LeaderAgeMS: float64(received-leader.electedAt) / float64(time.Millisecond),
	}
	response.Shares = leader.allocator.Report(boottime.Now(), request.VM, request.Incarnation, request.Shares)
	response.FrontCount = leader.allocator.VMCount()
	response.Fronts, response.FrontsVersion = leader.fronts.Peers(request)
	barrierStarted := boottime.Now()
	if err := c.barriers.wait(ctx); err != nil {
		return fleetsync.Response{}, err
	}
	response.ConfirmedAfterMS = float64(barrierStarted-received) / float64(time.Millisecond)
	c.addChanges(&response, request)
	return response, nil
}

// awaitLeadership returns the leader state. If this replica has been elected but
// has not established its leadership yet, it waits for that.
func (c *Core) awaitLeadership(ctx context.Context) (leadership, bool) {
	for {
		changed := c.changeSignal()
		leader, leading := c.leadership()
		if leading || leader.electedAt == 0 {
			return leader, leading
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return leader, false
		case <-c.ctx.Done():
			return leader, false
		}
	}
}

// awaitChange blocks until the state that the front has is outdated, for at most
// fleetsync.MaxWait.
func (c *Core) awaitChange(ctx context.Context, request fleetsync.Request) {
	timer := time.NewTimer(fleetsync.MaxWait)
	defer timer.Stop()
	for {
		changed := c.changeSignal()
		outdated := c.document.Current().Version > request.DocumentVersion || c.registry.Current().Revision > request.Revision ||
			!slices.Equal(c.storeHealth.unreachable(), request.UnreachableStores)
		if _, leading := c.leadership(); outdated || !leading {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// addChanges adds to a response what has changed since the state that the front
// has.
func (c *Core) addChanges(response *fleetsync.Response, request fleetsync.Request) {
	response.UnreachableStores = c.storeHealth.unreachable()
	if stored := c.document.Current(); stored.Version > request.DocumentVersion {
		response.DocumentVersion = stored.Version
		response.RawDocument = stored.Raw
	}
	if state := c.registry.Current(); state.Revision > request.Revision {
		delta := state.DeltaSince(request.Revision)
		response.Fleet = &delta
	}
}

func (c *Core) leaderAddress() string {
	status := c.replica.Status()
	leader, ok := status.Members.Find(status.Leader)
	if !ok {
		return ""
	}
	return leader.Address
}

func (c *Core) coreAddresses() []string {
	var addresses []string
	for _, m := range c.replica.Status().Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
