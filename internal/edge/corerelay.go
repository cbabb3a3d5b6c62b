package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// relayGather is how long the first report of a batch waits for others. A
	// change wakes the polls of all fronts at the same moment.
	relayGather = 4 * time.Millisecond
	// relayInterval is the shortest time between two relayed batches, so that the
	// calls to the leader do not grow with the number of fronts.
	relayInterval = 40 * time.Millisecond
	// relayTimeout limits one batch, including its retries.
	relayTimeout = 900 * time.Millisecond
	// relayAttemptTimeout limits one call to the leader. It equals the time after
	// which followers elect another leader.
	relayAttemptTimeout = 600 * time.Millisecond
	// relayRetryDelay is the delay before a failed call is repeated.
	relayRetryDelay = 20 * time.Millisecond
	// maxRelayBytes limits the reports in one batch of several. The leader reads
	// maxPeerRequestBytes of a call, and applies a batch well within relayAttemptTimeout.
	maxRelayBytes = maxPeerRequestBytes / 8
	// contactInterval is the time between two empty batches. They tell the leader
	// the zone of a member that no front follows.
	contactInterval = time.Second
)

var (
	errNoLeader   = errors.New("no leader is known")
	errNotLeading = errors.New("the called VM does not lead")
)

// relayedState is what the leader returned with a batch of reports.
type relayedState struct {
	leader string
	// leaderElected is when the leader was elected, on the boot clock of this VM.
	leaderElected     time.Duration
	core              []*followv1.CoreMember
	fronts            *fleetsync.FrontList
	frontCount        uint32
	unreachableStores []string
	suspects          []string
	usage             []*followv1.WorkspaceUsage
	warmingUp         bool
}

// relayedReport is the result of one relayed report.
type relayedReport struct {
	// started is when the batch was started. A quorum has confirmed the state of
	// this replica after that.
	started time.Duration
	state   relayedState
	shares  []*followv1.ShareGrant
}

func (c *Core) relayedState() relayedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

// contactLeader relays an empty batch at regular intervals.
func (c *Core) contactLeader(ctx context.Context) {
	for pause.For(ctx, contactInterval) {
		if !c.isMember() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		// A failure is not logged: the Raft status shows a lost leader.
		_, _ = c.relays.call(callCtx, nil)
		cancel()
	}
}

// relayReports passes the reports of fronts to the leader, retrying for as long as
// ctx allows. It returns once this replica has applied all entries committed before
// the successful call. Nil reports are not passed on.
func (c *Core) relayReports(ctx context.Context, reports []*followv1.FrontReport) ([]*relayedReport, error) {
	request := &followv1.RelayRequest{Member: &followv1.CoreMember{Address: c.settings.selfPeerAddress(), Zone: c.settings.Zone}}
	for _, r := range reports {
		if r != nil {
			request.Reports = append(request.Reports, r)
		}
	}
	for {
		request.FrontsVersion = c.relayedState().fronts.Version
		started := boottime.Now()
		response, err := c.relayOnce(ctx, request)
		if err == nil {
			return c.acceptRelay(started, response, reports), nil
		}
		if !pause.For(ctx, relayRetryDelay) {
			return nil, err
		}
	}
}

// relayOnce makes one call to the leader. It ends early if the leader changes.
func (c *Core) relayOnce(ctx context.Context, request *followv1.RelayRequest) (*followv1.RelayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayAttemptTimeout)
	defer cancel()
	changed := c.changeSignal()
	leader := c.leaderAddress()
	if leader == "" {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return nil, errNoLeader
	}
	c.tasks.Go(func() { c.watchLeader(ctx, leader, cancel) })
	response, err := c.callRelay(ctx, leader, request)
	if err != nil {
		return nil, errors.Wrapf(err, "relay reports to %s", leader)
	}
	if !response.GetServed() || len(response.GetGrants()) != len(request.GetReports()) {
		return nil, errNotLeading
	}
	if !isInterval(response.GetLeaderAgeMs()) {
		return nil, errors.Newf("the response of %s has a leader age of %v ms", leader, response.GetLeaderAgeMs())
	}
	return response, c.replica.WaitApplied(ctx, response.GetIndex())
}

// callRelay calls the leader, which may be this member.
func (c *Core) callRelay(ctx context.Context, leader string, request *followv1.RelayRequest) (*followv1.RelayResponse, error) {
	if leader == c.settings.selfPeerAddress() {
		return followServer{c}.Relay(ctx, request)
	}
	return followv1.NewFollowServiceProtobufClient("http://"+leader, c.client).Relay(ctx, request)
}

