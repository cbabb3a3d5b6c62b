package membership

import (
	"sort"
	"time"
)

// zoneState is what this VM knows about a zone, its own included, from digests.
type zoneState struct {
	// lastDigest is when the newest digest was received.
	lastDigest time.Time
	// lastForwarded is when a digest was last queued for the zone peers.
	lastForwarded time.Time
	// sources describes the newest digest of each VM that sends digests of the
	// zone.
	sources map[string]digestSource
}

// digestSource identifies the newest digest of one VM and records whether the
// local state matches it.
type digestSource struct {
	incarnation, sequence uint64
	// mismatchSince is when the local state began to differ from the source's
	// digests; zero if they match.
	mismatchSince time.Time
}

// forwardInterval is the minimum time between two forwarded digests of one
// zone. Both delegates of a zone send digests, and forwarding each of them
// would double the traffic.
const forwardInterval = 300 * time.Millisecond

// zone returns the state of a zone and creates it if there is none.
func (c *Core) zone(name string) *zoneState {
	z, ok := c.zones[name]
	if !ok {
		z = &zoneState{sources: make(map[string]digestSource)}
		c.zones[name] = z
	}
	return z
}

// reachable reports whether zone is this VM's own or sent a digest within
// zoneTimeout.
func (c *Core) reachable(zone string, now time.Time) bool {
	return zone == c.self.Zone || now.Sub(c.zone(zone).lastDigest) < zoneTimeout
}

// digest returns a new digest of this VM's zone.
func (c *Core) digest(now time.Time) Digest {
	c.digestSequence++
	return Digest{
		Zone:        c.self.Zone,
		VM:          c.self.VM,
		Incarnation: c.self.Incarnation,
		Sequence:    c.digestSequence,
		MembersHash: c.view(c.self.Zone).hash,
		Targets:     c.registry.Summarize(c.self.Zone, now),
	}
}

// tickZones sends a digest to the zone peers and to the delegates of other
// zones if this VM is a delegate.
func (c *Core) tickZones(now time.Time) {
	if now.Before(c.nextDigest) || c.self.Status == Left {
		return
	}
	c.nextDigest = now.Add(digestInterval)
	if !c.isDelegate() {
		return
	}
	d := c.digest(now)
	c.queueDigest(d, now.Add(-d.Targets.Age))
	probe := Message{Kind: KindProbe, Digests: []Digest{d}}
	if c.digestSequence%digestsPerZoneList == 0 {
		probe.Zones = c.knownZones()
	}
	c.forEachRemoteDelegate(func(e *entry) { c.send(e.GossipAddress, probe) })
	c.probeUnreachableZones(now, probe)
}

// digestsPerZoneList is the number of digests per list of known zones.
const digestsPerZoneList = 8

// knownZones returns the zones of which this VM knows live members.
func (c *Core) knownZones() []string {
	zones := []string{c.self.Zone}
	for _, zone := range c.otherZones() {
		if c.hasLiveMember(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (c *Core) hasLiveMember(zone string) bool {
	for _, e := range c.members {
		if e.Zone == zone && e.live() {
			return true
		}
	}
	return false
}

// discoverZones requests the state of zones of which this VM knows no live
// member. Two zones that were partitioned before they knew each other have no
// other way to discover each other, even if a third zone knows both.
func (c *Core) discoverZones(now time.Time, from string, zones []string) {
	for _, zone := range zones {
		if zone != c.self.Zone && !c.hasLiveMember(zone) {
			c.requestSync(now, from, []string{zone}, false)
		}
	}
}

// forEachRemoteDelegate calls f for the delegates of every other zone.
func (c *Core) forEachRemoteDelegate(f func(*entry)) {
	for _, zone := range c.otherZones() {
		for _, e := range c.delegates(zone) {
			f(e)
		}
	}
}

func (c *Core) otherZones() []string {
	seen := make(map[string]bool)
	var zones []string
	for _, e := range c.members {
		if e.Zone != c.self.Zone && !seen[e.Zone] {
			seen[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// probeUnreachableZones probes a random member of each unreachable zone, because
// the delegates known to this VM may have been replaced during a partition.
func (c *Core) probeUnreachableZones(now time.Time, probe Message) {
	for _, zone := range c.otherZones() {
		if c.reachable(zone, now) {
			continue
		}
		all := c.sortedMembers(func(e *entry) bool { return e.Zone == zone && e.Status != Left })
		if len(all) == 0 {
			continue
		}
		c.send(all[c.rand.IntN(len(all))].GossipAddress, probe)
	}
}

// mergeDigest applies a digest unless a newer one of the same VM is known, and
// forwards it to the zone peers at most once per forwardInterval.
func (c *Core) mergeDigest(now time.Time, from string, d Digest) {
	if d.VM == c.self.VM {
		return
	}
	z := c.zone(d.Zone)
	last := z.sources[d.VM]
	if d.Incarnation < last.incarnation || d.Incarnation == last.incarnation && d.Sequence <= last.sequence {
		return
	}
	z.lastDigest = now
	d.Targets.Age += hopAllowance
	same := c.view(d.Zone).hash == d.MembersHash
	if d.Zone == c.self.Zone {
		same = c.registry.Summarize(d.Zone, now).Hash == d.Targets.Hash && same
	} else {
		same = c.registry.ApplySummary(d.Zone, d.Targets, now) && same
	}
	c.compareDigest(now, from, &d, same)
	if now.Sub(z.lastForwarded) >= forwardInterval {
		z.lastForwarded = now
		c.queueDigest(d, now.Add(-d.Targets.Age))
	}
}

// compareDigest requests the state of a zone if the local state has differed
// from the digests for longer than updates take to arrive.
func (c *Core) compareDigest(now time.Time, from string, d *Digest, same bool) {
	z := c.zone(d.Zone)
	source := digestSource{incarnation: d.Incarnation, sequence: d.Sequence}
	if !same {
		source.mismatchSince = z.sources[d.VM].mismatchSince
		if source.mismatchSince.IsZero() {
			source.mismatchSince = now
		}
	}
	z.sources[d.VM] = source
	if !same && now.Sub(source.mismatchSince) >= mismatchGrace {
		// The sync is mutual because the sender may be the side that lacks
		// members, even of its own zone: the members of a VM that joined through
		// another zone and lost the reply.
		c.requestSync(now, from, []string{d.Zone}, true)
	}
}
