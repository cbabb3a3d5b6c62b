package target

import "sort"

// Drain is an operator's decision on whether a target gets new work. It applies to
// every incarnation of the target until the operator changes it.
type Drain struct {
	// ID identifies the target.
	ID string
	// Version orders the decisions about one target across all VMs.
	Version uint64
	// Drained is true if the target must not be given new work.
	Drained bool
}

// newer reports whether d replaces old. Of two concurrent decisions with the
// same version, the one that drains the target wins.
func (d Drain) newer(old Drain) bool {
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.Drained && !old.Drained
}

// Drain takes a target out of service, or returns it to service, until the
// operator changes the decision.
func (r *Registry) Drain(id string, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, known := r.drains[id]; known && old.Drained == drained {
		return
	}
	d := Drain{ID: id, Version: r.drains[id].Version + 1, Drained: drained}
	r.setDrain(d)
	r.localDrains = append(r.localDrains, d)
}

// MergeDrain applies a decision that was made on another VM. It reports whether
// the decision was newer than the known one.
func (r *Registry) MergeDrain(d Drain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !d.newer(r.drains[d.ID]) {
		return false
	}
	r.setDrain(d)
	return true
}

// TakeLocalDrains returns the decisions made on this VM since the last call.
func (r *Registry) TakeLocalDrains() []Drain {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.localDrains
	r.localDrains = nil
	return taken
}

// Drains returns every known decision, sorted by target ID.
func (r *Registry) Drains() []Drain {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Drain, 0, len(r.drains))
	for _, d := range r.drains {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (r *Registry) setDrain(d Drain) {
	r.drains[d.ID] = d
	if t, ok := r.targets[d.ID]; ok {
		updated := *t
		updated.Draining = d.Drained
		r.targets[d.ID] = &updated
	}
}
