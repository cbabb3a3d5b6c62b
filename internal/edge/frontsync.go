package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

const (
	// syncTimeout limits one call to the core. It is 700 ms longer than the
	// leader may hold the call.
	syncTimeout = fleetsync.MaxWait + 700*time.Millisecond
	// idleConnectionFraction is the fraction of a target's connection limit
	// that all fronts together keep as idle connections. The rest is left for
	// bursts and for other clients of the target.
	idleConnectionFraction = 0.7
	msPerSecond            = 1000
	// syncRetryDelay is the delay before the next call after a core VM failed or
	// named no other leader.
	syncRetryDelay = 60 * time.Millisecond
)

// followCore keeps the state of the front up to date by long polls to the leader
// of the core.
func (f *Front) followCore(ctx context.Context) {
	finder := newLeaderFinder(f.settings.seedPeerAddresses(), func() []string { return f.settings.reloadSeedPeerAddresses(f.logger) })
	lost := false
	for ctx.Err() == nil {
		address := finder.next()
		response, sentAt, err := f.poll(ctx, address)
		switch {
		case err != nil:
			finder.failed(address)
			if !lost {
				f.logger.Info("core lost", zap.String("asked", address), zap.Error(err))
			}
			lost = true
			pause.For(ctx, syncRetryDelay)
		case !response.IsLeader:
			finder.redirected(address, response)
			if response.Leader == "" || response.Leader == address {
				pause.For(ctx, syncRetryDelay)
			}
		default:
			if lost {
				f.logger.Info("core regained", zap.String("leader", address))
			}
			lost = false
			finder.found(address, response)
			f.weightsPending = f.weightsPending || f.leader.address != address
			age := time.Duration(response.LeaderAgeMS * float64(time.Millisecond))
			f.leader = leaderInfo{address: address, electedAt: sentAt - age}
			f.applyResponse(sentAt, response)
		}
	}
}

