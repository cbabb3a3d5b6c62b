package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// followTimeout limits one call to the core, not counting the time that the
	// received bytes may take. It is 700 ms longer than a member of the core may
	// hold the call.
	followTimeout = fleetsync.MaxWait + 700*time.Millisecond
	// idleConnectionFraction is the fraction of a target's connection limit
	// that all fronts together keep as idle connections. The rest is left for
	// bursts and for other clients of the target.
	idleConnectionFraction = 0.7
	msPerSecond            = 1000
	// leaderAgeTolerance is how much later a leader may seem to have been elected
	// because of the time that calls take, without being a new one.
	leaderAgeTolerance = time.Second
)

var (
	errNotServed = errors.New("the member of the core knows no leader")
	errReportDue = errors.New("shares of the workspace rates or a crashed engine have to be reported at once")
)

// followCore keeps the state of the front up to date by long polls to a member of
// the core.
func (f *Front) followCore(ctx context.Context) {
	finder := fleetsync.NewFinder(f.settings.VM, f.settings.Zone, f.settings.Regions, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		f.settings.seedPeerAddresses(), func() []string { return f.settings.reloadSeedPeerAddresses(f.logger) })
	lost, noWait := false, false
	followed := ""
	for ctx.Err() == nil {
		address, wait := finder.Next(boottime.Now())
		if wait > 0 {
			pause.For(ctx, wait)
			continue
		}
		poll, err := f.poll(ctx, address, noWait)
		if noWait = errors.Is(err, errReportDue); noWait {
			continue
		}
		f.zones.setCore(poll.response.GetCore())
		if members := decodeMembers(poll.response.GetCore()); err == nil {
			finder.SetMembers(members)
			err = f.applyPoll(poll)
		} else {
			finder.AddMembers(members)
		}
		if err != nil {
			finder.Failed(boottime.Now(), address)
			if !lost {
				f.logger.Info("core lost", zap.String("asked", address), zap.Error(err))
			}
			lost, noWait = true, true
			continue
		}
		finder.Succeeded(address)
		if lost || followed != address {
			f.logger.Info("core regained", zap.String("member", address), zap.String("leader", poll.response.GetLeader()))
		}
		lost, followed = false, address
	}
}

func decodeMembers(list []*followv1.CoreMember) []fleetsync.Member {
	var members []fleetsync.Member
	for _, m := range list {
		members = append(members, fleetsync.Member{Address: m.GetAddress(), Zone: m.GetZone()})
	}
	return members
}

// pollResult is a call to a member of the core and its response.
type pollResult struct {
	sentAt time.Duration
	// reports are the reports on workspaces that the call contained.
	reports map[string]ratelimit.ShareReport
	// evidence is the evidence on crashed engines that the call contained.
	evidence quarantine.Report
	// samples is the number of the samples of rollouts that the call contained.
	samples  uint64
	response *followv1.FollowResponse
}

// poll makes one call to a member of the core. With noWait set, the member responds
// without waiting for a change. The call ends early with errReportDue if something has
// to be reported at once.
func (f *Front) poll(ctx context.Context, address string, noWait bool) (pollResult, error) {
	ctx, limit, stop := withTransferLimit(ctx, followTimeout)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !noWait {
		go f.cancelOnReportDue(ctx, limit, cancel)
	}
	state := f.state.Load()
	result := pollResult{evidence: f.quarantine.Report()}
	noWait = noWait || len(result.evidence.Crashes) > 0
	request := &followv1.FollowRequest{
		Report: &followv1.FrontReport{
			Vm: f.settings.VM, Incarnation: f.incarnation, Address: f.settings.selfPeerAddress(), Region: f.settings.Region, Zone: f.settings.Zone,
		},
		NoWait: noWait, Revision: f.registry.Revision, PeersVersion: f.peers.version(), UnreachableStores: f.unreachableStores,
		Suspects: f.quarantine.Suspects(),
	}
	if state.Table != nil {
		request.DocumentVersion = state.Table.Document.Version
		result.reports = f.shares.ReportActive(boottime.Now(), rateLimitedWorkspaces(state.Table.Document))
		request.Report.Shares = encodeReports(result.reports)
	}
	result.samples = f.rollouts.addReport(request.Report)
	result.sentAt = boottime.Now()
	encodeEvidence(request.Report, result.evidence, result.sentAt)
	var err error
	result.response, err = followv1.NewFollowServiceProtobufClient("http://"+address, f.client).Follow(ctx, request)
	switch {
	case err == nil && !result.response.GetServed():
		err = errNotServed
	case err != nil && errors.Is(context.Cause(ctx), errReportDue):
		err = errReportDue
	}
	return result, err
}

// cancelOnReportDue cancels a held call when something has to be reported at once. A
// response that is being received is completed, as the next call follows it.
func (f *Front) cancelOnReportDue(ctx context.Context, limit *transferLimit, cancel context.CancelCauseFunc) {
	select {
	case <-f.shares.ReportDue():
	case <-f.quarantine.ReportDue():
	case <-ctx.Done():
		return
	}
	if !limit.receiving() {
		cancel(errReportDue)
	}
}

