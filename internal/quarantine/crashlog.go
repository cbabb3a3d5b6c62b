package quarantine

import (
	"slices"
	"time"
)

// reportLifetime is how long a front keeps the crashes that it has reported.
const reportLifetime = time.Minute

// crashLog holds the recent crashes that a front has to report, to the present leader or the next
// one. It is empty by default.
type crashLog struct {
	// pieces are the pieces of the crashes, oldest first. recorded is the number of the last
	// one, and reported that of the last one that the present leader has.
	pieces             []numberedPiece
	recorded, reported int
}

// numberedPiece is a piece of a crash. The pieces of a front are numbered from 1 on.
type numberedPiece struct {
	Crash
	number int
}

// add adds the pieces of a crash.
func (l *crashLog) add(pieces []Crash) {
	for _, piece := range pieces {
		l.recorded++
		l.pieces = append(l.pieces, numberedPiece{piece, l.recorded})
	}
	for len(l.pieces) > maxKeptPieces || l.partCount() > maxKeptParts {
		i := l.leastNeeded()
		l.pieces = slices.Delete(l.pieces, i, i+1)
	}
}

// leastNeeded returns the index of the piece to remove next: of those that the leader has, if there
// are any, the last one of the crash with the most parts.
func (l *crashLog) leastNeeded() int {
	candidates := l.pieces
	if i := l.firstUnreported(); i > 0 {
		candidates = l.pieces[:i]
	}
	sizes := make(map[crashID]int)
	for _, p := range candidates {
		sizes[p.id()] += 1 + partCount(p.Requests)
	}
	largest := candidates[0].id()
	last := 0
	for i, p := range candidates {
		if sizes[p.id()] > sizes[largest] {
			largest = p.id()
		}
		if p.id() == largest {
			last = i
		}
	}
	return last
}

func (p *numberedPiece) id() crashID { return crashID{p.Engine, p.At} }

// firstUnreported returns the index of the first piece that the present leader does not have.
func (l *crashLog) firstUnreported() int {
	i := slices.IndexFunc(l.pieces, func(p numberedPiece) bool { return p.number > l.reported })
	if i < 0 {
		return len(l.pieces)
	}
	return i
}

// dropExpired removes crashes after their lifetime.
func (l *crashLog) dropExpired(now time.Duration) {
	l.pieces = slices.DeleteFunc(l.pieces, func(p numberedPiece) bool { return now-p.At > reportLifetime })
}

// unreported returns the pieces for the next report and the number of the last piece that the leader
// has with them.
func (l *crashLog) unreported() (crashes []Crash, last int) {
	last = l.reported
	size := 0
	for _, p := range l.pieces[l.firstUnreported():] {
		if size += p.bytes(); size > maxReportBytes && len(crashes) > 0 {
			break
		}
		crashes, last = append(crashes, p.Crash), p.number
	}
	return crashes, last
}

// confirm notes that the leader has the pieces up to a number. A new leader has none of before.
func (l *crashLog) confirm(last int, newLeader bool) {
	l.reported = max(l.reported, last)
	if newLeader {
		l.reported = 0
	}
}

// suspects returns the requests and parts in the crashes.
func (l *crashLog) suspects() []string {
	var list []string
	for _, p := range l.pieces {
		for _, r := range p.Requests {
			list = append(list, r.suspects()...)
		}
	}
	return list
}

func (l *crashLog) partCount() int {
	count := 0
	for _, p := range l.pieces {
		count += partCount(p.Requests)
	}
	return count
}

// bytes returns the size of the names in the crash.
func (c *Crash) bytes() int {
	size := len(c.Engine)
	for _, r := range c.Requests {
		size += r.bytes()
	}
	return size
}
