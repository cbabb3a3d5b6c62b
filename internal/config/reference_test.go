package config

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a reference page that no longer fits the schema. The flag
// -update writes the page anew.
func TestReferencePage(t *testing.T) {
	page, err := Reference()
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "configuration", []byte(page))
}
