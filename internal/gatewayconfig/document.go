// Package gatewayconfig holds the configuration document of routes, services and
// workspaces that front VMs apply, and the lookup table compiled from it. The
// package does no I/O.
package gatewayconfig

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RunKind states how often a request on a route may run.
type RunKind uint8

const (
	// RunOnce requests run at most once.
	RunOnce RunKind = iota
	// RunIdempotent requests may run more than once.
	RunIdempotent
	// RunStream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	RunStream
)

// WeightedService is the weight of one service in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RunKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective: the maximum time to the response, or
	// to the first event of a stream.
	Objective time.Duration
	// MaxPause is the maximum time between two events of a stream that meets
	// its objective.
	MaxPause time.Duration
	// Patience is the longest time for which callers of a stream wait for its first event,
	// and for each later one; 0 if callers wait until their deadline.
	Patience time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	Split    []WeightedService
	// MaxAttempts limits the number of targets that may run one request.
	MaxAttempts int
	// Open routes require no key.
	Open bool
	// Cached routes carry prompts whose parts the engines cache.
	Cached bool
	// Resumable streams may continue at another engine after a failure.
	Resumable bool
}

// Retryable reports whether a request can be retried after a target may have
// run it.
func (r *Route) Retryable() bool {
	return r.Kind == RunIdempotent || r.Kind == RunStream && r.Resumable
}

// Engine describes the engines of a service.
type Engine struct {
	// CacheTokens is the memory for running requests and cached parts, in
	// tokens.
	CacheTokens int
	// TokenBytes is the size of a token in that memory, in bytes.
	TokenBytes float64
	// Slots is the number of requests that an engine runs at once; 0 if it is not known.
	Slots int
	// Rate is the bandwidth of the engine's link, in bytes per second; 0 if it is not known.
	Rate float64
	// Stride is the field of this name in the document. Nothing depends on it so far.
	Stride float64
	// Backups is set if engines can keep copies of runs of other engines.
	Backups bool
	// CopyKept is how long an engine keeps a copy after its last part; 0 if it is not known.
	CopyKept time.Duration
	Models   []string
}

// TransferMSPerToken returns the time to send a cached token over the link, in
// milliseconds; 0 if it is not known.
func (e *Engine) TransferMSPerToken() float64 {
	if e.Rate <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	return e.TokenBytes / e.Rate * msPerSecond
}

const msPerSecond = 1000

// Store is a server that caches parts of prompts for the engines. It gets no
// requests.
type Store struct {
	Address string
	Zone    string
	// Tokens is the capacity of the store.
	Tokens int
	// Rate is the bandwidth of the store's link, in bytes per second.
	Rate float64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections limits the connections to one target from all VMs
	// together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Store is set if the targets of the service are stores of cached parts
	// (KV cache) rather than targets for requests.
	Store *Store
}

// Workspace is one customer, with its keys and quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil if unset.
	Priority *int
	// TokenUnit is set if the quota counts tokens rather than requests.
	TokenUnit bool
	// PlainTokens is the cost of a request that states no token counts.
	PlainTokens float64
	// Isolated workspaces do not share cached parts with others.
	Isolated bool
	// Rate (per second) and Burst limit the workspace across all VMs; 0 means
	// unlimited.
	Rate, Burst float64
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// ErrInvalid marks documents that must not be accepted.
var ErrInvalid = errors.New("invalid document")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate checks the document's values and the references between them.
func (d *Document) Validate() error {
	services := make(map[string]bool)
	for i := range d.Services {
		if d.Services[i].Name == "" {
			return invalid("service %d has no name", i)
		}
		services[d.Services[i].Name] = true
	}
	routeByMatch := make(map[string]string)
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		match := r.Host + "\x00" + r.PathPrefix
		if other, ok := routeByMatch[match]; ok {
			return invalid("routes %q and %q share host and prefix", other, r.Name)
		}
		routeByMatch[match] = r.Name
	}
	return d.validateKeys()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("route %q has prefix %q", r.Name, r.PathPrefix)
	}
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid("route %q names the unknown service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (d *Document) validateKeys() error {
	owners := make(map[string]string)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, key := range w.Keys {
			if other, ok := owners[key]; ok && other != w.Name {
				return invalid("workspaces %q and %q share a key", other, w.Name)
			}
			owners[key] = w.Name
		}
	}
	return nil
}

// Table looks up the route, service and workspace of a request. It is
// immutable.
type Table struct {
	Document *Document
	// hosts maps a host to its routes, sorted by descending length of the
	// prefix.
	hosts      map[string][]*Route
	services   map[string]*Service
	keys       map[[sha256.Size]byte]*Workspace
	workspaces map[string]*Workspace
	// sharedScope is the cache scope of all workspaces that are not isolated.
	sharedScope string
}

// Compile returns the table of a valid document.
func Compile(d *Document) *Table {
	t := &Table{
		Document:   d,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service),
		keys:       make(map[[sha256.Size]byte]*Workspace),
		workspaces: make(map[string]*Workspace),
	}
	t.sharedScope = sharedScopeOf(d.Workspaces)
	for i := range d.Routes {
		t.addRoute(&d.Routes[i])
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, key := range w.Keys {
			t.keys[sha256.Sum256([]byte(key))] = w
		}
	}
	return t
}

func (t *Table) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	routes := append(t.hosts[host], r)
	for i := len(routes) - 1; i > 0 && len(routes[i].PathPrefix) > len(routes[i-1].PathPrefix); i-- {
		routes[i], routes[i-1] = routes[i-1], routes[i]
	}
	t.hosts[host] = routes
}

// Route returns the route with the longest matching prefix for a host and path,
// or nil. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes := t.hosts[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// MaxConnections returns the number of connections that a target of the service
// accepts from all VMs together; 0 if it is not known.
func (t *Table) MaxConnections(service string) int {
	if s := t.services[service]; s != nil {
		return s.MaxConnections
	}
	return 0
}

// Engine returns what is known of the engines of a service; nil for a plain or unknown
// service.
func (t *Table) Engine(service string) *Engine {
	if s := t.services[service]; s != nil {
		return s.Engine
	}
	return nil
}

// TokenBytes returns the size of a token in the memory of the engines, the
// largest one if services differ; 0 if no service has engines.
func (t *Table) TokenBytes() float64 {
	size := 0.0
	for _, s := range t.services {
		if s.Engine != nil {
			size = max(size, s.Engine.TokenBytes)
		}
	}
	return size
}

// Owner returns the workspace that owns a key, or nil. The lookup is by the
// key's hash, so that its duration does not reveal how much of the key matches.
func (t *Table) Owner(key string) *Workspace { return t.keys[sha256.Sum256([]byte(key))] }

// Workspace returns a workspace by name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Pick selects a service of the split by weight, given a random number x in
// [0, 1).
func (r *Route) Pick(x float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	x *= total
	for _, s := range r.Split {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
