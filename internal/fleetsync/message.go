// Package fleetsync is how fronts follow the core. A front asks the leader with
// a long poll; the answer holds what has changed and says from when on it was
// confirmed by a quorum, so that the front knows how old its knowledge is.
package fleetsync

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// Hold is how long the leader keeps a request waiting for a change. It is
// short against the time after which a front stops serving keyed requests.
const Hold = 500 * time.Millisecond

// Path is the path of the call.
const Path = "/sync"

// Request says what a front knows.
type Request struct {
	VM          string                           `json:"vm"`
	Incarnation int64                            `json:"incarnation"`
	Document    uint64                           `json:"document"`
	Revision    uint64                           `json:"revision"`
	Shares      map[string]ratelimit.ShareReport `json:"shares,omitempty"`
	// Now asks for an answer without waiting for a change.
	Now bool `json:"now,omitempty"`
	// Address takes datagrams of other fronts. Region is where the front is.
	Address string `json:"address"`
	Region  string `json:"region"`
	// Fronts is the version of the list of fronts that the front knows.
	Fronts uint64 `json:"fronts,omitempty"`
	// StoresLost are the stores that the front knows to be lost.
	StoresLost []string `json:"stores_lost,omitempty"`
}

// Response is the leader's answer, or names the leader.
type Response struct {
	// Leader is the peer address of the leader; the other fields are empty if
	// it is another VM.
	Leader string `json:"leader,omitempty"`
	// Self is set if the answering VM leads.
	Self bool `json:"self,omitempty"`
	// Core lists the peer addresses of the core.
	Core []string `json:"core,omitempty"`
	// ConfirmedAfterMS is the time from the receipt of the request to the
	// start of the quorum's confirmation.
	ConfirmedAfterMS float64 `json:"confirmed_after_ms,omitempty"`
	// Document is the version of Raw, which is sent if the front's is older.
	Document uint64       `json:"document,omitempty"`
	Raw      []byte       `json:"raw,omitempty"`
	Fleet    *fleet.Delta `json:"fleet,omitempty"`
	// Shares are the front's parts of the rates of workspaces.
	Shares map[string]ratelimit.ShareGrant `json:"shares,omitempty"`
	// Fronts are the addresses of the fronts that tell each other what they
	// send, if the front's list is not of version FrontsVersion.
	Fronts        []string `json:"fronts,omitempty"`
	FrontsVersion uint64   `json:"fronts_version,omitempty"`
	// LeaderAgeMS is for how long the leader has led.
	LeaderAgeMS float64 `json:"leader_age_ms,omitempty"`
	// StoresLost are the addresses of stores that cannot be reached, in order.
	StoresLost []string `json:"stores_lost,omitempty"`
	// VMs is the number of fronts that follow the leader.
	VMs int `json:"vms,omitempty"`
}