// rateLimitedWorkspaces returns the names of the workspaces that have a rate.
func rateLimitedWorkspaces(d *gatewayconfig.Document) []string {
	var names []string
	for i := range d.Workspaces {
		if d.Workspaces[i].Rate > 0 {
			names = append(names, d.Workspaces[i].Name)
		}
	}
	return names
}

// applyPoll updates the state from a served poll. It ignores a document or registry
// that is no newer than the front's own. A response that cannot be used changes no
// document or registry, and does not confirm the present ones.
func (f *Front) applyPoll(poll pollResult) error {
	response := poll.response
	if !isInterval(response.GetLeaderAgeMs()) || !isInterval(response.GetConfirmedAfterMs()) {
		return errors.Newf("the response has a leader age of %v ms and was confirmed after %v ms", response.GetLeaderAgeMs(), response.GetConfirmedAfterMs())
	}
	electedAt := poll.sentAt - fromMilliseconds(response.GetLeaderAgeMs())
	f.weightsPending = f.weightsPending || f.leader.address != response.GetLeader()
	newLeader := f.leader.address != response.GetLeader() || electedAt-f.leader.electedAt > leaderAgeTolerance
	f.quarantine.Confirm(poll.evidence, newLeader, response.GetSuspects())
	f.rollouts.reporter.Confirm(poll.samples)
	f.leader = leaderInfo{address: response.GetLeader(), electedAt: electedAt}
	next := *f.state.Load()
	next.FrontCount = ratelimit.SharingVMs(next.FrontCount, int(response.GetFrontCount()), response.GetWarmingUp())
	f.placer.SetFrontCount(next.FrontCount, f.peers.count()+1)
	table, err := f.tableFor(next.Table, response)
	if err != nil {
		// A document that cannot be decoded does not become active, so the
		// state must not count as confirmed.
		return errors.Wrapf(err, "decode version %d of the document from the core", response.GetDocumentVersion())
	}
	registry, err := f.registryFor(response)
	if err != nil {
		return errors.Wrap(err, "decode the registry from the core")
	}
	// The member started the read ConfirmedAfterMs after it received the call.
	// Adding that to the send time gives a lower bound of the start, which is not in
	// the future.
	confirmed := min(poll.sentAt+fromMilliseconds(response.GetConfirmedAfterMs()), boottime.Now())
	next.Confirmed = max(next.Confirmed, confirmed)
	f.peers.update(f.settings.Zone, response.GetPeers(), response.GetPeersVersion())
	documentChanged := table != next.Table
	if documentChanged {
		next.Table = table
		f.logger.Info("document in force", zap.Uint64("version", table.Document.Version),
			zap.Duration("header_timeout", table.Document.Limits.HeaderTimeout), zap.Duration("idle_timeout", table.Document.Limits.IdleTimeout))
	} else if registry == f.registry && !f.weightsPending && slices.Equal(response.GetUnreachableStores(), f.unreachableStores) {
		f.state.Store(&next)
		f.applyShares(next, poll)
		return nil
	}
	f.setUnreachableStores(response.GetUnreachableStores())
	f.setQuarantined(registry)
	f.logRollouts(registry.Rollouts)
	f.registry = registry
	next.Weights = registry.Weights
	f.updatePlacement(table, next.FrontCount)
	f.state.Store(&next)
	if documentChanged {
		f.callers.LimitsChanged()
	}
	f.applyShares(next, poll)
	return nil
}

// setQuarantined applies the quarantined requests and parts of a registry.
func (f *Front) setQuarantined(registry *fleet.State) {
	suspects := registry.QuarantinedSuspects()
	if slices.Equal(suspects, f.registry.QuarantinedSuspects()) {
		return
	}
	f.logger.Info("quarantine changed", zap.Strings("quarantined", suspects))
	f.quarantine.SetQuarantined(suspects)
}

func (f *Front) setUnreachableStores(stores []string) {
	if !slices.Equal(stores, f.unreachableStores) {
		f.logger.Info("unreachable stores changed", zap.Strings("lost", stores))
		f.unreachableStores = stores
	}
}

// registryFor applies the changes in a response to the front's registry. It returns
// the registry itself if there are none.
func (f *Front) registryFor(response *followv1.FollowResponse) (*fleet.State, error) {
	if len(response.GetFleetDelta()) == 0 {
		return f.registry, nil
	}
	data, err := decompress(response.GetFleetDelta())
	if err != nil {
		return nil, err
	}
	var d fleet.Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	if d.Revision <= f.registry.Revision {
		return f.registry, nil
	}
	f.logger.Info("targets changed", zap.Uint64("revision", d.Revision), zap.Int("changed", len(d.Targets)), zap.Strings("gone", d.Removed))
	f.logUnusableTargets(d.Targets)
	return f.registry.Merge(d), nil
}

