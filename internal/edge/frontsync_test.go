package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/fleetsync"
)

// Guards against a front that counts its keys as confirmed although it could not
// decode the document that withdraws one.
func TestUndecodableDocumentIsNotConfirmed(t *testing.T) {
	f := newFront(Settings{VM: "f", Guarantees: testGuarantees()}, FrontOptions{Logger: zap.NewNop(), Decode: decodeJSON})
	f.applyResponse(time.Second, fleetsync.Response{IsLeader: true, DocumentVersion: 1, RawDocument: documentWithKey(1, "k1")})
	f.applyResponse(2*time.Second, fleetsync.Response{IsLeader: true, DocumentVersion: 2, RawDocument: []byte("{")})
	state := f.state.Load()
	if state.Confirmed != time.Second || state.Table.Document.Version != 1 {
		t.Errorf("version %d confirmed at %v, want version 1 at 1s", state.Table.Document.Version, state.Confirmed)
	}
	f.applyResponse(3*time.Second, fleetsync.Response{IsLeader: true, DocumentVersion: 2, RawDocument: documentWithKey(2, "k2")})
	f.applyResponse(4*time.Second, fleetsync.Response{IsLeader: true, DocumentVersion: 1, RawDocument: documentWithKey(1, "k1")})
	if state := f.state.Load(); state.Confirmed != 4*time.Second || state.Table.Document.Version != 2 {
		t.Errorf("version %d confirmed at %v, want version 2 at 4s", state.Table.Document.Version, state.Confirmed)
	}
}
