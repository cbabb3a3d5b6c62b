package membership

import (
	"math/bits"
	"sort"
	"strconv"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// packetsPerTick is the maximum number of gossip packets sent to one peer per
// tick.
const packetsPerTick = 2

// broadcast is a queued update with its remaining transmissions.
type broadcast struct {
	// key identifies the subject. A later broadcast with the same key replaces
	// an earlier one.
	key string
	// zoneTransmits is the remaining number of ticks in which it is sent to
	// fanout zone peers.
	zoneTransmits int
	// crossZoneTransmits is the remaining number of ticks in which it is sent
	// to the delegates of other zones.
	crossZoneTransmits int
	// receivedAt is when a VM received the heartbeat it carries.
	receivedAt time.Time

	update    *Update
	target    *target.Announcement
	heartbeat *target.Heartbeat
	digest    *Digest
	drain     *target.Drain
}

// crossZoneTransmitLimit is the number of ticks in which an update of this zone is
// sent to the delegates of other zones.
const crossZoneTransmitLimit = 2

// urgentTransmits returns how often an important update is sent: often enough
// to reach every VM of a zone of this size.
func (c *Core) urgentTransmits() int {
	return bits.Len(uint(len(c.liveInZone(c.self.Zone)))) + 1
}

// remoteTransmits returns how often an update from another zone is sent to zone
// peers if it reports a live member or a new target. VMs that miss it detect that from
// digests. Such updates are most of the traffic when the whole fleet starts.
func (c *Core) remoteTransmits(joined bool) int {
	if joined {
		return 2
	}
	return 1
}

func (c *Core) crossZoneTransmitsFor(fromOwnZone bool) int {
	if fromOwnZone {
		return crossZoneTransmitLimit
	}
	return 0
}

// queueMember queues an update about a member. Updates that change only the
// payload of a member in another zone are frequent and not urgent.
func (c *Core) queueMember(m Member, brief bool) {
	item := &broadcast{
		key:                "m/" + m.VM,
		zoneTransmits:      c.urgentTransmits(),
		crossZoneTransmits: c.crossZoneTransmitsFor(m.Zone == c.self.Zone),
		update:             &Update{Member: m, Brief: brief},
	}
	if m.Status == Alive && m.Zone != c.self.Zone {
		item.zoneTransmits = c.remoteTransmits(!brief)
	}
	if c.mergingSync && m.Zone != c.self.Zone {
		item.zoneTransmits = 0
	}
	if old, ok := c.broadcasts[item.key]; ok && old.update.Incarnation == m.Incarnation && !old.update.Brief {
		item.update.Brief = false
	}
	c.broadcasts[item.key] = item
}

// queueTarget queues an announcement. A heartbeat that changed only the sequence
// and the load stays in its zone, because other zones get digests instead.
func (c *Core) queueTarget(a target.Announcement, change target.Change, receivedAt time.Time) {
	switch change {
	case target.Stale:
	case target.Refreshed:
		if a.Zone == c.self.Zone {
			key := target.Ref{ID: a.ID, Incarnation: a.Incarnation}.Key()
			c.queueHeartbeat(target.Heartbeat{Key: key, Sequence: a.Sequence, Load: a.Load}, receivedAt)
		}
	default:
		item := &broadcast{
			key:                "t/" + a.ID,
			zoneTransmits:      c.urgentTransmits(),
			crossZoneTransmits: c.crossZoneTransmitsFor(a.Zone == c.self.Zone),
			receivedAt:         receivedAt,
			target:             &a,
		}
		if change == target.Joined && a.Zone != c.self.Zone {
			item.zoneTransmits = c.remoteTransmits(true)
		}
		if c.mergingSync && a.Zone != c.self.Zone {
			item.zoneTransmits = 0
		}
		c.broadcasts[item.key] = item
	}
}

func (c *Core) queueHeartbeat(h target.Heartbeat, receivedAt time.Time) {
	key := "b/" + strconv.FormatUint(h.Key, 16)
	c.broadcasts[key] = &broadcast{key: key, zoneTransmits: 1, receivedAt: receivedAt, heartbeat: &h}
}

func (c *Core) queueDrain(d target.Drain, fromOwnZone bool) {
	c.broadcasts["d/"+d.ID] = &broadcast{
		key:                "d/" + d.ID,
		zoneTransmits:      c.urgentTransmits(),
		crossZoneTransmits: c.crossZoneTransmitsFor(fromOwnZone),
		drain:              &d,
	}
}

func (c *Core) queueDigest(d Digest, receivedAt time.Time) {
	c.broadcasts["z/"+d.Zone] = &broadcast{key: "z/" + d.Zone, zoneTransmits: 1, receivedAt: receivedAt, digest: &d}
}

// tickBroadcasts sends the queued broadcasts.
func (c *Core) tickBroadcasts(now time.Time) {
	if len(c.broadcasts) == 0 {
		return
	}
	items := c.sortedBroadcasts()
	peers := c.shuffled(c.zonePeers())
	peers = peers[:min(fanout, len(peers))]
	if len(peers) > 0 {
		zonePackets := pack(now, items, func(i *broadcast) *int { return &i.zoneTransmits })
		for _, e := range peers {
			c.sendAll(e.GossipAddress, zonePackets)
		}
	}
	if c.isDelegate() {
		remotePackets := pack(now, items, func(i *broadcast) *int { return &i.crossZoneTransmits })
		c.forEachRemoteDelegate(func(e *entry) { c.sendAll(e.GossipAddress, remotePackets) })
	}
	for _, i := range items {
		if len(peers) == 0 && i.key != "m/"+c.self.VM {
			// No peer is known. Peers that join later request the state.
			i.zoneTransmits = 0
		}
		if i.zoneTransmits <= 0 && (i.crossZoneTransmits <= 0 || !c.isDelegate()) {
			delete(c.broadcasts, i.key)
		}
	}
}

// sortedBroadcasts returns the queue in sending order: changes before
// heartbeats, and within a priority the least transmitted broadcasts first.
func (c *Core) sortedBroadcasts() []*broadcast {
	items := make([]*broadcast, 0, len(c.broadcasts))
	for _, i := range c.broadcasts {
		items = append(items, i)
	}
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if a.priority() != b.priority() {
			return a.priority() < b.priority()
		}
		if a.zoneTransmits != b.zoneTransmits {
			return a.zoneTransmits > b.zoneTransmits
		}
		return a.key < b.key
	})
	return items
}

