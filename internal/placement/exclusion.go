package placement

// Exclusion is why a request cannot be sent to a target.
type Exclusion uint8

// Reasons why requests cannot be sent to a target.
const (
	NotExcluded Exclusion = iota
	// ExcludedOther means that the registry excludes the target for a reason not named here.
	ExcludedOther
	// ExcludedDraining means that the registry has the target as draining, and ExcludedLeaving
	// that the target has said so in a response.
	ExcludedDraining
	ExcludedLeaving
	// ExcludedWeights means that the target loads new weights, or has run replaced ones for too
	// long.
	ExcludedWeights
	// ExcludedVersion means that no rollout has released the target's software version, or that
	// the version was replaced or rolled back. ExcludedUnselected means that the rollout does
	// not use the target yet.
	ExcludedVersion
	ExcludedUnselected
	// ExcludedCohort means that the request is meant for the other software version.
	ExcludedCohort
	// ExcludedMoved means that another target responded at the address.
	ExcludedMoved
	// ExcludedUnreachable means that the target could not be reached.
	ExcludedUnreachable
	// ExcludedFailed means that the target has failed this request.
	ExcludedFailed
	// ExcludedPaused means that the target has asked for a pause, ExcludedLimited that its limit
	// leaves no room, and ExcludedLimitKept that its limit is kept for larger requests.
	ExcludedPaused
	ExcludedLimited
	ExcludedLimitKept
)

// Exclude excludes the target. The first reason is kept.
func (t *Target) Exclude(why Exclusion) {
	if !t.Excluded {
		t.Excluded, t.ExcludedFor = true, why
	}
}

// String returns the name of the reason.
func (e Exclusion) String() string {
	return [...]string{
		"", "excluded", "draining", "leaving", "updating_or_replaced_weights", "version_not_in_use", "not_selected_by_rollout", "other_version",
		"address_moved", "unreachable", "failed_this_request", "paused", "limited", "limit_kept_for_larger",
	}[e]
}

// excludedFor returns why the member is excluded.
func (m *member) excludedFor() Exclusion {
	if m.ExcludedFor == NotExcluded {
		return ExcludedOther
	}
	return m.ExcludedFor
}

// String returns the name of the cohort.
func (c Cohort) String() string { return [...]string{"any", "baseline", "canary"}[c] }
