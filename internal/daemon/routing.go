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
	// routingInterval is how often duties are divided anew and expired
	// entries removed.
	routingInterval = 200 * time.Millisecond
	// maxWaitingNews bounds the dispatches and load reports that wait for one
	// peer; more are dropped, because newer reports and cache events follow.
	maxWaitingNews = 256
	// maxWaitingExports bounds the copies to KV stores that wait.
	maxWaitingExports = 64
	// newsBytes is about the size of one publication with its HTTP headers.
	// Telling all peers stops at newsBytesPerSecond, which is two thirds of
	// the control cost per VM at the design size; the owner of the chain is
	// always told of a dispatch.
	newsBytes          = 400
	newsBytesPerSecond = 15000
)

// routingDuty keeps this VM's part of the index of cached blocks.
type routingDuty struct {
	node *Node
	// members returns the VMs that share the index.
	members func() []membership.Member
	index   *prefix.Index
	cache   *targethttp.CacheReader
	picker  *routing.Picker
	intents *prefix.Intents
	exports *ring.Ring[routing.Export]
	// lookupTimeout bounds the wait for the owner of a chain.
	lookupTimeout time.Duration
	// peers is who owns which chains and how to reach them.
	peers atomic.Pointer[indexPeers]

	// known and readers belong to the duty that divides the targets.
	known   map[string]target.Ref
	readers map[string]*cacheReader
	done    sync.WaitGroup

	mu sync.Mutex
	// credit is what telling all peers may still cost, as of credited.
	credit   float64
	credited time.Time
}

// indexPeers divides chains over the VMs of the region, and streams of targets
// over the VMs of the zone. Chains are shared by the zones of a region, so
// that a VM knows the caches of all engines that it may use at home.
type indexPeers struct {
	owners  *prefix.Members
	readers *prefix.Members
	clients map[string]*indexPeer
}

// newPicker builds the choice of target.
func (n *Node) newPicker() *routing.Picker {
	r := &routingDuty{
		intents:       prefix.NewIntents(),
		exports:       ring.New[routing.Export](maxWaitingExports),
		lookupTimeout: lookupTimeout,
		node:          n,
		members:       n.members,
		index:         prefix.NewIndex(n.clock),
		cache:         targethttp.NewCacheReader(n.options.Dial),
		known:         make(map[string]target.Ref),
		readers:       make(map[string]*cacheReader),
	}
	r.peers.Store(&indexPeers{owners: prefix.NewMembers(nil), readers: prefix.NewMembers(nil)})
	n.routing = r
	r.picker = &routing.Picker{
		Registry:   n.registry,
		Clock:      n.clock,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Index:      r.index,
		Remote:     r,
		Dispatched: r.dispatched,
		Export:     func(e routing.Export) { r.exports.Push(e) },
		Zone:       n.settings.Zone,
		Region:     n.settings.Region,
	}
	return r.picker
}

// startRouting shares the index with the other VMs.
func (n *Node) startRouting() error {
	r := n.routing
	server := indexv1.NewIndexServiceServer(indexServer{r})
	n.peerMux.Handle(server.PathPrefix(), server)
	r.divide(n.ctx)
	n.duty(func(ctx context.Context) {
		every(ctx, routingInterval, func() { r.divide(ctx) })
		r.done.Wait()
	})
	n.duty(r.fillStores)
	return nil
}

