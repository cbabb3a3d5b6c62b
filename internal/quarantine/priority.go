package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// mostSuspected returns the suspects that fronts are asked for. The time for a decision on the others
// begins once they are asked for.
func (t *Tracker) mostSuspected(now time.Duration, list []string, limit int) []string {
	if len(list) <= limit {
		return list
	}
	t.sortByPriority(list, uint64(now/askedTime))
	for _, suspect := range list[limit:] {
		t.suspects[suspect].suspectedSince = now
	}
	return list[:limit]
}

// makeRoom removes a quarter of the requests, or of the parts, if a further one exceeds the limit.
func (t *Tracker) makeRoom(now time.Duration, added string) {
	count, limit, remove := t.partCount, maxTrackedParts, t.demote
	if IsRequestKey(added) {
		count, limit, remove = len(t.suspects)-t.partCount, maxTrackedRequests, t.remove
	}
	if count < limit {
		return
	}
	t.dropExpired(now)
	var list []string
	for suspect := range t.suspects {
		if IsRequestKey(suspect) == IsRequestKey(added) && !t.quarantined[suspect] {
			list = append(list, suspect)
		}
	}
	t.sortByPriority(list, uint64(now))
	for _, suspect := range list[min(len(list), limit*3/4):] {
		remove(suspect)
	}
}

// demote removes a part from the suspects and keeps what one of its crashes says.
func (t *Tracker) demote(part string) {
	e := t.suspects[part]
	t.remove(part)
	t.first.put(part, e)
}

// peers identifies the suspects with the same number of crashes and the same latest crash or, if
// they are parts, the same request in it.
type peers struct {
	crashes int
	latest  crashID
	request string
}

func (t *Tracker) peersOf(suspect string) peers {
	sightings := t.suspects[suspect].sightings
	if len(sightings) == 0 {
		return peers{}
	}
	latest := sightings[len(sightings)-1]
	p := peers{crashes: len(sightings), latest: latest.crash}
	if !IsRequestKey(suspect) {
		p.request = latest.requests[0]
	}
	return p
}

// priority is the place of a suspect in the order of sortByPriority.
type priority struct {
	suspect        string
	crashes, depth int
	// rank is the number of its peers before the suspect.
	rank int
	turn uint64
}

// sortByPriority sorts suspects by descending number of crashes. Among those with the same number,
// each request in turn has one part, the last one first, and each crash one request, so that large
// ones do not precede the others. turn decides about the rest.
func (t *Tracker) sortByPriority(list []string, turn uint64) {
	order := make([]priority, len(list))
	for i, suspect := range list {
		e := t.suspects[suspect]
		order[i] = priority{suspect: suspect, crashes: len(e.sightings), depth: e.depth, turn: mix(t.first.hash(suspect), turn)}
	}
	slices.SortFunc(order, func(a, b priority) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(a.turn, b.turn))
	})
	peerCounts := make(map[peers]int)
	for i := range order {
		p := t.peersOf(order[i].suspect)
		order[i].rank = peerCounts[p]
		peerCounts[p]++
	}
	slices.SortStableFunc(order, func(a, b priority) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.rank, b.rank))
	})
	for i, p := range order {
		list[i] = p.suspect
	}
}