func (i *broadcast) priority() int {
	switch {
	case i.target != nil, i.drain != nil:
		return 0
	case i.digest != nil:
		return 1
	case i.update != nil && i.update.Status != Alive:
		return 2
	case i.heartbeat != nil:
		return 3
	}
	return 4
}

// pack fills packets with the items that have transmissions remaining and
// decrements their counts.
func pack(now time.Time, items []*broadcast, remaining func(*broadcast) *int) []*packetBuilder {
	packets := []*packetBuilder{newPacketBuilder(KindGossip)}
	for _, i := range items {
		if *remaining(i) <= 0 {
			continue
		}
		if !i.addTo(packets[len(packets)-1], now) {
			if len(packets) == packetsPerTick {
				continue
			}
			packets = append(packets, newPacketBuilder(KindGossip))
			i.addTo(packets[len(packets)-1], now)
		}
		*remaining(i)--
	}
	return packets
}

func (i *broadcast) addTo(p *packetBuilder, now time.Time) bool {
	age := max(0, now.Sub(i.receivedAt))
	switch {
	case i.update != nil:
		return p.addUpdate(*i.update)
	case i.target != nil:
		return p.addTarget(TargetUpdate{Announcement: *i.target, Age: age})
	case i.heartbeat != nil:
		return p.addHeartbeat(HeartbeatUpdate{Heartbeat: *i.heartbeat, Age: age})
	case i.drain != nil:
		return p.addDrain(*i.drain)
	}
	d := *i.digest
	d.Targets.Age = age
	return p.addDigest(d)
}

func (c *Core) sendAll(to string, packets []*packetBuilder) {
	for _, p := range packets {
		if !p.empty() {
			c.send(to, p.message)
		}
	}
}