// fillStores copies reused blocks to KV stores, one chain at a time.
func (r *routingDuty) fillStores(ctx context.Context) {
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

// divide follows changes of the membership and of the registry.
func (r *routingDuty) divide(ctx context.Context) {
	changed := r.followMembers(ctx)
	r.dropGone()
	r.assignReaders(ctx, changed)
	r.index.Tick()
	r.intents.Expire(r.node.clock())
}

// followMembers reports true if owners changed.
func (r *routingDuty) followMembers(ctx context.Context) bool {
	var region, zone []string
	clients := make(map[string]*indexPeer)
	old := r.peers.Load()
	for _, m := range r.members() {
		if m.Region != r.node.settings.Region {
			continue
		}
		region = append(region, m.VM)
		if m.Zone == r.node.settings.Zone {
			zone = append(zone, m.VM)
		}
		clients[m.VM] = r.peer(ctx, old, m)
	}
	slices.Sort(region)
	slices.Sort(zone)
	same := slices.Equal(region, old.owners.Names()) && slices.Equal(zone, old.readers.Names())
	r.peers.Store(&indexPeers{prefix.NewMembers(region), prefix.NewMembers(zone), clients})
	for vm, p := range old.clients {
		if clients[vm] != p {
			// The VM left, or it restarted with an empty index.
			p.cancel()
			same = false
		}
	}
	return !same
}

// dropGone removes the entries of incarnations that died or were replaced.
func (r *routingDuty) dropGone() {
	now := make(map[string]target.Ref)
	for _, t := range r.node.registry.All() {
		now[t.ID] = t.Ref()
	}
	for id, ref := range r.known {
		if now[id] != ref {
			r.index.Drop(ref)
		}
	}
	r.known = now
}

// assignReaders reads the targets of this zone that fall to this VM. A change
// of owners starts the streams anew, which gives the new owners their entries.
func (r *routingDuty) assignReaders(ctx context.Context, restart bool) {
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

// dispatched tells the owner of the chain what the target is about to hold,
// and all VMs of the region how much work it got. Without the latter, the VMs
// know the work of each other only from reports that are a second old.
func (r *routingDuty) dispatched(d routing.Dispatch) {
	peers := r.peers.Load()
	self := r.node.settings.VM
	owner := ""
	work := &indexv1.Dispatch{Target: toTarget(d.Ref), WorkUs: uint32(d.Work.Microseconds())}
	if len(d.Chain) > 0 {
		owner = peers.owners.Owner(d.Chain[0])
	}
	if peer, ok := peers.clients[owner]; ok && owner != self {
		whole := &indexv1.Dispatch{Target: work.Target, WorkUs: work.WorkUs, Blocks: toNumbers(d.Chain), Held: uint32(d.Held), Failed: d.Failed}
		peer.waiting.Push(news{dispatch: whole})
	}
	if owner == self {
		r.intents.Placed(d.Chain)
	}
	if d.Failed {
		return
	}
	r.tell(news{dispatch: work}, func(vm string, _ *indexPeer) bool { return vm != owner && vm != self })
}

// shareLoad tells the VMs of other zones, which get no heartbeats, the load of
// a target of this zone.
func (r *routingDuty) shareLoad(ref target.Ref, l target.Load) {
	report := &indexv1.LoadReport{
		Target:              toTarget(ref),
		Running:             uint32(max(0, l.Running)),
		Waiting:             uint32(max(0, l.Waiting)),
		QueuedPrefillTokens: uint32(max(0, l.QueuedPrefillTokens)),
	}
	r.tell(news{load: report}, func(_ string, p *indexPeer) bool { return p.zone != r.node.settings.Zone })
}

// otherZones reports whether the region has VMs in other zones.
func (r *routingDuty) otherZones() bool {
	peers := r.peers.Load()
	return len(peers.owners.Names()) > len(peers.readers.Names())
}

// tell queues news for the selected peers if that is affordable.
func (r *routingDuty) tell(n news, selected func(vm string, p *indexPeer) bool) {
	var told []*indexPeer
	for vm, peer := range r.peers.Load().clients {
		if selected(vm, peer) {
			told = append(told, peer)
		}
	}
	if !r.affordable(len(told)) {
		return
	}
	for _, peer := range told {
		peer.waiting.Push(n)
	}
}

// affordable takes the cost of telling n peers from the credit.
func (r *routingDuty) affordable(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.node.clock()
	r.credit += newsBytesPerSecond * now.Sub(r.credited).Seconds()
	r.credit = min(r.credit, newsBytesPerSecond)
	r.credited = now
	cost := float64(n * newsBytes)
	if n < 1 || r.credit < cost {
		return false
	}
	r.credit -= cost
	return true
}
