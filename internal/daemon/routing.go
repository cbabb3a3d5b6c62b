package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/ring"
	"github.com/cuminwing/cuminwing/internal/routing"
	"github.com/cuminwing/cuminwing/internal/target"
	indexv1 "github.com/cuminwing/cuminwing/proto/index/v1"
)

const (
	// reconcileInterval is how often chains and targets are reassigned to VMs
	// and expired entries are removed.
	reconcileInterval = 200 * time.Millisecond
	// maxPendingUpdates limits the updates queued for one peer. Updates that do
	// not fit are dropped, because newer load reports and cache events follow.
	maxPendingUpdates = 256
	// maxPendingExports limits the queued copies to KV stores.
	maxPendingExports = 64
	// updateBytes approximates the size of one publication with its HTTP
	// headers. Broadcasts stop at maxBroadcastBytesPerSecond, which is two
	// thirds of the control traffic per VM at the design size. The owner of a
	// chain receives every dispatch regardless of this limit.
	updateBytes                = 400
	maxBroadcastBytesPerSecond = 15000
)

// regionIndex maintains this VM's share of the index of cached blocks.
type regionIndex struct {
	node *Node
	// members returns the VMs that share the index.
	members   func() []membership.Member
	local     *prefix.Index
	cache     *targethttp.CacheClient
	picker    *routing.Picker
	coalescer *prefix.Coalescer
	exports   *ring.Ring[routing.Export]
	// lookupTimeout limits the wait for the owner of a chain.
	lookupTimeout time.Duration
	// peers holds the current assignment of chains and targets.
	peers atomic.Pointer[indexPeers]

	// knownTargets and readers are used only by the goroutine that runs
	// reconcile.
	knownTargets map[string]target.Ref
	readers      map[string]*cacheReader
	tasks        sync.WaitGroup

	mu sync.Mutex
	// broadcastBudget is how many bytes broadcasts may still use, as of
	// budgetUpdated.
	broadcastBudget float64
	budgetUpdated   time.Time
}

// indexPeers assigns chains to the VMs of the region, and the event streams of
// targets to the VMs of the zone. The zones of a region share the chains, so
// that a VM knows the caches of all engines that it may use in its region. byVM
// holds every VM of the region, this one included.
type indexPeers struct {
	owners  *prefix.VMSet
	readers *prefix.VMSet
	byVM    map[string]*indexPeer
}

// newPicker creates the region index and the prefix-aware picker that uses it.
func (n *Node) newPicker() *routing.Picker {
	r := &regionIndex{
		coalescer:     prefix.NewCoalescer(),
		exports:       ring.New[routing.Export](maxPendingExports),
		lookupTimeout: lookupTimeout,
		node:          n,
		members:       n.members,
		local:         prefix.NewIndex(n.clock),
		cache:         targethttp.NewCacheClient(n.options.Dial),
		knownTargets:  make(map[string]target.Ref),
		readers:       make(map[string]*cacheReader),
	}
	r.peers.Store(&indexPeers{owners: prefix.NewVMSet(nil), readers: prefix.NewVMSet(nil)})
	n.regionIndex = r
	r.picker = &routing.Picker{
		Registry:    n.registry,
		Clock:       n.clock,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Index:       r.local,
		OwnerLookup: r,
		OnDispatch:  r.onDispatch,
		OnExport:    func(e routing.Export) { r.exports.Push(e) },
		Zone:        n.settings.Zone,
		Region:      n.settings.Region,
	}
	return r.picker
}

// startRouting shares the index with the other VMs.
func (n *Node) startRouting() error {
	r := n.regionIndex
	server := indexv1.NewIndexServiceServer(indexServer{r})
	n.peerMux.Handle(server.PathPrefix(), server)
	r.reconcile(n.ctx)
	n.background(func(ctx context.Context) {
		every(ctx, reconcileInterval, func() { r.reconcile(ctx) })
		r.tasks.Wait()
	})
	n.background(r.exportToStores)
	return nil
}

// exportToStores copies reused blocks to KV stores, one chain at a time.
func (r *regionIndex) exportToStores(ctx context.Context) {
	for {
		e, ok := r.exports.Pop(ctx)
		if !ok {
			return
		}
		if err := r.cache.Import(ctx, e.Store.URL, e.Source.URL, e.Scope, e.Blocks); err != nil && ctx.Err() == nil {
			r.node.logger.Debug("copy to KV store failed", zap.String("store", e.Store.ID), zap.Error(err))
		}
	}
}

// reconcile applies changes of the membership and of the target registry.
func (r *regionIndex) reconcile(ctx context.Context) {
	changed := r.updateMembers(ctx)
	r.dropStaleTargets()
	r.assignReaders(ctx, changed)
	r.local.RemoveExpired()
	r.coalescer.Expire(r.node.clock())
}

