package target

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"
)

// freshAge is the greatest age of a heartbeat that a zone summary vouches for:
// the heartbeat interval plus the time of one repeated delivery inside a zone.
// With 0.5 s between summaries it leaves 0.8 s of LiveFor for the way.
const freshAge = 1700 * time.Millisecond

// Key identifies one incarnation in messages between VMs.
func (r Ref) Key() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.ID)
	writeUint(h, r.Incarnation)
	return h.Sum64()
}

// Beat is a heartbeat that changes nothing but the sequence and the load.
type Beat struct {
	// Key identifies the incarnation.
	Key uint64
	// Sequence is that of the heartbeat.
	Sequence uint64
	// Load is the load report.
	Load Load
}

// Beat merges a heartbeat that came through another VM. It reports whether
// the heartbeat was news.
func (r *Registry) Beat(b Beat, heard time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.targets[r.byKey[b.Key]]
	if !ok || b.Sequence <= old.Sequence {
		return false
	}
	replaced := *old
	replaced.Sequence = b.Sequence
	replaced.Load = b.Load
	replaced.LastHeard = later(heard, old.LastHeard)
	r.targets[old.ID] = &replaced
	return true
}

// Summary is what a VM vouches for about the targets of one zone.
type Summary struct {
	// Hash identifies the set of targets and their descriptions.
	Hash uint64
	// Live has a bit per target, in the order of their IDs.
	Live []byte
	// Age bounds the age of the newest heartbeat of the targets in Live.
	Age time.Duration
}

// Zone returns the known targets of a zone, sorted by ID. The results must
// not be changed.
func (r *Registry) Zone(zone string) []*Target {
	return r.filter(func(t *Target) bool { return t.Announcement.Zone == zone })
}

// Summarize describes the targets of a zone.
func (r *Registry) Summarize(zone string, now time.Time) Summary {
	targets := r.Zone(zone)
	s := Summary{Hash: hashTargets(targets), Live: make([]byte, (len(targets)+7)/8)}
	for i, t := range targets {
		age := now.Sub(t.LastHeard)
		if age > freshAge {
			continue
		}
		s.Live[i/8] |= 1 << (i % 8)
		s.Age = max(s.Age, age)
	}
	return s
}

// ApplySummary refreshes the targets of a zone. It reports false, and changes
// nothing, if this VM knows another set of targets than the summary is about.
func (r *Registry) ApplySummary(zone string, s Summary, now time.Time) bool {
	targets := r.Zone(zone)
	if hashTargets(targets) != s.Hash || len(s.Live) != (len(targets)+7)/8 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := now.Add(-s.Age)
	for i, t := range targets {
		if s.Live[i/8]&(1<<(i%8)) == 0 || r.targets[t.ID] != t || !heard.After(t.LastHeard) {
			continue
		}
		replaced := *t
		replaced.LastHeard = heard
		r.targets[t.ID] = &replaced
	}
	return true
}

func hashTargets(sorted []*Target) uint64 {
	h := fnv.New64a()
	for _, t := range sorted {
		_, _ = io.WriteString(h, t.ID)
		writeUint(h, t.Incarnation)
		writeUint(h, t.description)
	}
	return h.Sum64()
}

// describe hashes what stays the same between two ordinary heartbeats.
func describe(a *Announcement) uint64 {
	h := fnv.New64a()
	fields := []string{string(a.Kind), a.Zone, a.Region, a.URL, a.Model, a.Service, a.Version, a.Role}
	for _, s := range append(fields, a.Adapters...) {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	c := a.Capabilities
	for _, b := range []bool{c.Fencing, c.Resume, c.Priority, c.KV, c.HTTP2, a.Loading, a.Leaving} {
		_, _ = io.WriteString(h, strconv.FormatBool(b))
	}
	writeUint(h, uint64(a.BatchSlots))
	writeUint(h, uint64(a.CacheBlocks))
	return h.Sum64()
}

func writeUint(w io.Writer, v uint64) {
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(v >> (8 * i))
	}
	_, _ = w.Write(buf[:])
}
