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

// write makes the files of a VM.
func write(t *testing.T, a *Authority, folder string, id Identity) settings.TLS {
	t.Helper()
	cert, key, err := a.Issue(id, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{
		CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "ca.pem"),
	}
	for file, data := range map[string][]byte{files.CertFile: cert, files.KeyFile: key, files.CAFile: a.CertPEM()} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func load(t *testing.T, a *Authority, id Identity, check Check) *Source {
	t.Helper()
	s, err := Load(write(t, a, t.TempDir(), id), id, check)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func anyone(Identity, netip.AddrPort, bool) error { return nil }

func serve(t *testing.T, s *Source) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	server.Config.ErrorLog = nil
	server.TLS = s.ServerConfig()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func get(s *Source, base string) error {
	client := &http.Client{Transport: &http.Transport{DialTLSContext: s.Dial((&net.Dialer{}).DialContext), DisableKeepAlives: true}}
	resp, err := client.Get(base)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Guards against peers with a certificate of another authority, of another VM
// than the address belongs to, or with none, in both directions.
func TestOnlyTheExpectedPeerIsAccepted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	one, two := Identity{"muc-a", "vm-1"}, Identity{"muc-b", "vm-2"}
	expect := func(want Identity) Check {
		return func(id Identity, _ netip.AddrPort, _ bool) error {
			if id != want {
				return errors.New("another VM")
			}
			return nil
		}
	}
	server := serve(t, load(t, ours, one, expect(two)))
	for name, c := range map[string]struct {
		client *Source
		ok     bool
	}{
		"expected pair":                {load(t, ours, two, expect(one)), true},
		"server is another VM":         {load(t, ours, two, expect(two)), false},
		"client is another VM":         {load(t, ours, Identity{"muc-b", "vm-3"}, expect(one)), false},
		"client of another authority":  {load(t, theirs, two, anyone), false},
		"client in a zone not its own": {load(t, ours, Identity{"muc-a", "vm-2"}, expect(one)), false},
	} {
		if err := get(c.client, server.URL); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	plain := &http.Client{Transport: server.Client().Transport}
	if _, err := plain.Get(server.URL); err == nil {
		t.Error("a client without a certificate was accepted")
	}
}

// Guards against a restart being needed to replace certificates, and against a
// half-written deployment that takes the former certificate away.
func TestFilesAreReadAgain(t *testing.T) {
	ours, next := newAuthority(t), newAuthority(t)
	one, two := Identity{"muc-a", "vm-1"}, Identity{"muc-a", "vm-2"}
	folder := t.TempDir()
	source, err := Load(write(t, ours, folder, one), one, anyone)
	if err != nil {
		t.Fatal(err)
	}
	server := serve(t, source)
	old, renewed := load(t, ours, two, anyone), load(t, next, two, anyone)
	if err := os.WriteFile(filepath.Join(folder, "cert.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	source.looked = time.Time{}
	if err := get(old, server.URL); err != nil {
		t.Fatalf("a half-written file ended the service: %v", err)
	}
	write(t, next, folder, one)
	source.looked = time.Time{}
	if err := get(renewed, server.URL); err != nil {
		t.Fatalf("the new authority is not in force: %v", err)
	}
	if err := get(old, server.URL); err == nil {
		t.Fatal("the former authority is still accepted")
	}
}

// Guards against a VM that starts with the certificate of another.
func TestOwnCertificateMustNameThisVM(t *testing.T) {
	files := write(t, newAuthority(t), t.TempDir(), Identity{"muc-a", "vm-2"})
	if _, err := Load(files, Identity{"muc-a", "vm-1"}, anyone); err == nil {
		t.Fatal("accepted")
	}
}
