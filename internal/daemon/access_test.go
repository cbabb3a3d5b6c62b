package daemon

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
)

// Guards against model requests that run without a key, with an unknown key, or
// for a workspace that the route does not list.
func TestModelRequestsRunOnlyForTheirWorkspace(t *testing.T) {
	const otherKey = "cw-key-of-another-workspace-0123456789abcdef"
	document := testDocument()
	grade := document.Routes["grade"]
	grade.Workspaces = []string{"yards"}
	document.Routes["grade"] = grade
	document.Workspaces["other"] = config.Workspace{Keys: []config.Key{{ID: "k", SHA256: apikeys.HashKey(otherKey).String()}}}
	document.Rates["other"] = document.Rates["yards"]
	vm := startVM(t, "muc-a", document)
	engine := startEngine(t, "e1", false, vm)
	for _, c := range []struct {
		desc, key string
		status    int
	}{
		{"no key", "", http.StatusUnauthorized},
		{"unknown key", "cw-unknown", http.StatusUnauthorized},
		{"key of another workspace", otherKey, http.StatusNotFound},
	} {
		resp, err := send(t.Context(), http.MethodPost, vm.base+"/v1/chat/completions", c.key, chatBody("dossier", 5, true))
		if err != nil {
			t.Fatal(err)
		}
		got := readResponse(resp, func(int) {})
		if got.status != c.status || got.header.Get("Cuminwing-Run") != "not-run" {
			t.Errorf("%s: status %d, run %q", c.desc, got.status, got.header.Get("Cuminwing-Run"))
		}
		list, err := send(t.Context(), http.MethodGet, vm.base+"/v1/models", c.key, "")
		if err != nil {
			t.Fatal(err)
		}
		if models := readResponse(list, func(int) {}); strings.Contains(models.body, testModel) {
			t.Errorf("%s: the model is listed", c.desc)
		}
	}
	if n := engine.RequestCount(); n != 0 {
		t.Errorf("the engine started %d requests, want none", n)
	}
	if got := ask(t, vm, "dossier", 5, nil); !got.complete() {
		t.Errorf("request of a workspace on the route: got %+v", got)
	}
}
