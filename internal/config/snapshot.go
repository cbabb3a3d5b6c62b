package config

import (
	"sort"
	"strings"

	"github.com/cuminwing/cuminwing/internal/keys"
)

// Snapshot is one immutable state of the document, indexed for serving. Each
// request uses exactly one snapshot.
type Snapshot struct {
	// Revision is the log index at which this state was accepted.
	Revision uint64
	// Document is the state with defaults filled in. It must not be changed.
	Document Document

	byKey        map[keys.Hash]KeyOwner
	byModel      map[string]string
	servicePaths []servicePath
	slots        int
}

// KeyOwner says which workspace a key belongs to.
type KeyOwner struct {
	// Workspace owns the key.
	Workspace string
	// KeyID names the key.
	KeyID string
}

type servicePath struct {
	prefix string
	route  string
}

// NewSnapshot fills in defaults and indexes d. Keys with malformed hashes are
// left out; Validate reports them.
func NewSnapshot(d Document, revision uint64) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Document: d.WithDefaults(),
		byKey:    make(map[keys.Hash]KeyOwner),
		byModel:  make(map[string]string),
	}
	s.indexKeys()
	s.indexRoutes()
	for _, z := range s.Document.Zones {
		s.slots += z.VMSlots
	}
	return s
}

// Owner returns the workspace that the key with hash h belongs to.
func (s *Snapshot) Owner(h keys.Hash) (KeyOwner, bool) {
	owner, ok := s.byKey[h]
	return owner, ok
}

// ModelRoute returns the route that serves model.
func (s *Snapshot) ModelRoute(model string) (name string, route Route, ok bool) {
	name, ok = s.byModel[model]
	if !ok {
		return "", Route{}, false
	}
	return name, s.Document.Routes[name], true
}

// ServiceRoute returns the service route with the longest prefix of path. A
// prefix matches only whole path segments.
func (s *Snapshot) ServiceRoute(path string) (name string, route Route, ok bool) {
	for _, p := range s.servicePaths {
		if matchesPath(p.prefix, path) {
			return p.route, s.Document.Routes[p.route], true
		}
	}
	return "", Route{}, false
}

// Slots returns the number of VM slots over all zones.
func (s *Snapshot) Slots() int { return s.slots }

func (s *Snapshot) indexKeys() {
	for name, w := range s.Document.Workspaces {
		for _, k := range w.Keys {
			h, err := keys.ParseHash(k.SHA256)
			if err != nil {
				continue
			}
			s.byKey[h] = KeyOwner{Workspace: name, KeyID: k.ID}
		}
	}
}

func (s *Snapshot) indexRoutes() {
	for name, r := range s.Document.Routes {
		if r.Kind == KindModel {
			s.byModel[r.Model] = name
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

func matchesPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
