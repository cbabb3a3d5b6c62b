// Package fleet implements the replicated registry of targets and of the weights
// that engines have to run. The package does no I/O.
package fleet

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/quarantine"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// Target is one incarnation of an engine or of a plain service instance.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Draining is set when the target must get no new requests. It is never
	// cleared within an incarnation.
	Draining bool `json:"draining,omitempty"`
	// Model is the model of an engine, Weights the version of it that the
	// engine runs.
	Model   string `json:"model,omitempty"`
	Weights uint64 `json:"weights,omitempty"`
	// Started is the start time of the incarnation in Unix milliseconds.
	Started int64 `json:"started"`
	// Software is the software version of the target; empty if it is not known.
	Software string `json:"software,omitempty"`
	// Updating is set while the engine is being updated to new weights.
	Updating bool `json:"updating,omitempty"`
	// Revision is the log index of the last change of this target.
	Revision uint64 `json:"revision"`
}

// equalIgnoringRevision reports whether t and other are equal apart from their
// revisions.
func (t Target) equalIgnoringRevision(other Target) bool {
	t.Revision = other.Revision
	return t == other
}

// newerThan reports whether t is a later incarnation than other.
func (t *Target) newerThan(other *Target) bool { return t.Started > other.Started }

// Command is a change of the registry. Exactly one field is set.
type Command struct {
	// Announce adds or updates a target, Announces several of them.
	Announce  *Target  `json:"announce,omitempty"`
	Announces []Target `json:"announces,omitempty"`
	// Leave is the ID of a target to remove.
	Leave string `json:"leave,omitempty"`
	// Weights sets the version that the engines of a model have to run.
	Weights *RequiredWeights `json:"weights,omitempty"`
	// Updates set or clear the update marks of engines.
	Updates []UpdateMark `json:"updates,omitempty"`
	// Spent records what workspaces have spent within the window of their
	// quota.
	Spent map[string]ratelimit.SpendingRecord `json:"spent,omitempty"`
	// Quarantine adds requests, and parts of prompts, that must not reach engines;
	// Release removes them.
	Quarantine []string `json:"quarantine,omitempty"`
	Release    []string `json:"release,omitempty"`
	// Evidence adds crashes of engines.
	Evidence *quarantine.EvidenceRecord `json:"evidence,omitempty"`
	// Rollout orders a rollout, Step changes a running one, and Progress records the times
	// since the orders.
	Rollout  *RolloutOrder     `json:"rollout,omitempty"`
	Step     *RolloutStep      `json:"step,omitempty"`
	Progress []RolloutProgress `json:"progress,omitempty"`
}

// RequiredWeights is the version of a model that engines have to run.
type RequiredWeights struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// UpdateMark sets or clears the mark of an engine that is being updated.
type UpdateMark struct {
	ID string `json:"id"`
	// Updating sets or clears the mark. Weights is the version that the engine
	// runs after the update.
	Updating bool   `json:"updating"`
	Weights  uint64 `json:"weights,omitempty"`
}

// Encode returns the encoding of c that is stored in the log.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("fleet: encode command: " + err.Error())
	}
	return data
}

// maxDepartures limits the number of departed incarnations that are kept. They
// are kept so that a delayed heartbeat does not register one again. The largest
// deployment the system is designed for has 130 restarts a day.
const maxDepartures = 1024

// maxLateHeartbeats limits the heartbeats that are ignored because they may have been
// sent before the target left. A restarted target whose clock is behind that of the
// leader is registered by the next one.
const maxLateHeartbeats = 8

// MaxQuarantined limits the quarantined requests and parts. The oldest one is released
// for a new one.
const MaxQuarantined = 1024

