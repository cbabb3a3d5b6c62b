package exposure

import "github.com/cuminwing/cuminwing/internal/canary"

// Summary is the last rollout of a service as a member of the core publishes it.
type Summary struct {
	Version     string  `json:"version"`
	Phase       string  `json:"phase"`
	Share       float64 `json:"share"`
	TargetShare float64 `json:"target_share"`
	Reason      string  `json:"reason,omitempty"`
	// Evidence is what the reports of the fronts show. Only the leader has it, and only while
	// the rollout is running.
	Evidence canary.Evidence `json:"evidence,omitempty"`
}
