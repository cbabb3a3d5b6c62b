package config

import (
	"sort"
	"strings"

	"github.com/cuminwing/cuminwing/internal/apikeys"
)

// Snapshot is one immutable state of the document, indexed for request
// handling. Each request uses exactly one snapshot.
type Snapshot struct {
	// Revision is the log index at which this state was accepted.
	Revision uint64
	// Document is the document with defaults filled in. It must not be
	// modified.
	Document Document

	ownerByKey   map[apikeys.Hash]KeyOwner
	routeByModel map[string]string
	servicePaths []servicePath
	slots        int
}

// KeyOwner identifies a key and the workspace that it belongs to.
type KeyOwner struct {
	// Workspace is the name of the workspace.
	Workspace string
	// KeyID is the ID of the key.
	KeyID string
}

type servicePath struct {
	prefix string
	route  string
}

// NewSnapshot fills in the defaults of d and indexes it. It ignores keys with
// malformed hashes, which Validate reports.
func NewSnapshot(d Document, revision uint64) *Snapshot {
	s := &Snapshot{
		Revision:     revision,
		Document:     d.WithDefaults(),
		ownerByKey:   make(map[apikeys.Hash]KeyOwner),
		routeByModel: make(map[string]string),
	}
	s.indexKeys()
	s.indexRoutes()
	for _, z := range s.Document.Zones {
		s.slots += z.VMSlots
	}
	return s
}

// Owner returns the owner of the key with hash h.
func (s *Snapshot) Owner(h apikeys.Hash) (KeyOwner, bool) {
	owner, ok := s.ownerByKey[h]
	return owner, ok
}

// ModelRoute returns the route that serves a model.
func (s *Snapshot) ModelRoute(model string) (name string, route Route, ok bool) {
	name, ok = s.routeByModel[model]
	if !ok {
		return "", Route{}, false
	}
	return name, s.Document.Routes[name], true
}

// ServiceRoute returns the service route with the longest path prefix that
// matches path. A prefix matches whole path segments only.
func (s *Snapshot) ServiceRoute(path string) (name string, route Route, ok bool) {
	for _, p := range s.servicePaths {
		if hasPathPrefix(p.prefix, path) {
			return p.route, s.Document.Routes[p.route], true
		}
	}
	return "", Route{}, false
}

// VMSlots returns the number of VM slots in all zones.
func (s *Snapshot) VMSlots() int { return s.slots }

func (s *Snapshot) indexKeys() {
	for name, w := range s.Document.Workspaces {
		for _, k := range w.Keys {
			h, err := apikeys.ParseHash(k.SHA256)
			if err != nil {
				continue
			}
			s.ownerByKey[h] = KeyOwner{Workspace: name, KeyID: k.ID}
		}
	}
}

func (s *Snapshot) indexRoutes() {
	for name, r := range s.Document.Routes {
		if r.Kind == KindModel {
			s.routeByModel[r.Model] = name
			continue
		}
		s.servicePaths = append(s.servicePaths, servicePath{r.PathPrefix, name})
	}
	sort.Slice(s.servicePaths, func(i, j int) bool {
		a, b := s.servicePaths[i], s.servicePaths[j]
		if len(a.prefix) != len(b.prefix) {
			return len(a.prefix) > len(b.prefix)
		}
		return a.prefix < b.prefix
	})
}

func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