// acceptRelay stores the leader's response and assigns the grants to the reports.
func (c *Core) acceptRelay(started time.Duration, response *followv1.RelayResponse, reports []*followv1.FrontReport) []*relayedReport {
	previous := c.relayedState()
	state := relayedState{
		leader: response.GetLeader(), leaderElected: started - fromMilliseconds(response.GetLeaderAgeMs()),
		core: response.GetCore(), fronts: previous.fronts, frontCount: response.GetFrontCount(),
		unreachableStores: response.GetUnreachableStores(), suspects: response.GetSuspects(), usage: response.GetUsage(), warmingUp: response.GetWarmingUp(),
	}
	if response.GetFrontsVersion() != state.fronts.Version {
		state.fronts = decodeFronts(response)
	}
	c.mu.Lock()
	c.relayed = state
	c.mu.Unlock()
	if !slices.Equal(previous.unreachableStores, state.unreachableStores) || !slices.Equal(previous.suspects, state.suspects) {
		c.notify()
	}
	results := make([]*relayedReport, len(reports))
	grants := response.GetGrants()
	for i, r := range reports {
		results[i] = &relayedReport{started: started, state: state}
		if r != nil {
			results[i].shares = grants[0].GetShares()
			grants = grants[1:]
		}
	}
	return results
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func decodeFronts(response *followv1.RelayResponse) *fleetsync.FrontList {
	list := &fleetsync.FrontList{Version: response.GetFrontsVersion()}
	for _, f := range response.GetFronts() {
		list.Fronts = append(list.Fronts, fleetsync.Front{VM: f.GetVm(), Address: f.GetAddress(), Region: f.GetRegion(), Zone: f.GetZone()})
	}
	return list
}

// Relay implements followv1.FollowService. Only the leader serves it.
func (s followServer) Relay(ctx context.Context, request *followv1.RelayRequest) (*followv1.RelayResponse, error) {
	received := boottime.Now()
	c := s.core
	leader, leading := c.awaitLeadership(ctx)
	if !leading {
		return &followv1.RelayResponse{Leader: c.leaderAddress()}, nil
	}
	c.recordZone(request.GetMember())
	response := &followv1.RelayResponse{Served: true, Leader: c.settings.selfPeerAddress(), LeaderAgeMs: milliseconds(received - leader.electedAt)}
	for _, r := range request.GetReports() {
		grants, err := c.acceptReport(leader, r)
		if err != nil {
			c.logger.Warn("report of a front rejected", zap.String("front", r.GetVm()), zap.Error(err))
		}
		response.Grants = append(response.Grants, grants)
	}
	usage, warmingUp := leader.allocator.Usage(boottime.Now())
	response.Usage, response.WarmingUp = encodeUsage(usage), warmingUp
	response.FrontCount = uint32(leader.allocator.VMCount())
	list := leader.fronts.List(boottime.Now())
	response.FrontsVersion = list.Version
	if list.Version != request.GetFrontsVersion() {
		response.Fronts = encodeFronts(list)
	}
	index, err := c.barriers.call(ctx, struct{}{})
	if err != nil {
		return nil, err
	}
	response.Index, response.Core, response.UnreachableStores = index, c.coreMembers(), c.storeHealth.unreachable()
	response.Suspects = leader.evidence.knownSuspects()
	return response, nil
}

// acceptReport records the report of a front and returns its grants. A report that
// is not valid changes nothing.
func (c *Core) acceptReport(leader leadership, report *followv1.FrontReport) (*followv1.FrontGrants, error) {
	if err := checkReport(report); err != nil {
		return &followv1.FrontGrants{}, err
	}
	now := boottime.Now()
	leader.fronts.Record(now, fleetsync.Front{VM: report.GetVm(), Address: report.GetAddress(), Region: report.GetRegion(), Zone: report.GetZone()})
	leader.evidence.record(now, report)
	leader.rollouts.record(now, report)
	grants := leader.allocator.Report(now, report.GetVm(), report.GetIncarnation(), decodeReports(report.GetShares()))
	return &followv1.FrontGrants{Shares: encodeGrants(grants)}, nil
}

func encodeFronts(list *fleetsync.FrontList) []*followv1.FrontAddress {
	var fronts []*followv1.FrontAddress
	for _, f := range list.Fronts {
		fronts = append(fronts, &followv1.FrontAddress{Vm: f.VM, Address: f.Address, Region: f.Region, Zone: f.Zone})
	}
	return fronts
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

// watchLeader calls cancel once the member at address no longer leads, according
// to this replica. It returns when ctx is done.
func (c *Core) watchLeader(ctx context.Context, address string, cancel context.CancelFunc) {
	for {
		changed := c.changeSignal()
		if c.leaderAddress() != address {
			cancel()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// withoutLeaderFor returns how long this member has known no leader.
func (c *Core) withoutLeaderFor(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderlessSince == 0 {
		return 0
	}
	return now - c.leaderlessSince
}

// recordZone records the zone of a member that called this leader.
func (c *Core) recordZone(member *followv1.CoreMember) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[member.GetAddress()] = member.GetZone()
}

// coreMembers returns the members of the control log with their zones: those that
// have called this leader, or those that the leader has returned.
func (c *Core) coreMembers() []*followv1.CoreMember {
	members := c.replica.Status().Members
	leads := c.replica.Status().Role == raft.Leader
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := c.zones
	if !leads {
		zones = make(map[string]string)
		for _, m := range c.relayed.core {
			zones[m.GetAddress()] = m.GetZone()
		}
	}
	var list []*followv1.CoreMember
	for _, m := range members {
		list = append(list, &followv1.CoreMember{Address: m.Address, Zone: zones[m.Address]})
	}
	c.addressZones.setCore(list)
	return list
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
