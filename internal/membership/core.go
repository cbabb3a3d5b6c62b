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

// Intervals and bounds of the protocol.
const (
	// TickInterval is how often Tick must be called. News moves one hop per
	// tick; 100 ms lets it cross a zone of 44 VMs in about 0.4 s.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between two direct probes of one VM.
	probeInterval = time.Second
	// probeTimeout is the wait for a direct answer before helpers are asked.
	probeTimeout = 300 * time.Millisecond
	// indirectProbes is the number of helpers.
	indirectProbes = 3
	// suspicionTimeout is the time a suspect has to refute. It is several
	// times what the suspicion and the refutation need to cross a zone.
	suspicionTimeout = 3 * time.Second
	// fanout is the number of zone peers that get each piece of news per tick.
	fanout = 3
	// delegatesPerZone is the number of VMs that talk to other zones.
	delegatesPerZone = 2
	// digestInterval is the time between two digests of one delegate. Targets
	// are unusable 3 s after their last heartbeat, so digests must be frequent.
	digestInterval = 500 * time.Millisecond
	// zoneTimeout is the silence after which a zone counts as cut off.
	zoneTimeout = 5 * time.Second
	// reviveInterval is the time between two probes of members that are
	// thought dead, so that a cut heals by itself.
	reviveInterval = 5 * time.Second
	// joinInterval is the time between two tries to join while alone.
	joinInterval = 500 * time.Millisecond
	// joinPeriod is how long after its start a VM keeps asking join addresses
	// that no live member has.
	joinPeriod = 10 * time.Second
	// maxJoinRequests bounds the join addresses asked at once.
	maxJoinRequests = 3
	// syncInterval is the least time between two requests for state to one
	// address.
	syncInterval = 2 * time.Second
	// mismatchGrace is how long a difference of state may be news in flight.
	mismatchGrace = time.Second
	// forgetDeadAfter and forgetLeftAfter bound how long former members are
	// kept. The dead are kept long, because they may be cut off.
	forgetDeadAfter = 24 * time.Hour
	forgetLeftAfter = 10 * time.Minute
	// hopAllowance is added to ages at each hop for the time on the way. It
	// covers the 30 ms between regions.
	hopAllowance = 40 * time.Millisecond
)

// Config configures a Core.
type Config struct {
	// Self describes this VM.
	Self Member
	// Join lists gossip addresses of VMs to join.
	Join []string
	// Registry holds the targets that are spread.
	Registry *target.Registry
	// Rand chooses peers.
	Rand *rand.Rand
}

// Core is the membership protocol of one VM: messages and ticks in, packets
// out. It is not safe for concurrent use.
type Core struct {
	self     Member
	join     []string
	registry *target.Registry
	rand     *rand.Rand

	members map[string]*entry
	zones   map[string]*zoneState
	news    map[string]*newsItem
	out     []Packet
	// views caches what follows from members, per zone.
	views map[string]*zoneView
	// quiet is true while the state of another VM is merged. Such news is old
	// and mostly known, and VMs that lack it find out by digests.
	quiet bool

	sequence uint64
	ring     []string
	probe    probeState
	relays   map[uint64]relay

	digestNumber uint64
	nextProbe    time.Time
	nextDigest   time.Time
	nextRevive   time.Time
	nextJoin     time.Time
	started      time.Time
	// nextSync holds the earliest time of the next request per address.
	nextSync map[string]time.Time
}

// entry is a member with what the observer adds.
type entry struct {
	Member
	// since is when the status was taken.
	since time.Time
}

func (e *entry) live() bool { return e.Status == Alive || e.Status == Suspect }

// New returns a core that starts to work with its first tick.
func New(c Config, now time.Time) *Core {
	core := &Core{
		self:     c.Self,
		join:     c.Join,
		registry: c.Registry,
		rand:     c.Rand,
		members:  make(map[string]*entry),
		zones:    make(map[string]*zoneState),
		news:     make(map[string]*newsItem),
		relays:   make(map[uint64]relay),
		started:  now,
		nextSync: make(map[string]time.Time),
		views:    make(map[string]*zoneView),
	}
	core.self.Status = Alive
	core.self.Version = 1
	core.members[c.Self.VM] = &entry{Member: core.self, since: now}
	// A random phase keeps VMs that start together from probing together.
	phase := time.Duration(c.Rand.Int64N(int64(digestInterval)))
	core.nextProbe = now.Add(phase)
	core.nextDigest = now.Add(phase)
	core.nextRevive = now.Add(reviveInterval)
	core.spreadMember(core.self, false)
	return core
}

