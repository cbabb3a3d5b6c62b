package membership

import "time"

// probeState is the state of the probe in progress.
type probeState struct {
	vm           string
	sequence     uint64
	started      time.Time
	indirectSent bool
	acked        bool
}

// relay is an indirect probe in progress on behalf of another VM.
type relay struct {
	to       string
	sequence uint64
	expires  time.Time
}

// tickProbe requests indirect probes if the probe in progress is not acked within
// probeTimeout. Every probeInterval it marks the probed member as suspect if no ack
// has arrived, and starts the next probe.
func (c *Core) tickProbe(now time.Time) {
	if c.self.Status == Left {
		return
	}
	p := &c.probe
	if p.vm != "" && !p.acked && !p.indirectSent && now.Sub(p.started) >= probeTimeout {
		p.indirectSent = true
		c.requestIndirectProbes()
	}
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(probeInterval)
	if p.vm != "" && !p.acked {
		c.markSuspect(now, p.vm)
	}
	c.startProbe(now)
}

func (c *Core) startProbe(now time.Time) {
	c.probe = probeState{}
	e := c.nextToProbe()
	if e == nil {
		return
	}
	c.sequence++
	c.probe = probeState{vm: e.VM, sequence: c.sequence, started: now}
	c.send(e.GossipAddress, c.probeMessage(e, c.sequence))
}

// probeMessage returns a probe of e. It carries the status of a member that is
// not alive, so that the member can refute it.
func (c *Core) probeMessage(e *entry, sequence uint64) Message {
	m := Message{Kind: KindProbe, Sequence: sequence}
	if e.Status != Alive {
		m.Updates = []Update{{Member: e.Member, Brief: true}}
	}
	return m
}

// nextToProbe returns the next zone peer to probe. It visits the peers in
// random order, each once per round, which bounds the time until a failed VM
// is probed.
func (c *Core) nextToProbe() *entry {
	for range 2 {
		for len(c.probeOrder) > 0 {
			e, ok := c.members[c.probeOrder[0]]
			c.probeOrder = c.probeOrder[1:]
			if ok && e.live() && e.Zone == c.self.Zone {
				return e
			}
		}
		for _, e := range c.shuffled(c.zonePeers()) {
			c.probeOrder = append(c.probeOrder, e.VM)
		}
	}
	return nil
}

func (c *Core) requestIndirectProbes() {
	e, ok := c.members[c.probe.vm]
	if !ok {
		return
	}
	asked := 0
	for _, peer := range c.shuffled(c.zonePeers()) {
		if peer.VM == e.VM || asked == indirectProbes {
			continue
		}
		asked++
		c.send(peer.GossipAddress, Message{
			Kind:     KindProbeRequest,
			Sequence: c.probe.sequence,
			Subject:  e.GossipAddress,
		})
	}
}

func (c *Core) relayProbe(now time.Time, from string, m *Message) {
	c.sequence++
	c.relays[c.sequence] = relay{to: from, sequence: m.Sequence, expires: now.Add(probeInterval)}
	c.send(m.Subject, Message{Kind: KindProbe, Sequence: c.sequence})
}

func (c *Core) handleAck(sequence uint64) {
	if c.probe.sequence == sequence {
		c.probe.acked = true
	}
	r, ok := c.relays[sequence]
	if ok {
		delete(c.relays, sequence)
		c.send(r.to, Message{Kind: KindAck, Sequence: r.sequence})
	}
}

func (c *Core) markSuspect(now time.Time, vm string) {
	if e, ok := c.members[vm]; ok && e.Status == Alive {
		c.setStatus(now, e, Suspect)
	}
}

// expire declares suspects of this zone dead after suspicionTimeout and removes
// expired former members, sync limits and relays. Suspects of other zones are
// left to their own zone.
func (c *Core) expire(now time.Time) {
	for vm, e := range c.members {
		age := now.Sub(e.statusSince)
		switch {
		case e.Status == Suspect && e.Zone == c.self.Zone && age >= suspicionTimeout:
			c.setStatus(now, e, Dead)
		case e.Status == Dead && age >= deadRetention, e.Status == Left && age >= leftRetention:
			if vm != c.self.VM {
				delete(c.members, vm)
			}
		}
	}
	for address, next := range c.nextSync {
		if now.After(next) {
			delete(c.nextSync, address)
		}
	}
	for sequence, r := range c.relays {
		if now.After(r.expires) {
			delete(c.relays, sequence)
		}
	}
}

// tickReconnect probes one dead member and, at the same low rate, requests a
// sync from join addresses that belong to no live member.
func (c *Core) tickReconnect(now time.Time) {
	if now.Before(c.nextReconnect) || c.self.Status == Left {
		return
	}
	c.nextReconnect = now.Add(reconnectInterval)
	delegate := c.isDelegate()
	dead := c.sortedMembers(func(e *entry) bool { return e.Status == Dead && (e.Zone == c.self.Zone || delegate) })
	if len(dead) > 0 {
		e := dead[c.rand.IntN(len(dead))]
		c.sequence++
		c.send(e.GossipAddress, c.probeMessage(e, c.sequence))
	}
	c.syncWithJoinAddresses(now)
}

// syncWithJoinAddresses requests a sync from up to maxJoinRequests join
// addresses that belong to no live member. If it contacted only one, VMs that
// start together could form separate clusters.
func (c *Core) syncWithJoinAddresses(now time.Time) {
	asked := 0
	for _, i := range c.rand.Perm(len(c.join)) {
		address := c.join[i]
		if address == c.self.GossipAddress || c.hasLiveAddress(address) || asked == maxJoinRequests {
			continue
		}
		asked++
		c.requestSync(now, address, nil, true)
	}
}

func (c *Core) hasLiveAddress(address string) bool {
	for _, e := range c.members {
		if e.live() && e.GossipAddress == address {
			return true
		}
	}
	return false
}

// tickJoin requests a sync from the join addresses while this VM knows no other
// member, and during joinPeriod after its start.
func (c *Core) tickJoin(now time.Time) {
	alone := len(c.members) == 1
	if now.Before(c.nextJoin) || !alone && now.Sub(c.started) > joinPeriod {
		return
	}
	c.nextJoin = now.Add(joinInterval)
	c.syncWithJoinAddresses(now)
}
