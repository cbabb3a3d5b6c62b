package membership

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Protocol intervals and limits.
const (
	// TickInterval is how often Tick must be called. An update moves one hop
	// per tick, so at 100 ms it reaches all 44 VMs of a zone in about 0.4 s.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between two direct probes sent by one VM.
	probeInterval = time.Second
	// probeTimeout is how long a VM waits for the ack of a direct probe before
	// it requests indirect probes.
	probeTimeout = 300 * time.Millisecond
	// indirectProbes is the number of peers asked to probe an unresponsive VM.
	indirectProbes = 3
	// suspicionTimeout is how long a suspect has to refute the suspicion before
	// it is declared dead. It is several times the time that the suspicion and
	// the refutation need to cross a zone.
	suspicionTimeout = 3 * time.Second
	// fanout is the number of zone peers that each update is sent to per tick.
	fanout = 3
	// delegatesPerZone is the number of VMs per zone that exchange messages
	// with other zones.
	delegatesPerZone = 2
	// digestInterval is the time between two digests of one delegate. Digests
	// must be frequent because a target becomes unusable 3 s after its last
	// heartbeat.
	digestInterval = 500 * time.Millisecond
	// zoneTimeout is how long a zone may send no digest before it counts as
	// unreachable.
	zoneTimeout = 5 * time.Second
	// reconnectInterval is the time between two probes of dead members. These
	// probes heal a network partition without operator action.
	reconnectInterval = 5 * time.Second
	// joinInterval is the time between two join attempts while this VM knows
	// no other member or has just started.
	joinInterval = 500 * time.Millisecond
	// joinPeriod is how long after its start a VM keeps contacting the join
	// addresses that belong to no live member.
	joinPeriod = 10 * time.Second
	// maxJoinRequests is the maximum number of join addresses contacted at once.
	maxJoinRequests = 3
	// syncInterval is the minimum time between two sync requests to one
	// address.
	syncInterval = 2 * time.Second
	// mismatchGrace is how long the local state may differ from a digest before
	// a sync is requested. A shorter difference may be due to updates in flight.
	mismatchGrace = time.Second
	// deadRetention and leftRetention are how long former members are kept.
	// Dead members are kept longer because they may only be partitioned away.
	deadRetention = 24 * time.Hour
	leftRetention = 10 * time.Minute
	// hopAllowance is added to the age of a heartbeat at each hop to account
	// for the transit time. It covers the 30 ms latency between regions.
	hopAllowance = 40 * time.Millisecond
)

// Config configures a Core.
type Config struct {
	// Self is the description of this VM.
	Self Member
	// Join lists gossip addresses of VMs to join.
	Join []string
	// Registry holds the targets whose announcements are gossiped.
	Registry *target.Registry
	// Rand is the random source for choosing peers.
	Rand *rand.Rand
}

// Core implements the membership protocol of one VM. It takes messages and
// ticks and returns the packets to send. It is not safe for concurrent use.
type Core struct {
	self     Member
	join     []string
	registry *target.Registry
	rand     *rand.Rand

	members    map[string]*entry
	zones      map[string]*zoneState
	broadcasts map[string]*broadcast
	outbox     []Packet
	// views caches data derived from members, by zone.
	views map[string]*zoneView
	// mergingSync is true while a sync message of another VM is merged. Its
	// content is old and mostly known, so updates about other zones are not
	// queued for zone peers. VMs that lack such an update detect that from
	// digests.
	mergingSync bool

	sequence   uint64
	probeOrder []string
	probe      probeState
	relays     map[uint64]relay

	digestSequence uint64
	nextProbe      time.Time
	nextDigest     time.Time
	nextReconnect  time.Time
	nextJoin       time.Time
	started        time.Time
	// nextSync holds the earliest time of the next sync request, by address.
	nextSync map[string]time.Time
}

// entry is a member with the state that this VM keeps about it.
type entry struct {
	Member
	// statusSince is when the member got its current status.
	statusSince time.Time
}

func (e *entry) live() bool { return e.Status == Alive || e.Status == Suspect }

// New returns a core that becomes active with its first tick.
func New(c Config, now time.Time) *Core {
	core := &Core{
		self:       c.Self,
		join:       c.Join,
		registry:   c.Registry,
		rand:       c.Rand,
		members:    make(map[string]*entry),
		zones:      make(map[string]*zoneState),
		broadcasts: make(map[string]*broadcast),
		relays:     make(map[uint64]relay),
		started:    now,
		nextSync:   make(map[string]time.Time),
		views:      make(map[string]*zoneView),
	}
	core.self.Status = Alive
	core.self.Version = 1
	core.members[c.Self.VM] = &entry{Member: core.self, statusSince: now}
	// A random phase prevents VMs that start together from probing in lockstep.
	phase := time.Duration(c.Rand.Int64N(int64(digestInterval)))
	core.nextProbe = now.Add(phase)
	core.nextDigest = now.Add(phase)
	core.nextReconnect = now.Add(reconnectInterval)
	core.queueMember(core.self, false)
	return core
}

// Tick advances the protocol and returns the packets to send.
func (c *Core) Tick(now time.Time) []Packet {
	c.expire(now)
	c.tickJoin(now)
	c.tickProbe(now)
	c.tickReconnect(now)
	c.tickZones(now)
	for _, d := range c.registry.TakeLocalDrains() {
		c.queueDrain(d, true)
	}
	c.tickBroadcasts(now)
	return c.takePackets()
}