// State is the content of the registry. A State that a Registry has returned is
// never modified.
type State struct {
	Targets map[string]Target `json:"targets"`
	// Weights maps each model to the version that its engines have to run.
	Weights map[string]uint64 `json:"weights"`
	// Departed holds the incarnations that were removed, oldest first.
	Departed []Departure `json:"departed"`
	// Spent is what workspaces had spent within the window of their quota when
	// the leader last recorded it. A change of it does not change Revision.
	Spent map[string]ratelimit.SpendingRecord `json:"spent,omitempty"`
	// Quarantined maps the requests, and parts of prompts, that must not reach engines
	// to the log index at which they were added.
	Quarantined map[string]uint64 `json:"quarantined,omitempty"`
	// Evidence holds the latest crashes of engines. A change of it does not change Revision,
	// and fronts do not receive it.
	Evidence quarantine.EvidenceRecord `json:"evidence"`
	// Rollouts maps each service to its last rollout. A change of the elapsed times in it
	// does not change Revision.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
	// Revision is the log index of the last change of anything but Spent and Evidence.
	Revision uint64 `json:"revision"`
	// UrgentRevision is the log index of the last change after which some target
	// must get no new requests.
	UrgentRevision uint64 `json:"urgent,omitempty"`

	// byAddress maps addresses to the IDs of targets. It is nil until it is needed.
	byAddress map[string]string
}

// Departure is an incarnation of a target that was removed.
type Departure struct {
	ID string `json:"id"`
	// Started is the start time of the incarnation, or unknownStart if it had not
	// been registered.
	Started  int64  `json:"started"`
	Revision uint64 `json:"revision"`
	// Left is when the target deregistered itself, in Unix milliseconds; 0 if it did
	// not. Incarnations that started before are gone, although they may not have been
	// registered yet.
	Left int64 `json:"left,omitempty"`
	// LateHeartbeats is the number of heartbeats that were ignored because of Left.
	LateHeartbeats int `json:"late,omitempty"`
}

// unknownStart is less than the start time of any target.
const unknownStart = -1

// Registry is the state machine that applies commands from the control log to a
// State. It is safe for concurrent use.
type Registry struct {
	// OnChange is called after each change of the revision and after Restore,
	// without the lock held. It may be nil.
	OnChange func()

	mu    sync.Mutex
	state State
	// readCopy is the copy of state that readers share. It is nil after a
	// change until the next read.
	readCopy *State
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{state: emptyState()} }

func emptyState() State {
	return State{Targets: map[string]Target{}, Weights: map[string]uint64{}, Quarantined: map[string]uint64{}}
}

// Current returns the current state. The caller must not modify it.
func (r *Registry) Current() *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readCopy == nil {
		r.readCopy = r.state.clone()
	}
	return r.readCopy
}

// Versions returns the revision and the urgent revision. Unlike Current it copies
// nothing.
func (r *Registry) Versions() (revision, urgent uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Revision, r.state.UrgentRevision
}

// IsUpToDate reports whether announcing t would change nothing.
func (r *Registry) IsUpToDate(t Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IsUpToDate(t)
}

// ReplacedBy returns the registered targets with the ID or at the address of t that
// announcing t would replace, if they are of another service.
func (r *Registry) ReplacedBy(t Target) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var replaced []Target
	for _, id := range []string{t.ID, r.state.addresses()[t.Address]} {
		if other, ok := r.state.Targets[id]; ok && other.Service != t.Service && !other.newerThan(&t) {
			replaced = append(replaced, other)
		}
	}
	return replaced
}

// TargetCount returns the number of registered targets.
func (r *Registry) TargetCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.state.Targets)
}

// Spent returns the record of what workspaces have spent. The caller must not
// modify it.
func (r *Registry) Spent() map[string]ratelimit.SpendingRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Spent
}

// Evidence returns the recorded crashes of engines. The caller must not modify it.
func (r *Registry) Evidence() quarantine.EvidenceRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Evidence
}

// DeltaSince returns the changes after a revision.
func (r *Registry) DeltaSince(revision uint64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.state.DeltaSince(revision)
	d.Weights = maps.Clone(d.Weights)
	d.Quarantined = maps.Clone(d.Quarantined)
	d.Rollouts = maps.Clone(d.Rollouts)
	return d
}

