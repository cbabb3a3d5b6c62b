package membership

import (
	"math/bits"
	"sort"
	"strconv"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// packetsPerTick bounds the packets of news to one peer per tick.
const packetsPerTick = 2

// newsItem is one piece of news with the transmissions it has left.
type newsItem struct {
	// key names the subject; later news about it replaces earlier news.
	key string
	// ticks is the number of ticks in which fanout peers still get it.
	ticks int
	// cross is the number of ticks in which delegates of other zones still
	// get it.
	cross int
	// heard is when the heartbeat in it was received by a VM.
	heard time.Time

	update *Update
	target *target.Announcement
	beat   *target.Beat
	digest *Digest
	drain  *target.Drain
}

const crossTicks = 2

// urgentTicks is how often important news is passed on: often enough that no
// VM of a zone of this size is left out.
func (c *Core) urgentTicks() int {
	return bits.Len(uint(len(c.inZone(c.self.Zone)))) + 1
}

// farTicks is how often news that takes nothing back is passed on if it comes
// from another zone. VMs that are left out find out by digests. At a start of
// the whole fleet this is most of the traffic.
func (c *Core) farTicks(joined bool) int {
	if joined {
		return 2
	}
	return 1
}

func (c *Core) crossTicks(own bool) int {
	if own {
		return crossTicks
	}
	return 0
}

// spreadMember queues news about a member. News that changes only the payload
// of a member elsewhere is frequent and not urgent.
func (c *Core) spreadMember(m Member, brief bool) {
	item := &newsItem{
		key:    "m/" + m.VM,
		ticks:  c.urgentTicks(),
		cross:  c.crossTicks(m.Zone == c.self.Zone),
		update: &Update{Member: m, Brief: brief},
	}
	if m.Status == Alive && m.Zone != c.self.Zone {
		item.ticks = c.farTicks(!brief)
	}
	if c.quiet && m.Zone != c.self.Zone {
		item.ticks = 0
	}
	if old, ok := c.news[item.key]; ok && old.update.Incarnation == m.Incarnation && !old.update.Brief {
		item.update.Brief = false
	}
	c.news[item.key] = item
}

func (c *Core) spreadTarget(a target.Announcement, change target.Change, heard time.Time) {
	switch change {
	case target.Stale:
	case target.Refreshed:
		if a.Zone == c.self.Zone {
			key := target.Ref{ID: a.ID, Incarnation: a.Incarnation}.Key()
			c.spreadBeat(target.Beat{Key: key, Sequence: a.Sequence, Load: a.Load}, heard)
		}
	default:
		item := &newsItem{
			key:    "t/" + a.ID,
			ticks:  c.urgentTicks(),
			cross:  c.crossTicks(a.Zone == c.self.Zone),
			heard:  heard,
			target: &a,
		}
		if change == target.Joined && a.Zone != c.self.Zone {
			item.ticks = c.farTicks(true)
		}
		if c.quiet && a.Zone != c.self.Zone {
			item.ticks = 0
		}
		c.news[item.key] = item
	}
}

func (c *Core) spreadBeat(b target.Beat, heard time.Time) {
	key := "b/" + strconv.FormatUint(b.Key, 16)
	c.news[key] = &newsItem{key: key, ticks: 1, heard: heard, beat: &b}
}

func (c *Core) spreadDrain(d target.Drain, own bool) {
	c.news["d/"+d.ID] = &newsItem{
		key:   "d/" + d.ID,
		ticks: c.urgentTicks(),
		cross: c.crossTicks(own),
		drain: &d,
	}
}

func (c *Core) spreadDigest(d Digest, heard time.Time) {
	c.news["z/"+d.Zone] = &newsItem{key: "z/" + d.Zone, ticks: 1, heard: heard, digest: &d}
}

// tickNews passes queued news on.
func (c *Core) tickNews(now time.Time) {
	if len(c.news) == 0 {
		return
	}
	items := c.sortedNews()
	peers := c.shuffled(c.zonePeers())
	peers = peers[:min(fanout, len(peers))]
	if len(peers) > 0 {
		near := pack(now, items, func(i *newsItem) *int { return &i.ticks })
		for _, e := range peers {
			c.sendPages(e.GossipAddress, near)
		}
	}
	if c.isDelegate() {
		far := pack(now, items, func(i *newsItem) *int { return &i.cross })
		c.toOtherZones(func(e *entry) { c.sendPages(e.GossipAddress, far) })
	}
	for _, i := range items {
		if len(peers) == 0 && i.key != "m/"+c.self.VM {
			// There is nobody to tell; peers that come later ask for the state.
			i.ticks = 0
		}
		if i.ticks <= 0 && (i.cross <= 0 || !c.isDelegate()) {
			delete(c.news, i.key)
		}
	}
}

// sortedNews orders the queue: changes before heartbeats, and news with the
// fewest transmissions so far first.
func (c *Core) sortedNews() []*newsItem {
	items := make([]*newsItem, 0, len(c.news))
	for _, i := range c.news {
		items = append(items, i)
	}
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if a.rank() != b.rank() {
			return a.rank() < b.rank()
		}
		if a.ticks != b.ticks {
			return a.ticks > b.ticks
		}
		return a.key < b.key
	})
	return items
}

func (i *newsItem) rank() int {
	switch {
	case i.target != nil, i.drain != nil:
		return 0
	case i.digest != nil:
		return 1
	case i.update != nil && i.update.Status != Alive:
		return 2
	case i.beat != nil:
		return 3
	}
	return 4
}

// pack fills packets with the items that have transmissions left and counts
// the transmissions.
func pack(now time.Time, items []*newsItem, left func(*newsItem) *int) []*page {
	pages := []*page{newPage(KindGossip)}
	for _, i := range items {
		if *left(i) <= 0 {
			continue
		}
		if !i.addTo(pages[len(pages)-1], now) {
			if len(pages) == packetsPerTick {
				continue
			}
			pages = append(pages, newPage(KindGossip))
			i.addTo(pages[len(pages)-1], now)
		}
		*left(i)--
	}
	return pages
}

func (i *newsItem) addTo(p *page, now time.Time) bool {
	age := max(0, now.Sub(i.heard))
	switch {
	case i.update != nil:
		return p.addUpdate(*i.update)
	case i.target != nil:
		return p.addTarget(TargetUpdate{Announcement: *i.target, Age: age})
	case i.beat != nil:
		return p.addBeat(BeatUpdate{Beat: *i.beat, Age: age})
	case i.drain != nil:
		return p.addDrain(*i.drain)
	}
	d := *i.digest
	d.Targets.Age = age
	return p.addDigest(d)
}

func (c *Core) sendPages(to string, pages []*page) {
	for _, p := range pages {
		if !p.empty() {
			c.send(to, p.message)
		}
	}
}
