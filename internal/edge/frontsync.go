package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/forward"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

const (
	// syncTimeout bounds one call to the core beyond the time that it is held.
	syncTimeout = fleetsync.Hold + 700*time.Millisecond
	// idlePart is the part of the connections that a target accepts which the
	// fronts keep idle; the rest is for bursts and for other callers.
	idlePart    = 0.7
	msPerSecond = 1000
	// syncPause is the pause after a core VM that could not help.
	syncPause = 60 * time.Millisecond
)

// follow keeps the state of the front up to date.
func (f *Front) follow(ctx context.Context) {
	finder := newLeaderFinder(f.settings.seedPeers(), func() []string { return f.settings.currentSeeds(f.logger) })
	lost := false
	for ctx.Err() == nil {
		address := finder.next()
		response, sent, err := f.ask(ctx, address)
		switch {
		case err != nil:
			finder.failed(address)
			if !lost {
				f.logger.Info("core lost", zap.String("asked", address), zap.Error(err))
			}
			lost = true
			pause.For(ctx, syncPause)
		case !response.Self:
			finder.redirected(address, response)
			if response.Leader == "" || response.Leader == address {
				pause.For(ctx, syncPause)
			}
		default:
			if lost {
				f.logger.Info("core regained", zap.String("leader", address))
			}
			lost = false
			finder.found(address, response)
			f.pendingWeights = f.pendingWeights || f.leader.address != address
			age := time.Duration(response.LeaderAgeMS * float64(time.Millisecond))
			f.leader = leaderView{address: address, since: sent - age}
			f.take(sent, response)
		}
	}
}

// ask makes one call and returns when it was sent.
func (f *Front) ask(ctx context.Context, address string) (fleetsync.Response, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	state := f.state.Load()
	request := fleetsync.Request{
		VM: f.settings.VM, Incarnation: f.started, Revision: f.registry.Revision,
		Now: state.Table != nil && !f.granted.Load(), Address: f.settings.ownPeer(), Region: f.settings.Region, Fronts: f.peers.version(), StoresLost: f.storesLost,
	}
	if state.Table != nil {
		request.Document = state.Table.Document.Version
		request.Shares = f.shares.Report(boottime.Now(), limited(state.Table.Document))
	}
	sent := boottime.Now()
	var response fleetsync.Response
	err := postJSON(ctx, f.client, "http://"+address+fleetsync.Path, request, &response)
	return response, sent, err
}

// limited lists the workspaces that have a rate.
func limited(d *gateway.Document) []string {
	var names []string
	for i := range d.Workspaces {
		if d.Workspaces[i].Rate > 0 {
			names = append(names, d.Workspaces[i].Name)
		}
	}
	return names
}

// take puts what the leader has said in force. Versions only rise.
func (f *Front) take(sent time.Duration, response fleetsync.Response) {
	next := *f.state.Load()
	next.Fronts = response.VMs
	table, err := f.newTable(next.Table, response)
	if err != nil {
		// What is not understood is not in force, so nothing is confirmed.
		f.logger.Error("document of the core cannot be decoded", zap.Uint64("version", response.Document), zap.Error(err))
		return
	}
	if table != next.Table {
		next.Table = table
		f.place(table, next.Fronts)
		f.logger.Info("document in force", zap.Uint64("version", table.Document.Version))
	}
	// The quorum has confirmed the leader after the call was sent.
	next.Confirmed = max(next.Confirmed, sent+time.Duration(response.ConfirmedAfterMS*float64(time.Millisecond)))
	f.peers.update(response.Fronts, response.FrontsVersion)
	if !slices.Equal(response.StoresLost, f.storesLost) {
		f.storesLost = response.StoresLost
		f.logger.Info("stores changed", zap.Strings("lost", f.storesLost))
		f.placer.UpdateStores(f.stores(next.Table))
	}
	if d := response.Fleet; d != nil && d.Revision > f.registry.Revision {
		f.registry = f.registry.Merge(*d)
		next.Weights = f.registry.Weights
		f.logger.Info("targets changed", zap.Uint64("revision", d.Revision), zap.Int("changed", len(d.Targets)),
			zap.Strings("gone", d.Gone), zap.Int("targets", len(f.registry.Targets)))
		f.place(next.Table, next.Fronts)
	} else if f.pendingWeights {
		f.place(next.Table, next.Fronts)
	}
	f.state.Store(&next)
	if next.Table == nil {
		return
	}
	f.grant(next, sent, response.Shares)
	// The first document comes before the shares of its workspaces.
	if len(response.Shares) > 0 || len(limited(next.Table.Document)) == 0 {
		f.granted.Store(true)
		f.once.Do(func() { close(f.synced) })
	}
}

