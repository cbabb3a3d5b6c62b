package config

// Default values of the optional fields of the document.
const (
	DefaultBlockTokens              = 1000
	DefaultMaxConcurrentLoads       = 2
	DefaultPrefillTokensPerSecond   = 20000
	DefaultKVBytesPerToken          = 131072
	DefaultMaxContextTokens         = 200000
	DefaultWeight                   = 1
	DefaultKeyLeaseMS               = 30000
	DefaultMaxConcurrent            = 512
	DefaultMaxWaitMS                = 500
	DefaultFloorFraction            = 0.2
	DefaultTimeoutMS                = 120000
	DefaultFirstTokenTimeoutMS      = 10000
	DefaultTokenGapTimeoutMS        = 2000
	DefaultMaxAttempts              = 3
	DefaultMaxHeaderBytes           = 32 << 10
	DefaultMaxBodyBytes             = 4 << 20
	DefaultMaxPromptTokens          = 180000
	DefaultMaxConcurrentPerVM       = 4096
	DefaultMaxTokens                = 512
	DefaultHeartbeatMS              = 5000
	DefaultRegionLinkBytesPerSecond = 1 << 20
	DefaultClaimRetentionSeconds    = 24 * 3600
)

// MinKeyLeaseMS is the minimum of Workspace.KeyLeaseMS. The lease has to
// outlast the renewal of a VM's contact with the control VMs, which happens
// every 2 s and for some VMs through another VM of the zone.
const MinKeyLeaseMS = 6000

// WithDefaults returns a copy of d with the default in every optional field
// that is not set.
func (d Document) WithDefaults() Document {
	d.Models = mapValues(d.Models, modelDefaults)
	d.Workspaces = mapValues(d.Workspaces, workspaceDefaults)
	d.Rates = mapValues(d.Rates, rateDefaults)
	d.Routes = mapValues(d.Routes, routeDefaults)
	d.Limits = limitDefaults(d.Limits)
	return d
}

func modelDefaults(m Model) Model {
	setDefault(&m.BlockTokens, DefaultBlockTokens)
	setDefault(&m.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	setDefault(&m.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&m.KVBytesPerToken, DefaultKVBytesPerToken)
	setDefault(&m.MaxContextTokens, DefaultMaxContextTokens)
	return m
}

func workspaceDefaults(w Workspace) Workspace {
	setDefault(&w.Weight, DefaultWeight)
	setDefault(&w.OnUnconfirmedKeys, UnconfirmedServe)
	setDefault(&w.KeyLeaseMS, DefaultKeyLeaseMS)
	setDefault(&w.MaxConcurrent, DefaultMaxConcurrent)
	return w
}

func rateDefaults(r Rate) Rate {
	setDefault(&r.MaxWaitMS, DefaultMaxWaitMS)
	setDefault(&r.FloorFraction, DefaultFloorFraction)
	return r
}

func routeDefaults(r Route) Route {
	setDefault(&r.Access, AccessKeyed)
	setDefault(&r.Run, RunIdempotent)
	setDefault(&r.Class, ClassInteractive)
	setDefault(&r.TimeoutMS, DefaultTimeoutMS)
	setDefault(&r.FirstTokenTimeoutMS, DefaultFirstTokenTimeoutMS)
	setDefault(&r.TokenGapTimeoutMS, DefaultTokenGapTimeoutMS)
	setDefault(&r.MaxAttempts, DefaultMaxAttempts)
	return r
}

func limitDefaults(l Limits) Limits {
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxPromptTokens, DefaultMaxPromptTokens)
	setDefault(&l.MaxConcurrentPerVM, DefaultMaxConcurrentPerVM)
	setDefault(&l.DefaultMaxTokens, DefaultMaxTokens)
	setDefault(&l.HeartbeatMS, DefaultHeartbeatMS)
	setDefault(&l.RegionLinkBytesPerSecond, DefaultRegionLinkBytesPerSecond)
	setDefault(&l.ClaimRetentionSeconds, DefaultClaimRetentionSeconds)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func mapValues[T any](in map[string]T, f func(T) T) map[string]T {
	out := make(map[string]T, len(in))
	for name, v := range in {
		out[name] = f(v)
	}
	return out
}
