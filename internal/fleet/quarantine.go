package fleet

import (
	"maps"
	"slices"
)

// changeQuarantine adds and removes quarantined parts. It reports whether anything has
// changed.
func (s *State) changeQuarantine(index uint64, add, remove []string) bool {
	changed := false
	for _, part := range remove {
		if _, ok := s.Quarantined[part]; ok {
			delete(s.Quarantined, part)
			changed = true
		}
	}
	for _, part := range add {
		if _, ok := s.Quarantined[part]; ok {
			continue
		}
		if len(s.Quarantined) >= maxQuarantined {
			delete(s.Quarantined, s.oldestQuarantined())
		}
		s.Quarantined[part] = index
		s.UrgentRevision = index
		changed = true
	}
	return changed
}

// oldestQuarantined returns the part that was quarantined first.
func (s *State) oldestQuarantined() string {
	parts := slices.Sorted(maps.Keys(s.Quarantined))
	return slices.MinFunc(parts, func(a, b string) int { return int(int64(s.Quarantined[a]) - int64(s.Quarantined[b])) })
}

// QuarantinedParts returns the sorted quarantined parts.
func (s *State) QuarantinedParts() []string { return slices.Sorted(maps.Keys(s.Quarantined)) }

// QuarantinedParts returns the sorted quarantined parts.
func (r *Registry) QuarantinedParts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.QuarantinedParts()
}
