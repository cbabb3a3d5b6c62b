package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// maxPredictions bounds the predictions that wait to be published; more
	// are dropped, because events confirm them anyway.
	maxPredictions = 1024
)

// routingDuty keeps this VM's part of the index of cached blocks.
type routingDuty struct {
	node *Node
	// members returns the VMs that share the index.
	members     func() []membership.Member
	index       *prefix.Index
	cache       *targethttp.CacheReader
	predictions *ring.Ring[prediction]
	// peers is who owns which chains and how to reach them.
	peers atomic.Pointer[indexPeers]

	// known and readers belong to the duty that divides the targets.
	known   map[string]target.Ref
	readers map[string]*cacheReader
	done    sync.WaitGroup
}

// prediction is a choice that the owner of the chain is told of.
type prediction struct {
	ref   target.Ref
	chain []prefix.Hash
	held  int
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
		node:        n,
		members:     n.members,
		index:       prefix.NewIndex(n.clock),
		cache:       targethttp.NewCacheReader(n.options.Dial),
		predictions: ring.New[prediction](maxPredictions),
		known:       make(map[string]target.Ref),
		readers:     make(map[string]*cacheReader),
	}
	r.peers.Store(&indexPeers{owners: prefix.NewMembers(nil), readers: prefix.NewMembers(nil)})
	n.routing = r
	return &routing.Picker{
		Registry:  n.registry,
		Clock:     n.clock,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Index:     r.index,
		Remote:    r,
		Predicted: r.predicted,
		Zone:      n.settings.Zone,
		Region:    n.settings.Region,
	}
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
	n.duty(r.publishPredictions)
	return nil
}

// divide follows changes of the membership and of the registry.
func (r *routingDuty) divide(ctx context.Context) {
	changed := r.followMembers()
	r.dropGone()
	r.assignReaders(ctx, changed)
	r.index.Tick()
}

// followMembers reports true if owners changed.
func (r *routingDuty) followMembers() bool {
	var region, zone []string
	clients := make(map[string]*indexPeer)
	old := r.peers.Load()
	for _, m := range r.members() {
		if m.Status != membership.Alive || m.Region != r.node.settings.Region {
			continue
		}
		region = append(region, m.VM)
		if m.Zone == r.node.settings.Zone {
			zone = append(zone, m.VM)
		}
		clients[m.VM] = r.peer(old, m)
	}
	slices.Sort(region)
	slices.Sort(zone)
	same := slices.Equal(region, old.owners.Names()) && slices.Equal(zone, old.readers.Names())
	r.peers.Store(&indexPeers{prefix.NewMembers(region), prefix.NewMembers(zone), clients})
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

// predicted queues a prediction for the owner of the chain.
func (r *routingDuty) predicted(ref target.Ref, chain []prefix.Hash, held int) {
	if r.peers.Load().owners.Owner(chain[0]) != r.node.settings.VM {
		r.predictions.Push(prediction{ref, chain, held})
	}
}
