package fleetsync

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// frontTimeout is the time since its last request after which a front is
	// removed from the peer lists.
	frontTimeout = 5 * time.Second
	// maxMeshFronts is the largest number of fronts that announce their
	// dispatches to all others. With more fronts, they do so only within a
	// region, because the number of messages grows with the square of the
	// number of fronts.
	maxMeshFronts = 24
)

// Fronts tracks the fronts that follow the leader. It is safe for concurrent use.
type Fronts struct {
	mu   sync.Mutex
	byVM map[string]frontEntry
}

type frontEntry struct {
	address string
	region  string
	// lastRequest is when the front sent its last request, on the boot clock.
	lastRequest time.Duration
}

// NewFronts returns a Fronts that knows no front.
func NewFronts() *Fronts { return &Fronts{byVM: make(map[string]frontEntry)} }

// RecordRequest records a request of a front, and drops the fronts that have
// timed out.
func (f *Fronts) RecordRequest(now time.Duration, r Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byVM[r.VM] = frontEntry{r.Address, r.Region, now}
	for vm, entry := range f.byVM {
		if now-entry.lastRequest > frontTimeout {
			delete(f.byVM, vm)
		}
	}
}

// Peers returns the addresses of the fronts to which the requesting front
// announces its dispatches, and the version of that list. The list is nil if the
// front already has this version.
func (f *Fronts) Peers(r Request) ([]string, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for vm, entry := range f.byVM {
		if vm != r.VM && (len(f.byVM) <= maxMeshFronts || entry.region == r.Region) {
			list = append(list, entry.address)
		}
	}
	sort.Strings(list)
	hash := xxhash.New()
	for _, address := range list {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(address + "\n")
	}
	version := hash.Sum64()
	if version == r.FrontsVersion {
		return nil, version
	}
	return list, version
}
