package fleet

import (
	"maps"
	"slices"

	"github.com/cuminwing/cuminwing/internal/quarantine"
)

// changeQuarantine adds and removes quarantined requests and parts. It reports whether
// anything has changed.
func (s *State) changeQuarantine(index uint64, add, remove, cleared []string) bool {
	changed := false
	if s.Trials == nil {
		s.Trials = make(map[string]quarantine.Trial)
	}
	for _, suspect := range remove {
		if _, ok := s.Quarantined[suspect]; ok {
			s.release(suspect, slices.Contains(cleared, suspect))
			changed = true
		}
	}
	for _, suspect := range add {
		if _, ok := s.Quarantined[suspect]; ok {
			continue
		}
		if len(s.Quarantined) >= MaxQuarantined {
			s.release(s.oldestQuarantined(), false)
		}
		s.Quarantined[suspect] = index
		s.UrgentRevision = index
		changed = true
	}
	return changed
}

// release ends a quarantine. If it was not cleared, the release counts as a trial in case it is
// quarantined again.
func (s *State) release(suspect string, cleared bool) {
	delete(s.Quarantined, suspect)
	failed := s.Trials[suspect].Failed + 1
	delete(s.Trials, suspect)
	if cleared {
		return
	}
	if len(s.Trials) >= MaxQuarantined {
		maps.DeleteFunc(s.Trials, func(other string, _ quarantine.Trial) bool { return s.Quarantined[other] == 0 })
	}
	s.Trials[suspect] = quarantine.Trial{Failed: failed}
}

// ChangesQuarantine reports whether the command changes what is quarantined or on trial.
func (c Command) ChangesQuarantine() bool {
	return len(c.Quarantine)+len(c.Release)+len(c.OpenTrials)+len(c.FailTrials) > 0
}

// changeTrials begins and ends trials of what is quarantined. It reports whether anything has
// changed.
func (s *State) changeTrials(index uint64, open, fail []string) bool {
	changed := false
	for _, suspect := range fail {
		if trial := s.Trials[suspect]; trial.Open {
			s.Trials[suspect] = quarantine.Trial{Failed: trial.Failed + 1}
			s.UrgentRevision = index
			changed = true
		}
	}
	for _, suspect := range open {
		if _, ok := s.Quarantined[suspect]; ok && !s.Trials[suspect].Open {
			s.Trials[suspect] = quarantine.Trial{Open: true, Failed: s.Trials[suspect].Failed}
			changed = true
		}
	}
	return changed
}

// OnTrial returns the sorted requests and parts whose trials are open.
func (s *State) OnTrial() []string {
	var list []string
	for suspect, trial := range s.Trials {
		if trial.Open {
			list = append(list, suspect)
		}
	}
	slices.Sort(list)
	return list
}

// Trials returns the trials of what is quarantined.
func (r *Registry) Trials() map[string]quarantine.Trial {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.state.Trials)
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
