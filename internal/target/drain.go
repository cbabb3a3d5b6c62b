package target

import "sort"

// Drain is an operator's decision about one target. It holds for every
// incarnation until changed again.
type Drain struct {
	// ID names the target.
	ID string
	// Version orders decisions about one target over all VMs.
	Version uint64
	// Drained is true if the target may get no new work.
	Drained bool
}

// newer reports whether d replaces old. Of two decisions that were made
// without knowledge of each other, the one to drain wins.
func (d Drain) newer(old Drain) bool {
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.Drained && !old.Drained
}

// Drain takes a target out of service, or returns it, until changed again.
func (r *Registry) Drain(id string, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, known := r.drained[id]; known && old.Drained == drained {
		return
	}
	d := Drain{ID: id, Version: r.drained[id].Version + 1, Drained: drained}
	r.setDrain(d)
	r.ownDrains = append(r.ownDrains, d)
}

// MergeDrain takes over a decision made on another VM. It reports whether the
// decision was news.
func (r *Registry) MergeDrain(d Drain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !d.newer(r.drained[d.ID]) {
		return false
	}
	r.setDrain(d)
	return true
}

// TakeOwnDrains returns the decisions made on this VM since the last call.
func (r *Registry) TakeOwnDrains() []Drain {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.ownDrains
	r.ownDrains = nil
	return taken
}

// Drains returns every known decision, sorted by target.
func (r *Registry) Drains() []Drain {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Drain, 0, len(r.drained))
	for _, d := range r.drained {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (r *Registry) setDrain(d Drain) {
	r.drained[d.ID] = d
	if t, ok := r.targets[d.ID]; ok {
		replaced := *t
		replaced.Draining = d.Drained
		r.targets[d.ID] = &replaced
	}
}
