// Package config holds the service document: the JSON document in which
// operators describe models, workspaces, rates, routes, objectives, limits and
// zones. The package does no I/O.
package config

import "time"

// Section is the name of a top-level part of the document. Each section has its
// own revision and its own owning team.
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

// Document is the complete service configuration.
type Document struct {
	// Models maps names to models.
	Models map[string]Model `json:"models"`
	// Workspaces maps names to workspaces and their keys.
	Workspaces map[string]Workspace `json:"workspaces"`
	// Rates maps workspace names to their token rate and burst.
	Rates map[string]Rate `json:"rates"`
	// Routes maps names to routes.
	Routes map[string]Route `json:"routes"`
	// Objectives maps names to service-level objectives.
	Objectives map[string]Objective `json:"objectives,omitempty"`
	// Limits bounds what a caller may send.
	Limits Limits `json:"limits"`
	// Zones maps names to availability zones.
	Zones map[string]Zone `json:"zones"`
}

// Model is one model and the weights version that serves its requests.
type Model struct {
	// ServingVersion is the weights version that requests run on.
	ServingVersion string `json:"serving_version"`
	// OrderedVersion is the weights version being rolled out; empty if there is
	// no rollout.
	OrderedVersion string `json:"ordered_version,omitempty"`
	// Adapters lists the adapters that requests may name.
	Adapters []string `json:"adapters,omitempty"`
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens int `json:"block_tokens,omitempty"`
	// MaxConcurrentLoads limits how many engines load weights at the same time.
	MaxConcurrentLoads int `json:"max_concurrent_loads,omitempty"`
	// PrefillTokensPerSecond is the expected prefill speed of one engine.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// MaxContextTokens is the maximum length of the prompt plus the response.
	MaxContextTokens int `json:"max_context_tokens,omitempty"`
}

