package fleet

import (
	"maps"
	"slices"
)

// changeQuarantine adds and removes quarantined requests and parts. It reports whether
// anything has changed.
func (s *State) changeQuarantine(index uint64, add, remove []string) bool {
	changed := false
	for _, suspect := range remove {
		if _, ok := s.Quarantined[suspect]; ok {
			delete(s.Quarantined, suspect)
			changed = true
		}
	}
	for _, suspect := range add {
		if _, ok := s.Quarantined[suspect]; ok {
			continue
		}
		if len(s.Quarantined) >= MaxQuarantined {
			delete(s.Quarantined, s.oldestQuarantined())
		}
		s.Quarantined[suspect] = index
		s.UrgentRevision = index
		changed = true
	}
	return changed
}

// oldestQuarantined returns what was quarantined first.
func (s *State) oldestQuarantined() string {
	return slices.MinFunc(s.QuarantinedSuspects(), func(a, b string) int { return int(int64(s.Quarantined[a]) - int64(s.Quarantined[b])) })
}

// QuarantinedSuspects returns the sorted quarantined requests and parts.
func (s *State) QuarantinedSuspects() []string { return slices.Sorted(maps.Keys(s.Quarantined)) }

// Quarantined returns the sorted quarantined requests and parts.
func (r *Registry) Quarantined() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.QuarantinedSuspects()
}
