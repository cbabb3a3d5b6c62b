package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// noLeaderTimeout is how long a member without a leader holds the polls of fronts.
// It is longer than an election takes. After it the member sends them away.
const noLeaderTimeout = 1200 * time.Millisecond

// followServer implements followv1.FollowService on a member of the core.
type followServer struct{ core *Core }

var _ followv1.FollowService = followServer{}

func (c *Core) registerFollow(mux *http.ServeMux) {
	service := followv1.NewFollowServiceServer(followServer{c})
	mux.HandleFunc(service.PathPrefix(), func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerRequestBytes)
		service.ServeHTTP(w, r)
	})
}

// Follow implements followv1.FollowService. The response shows the state of this
// member's replica after the leader has confirmed it.
func (s followServer) Follow(ctx context.Context, request *followv1.FollowRequest) (*followv1.FollowResponse, error) {
	received := boottime.Now()
	c := s.core
	if err := checkReport(request.GetReport()); err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	if !c.isMember() || c.withoutLeaderFor(received) > noLeaderTimeout {
		return c.sendAway(), nil
	}
	if !request.GetNoWait() {
		c.awaitChange(ctx, received, request)
	}
	if c.isStopping() {
		return c.sendAway(), nil
	}
	report, err := c.relays.call(ctx, request.GetReport())
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Canceled, "the front has ended the call")
	}
	if err != nil {
		c.logger.Info("poll of a front failed", zap.String("front", request.GetReport().GetVm()), zap.Error(err))
		return nil, twirp.NewError(twirp.Unavailable, "not confirmed by the leader: "+err.Error())
	}
	return c.followResponse(received, request, report)
}

// sendAway returns the response for a front that has to follow another member.
func (c *Core) sendAway() *followv1.FollowResponse {
	return &followv1.FollowResponse{Core: c.coreMembers()}
}

// followResponse builds the response from a relayed report.
func (c *Core) followResponse(received time.Duration, request *followv1.FollowRequest, report *relayedReport) (*followv1.FollowResponse, error) {
	state := report.state
	response := &followv1.FollowResponse{
		Served: true, Core: state.core, Leader: state.leader, FrontCount: state.frontCount, Usage: state.usage, WarmingUp: state.warmingUp,
		LeaderAgeMs: milliseconds(received - state.leaderElected), ConfirmedAfterMs: milliseconds(report.started - received),
		Shares: report.shares, UnreachableStores: state.unreachableStores, Suspects: state.suspects, PeersVersion: state.fronts.Version,
	}
	if front := request.GetReport(); request.GetPeersVersion() != state.fronts.Version {
		response.Peers = encodePeers(state.fronts.Peers(front.GetVm(), front.GetRegion()))
	}
	var err error
	if stored := c.document.Current(); stored.Version > request.GetDocumentVersion() {
		response.DocumentVersion = stored.Version
		response.RawDocument, err = compressedDocument(stored)
	}
	if revision, _ := c.registry.Versions(); err == nil && revision > request.GetRevision() {
		response.FleetDelta, err = c.encoded.delta(c.registry, request.GetRevision())
	}
	return response, err
}

func encodePeers(peers []fleetsync.Peer) []*followv1.Peer {
	list := make([]*followv1.Peer, 0, len(peers))
	for _, p := range peers {
		list = append(list, &followv1.Peer{Address: p.Address, Zone: p.Zone})
	}
	return list
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// awaitChange blocks until the poll has to be answered.
func (c *Core) awaitChange(ctx context.Context, received time.Duration, request *followv1.FollowRequest) {
	have := fleetsync.Version{Document: request.GetDocumentVersion(), Revision: request.GetRevision()}
	poll := fleetsync.NewPollTimer(received, have)
	if c.registry.RolloutRuns() {
		poll.Limit(fleetsync.RolloutWait)
	}
	for {
		changed := c.changeSignal()
		now := boottime.Now()
		urgent := !slices.Equal(c.unreachableStores(), request.GetUnreachableStores()) || !slices.Equal(c.suspects(), request.GetSuspects())
		wait := poll.Due(now, c.stateVersion(), urgent) - now
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-c.stopping:
		case <-c.ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil || c.ctx.Err() != nil || c.isStopping() {
			return
		}
	}
}

// unreachableStores returns the stores that the leader cannot reach, as far as this
// member knows.
func (c *Core) unreachableStores() []string {
	if _, leading := c.leadership(); leading {
		return c.storeHealth.unreachable()
	}
	return c.relayedState().unreachableStores
}

// stateVersion returns the version of the state of this member's replica.
func (c *Core) stateVersion() fleetsync.Version {
	revision, urgent := c.registry.Versions()
	return fleetsync.Version{Document: c.document.Current().Version, Revision: revision, Urgent: urgent}
}
