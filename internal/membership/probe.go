package membership

import "time"

// probeState is the probe in progress.
type probeState struct {
	vm       string
	sequence uint64
	started  time.Time
	asked    bool
	done     bool
}

// relay is a probe made for another VM.
type relay struct {
	to       string
	sequence uint64
	expires  time.Time
}

func (c *Core) tickProbe(now time.Time) {
	if c.self.Status == Left {
		return
	}
	p := &c.probe
	if p.vm != "" && !p.done && !p.asked && now.Sub(p.started) >= probeTimeout {
		p.asked = true
		c.askHelpers()
	}
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(probeInterval)
	if p.vm != "" && !p.done {
		c.suspect(now, p.vm)
	}
	c.startProbe(now)
}

func (c *Core) startProbe(now time.Time) {
	c.probe = probeState{}
	e := c.nextInRing()
	if e == nil {
		return
	}
	c.sequence++
	c.probe = probeState{vm: e.VM, sequence: c.sequence, started: now}
	c.send(e.GossipAddress, c.probeMessage(e, c.sequence))
}

// probeMessage tells a suspect of the suspicion, so that it can refute.
func (c *Core) probeMessage(e *entry, sequence uint64) Message {
	m := Message{Kind: KindProbe, Sequence: sequence}
	if e.Status != Alive {
		m.Updates = []Update{{Member: e.Member, Brief: true}}
	}
	return m
}

// nextInRing visits the zone peers in a random order, each once per round, so
// that the time until a failed VM is probed is bounded.
func (c *Core) nextInRing() *entry {
	for range 2 {
		for len(c.ring) > 0 {
			e, ok := c.members[c.ring[0]]
			c.ring = c.ring[1:]
			if ok && e.live() && e.Zone == c.self.Zone {
				return e
			}
		}
		for _, e := range c.shuffled(c.zonePeers()) {
			c.ring = append(c.ring, e.VM)
		}
	}
	return nil
}

func (c *Core) askHelpers() {
	e, ok := c.members[c.probe.vm]
	if !ok {
		return
	}
	asked := 0
	for _, helper := range c.shuffled(c.zonePeers()) {
		if helper.VM == e.VM || asked == indirectProbes {
			continue
		}
		asked++
		c.send(helper.GossipAddress, Message{
			Kind:     KindProbeRequest,
			Sequence: c.probe.sequence,
			Subject:  e.GossipAddress,
		})
	}
}

func (c *Core) probeFor(now time.Time, from string, m *Message) {
	c.sequence++
	c.relays[c.sequence] = relay{to: from, sequence: m.Sequence, expires: now.Add(probeInterval)}
	c.send(m.Subject, Message{Kind: KindProbe, Sequence: c.sequence})
}

func (c *Core) acknowledged(sequence uint64) {
	if c.probe.sequence == sequence {
		c.probe.done = true
	}
	r, ok := c.relays[sequence]
	if ok {
		delete(c.relays, sequence)
		c.send(r.to, Message{Kind: KindAck, Sequence: r.sequence})
	}
}

func (c *Core) suspect(now time.Time, vm string) {
	if e, ok := c.members[vm]; ok && e.Status == Alive {
		c.setStatus(now, e, Suspect)
	}
}

// expire ends suspicions of members of this zone and forgets former members.
// Members of other zones are judged by their own zone.
func (c *Core) expire(now time.Time) {
	for vm, e := range c.members {
		age := now.Sub(e.since)
		switch {
		case e.Status == Suspect && e.Zone == c.self.Zone && age >= suspicionTimeout:
			c.setStatus(now, e, Dead)
		case e.Status == Dead && age >= forgetDeadAfter, e.Status == Left && age >= forgetLeftAfter:
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

// tickRevive probes one member that is thought dead and, at the same low
// rate, one join address that no live member has.
func (c *Core) tickRevive(now time.Time) {
	if now.Before(c.nextRevive) || c.self.Status == Left {
		return
	}
	c.nextRevive = now.Add(reviveInterval)
	delegate := c.isDelegate()
	dead := c.sorted(func(e *entry) bool { return e.Status == Dead && (e.Zone == c.self.Zone || delegate) })
	if len(dead) > 0 {
		e := dead[c.rand.IntN(len(dead))]
		c.sequence++
		c.send(e.GossipAddress, c.probeMessage(e, c.sequence))
	}
	c.askJoinAddresses(now)
}

// askJoinAddresses asks the join addresses that no live member has for their
// state. Asking only one would let VMs that start together form islands.
func (c *Core) askJoinAddresses(now time.Time) {
	asked := 0
	for _, i := range c.rand.Perm(len(c.join)) {
		address := c.join[i]
		if address == c.self.GossipAddress || c.liveAt(address) || asked == maxJoinRequests {
			continue
		}
		asked++
		c.requestSync(now, address, nil, true)
	}
}

func (c *Core) liveAt(address string) bool {
	for _, e := range c.members {
		if e.live() && e.GossipAddress == address {
			return true
		}
	}
	return false
}

// tickJoin asks the join addresses for the state while this VM knows nobody,
// and for a while after its start.
func (c *Core) tickJoin(now time.Time) {
	alone := len(c.members) == 1
	if now.Before(c.nextJoin) || !alone && now.Sub(c.started) > joinPeriod {
		return
	}
	c.nextJoin = now.Add(joinInterval)
	c.askJoinAddresses(now)
}
