// Package target holds what a VM knows about the targets: model engines, plain
// services and KV stores. There is no configured list of targets; they register
// themselves by announcements. The package does no I/O.
package target

import (
	"sort"
	"sync"
	"time"
)

// Kind is the kind of a target.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindKVStore Kind = "kv-store"
)

// HeartbeatTimeout is how long a target counts as live after its last heartbeat.
const HeartbeatTimeout = 3 * time.Second

// HeartbeatInterval is how often a target announces itself.
const HeartbeatInterval = time.Second

// Announcement is one heartbeat of a target.
type Announcement struct {
	// ID identifies the target and is unique across all targets.
	ID string `json:"id"`
	// Incarnation increases with every start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Kind says what the target does.
	Kind Kind `json:"kind"`
	// Zone is the availability zone of the target.
	Zone string `json:"zone"`
	// Region is the region that contains the zone.
	Region string `json:"region"`
	// URL is the base URL of the target. Its host is an IP address.
	URL string `json:"url"`
	// Model is the loaded model; engines only.
	Model string `json:"model,omitempty"`
	// Service is the service name; plain services only.
	Service string `json:"service,omitempty"`
	// Version is the version of the loaded weights.
	Version string `json:"version,omitempty"`
	// Adapters lists the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of an engine, for example "mixed" or "prefill".
	Role string `json:"role,omitempty"`
	// BatchSlots is the number of requests that an engine runs concurrently.
	BatchSlots int `json:"batch_slots,omitempty"`
	// CacheBlocks is the capacity of the engine's cache in KV blocks.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// Capabilities says what the target supports.
	Capabilities Capabilities `json:"capabilities"`
	// Load is the load at the time of the heartbeat.
	Load Load `json:"load"`
	// Loading is true while the engine loads weights.
	Loading bool `json:"loading,omitempty"`
	// Leaving is true once the target no longer accepts new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Capabilities lists the optional features that a target supports.
type Capabilities struct {
	// Fencing is true if the target rejects orders with an outdated fencing
	// token.
	Fencing bool `json:"fencing,omitempty"`
	// Resume is true if a stream can start at a token offset.
	Resume bool `json:"resume,omitempty"`
	// Priority is true if the target honours request priorities.
	Priority bool `json:"priority,omitempty"`
	// HTTP2 is true if the target supports HTTP/2; for http URLs that is
	// cleartext HTTP/2 with prior knowledge.
	HTTP2 bool `json:"http2,omitempty"`
	// KV is true if the target can export and import KV blocks.
	KV bool `json:"kv,omitempty"`
}

// Load is an engine's load at the time of a report. The current load may
// differ.
type Load struct {
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens is the number of prompt tokens still to be prefilled.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
}

// Ref identifies one incarnation of a target.
type Ref struct {
	// ID is the ID of the target.
	ID string
	// Incarnation is the number of the incarnation.
	Incarnation uint64
}

// Target is the state of one target as known to a VM.
type Target struct {
	Announcement
	// LastHeartbeat is when the latest known heartbeat was received from the
	// target, by this VM or another.
	LastHeartbeat time.Time
	// Draining is true if an operator took the target out of service.
	Draining bool

	// descriptionHash covers the fields of the announcement that ordinary
	// heartbeats do not change.
	descriptionHash uint64
}

// Ref returns the reference to the incarnation that t describes.
func (t *Target) Ref() Ref { return Ref{t.ID, t.Incarnation} }

// Usable reports whether t may be given new work at now.
func (t *Target) Usable(now time.Time) bool {
	if t.Leaving || t.Draining || t.Loading {
		return false
	}
	return now.Sub(t.LastHeartbeat) < HeartbeatTimeout
}

// Change is the effect of an announcement on the registry.
type Change int

// The kinds of change.
const (
	// Stale means that the announcement was outdated and ignored.
	Stale Change = iota
	// Refreshed means that only the sequence and the load changed.
	Refreshed
	// Joined means that the target was not known before.
	Joined
	// Replaced means that a newer incarnation replaced the known one.
	Replaced
	// Left means that the target started to leave.
	Left
	// DescriptionChanged means that more than the sequence and the load changed.
	DescriptionChanged
)

// String returns the name of the change for log entries.
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
// Stored targets are never modified, only replaced, so that readers can use
// them without the lock.
type Registry struct {
	mu      sync.RWMutex
	targets map[string]*Target
	// idByKey maps the Key of an incarnation to its target ID.
	idByKey map[uint64]string
	drains  map[string]Drain
	// localDrains are the decisions made on this VM that TakeLocalDrains has not
	// returned yet.
	localDrains []Drain
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets: make(map[string]*Target),
		idByKey: make(map[uint64]string),
		drains:  make(map[string]Drain),
	}
}

// MergeAnnouncement merges one heartbeat. A higher incarnation replaces a lower
// one. Within an incarnation the higher sequence wins, and Leaving is never
// reset. receivedAt is when a VM received the heartbeat from the target itself.
func (r *Registry) MergeAnnouncement(a Announcement, receivedAt time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.targets[a.ID]
	if !known {
		r.store(a, receivedAt)
		return Joined
	}
	if a.Incarnation < old.Incarnation {
		return Stale
	}
	if a.Incarnation > old.Incarnation {
		delete(r.idByKey, old.Ref().Key())
		r.store(a, receivedAt)
		return Replaced
	}
	if a.Sequence <= old.Sequence {
		return Stale
	}
	startsLeaving := a.Leaving && !old.Leaving
	a.Leaving = a.Leaving || old.Leaving
	r.store(a, laterOf(receivedAt, old.LastHeartbeat))
	if startsLeaving {
		return Left
	}
	if r.targets[a.ID].descriptionHash != old.descriptionHash {
		return DescriptionChanged
	}
	return Refreshed
}

// Expire removes the targets without a heartbeat for at least age and returns
// them.
func (r *Registry) Expire(now time.Time, age time.Duration) []Ref {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []Ref
	for id, t := range r.targets {
		if now.Sub(t.LastHeartbeat) >= age {
			expired = append(expired, t.Ref())
			delete(r.targets, id)
			delete(r.idByKey, t.Ref().Key())
		}
	}
	return expired
}

// Get returns the target with the given ID. The caller must not modify it.
func (r *Registry) Get(id string) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.targets[id]
	return t, ok
}

// All returns every known target, sorted by ID. The caller must not modify
// them.
func (r *Registry) All() []*Target {
	return r.filter(func(*Target) bool { return true })
}

// Engines returns the usable engines that have loaded the given version of
// model.
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

// filter returns the targets for which match returns true, sorted by ID.
func (r *Registry) filter(match func(*Target) bool) []*Target {
	r.mu.RLock()
	var out []*Target
	for _, t := range r.targets {
		if match(t) {
			out = append(out, t)
		}
	}
	r.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// store replaces the entry of a target by a new one. The old entry is not
// modified, because readers may still hold a pointer to it.
func (r *Registry) store(a Announcement, receivedAt time.Time) {
	t := &Target{
		Announcement:    a,
		LastHeartbeat:   receivedAt,
		Draining:        r.drains[a.ID].Drained,
		descriptionHash: hashDescription(&a),
	}
	r.targets[a.ID] = t
	r.idByKey[t.Ref().Key()] = a.ID
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
