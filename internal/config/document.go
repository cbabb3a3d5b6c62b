// Package config holds the service document: the one JSON document with which
// operators describe models, workspaces, rates, routes, objectives, limits and
// zones. The package does no I/O.
package config

import "time"

// Section names one top-level part of the document. Each section has its own
// revision and its own owning team.
type Section string

// The sections of the document.
const (
	SectionModels     Section = "models"
	SectionWorkspaces Section = "workspaces"
	SectionRates      Section = "rates"
	SectionRoutes     Section = "routes"
	SectionObjectives Section = "objectives"
	SectionLimits     Section = "limits"
	SectionZones      Section = "zones"
)

// Sections lists all sections in document order.
var Sections = []Section{
	SectionModels,
	SectionWorkspaces,
	SectionRates,
	SectionRoutes,
	SectionObjectives,
	SectionLimits,
	SectionZones,
}

// Document is the whole service configuration.
type Document struct {
	// Models lists the models by name.
	Models map[string]Model `json:"models"`
	// Workspaces lists the workspaces by name, with their keys.
	Workspaces map[string]Workspace `json:"workspaces"`
	// Rates gives the token rate and burst of each workspace by name.
	Rates map[string]Rate `json:"rates"`
	// Routes lists the routes by name.
	Routes map[string]Route `json:"routes"`
	// Objectives lists the service-level objectives by name.
	Objectives map[string]Objective `json:"objectives,omitempty"`
	// Limits bounds what a caller may send.
	Limits Limits `json:"limits"`
	// Zones lists the availability zones by name.
	Zones map[string]Zone `json:"zones"`
}

// Model is one model and the weights version that may answer requests.
type Model struct {
	// ServingVersion is the weights version that requests run on.
	ServingVersion string `json:"serving_version"`
	// OrderedVersion is the version being rolled out; empty when none is.
	OrderedVersion string `json:"ordered_version,omitempty"`
	// Adapters lists the adapters that requests may name.
	Adapters []string `json:"adapters,omitempty"`
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens int `json:"block_tokens,omitempty"`
	// MaxConcurrentLoads bounds how many engines load weights at once.
	MaxConcurrentLoads int `json:"max_concurrent_loads,omitempty"`
	// PrefillTokensPerSecond is the expected prefill speed of one engine.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// MaxContextTokens is the longest prompt plus answer.
	MaxContextTokens int `json:"max_context_tokens,omitempty"`
}

