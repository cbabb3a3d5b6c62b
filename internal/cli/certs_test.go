package cli

import (
	"bytes"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/cuminwing/cuminwing/internal/adapter/peertls"
	"github.com/cuminwing/cuminwing/internal/settings"
)

// Guards against generated certificates that the daemon rejects, and against a
// VM name without a zone that is accepted.
func TestGeneratedCertificatesLoad(t *testing.T) {
	folder := t.TempDir()
	var out, errOut bytes.Buffer
	if code := Run([]string{"certs", "--folder", folder, "muc-a/vm-1", "muc-b/vm-2"}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	file := func(name string) string { return filepath.Join(folder, "vm-2", name) }
	files := settings.TLS{CertFile: file("cert.pem"), KeyFile: file("key.pem"), CAFile: file("ca.pem")}
	anyone := func(peertls.Identity, netip.AddrPort, bool) error { return nil }
	if _, err := peertls.Load(files, peertls.Identity{Zone: "muc-b", VM: "vm-2"}, anyone); err != nil {
		t.Fatal(err)
	}
	if code := Run([]string{"certs", "--folder", folder, "vm-1"}, &out, &errOut); code == ExitOK {
		t.Fatal("a VM without a zone was accepted")
	}
}