// updateMembers returns true if the assignment changed or a VM restarted.
func (r *regionIndex) updateMembers(ctx context.Context) bool {
	var region, zone []string
	byVM := make(map[string]*indexPeer)
	old := r.peers.Load()
	for _, m := range r.members() {
		if m.Region != r.node.settings.Region {
			continue
		}
		region = append(region, m.VM)
		if m.Zone == r.node.settings.Zone {
			zone = append(zone, m.VM)
		}
		byVM[m.VM] = r.indexPeerFor(ctx, old, m)
	}
	slices.Sort(region)
	slices.Sort(zone)
	same := slices.Equal(region, old.owners.Names()) && slices.Equal(zone, old.readers.Names())
	r.peers.Store(&indexPeers{prefix.NewVMSet(region), prefix.NewVMSet(zone), byVM})
	for vm, p := range old.byVM {
		if byVM[vm] != p {
			// The VM left, or it restarted with an empty index.
			p.cancel()
			same = false
		}
	}
	return !same
}

// dropStaleTargets removes the index entries of target incarnations that left
// the registry or were replaced.
func (r *regionIndex) dropStaleTargets() {
	now := make(map[string]target.Ref)
	for _, t := range r.node.registry.All() {
		now[t.ID] = t.Ref()
	}
	for id, ref := range r.knownTargets {
		if now[id] != ref {
			r.local.Drop(ref)
		}
	}
	r.knownTargets = now
}

// assignReaders reads the event streams of the targets in this zone that are
// assigned to this VM. A change of owners restarts the streams, which sends the
// new owners their entries.
func (r *regionIndex) assignReaders(ctx context.Context, restart bool) {
	wanted := make(map[string]*target.Target)
	readers := r.peers.Load().readers
	for _, t := range r.node.registry.All() {
		caches := t.Kind == target.KindEngine || t.Kind == target.KindKVStore
		if caches && t.Zone == r.node.settings.Zone && readers.Reader(t.ID) == r.node.settings.VM {
			wanted[t.ID] = t
		}
	}
	for id, reader := range r.readers {
		t, ok := wanted[id]
		if restart || !ok || t.Ref() != reader.ref {
			reader.cancel()
			delete(r.readers, id)
		}
	}
	for id, t := range wanted {
		if _, ok := r.readers[id]; !ok {
			r.readers[id] = r.startReader(ctx, t)
		}
	}
}

// onDispatch tells the owner of the chain which blocks the target is about to
// hold, and all VMs of the region how much work the target received. Without
// the latter, VMs would learn of each other's work only from load reports,
// which are one second old. A failed dispatch is reported only to the owner,
// which removes its prediction.
func (r *regionIndex) onDispatch(d routing.Dispatch) {
	peers := r.peers.Load()
	self := r.node.settings.VM
	owner := ""
	work := &indexv1.Dispatch{Target: encodeRef(d.Ref), WorkUs: uint32(d.PrefillTime.Microseconds())}
	if len(d.Chain) > 0 {
		owner = peers.owners.Owner(d.Chain[0])
	}
	if peer, ok := peers.byVM[owner]; ok && owner != self {
		full := &indexv1.Dispatch{Target: work.Target, WorkUs: work.WorkUs, Blocks: encodeHashes(d.Chain), Held: uint32(d.HeldBlocks), Failed: d.Failed}
		peer.pending.Push(indexUpdate{dispatch: full})
	}
	if owner == self {
		r.coalescer.Complete(d.Chain)
	}
	if d.Failed {
		return
	}
	r.broadcast(indexUpdate{dispatch: work}, func(vm string, _ *indexPeer) bool { return vm != owner && vm != self })
}

// broadcastLoad sends the load of a target of this zone to the VMs of other
// zones, which receive no heartbeats from it.
func (r *regionIndex) broadcastLoad(ref target.Ref, l target.Load) {
	report := &indexv1.LoadReport{
		Target:              encodeRef(ref),
		Running:             uint32(max(0, l.Running)),
		Waiting:             uint32(max(0, l.Waiting)),
		QueuedPrefillTokens: uint32(max(0, l.QueuedPrefillTokens)),
	}
	r.broadcast(indexUpdate{load: report}, func(_ string, p *indexPeer) bool { return p.zone != r.node.settings.Zone })
}

// spansZones reports whether the region has VMs in other zones.
func (r *regionIndex) spansZones() bool {
	peers := r.peers.Load()
	return len(peers.owners.Names()) > len(peers.readers.Names())
}

// broadcast queues an update for the selected peers if the budget allows it.
func (r *regionIndex) broadcast(update indexUpdate, selected func(vm string, p *indexPeer) bool) {
	var recipients []*indexPeer
	for vm, peer := range r.peers.Load().byVM {
		if selected(vm, peer) {
			recipients = append(recipients, peer)
		}
	}
	if !r.takeBroadcastBudget(len(recipients)) {
		return
	}
	for _, peer := range recipients {
		peer.pending.Push(update)
	}
}

// takeBroadcastBudget charges the broadcast budget for an update to n peers. It
// returns false, without charging, if the budget does not suffice.
func (r *regionIndex) takeBroadcastBudget(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.node.clock()
	r.broadcastBudget += maxBroadcastBytesPerSecond * now.Sub(r.budgetUpdated).Seconds()
	r.broadcastBudget = min(r.broadcastBudget, maxBroadcastBytesPerSecond)
	r.budgetUpdated = now
	cost := float64(n * updateBytes)
	if n < 1 || r.broadcastBudget < cost {
		return false
	}
	r.broadcastBudget -= cost
	return true
}
