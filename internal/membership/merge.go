package membership

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// merge applies the updates in a message.
func (c *Core) merge(now time.Time, from string, m *Message) {
	for i := range m.Updates {
		c.mergeUpdate(now, m.Updates[i])
	}
	for _, d := range m.Drains {
		if c.registry.MergeDrain(d) {
			c.queueDrain(d, m.Zone == c.self.Zone)
		}
	}
	for _, t := range m.Targets {
		receivedAt := now.Add(-t.Age - hopAllowance)
		change := c.registry.MergeAnnouncement(t.Announcement, receivedAt)
		c.queueTarget(t.Announcement, change, receivedAt)
	}
	for _, h := range m.Heartbeats {
		receivedAt := now.Add(-h.Age - hopAllowance)
		if c.registry.MergeHeartbeat(h.Heartbeat, receivedAt) {
			c.queueHeartbeat(h.Heartbeat, receivedAt)
		}
	}
	for i := range m.Digests {
		c.mergeDigest(now, from, m.Digests[i])
	}
}

func (c *Core) mergeUpdate(now time.Time, u Update) {
	if u.VM == c.self.VM {
		c.mergeSelf(now, u)
		return
	}
	old, known := c.members[u.VM]
	if !known {
		// Unknown former members are not added: VMs drop them at different
		// times and would keep passing them back to each other.
		if !u.Brief && (u.Status == Alive || u.Status == Suspect) {
			c.storeMember(now, u.Member, false)
		}
		return
	}
	if !newer(u.Member, old.Member) {
		return
	}
	if !u.Brief {
		c.storeMember(now, u.Member, u.Incarnation == old.Incarnation)
		return
	}
	former := u.Status == Dead || u.Status == Left
	if u.Incarnation != old.Incarnation && !former {
		// A new incarnation may have different addresses, which arrive by sync.
		return
	}
	m := old.Member
	m.Incarnation = u.Incarnation
	m.Version, m.Status = u.Version, u.Status
	m.ConfigRevision, m.KeyDigest = u.ConfigRevision, u.KeyDigest
	c.storeMember(now, m, true)
}

// newer reports whether a supersedes b. A higher incarnation always does.
// Within an incarnation, Left is final.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if (a.Status == Left) != (b.Status == Left) {
		return a.Status == Left
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Status > b.Status
}

// mergeSelf refutes wrong states that other VMs hold for this VM.
func (c *Core) mergeSelf(now time.Time, u Update) {
	if u.Incarnation < c.self.Incarnation || c.self.Status == Left {
		return
	}
	if u.Incarnation > c.self.Incarnation {
		// The clock was set back between two starts. The previous incarnation
		// must not outrank this one.
		c.self.Incarnation = u.Incarnation + 1
		c.self.Version = 1
		c.storeSelf(now)
		c.queueMember(c.self, false)
		return
	}
	if u.Status != Alive && u.Version >= c.self.Version {
		c.self.Version = u.Version + 1
		if u.Status == Left {
			// Left cannot be refuted within an incarnation, and this VM has not
			// left.
			c.self.Incarnation++
		}
		c.storeSelf(now)
		c.queueMember(c.self, u.Status != Left)
	}
}

// reportedFailedBy reports whether the sender considers this VM suspect, dead
// or left. The reply to such a message carries this VM's current state and
// ends the exchange. Without it, two VMs that each consider the other dead
// would keep telling each other so.
func (c *Core) reportedFailedBy(m *Message) bool {
	for i := range m.Updates {
		u := &m.Updates[i]
		if u.VM == c.self.VM && u.Incarnation == c.self.Incarnation && u.Status != Alive {
			return c.self.Status != Left
		}
	}
	return false
}

func (c *Core) storeMember(now time.Time, m Member, brief bool) {
	e := &entry{Member: m, statusSince: now}
	if old, ok := c.members[m.VM]; ok && old.Status == m.Status && old.Incarnation == m.Incarnation {
		e.statusSince = old.statusSince
	}
	c.members[m.VM] = e
	clear(c.views)
	c.queueMember(m, brief)
	if m.Status == Alive {
		c.markReplacedDead(now, &m)
	}
}

// markReplacedDead marks live members dead that have the same gossip address
// as m but an older incarnation: m has taken over their address.
func (c *Core) markReplacedDead(now time.Time, m *Member) {
	for _, e := range c.members {
		if e.VM == m.VM || e.GossipAddress != m.GossipAddress || !e.live() || e.VM == c.self.VM {
			continue
		}
		if e.Incarnation < m.Incarnation {
			c.setStatus(now, e, Dead)
		}
	}
}

func (c *Core) setStatus(now time.Time, e *entry, s Status) {
	e.Status = s
	e.statusSince = now
	clear(c.views)
	c.queueMember(e.Member, true)
}