// newTable returns the table of a newer document, or the one in force.
func (f *Front) newTable(inForce *gateway.Table, response fleetsync.Response) (*gateway.Table, error) {
	if len(response.Raw) == 0 || inForce != nil && response.Document <= inForce.Document.Version {
		return inForce, nil
	}
	document, err := f.decode(response.Raw)
	if err != nil {
		return nil, err
	}
	return gateway.Compile(document), nil
}

// serving returns the state for requests. There is none before the front has
// its parts of the rates, because it would refuse what is within them.
func (f *Front) serving() forward.State {
	state := *f.state.Load()
	if !f.granted.Load() {
		state.Table = nil
	}
	return state
}

func (f *Front) grant(state forward.State, sent time.Duration, grants map[string]ratelimit.ShareGrant) {
	f.shares.Grant(boottime.Now(), sent, state.Fronts, grants, func(name string) (rate, burst float64) {
		if w := state.Table.Workspace(name); w != nil {
			return w.Rate, w.Burst
		}
		return 0, 0
	})
}

// place hands the registry to placement.
func (f *Front) place(table *gateway.Table, fronts int) {
	now := boottime.Now()
	f.stale.update(now, f.leader, f.registry)
	f.pendingWeights = false
	targets := make(map[string][]placement.Target)
	limits := make(map[string]int)
	for _, t := range f.registry.Targets {
		p := f.placeable(t)
		p.Closed = p.Closed || f.stale.closed(now, &t)
		f.pendingWeights = f.pendingWeights || t.Updating || t.Weights < f.registry.Weights[t.Model]
		if table != nil {
			p.CacheTokens = table.CacheTokens(t.Service)
			if connections := table.MaxConnections(t.Service); connections > 0 {
				limits[t.Address] = max(int(idlePart*float64(connections))/max(fronts, 1), 1)
			}
		}
		targets[t.Service] = append(targets[t.Service], p)
	}
	f.placer.Update(targets)
	f.placer.UpdateStores(f.stores(table))
	f.pool.SetLimits(limits)
}

// stores lists the stores of the document that can be reached.
func (f *Front) stores(table *gateway.Table) []placement.Store {
	if table == nil {
		return nil
	}
	var list []placement.Store
	for i := range table.Document.Services {
		s := table.Document.Services[i].Store
		if s == nil || s.Rate <= 0 || slices.Contains(f.storesLost, s.Address) {
			continue
		}
		list = append(list, placement.Store{
			Address: s.Address, Zone: s.Zone, Region: f.settings.Regions[s.Zone], Tokens: s.Tokens,
			TokenMS: table.TokenBytes() / s.Rate * msPerSecond,
		})
	}
	return list
}

func (f *Front) placeable(t fleet.Target) placement.Target {
	return placement.Target{
		ID: t.ID, Address: t.Address, Zone: t.Zone, Region: f.settings.Regions[t.Zone],
		Closed: t.Draining, Gone: t.Draining, Weights: t.Weights, Started: t.Started,
	}
}

// leaderFinder remembers where the leader of the core may be.
type leaderFinder struct {
	seeds []string
	// reload returns the seeds as they are now.
	reload func() []string
	known  []string
	leader string
	turn   int
	// avoid is the address that has failed last, which is not asked next.
	avoid string
}

func newLeaderFinder(seeds []string, reload func() []string) *leaderFinder {
	return &leaderFinder{seeds: seeds, reload: reload, known: seeds}
}

// next returns the address to ask.
func (l *leaderFinder) next() string {
	if l.leader != "" {
		return l.leader
	}
	if l.advance(); l.known[l.turn%len(l.known)] == l.avoid {
		l.advance()
	}
	return l.known[l.turn%len(l.known)]
}

// advance goes on to the next address. After a round the seeds are read again.
func (l *leaderFinder) advance() {
	l.turn++
	if l.turn%len(l.known) == 0 {
		l.seeds = l.reload()
		l.learn(l.known)
	}
}

func (l *leaderFinder) failed(address string) {
	l.avoid = address
	if l.leader == address {
		l.leader = ""
	}
}

func (l *leaderFinder) found(address string, response fleetsync.Response) {
	l.leader = address
	l.avoid = ""
	l.learn(response.Core)
}

// redirected follows the hint of a core VM that does not lead.
func (l *leaderFinder) redirected(asked string, response fleetsync.Response) {
	l.learn(response.Core)
	// The hint of a VM that has not noticed the loss of the leader yet.
	lost := l.avoid
	l.failed(asked)
	if response.Leader != "" && response.Leader != asked && response.Leader != lost {
		l.leader = response.Leader
	}
}

// maxKnown bounds the addresses that are asked in turn.
const maxKnown = 16

// learn notes the core's addresses. The seeds stay known, because they may be
// the only ones that are left after a long absence.
func (l *leaderFinder) learn(core []string) {
	if len(core) == 0 {
		return
	}
	l.known = distinct(append(append([]string{}, l.seeds...), core...))
	l.known = l.known[:min(len(l.known), maxKnown)]
}