// poll makes one sync call. It returns the response and the time at which the call
// was sent.
func (f *Front) poll(ctx context.Context, address string) (fleetsync.Response, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	state := f.state.Load()
	request := fleetsync.Request{
		VM: f.settings.VM, Incarnation: f.incarnation, Revision: f.registry.Revision,
		NoWait: state.Table != nil && !f.sharesReceived.Load(), Address: f.settings.selfPeerAddress(), Region: f.settings.Region, FrontsVersion: f.peers.version(), UnreachableStores: f.unreachableStores,
	}
	if state.Table != nil {
		request.DocumentVersion = state.Table.Document.Version
		request.Shares = f.shares.Report(boottime.Now(), rateLimitedWorkspaces(state.Table.Document))
	}
	sentAt := boottime.Now()
	var response fleetsync.Response
	err := postJSON(ctx, f.client, "http://"+address+fleetsync.Path, request, &response)
	return response, sentAt, err
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

// applyResponse updates the state from a response of the leader. It ignores a
// document or registry that is no newer than the front's own.
func (f *Front) applyResponse(sentAt time.Duration, response fleetsync.Response) {
	next := *f.state.Load()
	next.FrontCount = response.FrontCount
	table, err := f.tableFor(next.Table, response)
	if err != nil {
		// A document that cannot be decoded does not become active, so the
		// state must not count as confirmed.
		f.logger.Error("decoding the document from the core failed", zap.Uint64("version", response.DocumentVersion), zap.Error(err))
		return
	}
	if table != next.Table {
		next.Table = table
		f.updatePlacement(table, next.FrontCount)
		f.logger.Info("document in force", zap.Uint64("version", table.Document.Version))
	}
	// The leader started the read barrier ConfirmedAfterMS after it received the
	// call. Adding that to the send time gives a lower bound of the start.
	next.Confirmed = max(next.Confirmed, sentAt+time.Duration(response.ConfirmedAfterMS*float64(time.Millisecond)))
	f.peers.update(response.Fronts, response.FrontsVersion)
	if !slices.Equal(response.UnreachableStores, f.unreachableStores) {
		f.unreachableStores = response.UnreachableStores
		f.logger.Info("unreachable stores changed", zap.Strings("lost", f.unreachableStores))
		f.placer.UpdateStores(f.reachableStores(next.Table))
	}
	if d := response.Fleet; d != nil && d.Revision > f.registry.Revision {
		f.registry = f.registry.Merge(*d)
		next.Weights = f.registry.Weights
		f.logger.Info("targets changed", zap.Uint64("revision", d.Revision), zap.Int("changed", len(d.Targets)),
			zap.Strings("gone", d.Removed), zap.Int("targets", len(f.registry.Targets)))
		f.updatePlacement(next.Table, next.FrontCount)
	} else if f.weightsPending {
		f.updatePlacement(next.Table, next.FrontCount)
	}
	f.state.Store(&next)
	if next.Table == nil {
		return
	}
	f.applyShares(next, sentAt, response.Shares)
	// The leader sends the first document before the shares of its workspaces.
	if len(response.Shares) > 0 || len(rateLimitedWorkspaces(next.Table.Document)) == 0 {
		f.sharesReceived.Store(true)
		f.syncedOnce.Do(func() { close(f.synced) })
	}
}

// tableFor compiles the routing table of a response's document if that is newer
// than the current one, and returns the current table otherwise.
func (f *Front) tableFor(current *gatewayconfig.Table, response fleetsync.Response) (*gatewayconfig.Table, error) {
	if len(response.RawDocument) == 0 || current != nil && response.DocumentVersion <= current.Document.Version {
		return current, nil
	}
	document, err := f.decode(response.RawDocument)
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

// applyShares passes the granted shares to the rate limiter.
func (f *Front) applyShares(state proxy.State, sentAt time.Duration, grants map[string]ratelimit.ShareGrant) {
	f.shares.ApplyGrants(boottime.Now(), sentAt, state.FrontCount, grants, func(name string) (rate, burst float64) {
		if w := state.Table.Workspace(name); w != nil {
			return w.Rate, w.Burst
		}
		return 0, 0
	})
}

// updatePlacement passes the targets, stores and connection limits to placement
// and to the connection pool.
func (f *Front) updatePlacement(table *gatewayconfig.Table, fronts int) {
	now := boottime.Now()
	f.staleWeights.update(now, f.leader, f.registry)
	f.weightsPending = false
	targets := make(map[string][]placement.Target)
	limits := make(map[string]int)
	for _, t := range f.registry.Targets {
		p := f.placementTarget(t)
		p.Excluded = p.Excluded || f.staleWeights.excludes(now, &t)
		f.weightsPending = f.weightsPending || t.Updating || t.Weights < f.registry.Weights[t.Model]
		if table != nil {
			p.CacheTokens = table.CacheTokens(t.Service)
			if connections := table.MaxConnections(t.Service); connections > 0 {
				limits[t.Address] = max(int(idleConnectionFraction*float64(connections))/max(fronts, 1), 1)
			}
		}
		targets[t.Service] = append(targets[t.Service], p)
	}
	f.placer.Update(targets)
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
		Excluded: t.Draining, Terminating: t.Draining, Weights: t.Weights, Started: t.Started,
	}
}

// leaderFinder chooses the core address to call next until it finds the leader.
type leaderFinder struct {
	seeds []string
	// reloadSeeds returns the current seeds of the settings.
	reloadSeeds func() []string
	candidates  []string
	leader      string
	position    int
	// lastFailed is the address that failed last. next skips it if there is
	// another candidate.
	lastFailed string
}

func newLeaderFinder(seeds []string, reload func() []string) *leaderFinder {
	return &leaderFinder{seeds: seeds, reloadSeeds: reload, candidates: seeds}
}

// next returns the address to call.
func (l *leaderFinder) next() string {
	if l.leader != "" {
		return l.leader
	}
	if l.advance(); l.candidates[l.position%len(l.candidates)] == l.lastFailed {
		l.advance()
	}
	return l.candidates[l.position%len(l.candidates)]
}

// advance moves to the next candidate. After each pass over the candidates it
// reloads the seeds.
func (l *leaderFinder) advance() {
	l.position++
	if l.position%len(l.candidates) == 0 {
		l.seeds = l.reloadSeeds()
		l.setCandidates(l.candidates)
	}
}

func (l *leaderFinder) failed(address string) {
	l.lastFailed = address
	if l.leader == address {
		l.leader = ""
	}
}

func (l *leaderFinder) found(address string, response fleetsync.Response) {
	l.leader = address
	l.lastFailed = ""
	l.setCandidates(response.Core)
}

// redirected follows the leader hint of a core VM that is not the leader.
func (l *leaderFinder) redirected(asked string, response fleetsync.Response) {
	l.setCandidates(response.Core)
	// A VM that has not detected the failure of the leader yet still names it,
	// so a hint to the address that failed last is ignored.
	previousFailed := l.lastFailed
	l.failed(asked)
	if response.Leader != "" && response.Leader != asked && response.Leader != previousFailed {
		l.leader = response.Leader
	}
}

// maxCandidates limits the number of addresses that are tried in turn.
const maxCandidates = 16

// setCandidates replaces the candidates by the seeds and the given addresses of
// the core. The seeds are kept because after a long disconnection they may be the
// only valid addresses.
func (l *leaderFinder) setCandidates(core []string) {
	if len(core) == 0 {
		return
	}
	l.candidates = dedupe(append(append([]string{}, l.seeds...), core...))
	l.candidates = l.candidates[:min(len(l.candidates), maxCandidates)]
}