func (s *State) clone() *State {
	c := emptyState()
	for k, v := range s.Targets {
		c.Targets[k] = v
	}
	for k, v := range s.Weights {
		c.Weights[k] = v
	}
	maps.Copy(c.Quarantined, s.Quarantined)
	c.Departed = append([]Departure(nil), s.Departed...)
	c.Spent = s.Spent
	c.Evidence = s.Evidence
	c.Rollouts = maps.Clone(s.Rollouts)
	c.Revision = s.Revision
	c.UrgentRevision = s.UrgentRevision
	return &c
}

// Apply implements control.StateMachine.
func (r *Registry) Apply(index uint64, now time.Time, body []byte) []byte {
	var c Command
	if err := json.Unmarshal(body, &c); err != nil {
		return nil
	}
	r.mu.Lock()
	var result RolloutResult
	var changed bool
	if c.Rollout != nil {
		result, changed = r.state.orderRollout(index, now, *c.Rollout)
	} else {
		changed = r.state.apply(index, now, c)
	}
	if changed {
		r.state.Revision = index
	}
	switch {
	case changed:
		r.readCopy = nil
	case c.Spent != nil && r.readCopy != nil:
		next := *r.readCopy
		next.Spent = c.Spent
		r.readCopy = &next
	case len(c.Progress) > 0:
		r.readCopy = nil
	}
	r.mu.Unlock()
	if changed && r.OnChange != nil {
		r.OnChange()
	}
	return []byte(result)
}

// IsUpToDate reports whether announcing t would change nothing. A repeated
// heartbeat therefore needs no log entry.
func (s *State) IsUpToDate(t Target) bool {
	existing, ok := s.Targets[t.ID]
	if !ok {
		return s.hasDeparted(t.ID, t.Started)
	}
	if existing.Started != t.Started {
		return existing.newerThan(&t)
	}
	t.Draining = t.Draining || existing.Draining
	t.Weights = max(t.Weights, existing.Weights)
	t.Updating = existing.Updating
	return t.equalIgnoringRevision(existing)
}

func (s *State) apply(index uint64, now time.Time, c Command) bool {
	switch {
	case c.Announce != nil:
		return s.announce(index, *c.Announce)
	case len(c.Announces) > 0:
		changed := false
		for _, t := range c.Announces {
			changed = s.announce(index, t) || changed
		}
		return changed
	case c.Leave != "":
		return s.deregister(index, now, c.Leave)
	case c.Weights != nil:
		return s.setWeights(index, *c.Weights)
	case len(c.Quarantine) > 0 || len(c.Release) > 0:
		return s.changeQuarantine(index, c.Quarantine, c.Release)
	case c.Step != nil:
		return s.stepRollout(index, *c.Step)
	}
	s.recordProgress(c.Progress)
	if c.Spent != nil {
		s.Spent = c.Spent
	}
	if c.Evidence != nil {
		s.Evidence = s.Evidence.Add(*c.Evidence)
	}
	changed := false
	for _, u := range c.Updates {
		changed = s.setUpdateMark(index, u) || changed
	}
	return changed
}

func (s *State) announce(index uint64, t Target) bool {
	if s.hasDeparted(t.ID, t.Started) {
		return false
	}
	existing, ok := s.Targets[t.ID]
	if ok && existing.newerThan(&t) {
		return false
	}
	if (!ok || existing.Started != t.Started) && s.ignoreLate(&t) {
		return false
	}
	if ok && existing.Started == t.Started {
		t.Draining = t.Draining || existing.Draining
		t.Weights = max(t.Weights, existing.Weights)
		t.Updating = existing.Updating
		if t.equalIgnoringRevision(existing) {
			return false
		}
	}
	if !s.removeReplaced(index, &t) {
		return false
	}
	if ok {
		s.recordSoftware(&existing, &t)
	}
	if t.Draining && !existing.Draining {
		s.UrgentRevision = index
	}
	t.Revision = index
	if ok && existing.Address != t.Address {
		delete(s.addresses(), existing.Address)
	}
	s.addresses()[t.Address] = t.ID
	s.Targets[t.ID] = t
	return true
}