// verifySender requests a sync from a sender that this VM does not know, and
// notifies a sender that this VM considers dead, so that it can refute.
func (c *Core) verifySender(now time.Time, from string, m *Message) {
	e, known := c.members[m.From]
	if !known || e.Incarnation < m.Incarnation {
		c.requestSync(now, from, nil, false)
		return
	}
	if e.Incarnation == m.Incarnation && e.Status == Dead && m.Kind != KindProbe && m.Zone == c.self.Zone {
		c.send(from, Message{Kind: KindGossip, Updates: []Update{{Member: e.Member, Brief: true}}})
	}
}

// ackFor returns the ack of a probe. If this VM does not consider the sender
// alive, the ack says so, so that the sender can refute it. An ack to another zone
// also carries a digest.
func (c *Core) ackFor(now time.Time, m *Message) Message {
	ack := Message{Kind: KindAck, Sequence: m.Sequence}
	e, known := c.members[m.From]
	if known && e.Status != Alive && e.Incarnation == m.Incarnation {
		ack.Updates = append(ack.Updates, Update{Member: e.Member, Brief: true})
	}
	if m.Zone != c.self.Zone {
		ack.Digests = []Digest{c.digest(now)}
	}
	return ack
}

// requestSync requests the state of zones from an address, at most once per
// syncInterval for each address. With syncBack, the receiver also requests the
// state of this VM.
func (c *Core) requestSync(now time.Time, to string, zones []string, syncBack bool) {
	if now.Before(c.nextSync[to]) {
		return
	}
	c.nextSync[to] = now.Add(syncInterval)
	c.send(to, Message{
		Kind:     KindSyncRequest,
		Zones:    zones,
		SyncBack: syncBack,
		Updates:  []Update{{Member: c.self}},
	})
}

// sendState sends the full state of zones, in as many packets as needed.
func (c *Core) sendState(now time.Time, to string, zones []string) {
	packet := newPacketBuilder(KindSync)
	flush := func() {
		if !packet.empty() {
			c.send(to, packet.message)
		}
		packet = newPacketBuilder(KindSync)
	}
	wanted := zoneSet(zones)
	for _, e := range c.sortedMembers(func(e *entry) bool { return wanted.contains(e.Zone) }) {
		// The full description of a former member is not needed: the status
		// matters only to VMs that still consider the member live.
		u := Update{Member: e.Member, Brief: !e.live()}
		if !packet.addUpdate(u) {
			flush()
			packet.addUpdate(u)
		}
	}
	for _, t := range c.registry.All() {
		u := TargetUpdate{Announcement: t.Announcement, Age: now.Sub(t.LastHeartbeat)}
		if wanted.contains(t.Announcement.Zone) && !packet.addTarget(u) {
			flush()
			packet.addTarget(u)
		}
	}
	for _, d := range c.registry.Drains() {
		if !packet.addDrain(d) {
			flush()
			packet.addDrain(d)
		}
	}
	flush()
}

// zoneSet is a set of zones. An empty set contains all zones.
type zoneSet []string

func (z zoneSet) contains(zone string) bool {
	for _, s := range z {
		if s == zone {
			return true
		}
	}
	return len(z) == 0
}

// packetBuilder fills one message up to the packet size limit.
type packetBuilder struct {
	message   Message
	remaining int
}

func newPacketBuilder(kind Kind) *packetBuilder {
	// The header names the sender's VM and zone. Both names are no longer
	// than those in an update; 64 bytes are reserved for each.
	return &packetBuilder{message: Message{Kind: kind}, remaining: MaxPacketBytes - headerBytes - 128}
}

func (p *packetBuilder) empty() bool {
	m := &p.message
	return len(m.Updates)+len(m.Targets)+len(m.Heartbeats)+len(m.Digests)+len(m.Drains) == 0
}

func (p *packetBuilder) reserve(size int) bool {
	if size > p.remaining {
		return false
	}
	p.remaining -= size
	return true
}

func (p *packetBuilder) addUpdate(u Update) bool {
	if !p.reserve(u.size()) {
		return false
	}
	p.message.Updates = append(p.message.Updates, u)
	return true
}

func (p *packetBuilder) addTarget(t TargetUpdate) bool {
	if !p.reserve(t.size()) {
		return false
	}
	p.message.Targets = append(p.message.Targets, t)
	return true
}

func (p *packetBuilder) addHeartbeat(h HeartbeatUpdate) bool {
	if !p.reserve(heartbeatBytes) {
		return false
	}
	p.message.Heartbeats = append(p.message.Heartbeats, h)
	return true
}

func (p *packetBuilder) addDigest(d Digest) bool {
	if !p.reserve(d.size()) {
		return false
	}
	p.message.Digests = append(p.message.Digests, d)
	return true
}

func (p *packetBuilder) addDrain(d target.Drain) bool {
	if !p.reserve(drainBytes + len(d.ID)) {
		return false
	}
	p.message.Drains = append(p.message.Drains, d)
	return true
}
