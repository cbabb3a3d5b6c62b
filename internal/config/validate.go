package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/cuminwing/cuminwing/internal/apikeys"
)

// Problem is one validation error of a document.
type Problem struct {
	// Path is the JSON path of the invalid value.
	Path string `json:"path"`
	// Reason says what is wrong with the value.
	Reason string `json:"reason"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Validate returns every problem of d, sorted by path. A document without
// problems is accepted.
func (d Document) Validate() []Problem {
	v := &validator{doc: d.WithDefaults()}
	v.checkModels()
	v.checkWorkspaces()
	v.checkRates()
	v.checkRoutes()
	v.checkObjectives()
	v.checkZones()
	return sortProblems(v.problems)
}

func sortProblems(problems []Problem) []Problem {
	sort.Slice(problems, func(i, j int) bool { return problems[i].String() < problems[j].String() })
	return problems
}

type validator struct {
	doc      Document
	problems []Problem
}

func (v *validator) addf(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) checkModels() {
	for name, m := range v.doc.Models {
		path := "models." + name
		if m.ServingVersion == "" {
			v.addf(path+".serving_version", "is required")
		}
		if m.OrderedVersion != "" && m.OrderedVersion == m.ServingVersion {
			v.addf(path+".ordered_version", "is the serving version already; leave it out once the roll-out is done")
		}
		if m.BlockTokens < 1 {
			v.addf(path+".block_tokens", "must be at least 1")
		}
		if m.MaxConcurrentLoads < 1 {
			v.addf(path+".max_concurrent_loads", "must be at least 1")
		}
		if m.PrefillTokensPerSecond <= 0 {
			v.addf(path+".prefill_tokens_per_second", "must be positive")
		}
	}
}

func (v *validator) checkWorkspaces() {
	owners := make(map[apikeys.Hash]string)
	for _, name := range sortedNames(v.doc.Workspaces) {
		v.checkWorkspace(name, v.doc.Workspaces[name], owners)
	}
}

func (v *validator) checkWorkspace(name string, w Workspace, owners map[apikeys.Hash]string) {
	path := "workspaces." + name
	if w.Weight <= 0 {
		v.addf(path+".weight", "must be positive")
	}
	if !oneOf(w.OnUnconfirmedKeys, UnconfirmedServe, UnconfirmedRefuse) {
		v.addf(path+".on_unconfirmed_keys", "is %q, want %q or %q", w.OnUnconfirmedKeys, UnconfirmedServe, UnconfirmedRefuse)
	}
	if w.KeyLeaseMS < MinKeyLeaseMS {
		v.addf(path+".key_lease_ms", "must be at least %d", MinKeyLeaseMS)
	}
	ids := make(map[string]bool, len(w.Keys))
	for i, k := range w.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, i)
		v.checkKey(keyPath, name, k, owners)
		if ids[k.ID] {
			v.addf(keyPath+".id", "another key of the workspace has the ID %q", k.ID)
		}
		ids[k.ID] = true
	}
}

func (v *validator) checkKey(path, workspace string, k Key, owners map[apikeys.Hash]string) {
	if k.ID == "" {
		v.addf(path+".id", "is required")
	}
	h, err := apikeys.ParseHash(k.SHA256)
	if err != nil {
		v.addf(path+".sha256", "%v", err)
		return
	}
	if other, taken := owners[h]; taken {
		v.addf(path+".sha256", "the same key is listed for workspaces %q and %q", min(workspace, other), max(workspace, other))
		return
	}
	owners[h] = workspace
}

func (v *validator) checkRates() {
	for name, r := range v.doc.Rates {
		v.checkRate(name, r)
	}
	for name := range v.doc.Workspaces {
		v.checkHasRate(name)
	}
}

func (v *validator) checkHasRate(workspace string) {
	if _, ok := v.doc.Rates[workspace]; !ok {
		v.addf("rates", "workspace %q has no rate", workspace)
	}
}

func (v *validator) checkRate(name string, r Rate) {
	path := "rates." + name
	if _, ok := v.doc.Workspaces[name]; !ok {
		v.addf(path, "workspace %q does not exist", name)
	}
	if r.RateTokensPerSecond <= 0 {
		v.addf(path+".rate_tokens_per_second", "must be positive")
	}
	if r.BurstTokens <= 0 {
		v.addf(path+".burst_tokens", "must be positive")
	}
	if r.BurstTokens*r.FloorFraction < 1 && r.BurstTokens > 0 {
		v.addf(path+".burst_tokens", "times floor_fraction must be at least 1 token, or a zone that is cut off admits nothing")
	}
	if r.FloorFraction < 0 || r.FloorFraction > 1 {
		v.addf(path+".floor_fraction", "must be between 0 and 1")
	}
}

func (v *validator) checkRoutes() {
	models := make(map[string]string)
	prefixes := make(map[string]string)
	for _, name := range sortedNames(v.doc.Routes) {
		r := v.doc.Routes[name]
		path := "routes." + name
		v.checkRouteFields(path, r)
		switch r.Kind {
		case KindModel:
			v.checkModelRoute(path, name, r, models)
		case KindService:
			v.checkServiceRoute(path, name, r, prefixes)
		default:
			v.addf(path+".kind", "is %q, want %q or %q", r.Kind, KindModel, KindService)
		}
	}
}

func (v *validator) checkRouteFields(path string, r Route) {
	if !oneOf(r.Access, AccessKeyed, AccessOpen) {
		v.addf(path+".access", "is %q, want %q or %q", r.Access, AccessKeyed, AccessOpen)
	}
	if !oneOf(r.Run, RunIdempotent, RunAtMostOnce) {
		v.addf(path+".run", "is %q, want %q or %q", r.Run, RunIdempotent, RunAtMostOnce)
	}
	if !oneOf(r.Class, ClassInteractive, ClassCatalogue) {
		v.addf(path+".class", "is %q, want %q or %q", r.Class, ClassInteractive, ClassCatalogue)
	}
	if r.TimeoutMS < 1 {
		v.addf(path+".timeout_ms", "must be positive")
	}
	if r.FirstTokenTimeoutMS < 1 {
		v.addf(path+".first_token_timeout_ms", "must be positive")
	}
	if r.TokenGapTimeoutMS < 1 {
		v.addf(path+".token_gap_timeout_ms", "must be positive")
	}
	if r.FirstTokenTimeoutMS > r.TimeoutMS {
		v.addf(path+".first_token_timeout_ms", "must not exceed timeout_ms, %d", r.TimeoutMS)
	}
	if r.HedgeAfterMS >= r.TimeoutMS && r.HedgeAfterMS > 0 {
		v.addf(path+".hedge_after_ms", "must be below timeout_ms, %d", r.TimeoutMS)
	}
	if r.HedgeAfterMS > 0 && r.Run == RunAtMostOnce {
		v.addf(path+".hedge_after_ms", "an at-most-once route cannot be hedged")
	}
	for i, w := range r.Workspaces {
		if _, ok := v.doc.Workspaces[w]; !ok {
			v.addf(fmt.Sprintf("%s.workspaces[%d]", path, i), "workspace %q does not exist", w)
		}
	}
	if r.Access == AccessOpen && len(r.Workspaces) > 0 {
		v.addf(path+".workspaces", "an open route cannot be limited to workspaces")
	}
}

func (v *validator) checkModelRoute(path, name string, r Route, models map[string]string) {
	if _, ok := v.doc.Models[r.Model]; !ok {
		v.addf(path+".model", "model %q does not exist", r.Model)
	}
	if r.Service != "" || r.PathPrefix != "" {
		v.addf(path, "a model route has no service and no path_prefix; callers name the model")
	}
	if r.Access == AccessOpen {
		v.addf(path+".access", "a model route must be keyed because its tokens are billed")
	}
	if other, taken := models[r.Model]; taken {
		v.addf(path+".model", "routes %q and %q serve the same model", min(name, other), max(name, other))
	}
	models[r.Model] = name
}

func (v *validator) checkServiceRoute(path, name string, r Route, prefixes map[string]string) {
	if r.Service == "" {
		v.addf(path+".service", "is required")
	}
	if r.Model != "" {
		v.addf(path+".model", "a service route has no model")
	}
	if len(r.PathPrefix) < 2 || r.PathPrefix[0] != '/' {
		v.addf(path+".path_prefix", "must start with / and name at least one segment")
	}
	if other, taken := prefixes[r.PathPrefix]; taken {
		v.addf(path+".path_prefix", "routes %q and %q have the same prefix", min(name, other), max(name, other))
	}
	prefixes[r.PathPrefix] = name
}

func (v *validator) checkObjectives() {
	for _, name := range sortedNames(v.doc.Objectives) {
		o := v.doc.Objectives[name]
		path := "objectives." + name
		if _, ok := v.doc.Routes[o.Route]; !ok {
			v.addf(path+".route", "route %q does not exist", o.Route)
		}
		v.checkObjectiveScope(path, o)
		if o.Target <= 0 || o.Target >= 1 {
			v.addf(path+".target", "must be between 0 and 1, exclusive")
		}
		if !oneOf(o.Kind, "first_token", "token_gap", "in_rate_refusals", "complete_answers") {
			v.addf(path+".kind", "is %q", o.Kind)
		}
	}
}

func (v *validator) checkObjectiveScope(path string, o Objective) {
	route, known := v.doc.Routes[o.Route]
	if o.Workspace != "" {
		if _, ok := v.doc.Workspaces[o.Workspace]; !ok {
			v.addf(path+".workspace", "workspace %q does not exist", o.Workspace)
		}
		if len(route.Workspaces) > 0 && !slices.Contains(route.Workspaces, o.Workspace) {
			v.addf(path+".workspace", "route %q is not open to workspace %q", o.Route, o.Workspace)
		}
	}
	latency := o.Kind == "first_token" || o.Kind == "token_gap"
	if latency && o.ThresholdMS < 1 {
		v.addf(path+".threshold_ms", "is required for kind %q", o.Kind)
	}
	if !latency && o.ThresholdMS != 0 {
		v.addf(path+".threshold_ms", "has no meaning for kind %q", o.Kind)
	}
	if latency && known && route.Kind != KindModel {
		v.addf(path+".kind", "route %q has no token times because it leads to a service", o.Route)
	}
}

func (v *validator) checkZones() {
	if len(v.doc.Zones) == 0 {
		v.addf("zones", "must list at least one zone")
	}
	for name, z := range v.doc.Zones {
		path := "zones." + name
		if z.Region == "" {
			v.addf(path+".region", "is required")
		}
		if z.VMSlots < 1 {
			v.addf(path+".vm_slots", "must be at least 1")
		}
	}
}

// sortedNames returns the names of m in ascending order. Checks for duplicates
// visit the names in this order, because every voter must give the same response
// to an edit.
func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

func oneOf(s string, allowed ...string) bool {
	for _, a := range allowed {
		if s == a {
			return true
		}
	}
	return false
}