func (s *State) hasDeparted(id string, started int64) bool {
	for i := range s.Departed {
		if s.Departed[i].ID == id && started <= s.Departed[i].Started {
			return true
		}
	}
	return false
}

// ignoreLate reports whether a heartbeat of an incarnation that is not registered may have
// been sent before the target deregistered itself, and counts it then.
func (s *State) ignoreLate(t *Target) bool {
	i := s.lastDeparture(t.ID)
	if i < 0 || t.Started <= 0 {
		return false
	}
	d := &s.Departed[i]
	if t.Started > d.Left || d.LateHeartbeats >= maxLateHeartbeats {
		return false
	}
	d.LateHeartbeats++
	return true
}

// lastDeparture returns the index of the latest departure of a target, or -1.
func (s *State) lastDeparture(id string) int {
	for i := len(s.Departed) - 1; i >= 0; i-- {
		if s.Departed[i].ID == id {
			return i
		}
	}
	return -1
}

// removeReplaced removes an older target that is registered at the address of t.
// It returns false if the registered target is newer than t, which means that the
// heartbeat of t was delayed.
func (s *State) removeReplaced(index uint64, t *Target) bool {
	id, ok := s.addresses()[t.Address]
	if !ok || id == t.ID {
		return true
	}
	other := s.Targets[id]
	if other.newerThan(t) {
		return false
	}
	s.remove(index, id)
	return true
}

// addresses returns the map from addresses to the IDs of targets. At most one
// target is registered at an address.
func (s *State) addresses() map[string]string {
	if s.byAddress == nil {
		s.byAddress = make(map[string]string, len(s.Targets))
		for id, t := range s.Targets {
			s.byAddress[t.Address] = id
		}
	}
	return s.byAddress
}

// deregister removes a target that leaves. Its first heartbeat may still be on its way, so
// that the departure of an unknown target is recorded too.
func (s *State) deregister(index uint64, now time.Time, id string) bool {
	_, ok := s.Targets[id]
	i := s.lastDeparture(id)
	switch {
	case ok:
		s.remove(index, id)
		i = len(s.Departed) - 1
	case i < 0:
		s.addDeparture(Departure{ID: id, Started: unknownStart, Revision: index})
		i = len(s.Departed) - 1
	}
	s.Departed[i].Left, s.Departed[i].LateHeartbeats = now.UnixMilli(), 0
	return ok
}

// remove removes a target and records its departure.
func (s *State) remove(index uint64, id string) {
	s.UrgentRevision = index
	s.addDeparture(Departure{ID: id, Started: s.Targets[id].Started, Revision: index})
	delete(s.addresses(), s.Targets[id].Address)
	delete(s.Targets, id)
}

func (s *State) addDeparture(d Departure) {
	s.Departed = append(s.Departed, d)
	if extra := len(s.Departed) - maxDepartures; extra > 0 {
		s.Departed = append([]Departure(nil), s.Departed[extra:]...)
	}
}

func (s *State) setWeights(index uint64, w RequiredWeights) bool {
	if w.Version <= s.Weights[w.Model] {
		return false
	}
	s.UrgentRevision = index
	s.Weights[w.Model] = w.Version
	return true
}

func (s *State) setUpdateMark(index uint64, u UpdateMark) bool {
	before, ok := s.Targets[u.ID]
	if !ok {
		return false
	}
	t := before
	t.Updating = u.Updating
	t.Weights = max(t.Weights, u.Weights)
	if t == before {
		return false
	}
	if u.Updating {
		s.UrgentRevision = index
	}
	t.Revision = index
	s.Targets[u.ID] = t
	return true
}

// NewState returns an empty registry.
func NewState() *State {
	s := emptyState()
	return &s
}

// Snapshot implements control.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(&r.state)
}

// Restore implements control.StateMachine.
func (r *Registry) Restore(data []byte) error {
	state := emptyState()
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	r.mu.Lock()
	r.state = *state.clone()
	r.readCopy = nil
	r.mu.Unlock()
	if r.OnChange != nil {
		r.OnChange()
	}
	return nil
}
