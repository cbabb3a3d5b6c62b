package gatewayconfig

import (
	"errors"
	"testing"
	"time"
)

func validDocument() *Document {
	return &Document{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Split: []WeightedService{{"s", 1}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Timeout: time.Second, Split: []WeightedService{{"s", 0}, {"t", 3}}},
			{Name: "mid", Host: "a.example", PathPrefix: "/x/", Timeout: time.Second, Split: []WeightedService{{"s", 1}, {"t", 1}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

// Guards against accepting invalid documents.
func TestInvalidDocumentsAreRefused(t *testing.T) {
	if err := validDocument().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Document){
		"unknown service":           func(d *Document) { d.Routes[0].Split[0].Service = "u" },
		"no timeout":                func(d *Document) { d.Routes[1].Timeout = 0 },
		"no weight":                 func(d *Document) { d.Routes[0].Split[0].Weight = 0 },
		"negative weight":           func(d *Document) { d.Routes[2].Split[0].Weight = -1 },
		"duplicate host and prefix": func(d *Document) { d.Routes[2].PathPrefix = "/x/y/" },
		"malformed prefix":          func(d *Document) { d.Routes[2].PathPrefix = "/x" },
		"shared key":                func(d *Document) { d.Workspaces[1].Keys = []string{"k2"} },
		"unnamed service":           func(d *Document) { d.Services[1].Name = "" },
	} {
		d := validDocument()
		change(d)
		if err := d.Validate(); !errors.Is(err, ErrInvalid) {
			t.Errorf("document with %s: got error %v, want ErrInvalid", name, err)
		}
	}
}

// Guards against requests that match a less specific route than possible.
func TestTheLongestPrefixOfTheHostDecides(t *testing.T) {
	table := Compile(validDocument())
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "mid", "/z": "all", "/x": "all"} {
		if r := table.Route("A.example:8080", path); r == nil || r.Name != want {
			t.Errorf("path %s matches route %v, want %s", path, r, want)
		}
	}
	if r := table.Route("b.example", "/x/"); r != nil {
		t.Errorf("unknown host matches route %s", r.Name)
	}
}

// Guards against a service that gets requests although its weight is 0.
func TestSplitFollowsTheWeights(t *testing.T) {
	r := validDocument().Routes[1]
	for _, x := range []float64{0, 0.3, 0.999999} {
		if got := r.Pick(x); got != "t" {
			t.Errorf("Pick(%v) = %s, want t", x, got)
		}
	}
}

// Guards against accepting a withdrawn key or attributing a key to the wrong
// workspace.
func TestKeysBelongToTheirWorkspace(t *testing.T) {
	table := Compile(validDocument())
	if w := table.Owner("k2"); w == nil || w.Name != "w" {
		t.Errorf("key k2 belongs to workspace %v, want w", w)
	}
	if w := table.Owner("k4"); w != nil {
		t.Errorf("unknown key belongs to workspace %s", w.Name)
	}
	if w := table.Owner(""); w != nil {
		t.Errorf("empty key belongs to workspace %s", w.Name)
	}
}

// Guards against applying a lower version, or different content under the
// current version.
func TestTheHighestVersionWins(t *testing.T) {
	var m StateMachine
	changes := 0
	m.OnChange = func() { changes++ }
	for _, proposal := range []struct {
		version uint64
		raw     string
	}{{5, "five"}, {4, "four"}, {5, "other"}, {9, "nine"}, {7, "seven"}} {
		m.Apply(1, time.Time{}, EncodeProposal(proposal.version, []byte(proposal.raw)))
	}
	if got := m.Current(); got.Version != 9 || string(got.Content) != "nine" || changes != 2 {
		t.Errorf("got version %d with content %q after %d changes, want 9 with \"nine\" after 2", got.Version, got.Content, changes)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored StateMachine
	if err := restored.Restore(data); err != nil || string(restored.Current().Content) != "nine" {
		t.Errorf("restored %+v, error %v; want content \"nine\"", restored.Current(), err)
	}
}
