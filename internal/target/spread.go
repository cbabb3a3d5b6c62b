package target

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"
)

// maxSummarizedAge is the greatest age of a heartbeat that a zone summary
// reports as live. It is the heartbeat interval plus the time for one
// retransmission within a zone. With summaries every 0.5 s, 0.8 s of
// HeartbeatTimeout remain for propagation.
const maxSummarizedAge = 1700 * time.Millisecond

// Key returns a hash that identifies the incarnation in messages between VMs.
func (r Ref) Key() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.ID)
	writeUint(h, r.Incarnation)
	return h.Sum64()
}

// Heartbeat is a heartbeat that changes only the sequence and the load of a
// target.
type Heartbeat struct {
	// Key identifies the incarnation.
	Key uint64
	// Sequence is the sequence of the heartbeat.
	Sequence uint64
	// Load is the load report.
	Load Load
}

// MergeHeartbeat merges a heartbeat that was relayed by another VM. It reports
// whether the heartbeat was newer than the known state. receivedAt is when a VM
// received it from the target itself.
func (r *Registry) MergeHeartbeat(h Heartbeat, receivedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.targets[r.idByKey[h.Key]]
	if !ok || h.Sequence <= old.Sequence {
		return false
	}
	updated := *old
	updated.Sequence = h.Sequence
	updated.Load = h.Load
	updated.LastHeartbeat = laterOf(receivedAt, old.LastHeartbeat)
	r.targets[old.ID] = &updated
	return true
}

// Summary is the report of a VM about which targets of one zone are live.
type Summary struct {
	// Hash identifies the set of targets and their descriptions.
	Hash uint64
	// Live has one bit per target, in the order of their IDs.
	Live []byte
	// Age is the highest age among the latest heartbeats of the targets in
	// Live.
	Age time.Duration
}

// TargetsInZone returns the known targets of a zone, sorted by ID. The caller
// must not modify them.
func (r *Registry) TargetsInZone(zone string) []*Target {
	return r.filter(func(t *Target) bool { return t.Announcement.Zone == zone })
}

// Summarize returns the summary of a zone at now.
func (r *Registry) Summarize(zone string, now time.Time) Summary {
	targets := r.TargetsInZone(zone)
	s := Summary{Hash: hashTargets(targets), Live: make([]byte, (len(targets)+7)/8)}
	for i, t := range targets {
		age := now.Sub(t.LastHeartbeat)
		if age > maxSummarizedAge {
			continue
		}
		s.Live[i/8] |= 1 << (i % 8)
		s.Age = max(s.Age, age)
	}
	return s
}

// ApplySummary refreshes the heartbeat times of the targets in a zone. If the
// summary covers another set of targets than this VM knows, it changes nothing
// and returns false.
func (r *Registry) ApplySummary(zone string, s Summary, now time.Time) bool {
	targets := r.TargetsInZone(zone)
	if hashTargets(targets) != s.Hash || len(s.Live) != (len(targets)+7)/8 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	receivedAt := now.Add(-s.Age)
	for i, t := range targets {
		if s.Live[i/8]&(1<<(i%8)) == 0 || r.targets[t.ID] != t || !receivedAt.After(t.LastHeartbeat) {
			continue
		}
		updated := *t
		updated.LastHeartbeat = receivedAt
		r.targets[t.ID] = &updated
	}
	return true
}

// hashTargets hashes the IDs, incarnations and descriptions of targets, which
// must be sorted by ID.
func hashTargets(sorted []*Target) uint64 {
	h := fnv.New64a()
	for _, t := range sorted {
		_, _ = io.WriteString(h, t.ID)
		writeUint(h, t.Incarnation)
		writeUint(h, t.descriptionHash)
	}
	return h.Sum64()
}

// hashDescription hashes the fields of an announcement that ordinary heartbeats
// do not change.
func hashDescription(a *Announcement) uint64 {
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