// Receive handles one message and returns the packets to send.
func (c *Core) Receive(now time.Time, from string, m Message) []Packet {
	if m.From == c.self.VM && m.Incarnation == c.self.Incarnation {
		return nil
	}
	c.mergingSync = m.Kind == KindSync
	c.merge(now, from, &m)
	c.mergingSync = false
	if c.reportedFailedBy(&m) {
		c.send(from, Message{Kind: KindGossip, Updates: []Update{{Member: c.self, Brief: true}}})
	}
	switch m.Kind {
	case KindProbe:
		c.send(from, c.ackFor(now, &m))
		c.discoverZones(now, from, m.Zones)
	case KindAck:
		c.handleAck(m.Sequence)
	case KindProbeRequest:
		c.relayProbe(now, from, &m)
	case KindSyncRequest:
		c.sendState(now, from, m.Zones)
		if m.SyncBack {
			c.send(from, Message{Kind: KindSyncRequest, Zones: m.Zones})
		}
	}
	c.verifySender(now, from, &m)
	return c.takePackets()
}

// Leave marks this VM as left and notifies other VMs. Later ticks repeat the
// notification. Leaving cannot be undone.
func (c *Core) Leave(now time.Time) []Packet {
	c.self.Status = Left
	c.self.Version++
	c.storeSelf(now)
	left := Update{Member: c.self}
	notify := func(e *entry) { c.send(e.GossipAddress, Message{Kind: KindGossip, Updates: []Update{left}}) }
	for _, e := range c.zonePeers() {
		notify(e)
	}
	c.forEachRemoteDelegate(notify)
	return c.takePackets()
}

// UpdateSelf sets the configuration revision and key digest of this VM and
// queues the change for the other VMs.
func (c *Core) UpdateSelf(now time.Time, revision, keyDigest uint64) {
	if c.self.ConfigRevision == revision && c.self.KeyDigest == keyDigest {
		return
	}
	c.self.ConfigRevision = revision
	c.self.KeyDigest = keyDigest
	c.self.Version++
	c.storeSelf(now)
}

// BroadcastTarget queues a heartbeat that this VM received directly from a
// target. The argument change is the result of merging it into the registry.
func (c *Core) BroadcastTarget(a target.Announcement, change target.Change, now time.Time) {
	c.queueTarget(a, change, now)
}

// Members returns the live members, sorted by name. It includes this VM unless
// this VM has left. Members of unreachable zones do not count as live.
func (c *Core) Members(now time.Time) []Member {
	live := c.sortedMembers(func(e *entry) bool { return e.live() && c.reachable(e.Zone, now) })
	out := make([]Member, len(live))
	for i, e := range live {
		out[i] = e.Member
	}
	return out
}

func (c *Core) storeSelf(now time.Time) {
	c.members[c.self.VM] = &entry{Member: c.self, statusSince: now}
	clear(c.views)
	c.queueMember(c.self, true)
}

func (c *Core) send(to string, m Message) {
	m.From = c.self.VM
	m.Incarnation = c.self.Incarnation
	m.Zone = c.self.Zone
	c.outbox = append(c.outbox, Packet{To: to, Message: m})
}

func (c *Core) takePackets() []Packet {
	out := c.outbox
	c.outbox = nil
	return out
}

// liveInZone returns the live members of a zone, sorted by name. Callers must
// not modify the result.
func (c *Core) liveInZone(zone string) []*entry {
	return c.view(zone).live
}

// zoneView holds data derived from the members of one zone.
type zoneView struct {
	live []*entry
	hash uint64
}

// view returns the cached view of a zone. Callers must not modify it. Every
// change of a member clears the cache.
func (c *Core) view(zone string) *zoneView {
	v, ok := c.views[zone]
	if !ok {
		v = &zoneView{live: c.sortedMembers(func(e *entry) bool { return e.Zone == zone && e.live() })}
		v.hash = hashMembers(v.live)
		c.views[zone] = v
	}
	return v
}

// sortedMembers returns the members that keep selects, sorted by name. The
// fixed order makes runs with the same random source reproducible.
func (c *Core) sortedMembers(keep func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range c.members {
		if keep(e) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// zonePeers returns the other live members of this VM's zone.
func (c *Core) zonePeers() []*entry {
	all := c.liveInZone(c.self.Zone)
	peers := make([]*entry, 0, len(all))
	for _, e := range all {
		if e.VM != c.self.VM {
			peers = append(peers, e)
		}
	}
	return peers
}

// delegates returns the VMs that exchange messages with other zones on behalf
// of zone.
func (c *Core) delegates(zone string) []*entry {
	all := c.liveInZone(zone)
	return all[:min(delegatesPerZone, len(all))]
}

func (c *Core) isDelegate() bool {
	for _, e := range c.delegates(c.self.Zone) {
		if e.VM == c.self.VM {
			return true
		}
	}
	return false
}

func (c *Core) shuffled(entries []*entry) []*entry {
	c.rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// hashMembers returns a hash over the members and their versions.
func hashMembers(sorted []*entry) uint64 {
	h := fnv.New64a()
	for _, e := range sorted {
		_, _ = io.WriteString(h, e.VM)
		var buf [16]byte
		binary.LittleEndian.PutUint64(buf[:8], e.Incarnation)
		binary.LittleEndian.PutUint64(buf[8:], e.Version)
		_, _ = h.Write(buf[:])
	}
	return h.Sum64()
}
