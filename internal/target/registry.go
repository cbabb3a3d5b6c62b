// Package target keeps what a VM knows of the targets: model engines, plain
// services and KV stores. Targets announce themselves; there is no list of
// them. The package does no I/O.
package target

import (
	"sort"
	"sync"
	"time"
)

// Kind says what a target does.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindKVStore Kind = "kv-store"
)

// LiveFor is how long a target counts as live after its last heartbeat.
const LiveFor = 3 * time.Second

// HeartbeatInterval is how often a target announces itself.
const HeartbeatInterval = time.Second

// Announcement is one heartbeat of a target.
type Announcement struct {
	// ID names the target, unique over the service.
	ID string `json:"id"`
	// Incarnation grows with every start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with every heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Kind says what the target does.
	Kind Kind `json:"kind"`
	// Zone is the availability zone of the target.
	Zone string `json:"zone"`
	// Region is the region of the zone.
	Region string `json:"region"`
	// URL is the base URL of the target, with an IP address.
	URL string `json:"url"`
	// Model is the loaded model; engines only.
	Model string `json:"model,omitempty"`
	// Service is the service name; plain services only.
	Service string `json:"service,omitempty"`
	// Version is the loaded weights version.
	Version string `json:"version,omitempty"`
	// Adapters lists the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of an engine, for example "mixed" or "prefill".
	Role string `json:"role,omitempty"`
	// BatchSlots is how many requests an engine runs at once.
	BatchSlots int `json:"batch_slots,omitempty"`
	// CacheBlocks is how many KV blocks the engine can hold.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// Capabilities says what the target supports.
	Capabilities Capabilities `json:"capabilities"`
	// Load is the load at the time of the heartbeat.
	Load Load `json:"load"`
	// Loading is true while the engine loads weights.
	Loading bool `json:"loading,omitempty"`
	// Leaving is true once the target wants no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Capabilities says what a target supports.
type Capabilities struct {
	// Fencing is true if orders with an old fencing number are refused.
	Fencing bool `json:"fencing,omitempty"`
	// Resume is true if a stream can start at a token offset.
	Resume bool `json:"resume,omitempty"`
	// Priority is true if request priorities are honoured.
	Priority bool `json:"priority,omitempty"`
	// HTTP2 is true if the target speaks HTTP/2, in clear text with prior
	// knowledge for http URLs.
	HTTP2 bool `json:"http2,omitempty"`
	// KV is true if KV blocks can be exported and imported.
	KV bool `json:"kv,omitempty"`
}

// Load is an engine's load report. It lags behind the truth.
type Load struct {
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens is the prefill work not yet done.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
}

// Ref names one incarnation of a target.
type Ref struct {
	// ID is the target.
	ID string
	// Incarnation is the start it belongs to.
	Incarnation uint64
}

// Target is what a VM knows of one target.
type Target struct {
	Announcement
	// LastHeard is when the VM last learned of a heartbeat.
	LastHeard time.Time
	// Draining is true if an operator took the target out of service.
	Draining bool

	description uint64
}

// Ref returns the incarnation that t describes.
func (t *Target) Ref() Ref { return Ref{t.ID, t.Incarnation} }

// Usable reports whether t may get new work at now.
func (t *Target) Usable(now time.Time) bool {
	if t.Leaving || t.Draining || t.Loading {
		return false
	}
	return now.Sub(t.LastHeard) < LiveFor
}

// Change tells what an announcement changed.
type Change int

// The kinds of change.
const (
	Stale Change = iota
	Refreshed
	Joined
	Replaced
	Left
	// Redescribed means that more than the sequence and the load changed.
	Redescribed
)

// String returns the change as log lines show it.
func (c Change) String() string {
	switch c {
	case Joined:
		return "joined"
	case Replaced:
		return "replaced"
	case Left:
		return "left"
	case Refreshed:
		return "refreshed"
	}
	return "stale"
}

// Registry holds the targets known to one VM. It is safe for concurrent use.
type Registry struct {
	mu      sync.RWMutex
	targets map[string]*Target
	byKey   map[uint64]string
	drained map[string]Drain
	// ownDrains are drains decided on this VM and not yet taken.
	ownDrains []Drain
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets: make(map[string]*Target),
		byKey:   make(map[uint64]string),
		drained: make(map[string]Drain),
	}
}

// Announce merges one heartbeat. A higher incarnation replaces a lower one;
// within an incarnation the higher sequence wins and leaving never reverts.
// Heard is when a VM received the heartbeat from the target itself.
func (r *Registry) Announce(a Announcement, heard time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.targets[a.ID]
	if !known {
		r.store(a, heard)
		return Joined
	}
	if a.Incarnation < old.Incarnation {
		return Stale
	}
	if a.Incarnation > old.Incarnation {
		delete(r.byKey, old.Ref().Key())
		r.store(a, heard)
		return Replaced
	}
	if a.Sequence <= old.Sequence {
		return Stale
	}
	leaves := a.Leaving && !old.Leaving
	a.Leaving = a.Leaving || old.Leaving
	r.store(a, later(heard, old.LastHeard))
	if leaves {
		return Left
	}
	if r.targets[a.ID].description != old.description {
		return Redescribed
	}
	return Refreshed
}

// Expire forgets targets not heard of for age and returns them.
func (r *Registry) Expire(now time.Time, age time.Duration) []Ref {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []Ref
	for id, t := range r.targets {
		if now.Sub(t.LastHeard) >= age {
			gone = append(gone, t.Ref())
			delete(r.targets, id)
			delete(r.byKey, t.Ref().Key())
		}
	}
	return gone
}

// Get returns the target with the given ID. The result must not be changed.
func (r *Registry) Get(id string) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.targets[id]
	return t, ok
}

// All returns every known target, sorted by ID. The results must not be
// changed.
func (r *Registry) All() []*Target {
	return r.filter(func(*Target) bool { return true })
}

// Engines returns the usable engines that hold model in version.
func (r *Registry) Engines(model, version string, now time.Time) []*Target {
	return r.filter(func(t *Target) bool {
		return t.Kind == KindEngine && t.Model == model && t.Version == version && t.Usable(now)
	})
}

// Services returns the usable replicas of a plain service.
func (r *Registry) Services(service string, now time.Time) []*Target {
	return r.filter(func(t *Target) bool {
		return t.Kind == KindService && t.Service == service && t.Usable(now)
	})
}

func (r *Registry) filter(keep func(*Target) bool) []*Target {
	r.mu.RLock()
	var out []*Target
	for _, t := range r.targets {
		if keep(t) {
			out = append(out, t)
		}
	}
	r.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// store puts a copy in place; readers may still hold the former pointer.
func (r *Registry) store(a Announcement, heard time.Time) {
	t := &Target{
		Announcement: a,
		LastHeard:    heard,
		Draining:     r.drained[a.ID].Drained,
		description:  describe(&a),
	}
	r.targets[a.ID] = t
	r.byKey[t.Ref().Key()] = a.ID
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
