package peertls

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/settings"
)

func newAuthority(t *testing.T) *Authority {
	a, err := NewAuthority(time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeFiles issues a certificate for a VM and writes the VM's TLS files.
func writeFiles(t *testing.T, a *Authority, dir string, id Identity) settings.TLS {
	t.Helper()
	cert, key, err := a.Issue(id, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
	for file, data := range map[string][]byte{files.CertFile: cert, files.KeyFile: key, files.CAFile: a.CertPEM()} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func loadSource(t *testing.T, a *Authority, id Identity, verify VerifyPeerFunc) *Source {
	t.Helper()
	s, err := Load(writeFiles(t, a, t.TempDir(), id), id, verify)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func acceptAll(Identity, netip.AddrPort, bool) error { return nil }

func serve(t *testing.T, s *Source) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	server.Config.ErrorLog = nil
	server.TLS = s.ServerConfig()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func get(s *Source, base string) error {
	client := &http.Client{Transport: &http.Transport{DialTLSContext: s.WrapDial((&net.Dialer{}).DialContext), DisableKeepAlives: true}}
	resp, err := client.Get(base)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Guards against accepting, as a client or a server, a peer whose certificate
// was issued by another authority or to another VM than expected at its address,
// or a peer without a certificate.
func TestOnlyTheExpectedPeerIsAccepted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	one, two := Identity{"muc-a", "vm-1"}, Identity{"muc-b", "vm-2"}
	expect := func(want Identity) VerifyPeerFunc {
		return func(id Identity, _ netip.AddrPort, _ bool) error {
			if id != want {
				return errors.New("another VM")
			}
			return nil
		}
	}
	server := serve(t, loadSource(t, ours, one, expect(two)))
	for name, c := range map[string]struct {
		client *Source
		ok     bool
	}{
		"expected pair":               {loadSource(t, ours, two, expect(one)), true},
		"server is another VM":        {loadSource(t, ours, two, expect(two)), false},
		"client is another VM":        {loadSource(t, ours, Identity{"muc-b", "vm-3"}, expect(one)), false},
		"client of another authority": {loadSource(t, theirs, two, acceptAll), false},
		"client with a wrong zone":    {loadSource(t, ours, Identity{"muc-a", "vm-2"}, expect(one)), false},
	} {
		if err := get(c.client, server.URL); (err == nil) != c.ok {
			t.Errorf("%s: request returned error %v", name, err)
		}
	}
	plain := &http.Client{Transport: server.Client().Transport}
	if _, err := plain.Get(server.URL); err == nil {
		t.Error("a client without a certificate was accepted")
	}
}

// Guards against a VM that needs a restart to use replaced certificates, and
// against one that stops using its previous certificate while a deployment has
// written the files only in part.
func TestChangedFilesAreReloaded(t *testing.T) {
	ours, next := newAuthority(t), newAuthority(t)
	one, two := Identity{"muc-a", "vm-1"}, Identity{"muc-a", "vm-2"}
	dir := t.TempDir()
	source, err := Load(writeFiles(t, ours, dir, one), one, acceptAll)
	if err != nil {
		t.Fatal(err)
	}
	server := serve(t, source)
	old, renewed := loadSource(t, ours, two, acceptAll), loadSource(t, next, two, acceptAll)
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	source.checkedAt = time.Time{}
	if err := get(old, server.URL); err != nil {
		t.Fatalf("request failed while a certificate file was half written: %v", err)
	}
	writeFiles(t, next, dir, one)
	source.checkedAt = time.Time{}
	if err := get(renewed, server.URL); err != nil {
		t.Fatalf("request with a certificate of the new authority failed: %v", err)
	}
	if err := get(old, server.URL); err == nil {
		t.Fatal("a certificate of the previous authority is still accepted")
	}
}

// Guards against a VM that starts with the certificate of another VM.
func TestOwnCertificateMustNameThisVM(t *testing.T) {
	files := writeFiles(t, newAuthority(t), t.TempDir(), Identity{"muc-a", "vm-2"})
	if _, err := Load(files, Identity{"muc-a", "vm-1"}, acceptAll); err == nil {
		t.Fatal("a certificate of another VM was accepted")
	}
}
