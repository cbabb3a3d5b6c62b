package membership

import (
	"sort"
	"time"
)

// zoneState is what this VM knows about a zone as a whole.
type zoneState struct {
	// heard is when the newest digest was received.
	heard time.Time
	// passedOn is when a digest was last queued for the zone peers.
	passedOn time.Time
	// makers holds the newest digest of each VM that made one.
	makers map[string]digestMaker
}

type digestMaker struct {
	incarnation, number uint64
	// differsSince is when the state here began to differ from its digests.
	differsSince time.Time
}

// passOnInterval bounds how often digests of one zone are passed on. Both
// delegates of a zone make digests; passing on each would double the bytes.
const passOnInterval = 300 * time.Millisecond

func (c *Core) zone(name string) *zoneState {
	z, ok := c.zones[name]
	if !ok {
		z = &zoneState{makers: make(map[string]digestMaker)}
		c.zones[name] = z
	}
	return z
}

// reachable reports whether a zone was heard from lately.
func (c *Core) reachable(zone string, now time.Time) bool {
	return zone == c.self.Zone || now.Sub(c.zone(zone).heard) < zoneTimeout
}

// digest summarises this VM's own zone.
func (c *Core) digest(now time.Time) Digest {
	c.digestNumber++
	return Digest{
		Zone:        c.self.Zone,
		VM:          c.self.VM,
		Incarnation: c.self.Incarnation,
		Number:      c.digestNumber,
		MembersHash: c.view(c.self.Zone).hash,
		Targets:     c.registry.Summarize(c.self.Zone, now),
	}
}

// tickZones lets a delegate send its digest to its zone and to the delegates
// of other zones.
func (c *Core) tickZones(now time.Time) {
	if now.Before(c.nextDigest) || c.self.Status == Left {
		return
	}
	c.nextDigest = now.Add(digestInterval)
	if !c.isDelegate() {
		return
	}
	d := c.digest(now)
	c.spreadDigest(d, now.Add(-d.Targets.Age))
	probe := Message{Kind: KindProbe, Digests: []Digest{d}}
	if c.digestNumber%zonesEvery == 0 {
		probe.Zones = c.knownZones()
	}
	c.toOtherZones(func(e *entry) { c.send(e.GossipAddress, probe) })
	c.probeSilentZones(now, probe)
}

// zonesEvery is how many digests go by between two lists of zones.
const zonesEvery = 8

// knownZones lists the zones of which this VM knows live members.
func (c *Core) knownZones() []string {
	zones := []string{c.self.Zone}
	for _, zone := range c.otherZones() {
		if c.knowsLive(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (c *Core) knowsLive(zone string) bool {
	for _, e := range c.members {
		if e.Zone == zone && e.live() {
			return true
		}
	}
	return false
}

// learnZones asks for the members of zones that are unknown here. Two zones
// that were cut off before they knew each other have no other way to meet, even
// if a third one knows both.
func (c *Core) learnZones(now time.Time, from string, zones []string) {
	for _, zone := range zones {
		if zone != c.self.Zone && !c.knowsLive(zone) {
			c.requestSync(now, from, []string{zone}, false)
		}
	}
}

// toOtherZones calls f for the delegates of every other zone.
func (c *Core) toOtherZones(f func(*entry)) {
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

// probeSilentZones probes any member of a zone that is not heard from: during
// a cut the delegates known here may have been replaced.
func (c *Core) probeSilentZones(now time.Time, probe Message) {
	for _, zone := range c.otherZones() {
		if c.reachable(zone, now) {
			continue
		}
		all := c.sorted(func(e *entry) bool { return e.Zone == zone && e.Status != Left })
		if len(all) == 0 {
			continue
		}
		c.send(all[c.rand.IntN(len(all))].GossipAddress, probe)
	}
}

func (c *Core) mergeDigest(now time.Time, from string, d Digest) {
	if d.VM == c.self.VM {
		return
	}
	z := c.zone(d.Zone)
	last := z.makers[d.VM]
	if d.Incarnation < last.incarnation || d.Incarnation == last.incarnation && d.Number <= last.number {
		return
	}
	z.heard = now
	d.Targets.Age += hopAllowance
	same := c.view(d.Zone).hash == d.MembersHash
	if d.Zone == c.self.Zone {
		same = c.registry.Summarize(d.Zone, now).Hash == d.Targets.Hash && same
	} else {
		same = c.registry.ApplySummary(d.Zone, d.Targets, now) && same
	}
	c.compare(now, from, &d, same)
	if now.Sub(z.passedOn) >= passOnInterval {
		z.passedOn = now
		c.spreadDigest(d, now.Add(-d.Targets.Age))
	}
}

// compare asks for the state of a zone if it differs for longer than news
// takes to arrive.
func (c *Core) compare(now time.Time, from string, d *Digest, same bool) {
	z := c.zone(d.Zone)
	maker := digestMaker{incarnation: d.Incarnation, number: d.Number}
	if !same {
		maker.differsSince = z.makers[d.VM].differsSince
		if maker.differsSince.IsZero() {
			maker.differsSince = now
		}
	}
	z.makers[d.VM] = maker
	if !same && now.Sub(maker.differsSince) >= mismatchGrace {
		// The other side may be the one that lacks members, also of its own
		// zone: a VM that joined through another zone and lost the answer.
		c.requestSync(now, from, []string{d.Zone}, true)
	}
}
