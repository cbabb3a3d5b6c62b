package prefix

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Members is a set of VMs among which duties are divided by rendezvous
// hashing: a change of the set moves only the duties of the VMs that changed.
type Members struct {
	names  []string
	hashes []uint64
}

// NewMembers returns the set of the named VMs.
func NewMembers(names []string) *Members {
	m := &Members{names: names}
	for _, name := range names {
		m.hashes = append(m.hashes, xxhash.Sum64String(name))
	}
	return m
}

// Names returns the VMs.
func (m *Members) Names() []string { return m.names }

// Owner returns the VM that owns the chains that begin with root; empty if
// there is no VM.
func (m *Members) Owner(root Hash) string { return m.highest(uint64(root)) }

// Reader returns the VM that reads the event stream of a target.
func (m *Members) Reader(targetID string) string { return m.highest(xxhash.Sum64String(targetID)) }

func (m *Members) highest(key uint64) string {
	best, name := uint64(0), ""
	for i, h := range m.hashes {
		if score := mix(h ^ key); name == "" || score > best || (score == best && m.names[i] < name) {
			best, name = score, m.names[i]
		}
	}
	return name
}

// mix is the finaliser of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Forwarder splits the event stream of one incarnation over the owners of the
// chains. Each owner gets a numbering of its own, so that it notices lost
// batches.
type Forwarder struct {
	ref     target.Ref
	stream  uint64
	members *Members
	numbers map[string]uint64
}

// NewForwarder returns a forwarder. A stream number must never be used twice.
func NewForwarder(ref target.Ref, stream uint64, members *Members) *Forwarder {
	return &Forwarder{ref: ref, stream: stream, members: members, numbers: make(map[string]uint64)}
}

// Snapshot starts the stream at every owner with the content of the cache.
func (f *Forwarder) Snapshot(content []Event) map[string]Batch {
	batches := make(map[string]Batch, len(f.members.names))
	for _, name := range f.members.names {
		batches[name] = Batch{Ref: f.ref, Stream: f.stream, Reset: true}
	}
	for _, e := range content {
		owner := f.members.Owner(e.Root)
		b := batches[owner]
		b.Events = append(b.Events, e)
		batches[owner] = b
	}
	return batches
}

// Split numbers the events for their owners.
func (f *Forwarder) Split(events []Event) map[string]Batch {
	batches := make(map[string]Batch)
	for _, e := range events {
		owner := f.members.Owner(e.Root)
		f.numbers[owner]++
		e.Sequence = f.numbers[owner]
		b := batches[owner]
		b.Ref, b.Stream, b.Through = f.ref, f.stream, e.Sequence
		b.Events = append(b.Events, e)
		batches[owner] = b
	}
	return batches
}

// Gap tells every owner that events are missing, because it is unknown whose
// events they were.
func (f *Forwarder) Gap() map[string]Batch {
	batches := make(map[string]Batch, len(f.members.names))
	for _, name := range f.members.names {
		f.numbers[name]++
		batches[name] = Batch{Ref: f.ref, Stream: f.stream, Through: f.numbers[name]}
	}
	return batches
}
