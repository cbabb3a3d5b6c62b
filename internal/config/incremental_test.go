package config

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an edit on which the incremental validation and the validation
// of the whole document disagree.
func TestIncrementalValidatorAgreesWithFullValidation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Document{
			Models:     map[string]Model{"m": {ServingVersion: "v1"}},
			Workspaces: map[string]Workspace{"w0": {}},
			Rates:      map[string]Rate{"w0": {RateTokensPerSecond: 1, BurstTokens: 10}},
			Routes:     map[string]Route{"r": {Kind: KindModel, Model: "m"}},
			Zones:      map[string]Zone{"z": {Region: "r", VMSlots: 1}},
		}
		incremental := NewIncrementalValidator(d)
		for range rapid.IntRange(1, 20).Draw(t, "edits") {
			next, changed := randomEdit(t, d)
			got, want := incremental.Validate(d, next, changed), next.Validate()
			if len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("incremental validation returned %v, full validation %v", got, want)
			}
			if len(want) == 0 {
				incremental.Apply(d, next, changed)
				d = next
			}
		}
	})
}

func randomEdit(t *rapid.T, d Document) (Document, map[Section][]string) {
	d.Workspaces, d.Rates, d.Routes = maps.Clone(d.Workspaces), maps.Clone(d.Rates), maps.Clone(d.Routes)
	changed := make(map[Section][]string)
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		name := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace"))
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			delete(d.Workspaces, name)
			changed[SectionWorkspaces] = append(changed[SectionWorkspaces], name)
		case 1, 2:
			hash := fmt.Sprintf("%064x", rapid.IntRange(1, 4).Draw(t, "key"))
			d.Workspaces[name] = Workspace{Keys: []Key{{ID: "k", SHA256: hash}}}
			changed[SectionWorkspaces] = append(changed[SectionWorkspaces], name)
		case 3:
			delete(d.Rates, name)
			changed[SectionRates] = append(changed[SectionRates], name)
		case 4:
			d.Rates[name] = Rate{RateTokensPerSecond: 1, BurstTokens: float64(rapid.IntRange(3, 9).Draw(t, "burst"))}
			changed[SectionRates] = append(changed[SectionRates], name)
		default:
			d.Routes["s"] = Route{Kind: KindService, Service: "s", PathPrefix: "/s", Workspaces: []string{name}}
			changed[SectionRoutes] = append(changed[SectionRoutes], "s")
		}
	}
	return d, changed
}
