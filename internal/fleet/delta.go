package fleet

// Delta holds the changes of the registry since an earlier revision.
type Delta struct {
	// Full is set if Targets holds all targets, not only the changed ones.
	Full    bool              `json:"whole,omitempty"`
	Targets []Target          `json:"targets,omitempty"`
	Removed []string          `json:"gone,omitempty"`
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Quarantined holds all quarantined requests and parts.
	Quarantined map[string]uint64 `json:"quarantined,omitempty"`
	// Rollouts holds the last rollout of each service.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
	Revision uint64             `json:"revision"`
}

// DeltaSince returns the changes after a revision. It returns the full registry
// if the departures since that revision are no longer all kept.
func (s *State) DeltaSince(revision uint64) Delta {
	d := Delta{Weights: s.Weights, Quarantined: s.Quarantined, Rollouts: s.Rollouts, Revision: s.Revision}
	truncated := len(s.Departed) == maxDepartures && s.Departed[0].Revision > revision
	d.Full = revision == 0 || truncated
	for _, t := range s.Targets {
		if d.Full || t.Revision > revision {
			d.Targets = append(d.Targets, t)
		}
	}
	for i := range s.Departed {
		if !d.Full && s.Departed[i].Revision > revision {
			d.Removed = append(d.Removed, s.Departed[i].ID)
		}
	}
	return d
}

// Merge returns a copy of the registry with a delta applied.
func (s *State) Merge(d Delta) *State {
	c := s.clone()
	if d.Full {
		c.Targets = make(map[string]Target)
	}
	for _, id := range d.Removed {
		delete(c.Targets, id)
	}
	for _, t := range d.Targets {
		c.Targets[t.ID] = t
	}
	c.Weights = d.Weights
	c.Quarantined = d.Quarantined
	c.Rollouts = d.Rollouts
	c.Revision = d.Revision
	return c
}