// logUnusableTargets logs how many of the changed targets cannot be used, and the error
// of one of them.
func (f *Front) logUnusableTargets(changed []fleet.Target) {
	count := 0
	var example error
	for i := range changed {
		if err := changed[i].Check(); err != nil {
			count, example = count+1, err
		}
	}
	if count > 0 {
		f.logger.Warn("the registry has unusable targets; they get no requests", zap.Int("count", count), zap.Error(example))
	}
}

// tableFor compiles the routing table of a response's document if that is newer
// than the current one, and returns the current table otherwise.
func (f *Front) tableFor(current *gatewayconfig.Table, response *followv1.FollowResponse) (*gatewayconfig.Table, error) {
	if len(response.GetRawDocument()) == 0 || current != nil && response.GetDocumentVersion() <= current.Document.Version {
		return current, nil
	}
	raw, err := decompress(response.GetRawDocument())
	if err != nil {
		return nil, err
	}
	document, err := f.decode(raw)
	if err != nil {
		return nil, err
	}
	return gatewayconfig.Compile(document), nil
}

// servingState returns the state for requests. It has no table before the front
// has received its shares of the rates, because until then the front would reject
// requests that are within the rates.
func (f *Front) servingState() proxy.State {
	state := *f.state.Load()
	if !f.sharesReceived.Load() {
		state.Table = nil
	}
	return state
}

// applyShares passes the granted shares to the rate limiter. Once it has shares, the
// front serves requests.
func (f *Front) applyShares(state proxy.State, poll pollResult) {
	if state.Table == nil {
		return
	}
	grants := grantsFrom(poll.response, poll.reports, rateLimitedWorkspaces(state.Table.Document))
	f.shares.ApplyGrants(boottime.Now(), poll.sentAt, state.FrontCount, grants, func(name string) (rate, burst float64) {
		if w := state.Table.Workspace(name); w != nil {
			return w.Rate, w.Burst
		}
		return 0, 0
	})
	f.sharesReceived.Store(true)
	f.syncedOnce.Do(func() { close(f.synced) })
}

// updatePlacement passes the targets, stores and connection limits to placement
// and to the connection pool.
func (f *Front) updatePlacement(table *gatewayconfig.Table, fronts int) {
	now := boottime.Now()
	f.staleWeights.update(now, f.leader, f.registry)
	f.weightsPending = false
	f.zones.setTargets(f.registry.Targets)
	targets := make(map[string][]placement.Target)
	selected := selectedCanaries(f.registry)
	limits := make(map[string]int)
	for _, t := range f.registry.Targets {
		if t.Check() != nil {
			// An earlier version registered it. registryFor has logged it.
			continue
		}
		p := f.placementTarget(t)
		if t.Draining {
			p.Exclude(placement.ExcludedDraining)
		}
		if f.staleWeights.excludes(now, &t) {
			p.Exclude(placement.ExcludedWeights)
		}
		applyRollout(&p, &t, f.registry.Rollouts, selected)
		f.weightsPending = f.weightsPending || t.Updating || t.Weights < f.registry.Weights[t.Model]
		if table != nil {
			if e := table.Engine(t.Service); e != nil {
				p.CacheTokens, p.Slots, p.TransferMSPerToken = e.CacheTokens, e.Slots, e.TransferMSPerToken()
				p.Backups, p.CopyKept = e.Backups, e.CopyKept
			}
			if connections := table.MaxConnections(t.Service); connections > 0 {
				limits[t.Address] = max(int(idleConnectionFraction*float64(connections))/max(fronts, 1), 1)
			}
		}
		targets[t.Service] = append(targets[t.Service], p)
	}
	f.rollouts.apply(f.registry.Rollouts, func() { f.placer.Update(targets) })
	f.placer.UpdateStores(f.reachableStores(table))
	f.pool.SetIdleLimits(limits)
}

// reachableStores returns the stores of the document except the unreachable ones
// and those whose link bandwidth is not set.
func (f *Front) reachableStores(table *gatewayconfig.Table) []placement.Store {
	if table == nil {
		return nil
	}
	var list []placement.Store
	for i := range table.Document.Services {
		s := table.Document.Services[i].Store
		if s == nil || s.Rate <= 0 || slices.Contains(f.unreachableStores, s.Address) {
			continue
		}
		list = append(list, placement.Store{
			Address: s.Address, Zone: s.Zone, Region: f.settings.Regions[s.Zone], CapacityTokens: s.Tokens,
			TransferMSPerToken: table.TokenBytes() / s.Rate * msPerSecond,
		})
	}
	return list
}

func (f *Front) placementTarget(t fleet.Target) placement.Target {
	return placement.Target{
		ID: t.ID, Address: t.Address, Zone: t.Zone, Region: f.settings.Regions[t.Zone],
		Terminating: t.Draining, Weights: t.Weights, Started: t.Started,
	}
}
