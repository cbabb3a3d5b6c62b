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

// maxPeerBody bounds a call of another VM.
const maxPeerBody = 1 << 20

func (c *Core) handleSync(mux *http.ServeMux) {
	mux.HandleFunc("POST "+fleetsync.Path, func(w http.ResponseWriter, r *http.Request) {
		received := boottime.Now()
		var request fleetsync.Request
		if !readJSON(w, r, &request) {
			return
		}
		response, err := c.sync(r.Context(), received, request)
		if err != nil {
			c.logger.Info("front not answered", zap.String("front", request.VM), zap.Error(err))
			http.Error(w, "not confirmed", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, response)
	})
}

// readJSON decodes a request, or answers that it cannot be read.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody)).Decode(into)
	if err != nil {
		http.Error(w, "request cannot be decoded: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failure here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(value)
}

func (c *Core) sync(ctx context.Context, received time.Duration, request fleetsync.Request) (fleetsync.Response, error) {
	led, leading := c.awaitLeadership(ctx)
	if !leading {
		return fleetsync.Response{Leader: c.leaderAddress(), Core: c.coreAddresses()}, nil
	}
	led.fronts.Seen(received, request)
	if !request.Now {
		c.await(ctx, request)
	}
	response := fleetsync.Response{
		Self: true, Core: c.coreAddresses(),
		LeaderAgeMS: float64(received-led.since) / float64(time.Millisecond),
	}
	response.Shares = led.divider.Report(boottime.Now(), request.VM, request.Incarnation, request.Shares)
	response.VMs = led.divider.VMs()
	response.Fronts, response.FrontsVersion = led.fronts.List(request)
	started := boottime.Now()
	if err := c.confirmer.confirm(ctx); err != nil {
		return fleetsync.Response{}, err
	}
	response.ConfirmedAfterMS = float64(started-received) / float64(time.Millisecond)
	c.fill(&response, request)
	return response, nil
}

// awaitLeadership waits while this replica has been elected and has not taken
// over.
func (c *Core) awaitLeadership(ctx context.Context) (leadership, bool) {
	for {
		changed := c.change()
		led, leading := c.leadership()
		if leading || led.since == 0 {
			return led, leading
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return led, false
		case <-c.ctx.Done():
			return led, false
		}
	}
}

// await returns when something has changed for the front, or after the hold.
func (c *Core) await(ctx context.Context, request fleetsync.Request) {
	timer := time.NewTimer(fleetsync.Hold)
	defer timer.Stop()
	for {
		changed := c.change()
		news := c.document.Current().Version > request.Document || c.fleet.Current().Revision > request.Revision ||
			!slices.Equal(c.stores.lost(), request.StoresLost)
		if _, leading := c.leadership(); news || !leading {
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

func (c *Core) fill(response *fleetsync.Response, request fleetsync.Request) {
	response.StoresLost = c.stores.lost()
	if stored := c.document.Current(); stored.Version > request.Document {
		response.Document = stored.Version
		response.Raw = stored.Raw
	}
	if state := c.fleet.Current(); state.Revision > request.Revision {
		delta := state.Since(request.Revision)
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
