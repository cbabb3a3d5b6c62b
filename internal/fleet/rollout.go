package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RolloutPhase is the phase of a rollout. The values are stored in log and snapshot files
// and must not change.
type RolloutPhase uint8

// The phases of a rollout.
const (
	RolloutRunning RolloutPhase = iota
	RolloutComplete
	RolloutRolledBack
)

// String returns the name of the phase.
func (p RolloutPhase) String() string {
	if names := [...]string{"running", "complete", "rolled back"}; int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprint("phase ", uint8(p))
}

const (
	// maxRolloutDuration limits the duration of an order, so that the sum of it and a time
	// stays within its type.
	maxRolloutDuration = 365 * 24 * time.Hour
	// maxEarlierOrders limits the accepted orders that a rollout keeps besides its own. An
	// operator sends an order again for some seconds.
	maxEarlierOrders = 16
	// maxKeptVersions limits the versions of the baseline and the rolled back ones.
	maxKeptVersions = 64
	// maxReasonBytes limits the reason of a step.
	maxReasonBytes = 256
	// MaxRollouts limits the services whose last rollout is kept. It is more than a
	// document of the largest deployment names.
	MaxRollouts = 4096
)

// RolloutOrder orders that the traffic of a service moves to targets of another software
// version.
type RolloutOrder struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	DurationMS int64  `json:"duration_ms"`
}

// NewRolloutOrder returns an order, or an error if it cannot be carried out.
func NewRolloutOrder(service, version string, duration time.Duration) (RolloutOrder, error) {
	if err := checkName(service, false); err != nil {
		return RolloutOrder{}, fmt.Errorf("the service is %.*q: %w", maxQuotedBytes, service, err)
	}
	if err := checkName(version, false); err != nil {
		return RolloutOrder{}, fmt.Errorf("the version is %.*q: %w", maxQuotedBytes, version, err)
	}
	if duration <= 0 {
		return RolloutOrder{}, errors.New("the duration is not positive")
	}
	ms := min(duration, maxRolloutDuration).Milliseconds()
	return RolloutOrder{Service: service, Version: version, DurationMS: max(ms, 1)}, nil
}

// RolloutStep changes a running rollout.
type RolloutStep struct {
	Service string `json:"service"`
	// Revision is that of the rollout for which the step was decided. The step has no
	// effect on another one, so that a delayed step of an earlier leader changes nothing.
	Revision    uint64       `json:"revision"`
	Phase       RolloutPhase `json:"phase,omitempty"`
	Share       float64      `json:"share,omitempty"`
	TargetShare float64      `json:"target_share,omitempty"`
	Reason      string       `json:"reason,omitempty"`
	// ElapsedMS is the time since the order on the clock of the leader.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
}

// RolloutProgress records the time since the order, from which a new leader continues,
// the number of fronts that follow the core, so that it knows of those that are cut off, and
// since when new targets receive requests, so that it knows whether they may be cold.
type RolloutProgress struct {
	Service   string `json:"service"`
	Order     uint64 `json:"order"`
	ElapsedMS int64  `json:"elapsed_ms"`
	Fronts    int    `json:"fronts,omitempty"`
	GrownMS   int64  `json:"grown_ms,omitempty"`
}

// AcceptedOrder is an accepted order other than that of the present rollout.
type AcceptedOrder struct {
	Version    string `json:"version"`
	DurationMS int64  `json:"duration_ms"`
	// Deadline is the end of its duration in Unix milliseconds.
	Deadline int64 `json:"deadline"`
}