// Workspace is one customer of the service.
type Workspace struct {
	// Keys lists the caller keys of the workspace.
	Keys []Key `json:"keys,omitempty"`
	// Weight is the share of the workspace in fair queueing.
	Weight float64 `json:"weight,omitempty"`
	// OnUnconfirmedKeys says what a zone does with keys that it can no longer
	// confirm with a control VM: "serve" or "refuse".
	OnUnconfirmedKeys string `json:"on_unconfirmed_keys,omitempty"`
	// KeyLeaseMS is how long keys count as confirmed when OnUnconfirmedKeys
	// is "refuse".
	KeyLeaseMS int `json:"key_lease_ms,omitempty"`
	// MaxConcurrent bounds the running requests of the workspace on one VM.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Values of Workspace.OnUnconfirmedKeys.
const (
	UnconfirmedServe  = "serve"
	UnconfirmedRefuse = "refuse"
)

// Key is one caller key, known only by its hash.
type Key struct {
	// ID names the key in logs and tools.
	ID string `json:"id"`
	// SHA256 is the hexadecimal hash of the key.
	SHA256 string `json:"sha256"`
}

// Rate is the token rate of a workspace over all VMs together.
type Rate struct {
	// RateTokensPerSecond is the sustained rate.
	RateTokensPerSecond float64 `json:"rate_tokens_per_second"`
	// BurstTokens is the largest number of tokens admitted at once.
	BurstTokens float64 `json:"burst_tokens"`
	// MaxWaitMS is how long an admission may wait for tokens.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// FloorFraction is the part of rate and burst that is split over the VM
	// slots and stays usable when a zone is cut off.
	FloorFraction float64 `json:"floor_fraction,omitempty"`
}

// Access of a route.
const (
	AccessKeyed = "keyed"
	AccessOpen  = "open"
)

// Execution rules of a route.
const (
	RunIdempotent = "idempotent"
	RunAtMostOnce = "at-most-once"
)

// Kinds of route.
const (
	KindModel   = "model"
	KindService = "service"
)

// Classes of work.
const (
	ClassInteractive = "interactive"
	ClassCatalogue   = "catalogue"
)

// Route maps callers' requests to a group of targets.
type Route struct {
	// Kind is "model" or "service".
	Kind string `json:"kind"`
	// Model is the model that the route serves; callers name it in the body.
	Model string `json:"model,omitempty"`
	// Service is the name under which plain services announce themselves.
	Service string `json:"service,omitempty"`
	// PathPrefix selects the route by path; services only.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Access is "keyed" or "open".
	Access string `json:"access,omitempty"`
	// Run is "idempotent" or "at-most-once".
	Run string `json:"run,omitempty"`
	// Class is "interactive" or "catalogue".
	Class string `json:"class,omitempty"`
	// Workspaces limits a keyed route to these workspaces; empty means all.
	Workspaces []string `json:"workspaces,omitempty"`
	// TimeoutMS bounds the whole request.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// FirstTokenTimeoutMS is the stall limit before the first token.
	FirstTokenTimeoutMS int `json:"first_token_timeout_ms,omitempty"`
	// TokenGapTimeoutMS is the stall limit between tokens.
	TokenGapTimeoutMS int `json:"token_gap_timeout_ms,omitempty"`
	// MaxAttempts bounds the attempts of an idempotent request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// HedgeAfterMS starts a second attempt of a short idempotent call; zero
	// turns hedging off.
	HedgeAfterMS int `json:"hedge_after_ms,omitempty"`
	// CostTokens is what one call of a service is charged against the rate.
	CostTokens int `json:"cost_tokens,omitempty"`
}

// Timeout returns the bound of the whole request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMS) }

// FirstTokenTimeout returns the stall limit before the first token.
func (r *Route) FirstTokenTimeout() time.Duration { return milliseconds(r.FirstTokenTimeoutMS) }

// TokenGapTimeout returns the stall limit between tokens.
func (r *Route) TokenGapTimeout() time.Duration { return milliseconds(r.TokenGapTimeoutMS) }

// Objective is one service-level objective.
type Objective struct {
	// Route is the route it applies to.
	Route string `json:"route"`
	// Workspace narrows it to one workspace; empty means each workspace.
	Workspace string `json:"workspace,omitempty"`
	// Kind is "first_token", "token_gap", "in_rate_refusals" or
	// "complete_answers".
	Kind string `json:"kind"`
	// ThresholdMS is the latency that a good event stays under; latency kinds
	// only.
	ThresholdMS int `json:"threshold_ms,omitempty"`
	// Target is the fraction of events that must be good.
	Target float64 `json:"target"`
}

// Limits bounds what one caller may send and hold.
type Limits struct {
	// MaxHeaderBytes bounds the request header.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxPromptTokens bounds the prompt.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxConcurrentPerVM bounds the running requests of one VM.
	MaxConcurrentPerVM int `json:"max_concurrent_per_vm,omitempty"`
	// DefaultMaxTokens is the answer length assumed when a request sets none.
	DefaultMaxTokens int `json:"default_max_tokens,omitempty"`
	// HeartbeatMS is the interval of heartbeat comments to waiting callers.
	HeartbeatMS int `json:"heartbeat_ms,omitempty"`
	// RegionLinkBytesPerSecond is the share of the link between regions that
	// prompts and KV transfers may use, over all VMs.
	RegionLinkBytesPerSecond int64 `json:"region_link_bytes_per_second,omitempty"`
	// ClaimRetentionSeconds is how long at-most-once records are kept.
	ClaimRetentionSeconds int `json:"claim_retention_seconds,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	// Region is the region of the zone.
	Region string `json:"region"`
	// VMSlots is the number of VM slots; each VM's settings name its slot.
	VMSlots int `json:"vm_slots"`
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
