package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// documentWithRoutes returns an encoded document with the given number of routes.
func documentWithRoutes(t *testing.T, version uint64, routes int) []byte {
	t.Helper()
	document := &gatewayconfig.Document{Version: version, Services: []gatewayconfig.Service{{Name: "s"}}}
	for i := range routes {
		document.Routes = append(document.Routes, gatewayconfig.Route{
			Name: fmt.Sprint("r", i), Host: "a.example", PathPrefix: fmt.Sprintf("/r%d/", i), Timeout: time.Second,
			Split: []gatewayconfig.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
	}
	raw, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against changes of a large document that fill the links between regions and
// the disks: the log holds each version in full.
func TestLargeDocumentIsReplicatedCompressed(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	raw := documentWithRoutes(t, 7, 1000)
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, raw) })
	for i, c := range d.cores {
		eventually(t, fmt.Sprint("document of core ", i), func() error {
			stored, err := c.core.Document(ctx)
			if err == nil && !bytes.Equal(stored.Raw, raw) {
				err = fmt.Errorf("version %d with %d bytes, want 7 with %d", stored.Version, len(stored.Raw), len(raw))
			}
			return err
		})
		if size := len(c.core.document.Current().Content); size > len(raw)/4 {
			t.Errorf("core %d stores %d bytes for a document of %d bytes", i, size, len(raw))
		}
	}
}

// Guards against a log that becomes unreadable because an earlier version wrote
// documents as the operator had sent them.
func TestUncompressedDocumentInTheLogIsServed(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	core := d.cores[0].core
	raw := documentWithRoutes(t, 3, 1)
	eventually(t, "proposal", func() error { return core.propose(ctx, control.KindDocument, gatewayconfig.EncodeProposal(3, raw)) })
	if stored, err := core.Document(ctx); err != nil || !bytes.Equal(stored.Raw, raw) {
		t.Errorf("got %q, %v; want %q", stored.Raw, err, raw)
	}
	content, err := compressedDocument(core.document.Current())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decompress(content); err != nil || !bytes.Equal(got, raw) {
		t.Errorf("fronts get %q, %v; want %q", got, err, raw)
	}
}
