package proxy

import (
	"net"
	"net/http"
	"testing"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// Guards against a stream that is resumed under the cache scope of an earlier document,
// after the workspace that computed the parts has become isolated.
func TestRetryUsesTheCacheScopeOfThePresentDocument(t *testing.T) {
	var f *front
	document := func(version uint64, isolated bool) *gatewayconfig.Table {
		d := *f.handler.State().Table.Document
		d.Version = version
		d.Services = []gatewayconfig.Service{{Name: "s", Engine: &gatewayconfig.Engine{CacheTokens: 1000}}}
		d.Workspaces = append(d.Workspaces[:1:1], gatewayconfig.Workspace{Name: "other", Isolated: isolated})
		return gatewayconfig.Compile(&d)
	}
	isolate := func(conn net.Conn, r *http.Request) bool {
		f.setState(State{Table: document(3, true), FrontCount: 1})
		return streamResponse(false, eventText(1))(conn, r)
	}
	first := newTarget(t, isolate)
	second := newTarget(t, streamResponse(true, eventText(2)))
	f = newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunStream, Resumable: true, Cached: true, MaxAttempts: 2}, first, second)
	f.parts = "shared own"
	f.setState(State{Table: document(2, false), FrontCount: 1})
	if _, body, err := f.call(t, "r1", "POST", "b"); err != nil || body != eventText(1)+eventText(2) {
		t.Fatalf("body %q, %v", body, err)
	}
	before, after := first.requests()[0].Header.Get("Scope"), second.requests()[0].Header.Get("Scope")
	if want := f.getState().Table.CacheScope(nil) + "-0"; after != want || after == before {
		t.Errorf("the second attempt has the scope %q, want %q; the first one had %q", after, want, before)
	}
}
