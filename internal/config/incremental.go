package config

import "github.com/cuminwing/cuminwing/internal/apikeys"

// IncrementalValidator validates changes to a valid document. Unlike
// Document.Validate, it skips the workspaces and rates that did not change:
// with 1,900 workspaces it checks an edit of one of them many times faster.
type IncrementalValidator struct {
	// owners maps each key hash of the document to the workspace of the key.
	owners map[apikeys.Hash]string
}

// NewIncrementalValidator returns a validator for changes to d, which must be
// valid.
func NewIncrementalValidator(d Document) *IncrementalValidator {
	iv := &IncrementalValidator{owners: make(map[apikeys.Hash]string)}
	for name, w := range d.Workspaces {
		iv.addKeys(name, w)
	}
	return iv
}

// Validate returns every problem of next. changed lists, by section, the members
// that may differ from the valid document old.
func (iv *IncrementalValidator) Validate(old, next Document, changed map[Section][]string) []Problem {
	v := &validator{doc: next}
	v.doc.Models = mapValues(next.Models, modelDefaults)
	v.doc.Routes = mapValues(next.Routes, routeDefaults)
	v.doc.Limits = limitDefaults(next.Limits)
	v.checkModels()
	v.checkRoutes()
	v.checkObjectives()
	v.checkZones()
	iv.checkChangedWorkspaces(v, old, next, changed[SectionWorkspaces])
	for _, name := range changed[SectionRates] {
		v.checkChangedRate(name)
	}
	if len(v.problems) == 0 {
		return nil
	}
	// The problems of full validation are returned, so that every voter reports
	// the same texts.
	return next.Validate()
}

func (iv *IncrementalValidator) checkChangedWorkspaces(v *validator, old, next Document, names []string) {
	if len(names) == 0 {
		return
	}
	removed := make(map[apikeys.Hash]bool)
	for _, name := range names {
		for _, h := range keyHashes(old.Workspaces[name]) {
			removed[h] = true
		}
	}
	owners := make(map[apikeys.Hash]string)
	for _, name := range names {
		w, present := next.Workspaces[name]
		if !present {
			v.checkChangedRate(name)
			continue
		}
		for _, h := range keyHashes(w) {
			if owner, taken := iv.owners[h]; taken && !removed[h] {
				owners[h] = owner
			}
		}
		v.checkWorkspace(name, workspaceDefaults(w), owners)
		v.checkHasRate(name)
	}
}

// checkChangedRate checks the rate of a workspace after the rate or the
// workspace itself may have been added, changed or removed.
func (v *validator) checkChangedRate(name string) {
	if r, present := v.doc.Rates[name]; present {
		v.checkRate(name, rateDefaults(r))
		return
	}
	if _, present := v.doc.Workspaces[name]; present {
		v.checkHasRate(name)
	}
}

// Apply updates the validator after a change that Validate found valid.
func (iv *IncrementalValidator) Apply(old, next Document, changed map[Section][]string) {
	for _, name := range changed[SectionWorkspaces] {
		for _, h := range keyHashes(old.Workspaces[name]) {
			delete(iv.owners, h)
		}
	}
	for _, name := range changed[SectionWorkspaces] {
		iv.addKeys(name, next.Workspaces[name])
	}
}

func (iv *IncrementalValidator) addKeys(name string, w Workspace) {
	for _, h := range keyHashes(w) {
		iv.owners[h] = name
	}
}

func keyHashes(w Workspace) []apikeys.Hash {
	hashes := make([]apikeys.Hash, 0, len(w.Keys))
	for _, k := range w.Keys {
		if h, err := apikeys.ParseHash(k.SHA256); err == nil {
			hashes = append(hashes, h)
		}
	}
	return hashes
}
