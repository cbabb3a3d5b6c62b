package edge

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
)

const (
	// staleWeightsMargin is subtracted from the time for which engines with
	// older weights are used. It covers requests that are queued at an engine.
	staleWeightsMargin = 1500 * time.Millisecond
	// unknownAgeLimit is how long a front that has just started uses engines
	// with older weights. It does not know when their weights were replaced,
	// unless the leader is new as well.
	unknownAgeLimit = 3500 * time.Millisecond
	// updateMarkTimeout limits how long an engine gets no requests because it
	// is marked for an update. An update takes less than two seconds; a mark
	// that stays longer was left by a leader that has failed.
	updateMarkTimeout = 2 * time.Second
)

// staleWeightsFilter excludes engines from placement while they run outdated
// weights or are being updated. It is not safe for concurrent use.
type staleWeightsFilter struct {
	// limit is how long engines with older weights are used.
	limit time.Duration
	// required maps each model to the version that its engines have to run.
	required map[string]requiredWeights
	// updatingSince maps each engine that is marked for an update to the time
	// at which the mark was first seen.
	updatingSince map[string]time.Duration
	// initialized is set once a registry with targets has been seen.
	initialized bool
	leader      string
}

// requiredWeights is a version of a model, and since when engines could have been
// ordered to run it.
type requiredWeights struct {
	version uint64
	since   time.Duration
}

func newStaleWeightsFilter(limit time.Duration) *staleWeightsFilter {
	return &staleWeightsFilter{limit: limit, required: make(map[string]requiredWeights), updatingSince: make(map[string]time.Duration)}
}

// leaderInfo describes the leader that has confirmed a registry.
type leaderInfo struct {
	address string
	// electedAt is when the leader was elected, on the boot clock.
	electedAt time.Duration
}

// update applies a registry that the leader has confirmed. A new leader gives orders
// only after the lease of its predecessor has expired, so a change of leader
// restarts the time limit for older weights.
func (s *staleWeightsFilter) update(now time.Duration, leader leaderInfo, state *fleet.State) {
	leaderChanged := s.leader != "" && leader.address != s.leader
	s.leader = leader.address
	for model, version := range state.Weights {
		previous, ok := s.required[model]
		since := previous.since
		switch {
		case !s.initialized:
			since = max(now-s.limit+min(unknownAgeLimit, s.limit), min(leader.electedAt, now))
		case leaderChanged || !ok || previous.version < version:
			since = now
		}
		s.required[model] = requiredWeights{version, since}
	}
	s.initialized = s.initialized || len(state.Targets) > 0
	s.updateMarks(now, state)
}

func (s *staleWeightsFilter) updateMarks(now time.Duration, state *fleet.State) {
	for id := range s.updatingSince {
		if !state.Targets[id].Updating {
			delete(s.updatingSince, id)
		}
	}
	for id, t := range state.Targets {
		if _, ok := s.updatingSince[id]; t.Updating && !ok {
			s.updatingSince[id] = now
		}
	}
}

// excludes reports whether an engine must get no requests, either because it is
// being updated or because its weights were replaced too long ago.
func (s *staleWeightsFilter) excludes(now time.Duration, t *fleet.Target) bool {
	if since, ok := s.updatingSince[t.ID]; ok && now-since < updateMarkTimeout {
		return true
	}
	required := s.required[t.Model]
	return t.Model != "" && t.Weights < required.version && now-required.since >= s.limit
}
