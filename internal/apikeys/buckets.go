package apikeys

import "encoding/binary"

// NumBuckets is the number of buckets into which the first byte of the hash
// divides a set of keys for comparison.
const NumBuckets = 256

// BucketDigests returns one digest per bucket. Sets with equal content have
// equal digests.
func (w *WithdrawnSet) BucketDigests() [NumBuckets]uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var digests [NumBuckets]uint64
	for h := range w.set {
		digests[h[0]] ^= binary.LittleEndian.Uint64(h[8:16])
	}
	return digests
}

// InBuckets returns the hashes of withdrawn keys whose first byte is in first, in
// no particular order.
func (w *WithdrawnSet) InBuckets(first []byte) []Hash {
	var selected [NumBuckets]bool
	for _, b := range first {
		selected[b] = true
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []Hash
	for h := range w.set {
		if selected[h[0]] {
			out = append(out, h)
		}
	}
	return out
}
