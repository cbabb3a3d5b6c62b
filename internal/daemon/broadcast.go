package daemon

import (
	"context"
	"sort"
	"sync"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

// maxConcurrentCalls limits the concurrent calls of one broadcast. It exceeds
// the 350 VMs of the design size, so that VMs that do not respond do not use up
// the time for the others.
const maxConcurrentCalls = 512

// peer is another VM as the destination of a call.
type peer struct {
	vm      string
	zone    string
	region  string
	address string
	voter   bool
}

// peers returns the other VMs: the live members, and the voters of the
// settings. The zone of a voter is unknown until it has been a member.
func (n *Node) peers() []peer {
	var peers []peer
	known := map[string]bool{n.settings.VM: true}
	for _, m := range n.members() {
		if known[m.VM] {
			continue
		}
		known[m.VM] = true
		_, voter := n.settings.InitialVoters[m.VM]
		p := peer{m.VM, m.Zone, m.Region, m.PeerAddress, voter || m.Voter}
		peers = append(peers, p)
		if p.voter {
			n.seenVoters.Store(p.vm, p)
		}
	}
	for vm, address := range n.settings.InitialVoters {
		if known[vm] {
			continue
		}
		p := peer{vm: vm, address: address, voter: true}
		if seen, ok := n.seenVoters.Load(vm); ok {
			p = seen.(peer)
		}
		peers = append(peers, p)
	}
	return peers
}

// zoneTally counts by zone how many VMs are known and how many have confirmed.
type zoneTally struct {
	mu    sync.Mutex
	zones map[string]*adminv1.ZoneReach
}

// unknownZone stands for voters that have neither responded nor been members.
const unknownZone = "unknown"

// newTally returns a tally with the zones of the document, so that a zone
// without any known VM is shown as not reached.
func (n *Node) newTally() *zoneTally {
	t := &zoneTally{zones: make(map[string]*adminv1.ZoneReach)}
	if snapshot := n.Snapshot(); snapshot != nil {
		for zone := range snapshot.Document.Zones {
			t.zone(zone)
		}
	}
	return t
}

func (t *zoneTally) zone(name string) *adminv1.ZoneReach {
	if name == "" {
		name = unknownZone
	}
	if t.zones[name] == nil {
		t.zones[name] = &adminv1.ZoneReach{Zone: name}
	}
	return t.zones[name]
}

func (t *zoneTally) count(zone string, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zone(zone)
	z.Known++
	if confirmed {
		z.Confirmed++
	}
}

// result returns the zones sorted by name.
func (t *zoneTally) result() []*adminv1.ZoneReach {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*adminv1.ZoneReach, 0, len(t.zones))
	for _, z := range t.zones {
		z.Complete = z.Known > 0 && z.Confirmed == z.Known
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetZone() < out[j].GetZone() })
	return out
}

// broadcast calls f for every other VM, up to maxConcurrentCalls at a time, and
// returns when all calls have ended.
func (n *Node) broadcast(ctx context.Context, f func(ctx context.Context, p peer)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, p := range n.peers() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(ctx, p)
		})
	}
	group.Wait()
}

// pollPeers asks every other VM for a confirmation and counts the responses by
// zone; self is the confirmation of this VM. confirm returns the zone that the
// VM states, and whether it confirmed.
func (n *Node) pollPeers(ctx context.Context, self bool, confirm func(ctx context.Context, p peer) (string, bool)) []*adminv1.ZoneReach {
	tally := n.newTally()
	tally.count(n.settings.Zone, self)
	n.broadcast(ctx, func(ctx context.Context, p peer) {
		zone, ok := confirm(ctx, p)
		if zone == "" {
			zone = p.zone
		}
		tally.count(zone, ok)
	})
	return tally.result()
}