// Workspace is one customer of the service.
type Workspace struct {
	// Keys lists the API keys of the workspace.
	Keys []Key `json:"keys,omitempty"`
	// Weight is the weight of the workspace in fair queueing.
	Weight float64 `json:"weight,omitempty"`
	// OnUnconfirmedKeys says what a zone does with requests whose keys it can
	// no longer confirm with a control VM: "serve" or "refuse".
	OnUnconfirmedKeys string `json:"on_unconfirmed_keys,omitempty"`
	// KeyLeaseMS is how long keys count as confirmed if OnUnconfirmedKeys is
	// "refuse".
	KeyLeaseMS int `json:"key_lease_ms,omitempty"`
	// MaxConcurrent limits the running requests of the workspace on one VM.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Values of Workspace.OnUnconfirmedKeys.
const (
	UnconfirmedServe  = "serve"
	UnconfirmedRefuse = "refuse"
)

// Key is one API key of a workspace. Only its hash is stored.
type Key struct {
	// ID identifies the key in logs and tools.
	ID string `json:"id"`
	// SHA256 is the hexadecimal hash of the key.
	SHA256 string `json:"sha256"`
}

// Rate is the token rate limit of a workspace over all VMs together.
type Rate struct {
	// RateTokensPerSecond is the sustained rate.
	RateTokensPerSecond float64 `json:"rate_tokens_per_second"`
	// BurstTokens is the maximum number of tokens admitted at once.
	BurstTokens float64 `json:"burst_tokens"`
	// MaxWaitMS is the maximum time that a request waits for tokens at
	// admission.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// FloorFraction is the fraction of rate and burst that is split over the VM
	// slots and stays usable while a zone is disconnected.
	FloorFraction float64 `json:"floor_fraction,omitempty"`
}

// Values of Route.Access.
const (
	AccessKeyed = "keyed"
	AccessOpen  = "open"
)

// Values of Route.Run.
const (
	RunIdempotent = "idempotent"
	RunAtMostOnce = "at-most-once"
)

// Values of Route.Kind.
const (
	KindModel   = "model"
	KindService = "service"
)

// Values of Route.Class.
const (
	ClassInteractive = "interactive"
	ClassCatalogue   = "catalogue"
)

// Route maps requests to a group of targets.
type Route struct {
	// Kind is "model" or "service".
	Kind string `json:"kind"`
	// Model is the model that the route serves. Callers name it in the request
	// body.
	Model string `json:"model,omitempty"`
	// Service is the service name in the announcements of the route's targets;
	// service routes only.
	Service string `json:"service,omitempty"`
	// PathPrefix selects the route by the request path; service routes only.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Access is "keyed" or "open".
	Access string `json:"access,omitempty"`
	// Run is "idempotent" or "at-most-once".
	Run string `json:"run,omitempty"`
	// Class is "interactive" or "catalogue".
	Class string `json:"class,omitempty"`
	// Workspaces lists the workspaces that may use a keyed route; empty means
	// all.
	Workspaces []string `json:"workspaces,omitempty"`
	// TimeoutMS limits the whole request.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// FirstTokenTimeoutMS is the timeout for the first token.
	FirstTokenTimeoutMS int `json:"first_token_timeout_ms,omitempty"`
	// TokenGapTimeoutMS is the timeout between two tokens.
	TokenGapTimeoutMS int `json:"token_gap_timeout_ms,omitempty"`
	// MaxAttempts limits the attempts of an idempotent request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// HedgeAfterMS is the delay after which a short idempotent call gets a
	// second, hedged attempt; zero disables hedging.
	HedgeAfterMS int `json:"hedge_after_ms,omitempty"`
	// CostTokens is the number of tokens that one call of a service costs
	// against the rate.
	CostTokens int `json:"cost_tokens,omitempty"`
}

// Timeout returns the timeout of the whole request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMS) }

// FirstTokenTimeout returns the timeout for the first token.
func (r *Route) FirstTokenTimeout() time.Duration { return milliseconds(r.FirstTokenTimeoutMS) }

// TokenGapTimeout returns the timeout between two tokens.
func (r *Route) TokenGapTimeout() time.Duration { return milliseconds(r.TokenGapTimeoutMS) }

// Objective is one service-level objective.
type Objective struct {
	// Route is the name of the route that the objective applies to.
	Route string `json:"route"`
	// Workspace restricts the objective to one workspace; if empty, it applies
	// to each workspace separately.
	Workspace string `json:"workspace,omitempty"`
	// Kind is "first_token", "token_gap", "in_rate_refusals" or
	// "complete_answers".
	Kind string `json:"kind"`
	// ThresholdMS is the maximum latency of a good event; only for the latency
	// kinds "first_token" and "token_gap".
	ThresholdMS int `json:"threshold_ms,omitempty"`
	// Target is the fraction of events that must be good.
	Target float64 `json:"target"`
}

// Limits bounds the size and number of requests.
type Limits struct {
	// MaxHeaderBytes limits the request header.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxBodyBytes limits the request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxPromptTokens limits the prompt.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxConcurrentPerVM limits the running requests of one VM.
	MaxConcurrentPerVM int `json:"max_concurrent_per_vm,omitempty"`
	// DefaultMaxTokens is the response length, in tokens, assumed for a request
	// that does not limit it.
	DefaultMaxTokens int `json:"default_max_tokens,omitempty"`
	// HeartbeatMS is the interval of the heartbeat comments sent to waiting
	// callers.
	HeartbeatMS int `json:"heartbeat_ms,omitempty"`
	// RegionLinkBytesPerSecond is the bandwidth between regions that prompts
	// and KV transfers may use, over all VMs together.
	RegionLinkBytesPerSecond int64 `json:"region_link_bytes_per_second,omitempty"`
	// ClaimRetentionSeconds is how long the records of at-most-once requests
	// are kept.
	ClaimRetentionSeconds int `json:"claim_retention_seconds,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	// Region is the region of the zone.
	Region string `json:"region"`
	// VMSlots is the number of VM slots in the zone. The settings of each VM
	// state its slot.
	VMSlots int `json:"vm_slots"`
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
