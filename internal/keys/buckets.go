package keys

import "encoding/binary"

// Buckets is the number of parts into which a set of keys is divided for
// comparison, by the first byte of the hash.
const Buckets = 256

// BucketDigests returns one digest for each bucket. Sets with the same content
// have the same digests.
func (w *Withdrawn) BucketDigests() [Buckets]uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var digests [Buckets]uint64
	for h := range w.set {
		digests[h[0]] ^= binary.LittleEndian.Uint64(h[8:16])
	}
	return digests
}

// InBuckets returns the withdrawn keys whose hash starts with one of the given
// bytes, in no particular order.
func (w *Withdrawn) InBuckets(first []byte) []Hash {
	var wanted [Buckets]bool
	for _, b := range first {
		wanted[b] = true
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []Hash
	for h := range w.set {
		if wanted[h[0]] {
			out = append(out, h)
		}
	}
	return out
}
