package membership

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// merge takes over the news in a message.
func (c *Core) merge(now time.Time, from string, m *Message) {
	for i := range m.Updates {
		c.mergeUpdate(now, m.Updates[i])
	}
	for _, d := range m.Drains {
		if c.registry.MergeDrain(d) {
			c.spreadDrain(d, m.Zone == c.self.Zone)
		}
	}
	for _, t := range m.Targets {
		heard := now.Add(-t.Age - hopAllowance)
		change := c.registry.Announce(t.Announcement, heard)
		c.spreadTarget(t.Announcement, change, heard)
	}
	for _, b := range m.Beats {
		heard := now.Add(-b.Age - hopAllowance)
		if c.registry.Beat(b.Beat, heard) {
			c.spreadBeat(b.Beat, heard)
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
		// Former members that are unknown here are not taken over: they would
		// pass round for ever between VMs that forget at different times.
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
		// A new incarnation may have other addresses; they come by sync.
		return
	}
	m := old.Member
	m.Incarnation = u.Incarnation
	m.Version, m.Status = u.Version, u.Status
	m.ConfigRevision, m.KeyDigest = u.ConfigRevision, u.KeyDigest
	c.storeMember(now, m, true)
}

// newer reports whether a replaces b. A higher incarnation always does, and
// nothing takes back leaving within an incarnation.
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

// mergeSelf refutes what others wrongly believe about this VM.
func (c *Core) mergeSelf(now time.Time, u Update) {
	if u.Incarnation < c.self.Incarnation || c.self.Status == Left {
		return
	}
	if u.Incarnation > c.self.Incarnation {
		// The clock went back between two starts; the former self must not
		// outrank this one.
		c.self.Incarnation = u.Incarnation + 1
		c.self.Version = 1
		c.storeSelf(now)
		c.spreadMember(c.self, false)
		return
	}
	if u.Status != Alive && u.Version >= c.self.Version {
		c.self.Version = u.Version + 1
		if u.Status == Left {
			// Leaving cannot be refuted; this VM has not left.
			c.self.Incarnation++
		}
		c.storeSelf(now)
		c.spreadMember(c.self, u.Status != Left)
	}
}

// accusedBy reports whether the sender believes that this VM failed. The
// answer to it ends the exchange: without it two VMs that think each other
// dead would go on telling each other so.
func (c *Core) accusedBy(m *Message) bool {
	for i := range m.Updates {
		u := &m.Updates[i]
		if u.VM == c.self.VM && u.Incarnation == c.self.Incarnation && u.Status != Alive {
			return c.self.Status != Left
		}
	}
	return false
}

func (c *Core) storeMember(now time.Time, m Member, brief bool) {
	e := &entry{Member: m, since: now}
	if old, ok := c.members[m.VM]; ok && old.Status == m.Status && old.Incarnation == m.Incarnation {
		e.since = old.since
	}
	c.members[m.VM] = e
	clear(c.views)
	c.spreadMember(m, brief)
	if m.Status == Alive {
		c.replaceAtAddress(now, &m)
	}
}

// replaceAtAddress ends a member that another, started later, took the
// address of.
func (c *Core) replaceAtAddress(now time.Time, m *Member) {
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
	e.since = now
	clear(c.views)
	c.spreadMember(e.Member, true)
}

// checkSender asks a sender that this VM does not know for its state, and
// tells a sender that is thought dead, so that it can refute.
func (c *Core) checkSender(now time.Time, from string, m *Message) {
	e, known := c.members[m.From]
	if !known || e.Incarnation < m.Incarnation {
		c.requestSync(now, from, nil, false)
		return
	}
	if e.Incarnation == m.Incarnation && e.Status == Dead && m.Kind != KindProbe && m.Zone == c.self.Zone {
		c.send(from, Message{Kind: KindGossip, Updates: []Update{{Member: e.Member, Brief: true}}})
	}
}

// answer builds the acknowledgement of a probe.
func (c *Core) answer(now time.Time, m *Message) Message {
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

// requestSync asks for the state of zones, at most once per syncInterval and
// address.
func (c *Core) requestSync(now time.Time, to string, zones []string, pullBack bool) {
	if now.Before(c.nextSync[to]) {
		return
	}
	c.nextSync[to] = now.Add(syncInterval)
	c.send(to, Message{
		Kind:     KindSyncRequest,
		Zones:    zones,
		PullBack: pullBack,
		Updates:  []Update{{Member: c.self}},
	})
}

// sendState sends everything known about zones, in as many packets as needed.
func (c *Core) sendState(now time.Time, to string, zones []string) {
	page := newPage(KindSync)
	flush := func() {
		if !page.empty() {
			c.send(to, page.message)
		}
		page = newPage(KindSync)
	}
	wanted := zoneSet(zones)
	for _, e := range c.sorted(func(e *entry) bool { return wanted.has(e.Zone) }) {
		// Former members matter only to VMs that still hold them for live.
		u := Update{Member: e.Member, Brief: !e.live()}
		if !page.addUpdate(u) {
			flush()
			page.addUpdate(u)
		}
	}
	for _, t := range c.registry.All() {
		u := TargetUpdate{Announcement: t.Announcement, Age: now.Sub(t.LastHeard)}
		if wanted.has(t.Announcement.Zone) && !page.addTarget(u) {
			flush()
			page.addTarget(u)
		}
	}
	for _, d := range c.registry.Drains() {
		if !page.addDrain(d) {
			flush()
			page.addDrain(d)
		}
	}
	flush()
}

// zoneSet is a set of zones; empty means all.
type zoneSet []string

func (z zoneSet) has(zone string) bool {
	for _, s := range z {
		if s == zone {
			return true
		}
	}
	return len(z) == 0
}

// page fills one packet.
type page struct {
	message Message
	left    int
}

func newPage(kind Kind) *page {
	// Names in the header are at most as long as those in an update; 64 bytes
	// each are allowed for.
	return &page{message: Message{Kind: kind}, left: MaxPacketBytes - headerBytes - 128}
}

func (p *page) empty() bool {
	m := &p.message
	return len(m.Updates)+len(m.Targets)+len(m.Beats)+len(m.Digests)+len(m.Drains) == 0
}

func (p *page) take(size int) bool {
	if size > p.left {
		return false
	}
	p.left -= size
	return true
}

func (p *page) addUpdate(u Update) bool {
	if !p.take(u.size()) {
		return false
	}
	p.message.Updates = append(p.message.Updates, u)
	return true
}

func (p *page) addTarget(t TargetUpdate) bool {
	if !p.take(t.size()) {
		return false
	}
	p.message.Targets = append(p.message.Targets, t)
	return true
}

func (p *page) addBeat(b BeatUpdate) bool {
	if !p.take(beatBytes) {
		return false
	}
	p.message.Beats = append(p.message.Beats, b)
	return true
}

func (p *page) addDigest(d Digest) bool {
	if !p.take(d.size()) {
		return false
	}
	p.message.Digests = append(p.message.Digests, d)
	return true
}

func (p *page) addDrain(d target.Drain) bool {
	if !p.take(drainBytes + len(d.ID)) {
		return false
	}
	p.message.Drains = append(p.message.Drains, d)
	return true
}
