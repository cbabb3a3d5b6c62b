// Package fleetsync defines the protocol by which fronts follow the core. A front
// sends long polls to the leader. The response holds what has changed, and states
// when a quorum confirmed it, so that the front knows the age of its state.
package fleetsync

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// MaxWait is how long the leader holds a request while nothing changes. It is
// short compared with the time after which a front without a confirmation stops
// serving requests with keys.
const MaxWait = 500 * time.Millisecond

// Path is the HTTP path of the sync call.
const Path = "/sync"

// Request states which versions of the state a front has.
type Request struct {
	VM string `json:"vm"`
	// Incarnation is the start of the front process in Unix milliseconds.
	Incarnation     int64  `json:"incarnation"`
	DocumentVersion uint64 `json:"document"`
	// Revision is that of the front's copy of the registry.
	Revision uint64 `json:"revision"`
	// Shares reports the use of the front's shares of the workspace rates.
	Shares map[string]ratelimit.ShareReport `json:"shares,omitempty"`
	// NoWait asks the leader to respond without waiting for a change.
	NoWait bool `json:"now,omitempty"`
	// Address is where the front receives datagrams of other fronts. Region is
	// the region of the front.
	Address string `json:"address"`
	Region  string `json:"region"`
	// FrontsVersion is the version of the front's list of peers.
	FrontsVersion uint64 `json:"fronts,omitempty"`
	// UnreachableStores are the addresses of the stores that the front treats as
	// unreachable.
	UnreachableStores []string `json:"stores_lost,omitempty"`
}

// Response is the response of the leader, or of another core member, which only
// names the leader and the core.
type Response struct {
	// Leader is the peer address of the leader. Only a member that does not
	// act as leader sets it, and then the fields after Core are empty.
	Leader string `json:"leader,omitempty"`
	// IsLeader is set if the responding VM is the leader.
	IsLeader bool `json:"self,omitempty"`
	// Core holds the peer addresses of the core members.
	Core []string `json:"core,omitempty"`
	// ConfirmedAfterMS is the time from the receipt of the request to the
	// start of the read barrier by which a quorum confirmed the state.
	ConfirmedAfterMS float64 `json:"confirmed_after_ms,omitempty"`
	// DocumentVersion is the version of RawDocument. Both are set only if the
	// front has an older version.
	DocumentVersion uint64 `json:"document,omitempty"`
	RawDocument     []byte `json:"raw,omitempty"`
	// Fleet holds the changes of the registry since the front's revision.
	Fleet *fleet.Delta `json:"fleet,omitempty"`
	// Shares are the front's shares of the workspace rates.
	Shares map[string]ratelimit.ShareGrant `json:"shares,omitempty"`
	// Fronts are the addresses of the fronts to which the front announces its
	// dispatches. They are set only if the version of the front's list is not
	// FrontsVersion.
	Fronts        []string `json:"fronts,omitempty"`
	FrontsVersion uint64   `json:"fronts_version,omitempty"`
	// LeaderAgeMS is the time since the election of the leader.
	LeaderAgeMS float64 `json:"leader_age_ms,omitempty"`
	// UnreachableStores are the sorted addresses of the unreachable stores.
	UnreachableStores []string `json:"stores_lost,omitempty"`
	// FrontCount is the number of fronts that follow the leader.
	FrontCount int `json:"vms,omitempty"`
}
