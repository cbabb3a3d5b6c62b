package config

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a reference page that does not match the schema. The flag
// -update regenerates the page.
func TestReferencePage(t *testing.T) {
	page, err := Reference()
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "configuration", []byte(page))
}