// Tick advances the protocol and returns the packets to send.
func (c *Core) Tick(now time.Time) []Packet {
	c.expire(now)
	c.tickJoin(now)
	c.tickProbe(now)
	c.tickRevive(now)
	c.tickZones(now)
	for _, d := range c.registry.TakeOwnDrains() {
		c.spreadDrain(d, true)
	}
	c.tickNews(now)
	return c.take()
}

// Receive handles one message and returns the packets to send.
func (c *Core) Receive(now time.Time, from string, m Message) []Packet {
	if m.From == c.self.VM && m.Incarnation == c.self.Incarnation {
		return nil
	}
	c.quiet = m.Kind == KindSync
	c.merge(now, from, &m)
	c.quiet = false
	if c.accusedBy(&m) {
		c.send(from, Message{Kind: KindGossip, Updates: []Update{{Member: c.self, Brief: true}}})
	}
	switch m.Kind {
	case KindProbe:
		c.send(from, c.answer(now, &m))
		c.learnZones(now, from, m.Zones)
	case KindAck:
		c.acknowledged(m.Sequence)
	case KindProbeRequest:
		c.probeFor(now, from, &m)
	case KindSyncRequest:
		c.sendState(now, from, m.Zones)
		if m.PullBack {
			c.send(from, Message{Kind: KindSyncRequest, Zones: m.Zones})
		}
	}
	c.checkSender(now, from, &m)
	return c.take()
}

// Leave marks this VM as left. Later ticks spread it; it takes back nothing.
func (c *Core) Leave(now time.Time) []Packet {
	c.self.Status = Left
	c.self.Version++
	c.storeSelf(now)
	left := Update{Member: c.self}
	tell := func(e *entry) { c.send(e.GossipAddress, Message{Kind: KindGossip, Updates: []Update{left}}) }
	for _, e := range c.zonePeers() {
		tell(e)
	}
	c.toOtherZones(tell)
	return c.take()
}

// UpdateSelf takes over a changed configuration revision or key digest.
func (c *Core) UpdateSelf(now time.Time, revision, keyDigest uint64) {
	if c.self.ConfigRevision == revision && c.self.KeyDigest == keyDigest {
		return
	}
	c.self.ConfigRevision = revision
	c.self.KeyDigest = keyDigest
	c.self.Version++
	c.storeSelf(now)
}

// Announce spreads a heartbeat that this VM got from the target itself and
// that changed the registry in the given way.
func (c *Core) Announce(a target.Announcement, change target.Change, now time.Time) {
	c.spreadTarget(a, change, now)
}

// Members returns the live members, sorted by name, this VM included unless
// it left. Members of a zone that is cut off are not live.
func (c *Core) Members(now time.Time) []Member {
	live := c.sorted(func(e *entry) bool { return e.live() && c.reachable(e.Zone, now) })
	out := make([]Member, len(live))
	for i, e := range live {
		out[i] = e.Member
	}
	return out
}

func (c *Core) storeSelf(now time.Time) {
	c.members[c.self.VM] = &entry{Member: c.self, since: now}
	clear(c.views)
	c.spreadMember(c.self, true)
}

func (c *Core) send(to string, m Message) {
	m.From = c.self.VM
	m.Incarnation = c.self.Incarnation
	m.Zone = c.self.Zone
	c.out = append(c.out, Packet{To: to, Message: m})
}

func (c *Core) take() []Packet {
	out := c.out
	c.out = nil
	return out
}

// inZone returns the live members of a zone, sorted by name. The result must
// not be changed.
func (c *Core) inZone(zone string) []*entry {
	return c.view(zone).live
}

// zoneView is what follows from the members of one zone.
type zoneView struct {
	live []*entry
	hash uint64
}

// view returns the cached view of a zone, which must not be changed. Every
// change of a member clears the cache.
func (c *Core) view(zone string) *zoneView {
	v, ok := c.views[zone]
	if !ok {
		v = &zoneView{live: c.sorted(func(e *entry) bool { return e.Zone == zone && e.live() })}
		v.hash = hashMembers(v.live)
		c.views[zone] = v
	}
	return v
}

// sorted returns the members that keep selects, by name. The order keeps runs
// with the same random source the same.
func (c *Core) sorted(keep func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range c.members {
		if keep(e) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// zonePeers returns the live members of this VM's zone without itself.
func (c *Core) zonePeers() []*entry {
	all := c.inZone(c.self.Zone)
	peers := make([]*entry, 0, len(all))
	for _, e := range all {
		if e.VM != c.self.VM {
			peers = append(peers, e)
		}
	}
	return peers
}

// delegates returns the VMs that talk to other zones for zone.
func (c *Core) delegates(zone string) []*entry {
	all := c.inZone(zone)
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

// hashMembers identifies members and their versions.
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
