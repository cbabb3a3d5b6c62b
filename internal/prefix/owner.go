package prefix

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/target"
)

// VMSet is a set of VMs that divides chains and event streams by rendezvous
// hashing. A change of the set reassigns only the chains and streams of the VMs
// that were added or removed.
type VMSet struct {
	names  []string
	hashes []uint64
}

// NewVMSet returns the set of VMs with the given names.
func NewVMSet(names []string) *VMSet {
	m := &VMSet{names: names}
	for _, name := range names {
		m.hashes = append(m.hashes, xxhash.Sum64String(name))
	}
	return m
}

// Names returns the names of the VMs.
func (m *VMSet) Names() []string { return m.names }

// Owner returns the VM that owns the chains beginning with root, or an empty
// string if the set is empty.
func (m *VMSet) Owner(root Hash) string { return m.highestScore(uint64(root)) }

// Reader returns the VM that reads the event stream of a target.
func (m *VMSet) Reader(targetID string) string { return m.highestScore(xxhash.Sum64String(targetID)) }

func (m *VMSet) highestScore(key uint64) string {
	best, name := uint64(0), ""
	for i, h := range m.hashes {
		if score := splitMix64(h ^ key); name == "" || score > best || (score == best && m.names[i] < name) {
			best, name = score, m.names[i]
		}
	}
	return name
}

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// EventPartitioner splits the event stream of one incarnation among the owners
// of the chains. The events for each owner have their own sequence numbers, so
// that an owner detects lost batches.
type EventPartitioner struct {
	ref       target.Ref
	stream    uint64
	members   *VMSet
	sequences map[string]uint64
}

// NewEventPartitioner returns a partitioner. A stream number must never be
// reused.
func NewEventPartitioner(ref target.Ref, stream uint64, members *VMSet) *EventPartitioner {
	return &EventPartitioner{ref: ref, stream: stream, members: members, sequences: make(map[string]uint64)}
}

// SnapshotBatches returns the batches that start the stream at every owner with
// the current content of the cache.
func (f *EventPartitioner) SnapshotBatches(content []Event) map[string]Batch {
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

// Partition assigns events to their owners and numbers them.
func (f *EventPartitioner) Partition(events []Event) map[string]Batch {
	batches := make(map[string]Batch)
	for _, e := range events {
		owner := f.members.Owner(e.Root)
		f.sequences[owner]++
		e.Sequence = f.sequences[owner]
		b := batches[owner]
		b.Ref, b.Stream, b.LastSequence = f.ref, f.stream, e.Sequence
		b.Events = append(b.Events, e)
		batches[owner] = b
	}
	return batches
}

// GapBatches returns batches that report a gap to every owner, because the
// owners of the missing events are unknown.
func (f *EventPartitioner) GapBatches() map[string]Batch {
	batches := make(map[string]Batch, len(f.members.names))
	for _, name := range f.members.names {
		f.sequences[name]++
		batches[name] = Batch{Ref: f.ref, Stream: f.stream, LastSequence: f.sequences[name]}
	}
	return batches
}
