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
	// required maps each model to the versions that its engines had to run, oldest
	// first. The limit of an engine's weights counts from the first later version,
	// however many have followed since.
	required map[string][]requiredWeights
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
	return &staleWeightsFilter{limit: limit, required: make(map[string][]requiredWeights), updatingSince: make(map[string]time.Duration)}
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
		versions := s.required[model]
		if leaderChanged {
			for i := range versions {
				versions[i].since = now
			}
		}
		switch {
		case !s.initialized:
			since := max(now-s.limit+min(unknownAgeLimit, s.limit), min(leader.electedAt, now))
			versions = []requiredWeights{{version, since}}
		case len(versions) == 0 || versions[len(versions)-1].version < version:
			versions = append(versions, requiredWeights{version, now})
		}
		s.required[model] = s.dropExpired(now, versions)
	}
	s.initialized = s.initialized || len(state.Targets) > 0
	s.updateMarks(now, state)
}

// dropExpired drops the versions whose limit has expired, except the latest of them:
// all engines with weights before that one are excluded.
func (s *staleWeightsFilter) dropExpired(now time.Duration, versions []requiredWeights) []requiredWeights {
	for len(versions) > 1 && now-versions[1].since >= s.limit {
		versions = versions[1:]
	}
	return versions
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
	if t.Model == "" {
		return false
	}
	for _, r := range s.required[t.Model] {
		if t.Weights < r.version {
			return now-r.since >= s.limit
		}
	}
	return false
}
