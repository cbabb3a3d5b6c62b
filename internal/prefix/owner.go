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
	s := &VMSet{names: names}
	for _, name := range names {
		s.hashes = append(s.hashes, xxhash.Sum64String(name))
	}
	return s
}

// Names returns the names of the VMs.
func (s *VMSet) Names() []string { return s.names }

// Owner returns the VM that owns the chains beginning with root, or an empty
// string if the set is empty.
func (s *VMSet) Owner(root Hash) string { return s.highestScore(uint64(root)) }

// Reader returns the VM that reads the event stream of a target.
func (s *VMSet) Reader(targetID string) string { return s.highestScore(xxhash.Sum64String(targetID)) }

func (s *VMSet) highestScore(key uint64) string {
	best, name := uint64(0), ""
	for i, h := range s.hashes {
		if score := splitMix64(h ^ key); name == "" || score > best || (score == best && s.names[i] < name) {
			best, name = score, s.names[i]
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
	vms       *VMSet
	sequences map[string]uint64
}

// NewEventPartitioner returns a partitioner. A stream number must never be
// reused.
func NewEventPartitioner(ref target.Ref, stream uint64, vms *VMSet) *EventPartitioner {
	return &EventPartitioner{ref: ref, stream: stream, vms: vms, sequences: make(map[string]uint64)}
}

// SnapshotBatches returns the batches that start the stream at every owner with
// the current content of the cache.
func (p *EventPartitioner) SnapshotBatches(content []Event) map[string]Batch {
	batches := make(map[string]Batch, len(p.vms.names))
	for _, name := range p.vms.names {
		batches[name] = Batch{Ref: p.ref, Stream: p.stream, Reset: true}
	}
	for _, e := range content {
		owner := p.vms.Owner(e.Root)
		b := batches[owner]
		b.Events = append(b.Events, e)
		batches[owner] = b
	}
	return batches
}

// Partition assigns events to their owners and numbers them.
func (p *EventPartitioner) Partition(events []Event) map[string]Batch {
	batches := make(map[string]Batch)
	for _, e := range events {
		owner := p.vms.Owner(e.Root)
		p.sequences[owner]++
		e.Sequence = p.sequences[owner]
		b := batches[owner]
		b.Ref, b.Stream, b.LastSequence = p.ref, p.stream, e.Sequence
		b.Events = append(b.Events, e)
		batches[owner] = b
	}
	return batches
}

// GapBatches returns batches that report a gap to every owner, because the
// owners of the missing events are unknown.
func (p *EventPartitioner) GapBatches() map[string]Batch {
	batches := make(map[string]Batch, len(p.vms.names))
	for _, name := range p.vms.names {
		p.sequences[name]++
		batches[name] = Batch{Ref: p.ref, Stream: p.stream, LastSequence: p.sequences[name]}
	}
	return batches
}