// Rollout is the last rollout of a service.
type Rollout struct {
	Version    string `json:"version"`
	DurationMS int64  `json:"duration_ms"`
	// Accepted is when the order was applied, in Unix milliseconds on the clock of the
	// leader at that time.
	Accepted int64 `json:"accepted"`
	// Order is the log index of the order, Revision that of the last change apart from
	// ElapsedMS, Fronts and GrownMS.
	Order    uint64       `json:"order"`
	Revision uint64       `json:"revision"`
	Phase    RolloutPhase `json:"phase,omitempty"`
	// Share is the share of each front's requests that the new version may receive,
	// TargetShare the fraction of its targets that receive them.
	Share       float64 `json:"share,omitempty"`
	TargetShare float64 `json:"target_share,omitempty"`
	// FullSince is the revision at which the share became 1; 0 if it is less.
	FullSince uint64 `json:"full_since,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// ElapsedMS is the time since the order that the leader recorded last.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
	// Fronts is the number of fronts that the leader recorded last.
	Fronts int `json:"fronts,omitempty"`
	// GrownMS is the time since the order at which further new targets last began to receive
	// requests; 0 if none is known to receive any.
	GrownMS int64 `json:"grown_ms,omitempty"`
	// Baseline are the versions that served before. If it is empty, no target of the
	// service was registered, and all versions but Version and Excluded belong to it.
	Baseline []string `json:"baseline,omitempty"`
	// Excluded are versions that were rolled back. They get no requests until a rollout to
	// them is ordered.
	Excluded []string `json:"excluded,omitempty"`
	// Earlier are other accepted orders whose deadline had not passed: those before this
	// rollout, and those of its version with another duration while it ran.
	Earlier []AcceptedOrder `json:"earlier,omitempty"`
}

// Duration returns the ordered duration.
func (r *Rollout) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// deadline returns the end of the ordered duration in Unix milliseconds.
func (r *Rollout) deadline() int64 { return r.Accepted + r.DurationMS }

// Membership tells to which part of a rollout a target belongs.
type Membership uint8

// The memberships of targets.
const (
	// WithheldTarget is a target of a version that no rollout has released.
	WithheldTarget Membership = iota
	BaselineTarget
	CanaryTarget
)

// Membership returns the membership of the targets of a software version.
func (r *Rollout) Membership(software string) Membership {
	switch {
	case software == r.Version:
		return CanaryTarget
	case len(r.Baseline) > 0 && !slices.Contains(r.Baseline, software):
		return WithheldTarget
	case slices.Contains(r.Excluded, software):
		return WithheldTarget
	}
	return BaselineTarget
}

// Serves reports whether a target of a software version may get any requests.
func (r *Rollout) Serves(software string) bool {
	switch r.Membership(software) {
	case CanaryTarget:
		return r.Phase != RolloutRolledBack
	case BaselineTarget:
		return r.Phase != RolloutComplete
	}
	return false
}

// accepts reports whether an order is one that was accepted and whose deadline has not
// passed. A running rollout to the same version accepts any order to it.
func (r *Rollout) accepts(o RolloutOrder, now int64) bool {
	if r.Version == o.Version && (r.Phase == RolloutRunning || r.DurationMS == o.DurationMS && now < r.deadline()) {
		return true
	}
	return slices.ContainsFunc(r.Earlier, func(e AcceptedOrder) bool { return e.accepts(o, now) })
}

// RolloutResult is the response of the registry to an order.
type RolloutResult string

// The results of an order.
const (
	// RolloutAccepted means that the order is in force, or was when it was sent first.
	RolloutAccepted RolloutResult = "accepted"
	// RolloutConflict means that a rollout to another version is running.
	RolloutConflict RolloutResult = "conflict"
	// RolloutsFull means that too many services have rollouts.
	RolloutsFull RolloutResult = "full"
)

// orderRollout applies an order.
func (s *State) orderRollout(index uint64, now time.Time, o RolloutOrder) (result RolloutResult, changed bool) {
	ms := now.UnixMilli()
	previous, known := s.Rollouts[o.Service]
	switch {
	case known && previous.accepts(o, ms):
		return RolloutAccepted, s.remember(&previous, o, ms)
	case known && previous.Phase == RolloutRunning:
		return RolloutConflict, false
	case !known && len(s.Rollouts) >= MaxRollouts:
		return RolloutsFull, false
	}
	next := Rollout{Version: o.Version, DurationMS: o.DurationMS, Accepted: ms, Order: index, Revision: index}
	served := known && previous.servedBy(o.Version)
	if known {
		next.follow(&previous, ms)
	}
	// Other versions beside one that serves alone are not released by its order.
	if len(next.Baseline) == 0 && !served {
		next.Baseline = s.versionsBeside(o, next.Excluded)
	}
	// If no other version may serve, there is nothing to compare with, and at a share of 0
	// the fronts would have no target.
	if served || len(next.Baseline) == 0 && s.hasVersion(o.Service, o.Version) {
		next.Phase, next.Share, next.TargetShare, next.Reason = RolloutComplete, 1, 1, "the version serves already"
	}
	if s.Rollouts == nil {
		s.Rollouts = make(map[string]Rollout)
	}
	s.Rollouts[o.Service] = next
	s.UrgentRevision = index
	return RolloutAccepted, true
}

// servedBy reports whether a version serves alone after the rollout.
func (r *Rollout) servedBy(version string) bool {
	switch r.Phase {
	case RolloutComplete:
		return r.Version == version
	case RolloutRolledBack:
		return len(r.Baseline) == 1 && r.Baseline[0] == version
	}
	return false
}

// follow takes over what remains of the rollout before r.
func (r *Rollout) follow(previous *Rollout, now int64) {
	r.Baseline, r.Excluded = previous.Baseline, slices.Clone(previous.Excluded)
	switch {
	case previous.Phase == RolloutComplete && previous.Version != r.Version:
		r.Baseline = []string{previous.Version}
	case previous.Phase == RolloutRolledBack:
		r.Excluded = append(r.Excluded, previous.Version)
	}
	r.Excluded = slices.DeleteFunc(r.Excluded, func(v string) bool { return v == r.Version })
	slices.Sort(r.Excluded)
	r.Excluded = slices.Compact(r.Excluded)
	r.Excluded = r.Excluded[max(len(r.Excluded)-maxKeptVersions, 0):]
	r.Baseline = slices.DeleteFunc(slices.Clone(r.Baseline), func(v string) bool { return v == r.Version })
	r.Earlier = previous.Earlier
	r.acknowledge(AcceptedOrder{previous.Version, previous.DurationMS, previous.deadline()}, now)
}

// acknowledge adds an accepted order, and drops those whose deadline has passed.
func (r *Rollout) acknowledge(o AcceptedOrder, now int64) {
	r.Earlier = append(slices.Clone(r.Earlier), o)
	r.Earlier = slices.DeleteFunc(r.Earlier, func(e AcceptedOrder) bool { return now >= e.Deadline })
	r.Earlier = r.Earlier[max(len(r.Earlier)-maxEarlierOrders, 0):]
}

// remember stores an order of the version of a running rollout with another duration, so that
// it is acknowledged until its own deadline. The rollout stays as it is. It reports whether the
// order was not stored before.
func (s *State) remember(r *Rollout, o RolloutOrder, now int64) bool {
	own := r.DurationMS == o.DurationMS && r.Version == o.Version
	if own || slices.ContainsFunc(r.Earlier, func(e AcceptedOrder) bool { return e.accepts(o, now) }) {
		return false
	}
	r.acknowledge(AcceptedOrder{o.Version, o.DurationMS, now + o.DurationMS}, now)
	s.Rollouts[o.Service] = *r
	return true
}

// accepts reports whether an order is this one, and its deadline has not passed.
func (a AcceptedOrder) accepts(o RolloutOrder, now int64) bool {
	return a.Version == o.Version && a.DurationMS == o.DurationMS && now < a.Deadline
}

// versionsBeside returns the sorted versions of the registered targets of an order's
// service, except its own and the excluded ones.
func (s *State) versionsBeside(o RolloutOrder, excluded []string) []string {
	versions := make(map[string]struct{})
	for _, t := range s.Targets {
		if t.Service == o.Service && t.Software != o.Version && !slices.Contains(excluded, t.Software) {
			versions[t.Software] = struct{}{}
		}
	}
	list := slices.Sorted(maps.Keys(versions))
	return list[:min(len(list), maxKeptVersions)]
}

func (s *State) hasVersion(service, version string) bool {
	for _, t := range s.Targets {
		if t.Service == service && t.Software == version {
			return true
		}
	}
	return false
}

// stepRollout applies a step. It has no effect unless the rollout runs and is the one for
// which the step was decided.
func (s *State) stepRollout(index uint64, step RolloutStep) bool {
	r, ok := s.Rollouts[step.Service]
	if !ok || r.Phase != RolloutRunning || r.Revision != step.Revision {
		return false
	}
	switch {
	case step.Share < 1:
		r.FullSince = 0
	case r.FullSince == 0:
		r.FullSince = index
	}
	if r.GrownMS > 0 && step.TargetShare > r.TargetShare {
		r.GrownMS = max(r.GrownMS, step.ElapsedMS)
	}
	r.Phase, r.Share, r.TargetShare = step.Phase, step.Share, step.TargetShare
	r.Reason = step.Reason[:min(len(step.Reason), maxReasonBytes)]
	r.ElapsedMS = max(r.ElapsedMS, step.ElapsedMS)
	r.Revision = index
	s.Rollouts[step.Service] = r
	s.UrgentRevision = index
	return true
}

// recordProgress records the times since the orders of running rollouts. Fronts have no use
// for them, so that the revision stays as it is.
func (s *State) recordProgress(list []RolloutProgress) {
	for _, p := range list {
		r, ok := s.Rollouts[p.Service]
		if ok && r.Order == p.Order && r.Phase == RolloutRunning {
			r.ElapsedMS, r.Fronts, r.GrownMS = max(r.ElapsedMS, p.ElapsedMS), p.Fronts, max(r.GrownMS, p.GrownMS)
			s.Rollouts[p.Service] = r
		}
	}
}

// recordSoftware adds a version to the baseline of the service of a target that has stated
// no version so far. Targets that were registered by an earlier release state theirs with
// their next heartbeat.
func (s *State) recordSoftware(before, t *Target) {
	r, ok := s.Rollouts[t.Service]
	if !ok || before.Software != "" || t.Software == "" || before.Started != t.Started || before.Service != t.Service {
		return
	}
	if r.Membership("") != BaselineTarget || r.Membership(t.Software) != WithheldTarget || slices.Contains(r.Excluded, t.Software) {
		return
	}
	if len(r.Baseline) < maxKeptVersions {
		r.Baseline = append(slices.Clone(r.Baseline), t.Software)
		s.Rollouts[t.Service] = r
	}
}

// Rollouts returns the last rollout of each service that has had one.
func (r *Registry) Rollouts() map[string]Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.state.Rollouts)
}

// Rollout returns the last rollout of a service.
func (r *Registry) Rollout(service string) (Rollout, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rollout, ok := r.state.Rollouts[service]
	return rollout, ok
}

// RolloutRuns reports whether any rollout is running.
func (r *Registry) RolloutRuns() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rollout := range r.state.Rollouts {
		if rollout.Phase == RolloutRunning {
			return true
		}
	}
	return false
}

// AcceptsRollout reports whether an order was accepted before and its deadline has not
// passed at now, on the clock of the leader.
func (r *Registry) AcceptsRollout(o RolloutOrder, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rollout, ok := r.state.Rollouts[o.Service]
	return ok && rollout.accepts(o, now.UnixMilli())
}
