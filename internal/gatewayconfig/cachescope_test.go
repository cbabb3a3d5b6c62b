package gatewayconfig

import (
	"math/rand/v2"
	"testing"
)

// Guards against cached parts of a workspace that stay usable for others once it is
// isolated, and against those of others that it goes on using, after any changes of the
// document: a removal of the workspace, another one that is isolated, a change back.
func TestScopeOfAnIsolatedWorkspaceWasNeverUsedByOthers(t *testing.T) {
	names := []string{"a", "b", "c", "ab"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		makers := make(map[string]map[string]bool)
		for range 30 {
			d := &Document{}
			for _, name := range names {
				if random.IntN(4) > 0 {
					d.Workspaces = append(d.Workspaces, Workspace{Name: name, Isolated: random.IntN(2) == 0})
				}
			}
			random.Shuffle(len(d.Workspaces), func(i, j int) { d.Workspaces[i], d.Workspaces[j] = d.Workspaces[j], d.Workspaces[i] })
			table := Compile(d)
			for _, w := range d.Workspaces {
				scope := table.CacheScope(&w)
				for maker := range makers[scope] {
					other := table.Workspace(maker)
					if maker != w.Name && (w.Isolated || other != nil && other.Isolated) {
						t.Fatalf("seed %d: %s (isolated: %t) uses the scope %q, in which %s has cached parts", seed, w.Name, w.Isolated, scope, maker)
					}
				}
				if makers[scope] == nil {
					makers[scope] = make(map[string]bool)
				}
				makers[scope][w.Name] = true
			}
		}
	}
}

// Guards against caches that are lost with each change of the document.
func TestScopeStaysWhileTheIsolatedWorkspacesStay(t *testing.T) {
	d := &Document{Workspaces: []Workspace{{Name: "a"}, {Name: "b", Isolated: true}, {Name: "c", Isolated: true}}}
	changed := &Document{Version: 7, Workspaces: []Workspace{{Name: "c", Isolated: true}, {Name: "b", Isolated: true, Rate: 3}, {Name: "d"}, {Name: "a"}}}
	if before, after := Compile(d).CacheScope(nil), Compile(changed).CacheScope(nil); before != after {
		t.Errorf("the scope changed from %q to %q", before, after)
	}
	if scope := Compile(&Document{}).CacheScope(nil); scope != sharedScopeName {
		t.Errorf("the scope without isolated workspaces is %q, want %q", scope, sharedScopeName)
	}
}
