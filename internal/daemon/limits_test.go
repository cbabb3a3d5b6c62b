package daemon

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

// Guards against requests that exceed a limit and still reach a target, and
// against refusals that are not marked as not-run.
func TestCallerLimits(t *testing.T) {
	document := testDocument()
	document.Limits.MaxBodyBytes = 2000
	document.Limits.MaxHeaderBytes = 1000
	document.Limits.MaxPromptTokens = 100
	document.Limits.MaxConcurrentPerVM = 4
	yards := document.Workspaces["yards"]
	yards.MaxConcurrent = 2
	document.Workspaces["yards"] = yards
	vm := startVM(t, "muc-a", document)
	engine := startEngine(t, "e1", false, vm)
	chat := vm.base + "/v1/chat/completions"
	for _, c := range []struct {
		name, body, header string
		status             int
	}{
		{"body", strings.Repeat("x", 2001), "", 413},
		{"header", chatBody("oak", 1, true), strings.Repeat("x", 1000), 431},
		{"prompt", chatBody(strings.Repeat("x", 500), 1, true), "", 400},
		{"json", "{", "", 400},
		{"choices", strings.Replace(chatBody("oak", 1, true), "{", `{"n":1000,`, 1), "", 400},
	} {
		status, header, _ := call(t, "POST", chat, testKey, c.body, "X-Filler", c.header)
		if status != c.status || header.Get("Cuminwing-Run") != "not-run" {
			t.Errorf("%s: status %d, %q", c.name, status, header.Get("Cuminwing-Run"))
		}
	}
	if engine.RequestCount() != 0 {
		t.Errorf("%d requests above a limit reached the engine", engine.RequestCount())
	}
	engine.SetFaults(standin.EngineFaults{StallAfterTokens: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 2 {
		resp, err := send(ctx, http.MethodPost, chat, testKey, chatBody("oak", 9, true))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
	}
	status, header, _ := call(t, "POST", chat, testKey, chatBody("oak", 1, true))
	if status != 429 || header.Get("Cuminwing-Run") != "not-run" || header.Get("Retry-After") == "" {
		t.Errorf("third request of the workspace: status %d, %v", status, header)
	}
}

func writeCertificate(t *testing.T, folder, name string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalPKCS8PrivateKey(key)
	files := settings.TLS{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	for file, block := range map[string]*pem.Block{files.CertFile: {Type: "CERTIFICATE", Bytes: der}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against a VM that keeps using an old certificate after a replacement,
// or has none while the files are being replaced.
func TestCertificateReload(t *testing.T) {
	folder := t.TempDir()
	c := &certificateReloader{files: writeCertificate(t, folder, "first"), logger: zap.NewNop()}
	if err := c.load(); err != nil {
		t.Fatal(err)
	}
	name := func() string {
		c.mu.Lock()
		c.lastCheck = time.Time{}
		c.mu.Unlock()
		leaf, err := x509.ParseCertificate(c.get().Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.DNSNames[0]
	}
	if err := os.WriteFile(c.files.CertFile, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := name(); got != "first" {
		t.Errorf("while the files are being replaced: got certificate %q", got)
	}
	writeCertificate(t, folder, "second one")
	if got := name(); got != "second one" {
		t.Errorf("after the files were replaced: got certificate %q", got)
	}
}

// Guards against a daemon that aborts streams on SIGTERM or exits with a status
// other than 0. The test runs the real binary, with TLS.
func TestGracefulShutdown(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "cuminwingd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cuminwingd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	certificate := writeCertificate(t, folder, "vm")
	s := settings.Settings{VM: "vm-1", Zone: "muc-a", Region: "oberbayern", DataFolder: folder, DocumentFile: filepath.Join(folder, "document.json"), CallerTLS: &certificate}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		*a = testAddress(t)
	}
	s.InitialVoters = map[string]string{s.VM: s.PeerAddress}
	writeJSONFile(t, s.DocumentFile, testDocument())
	writeJSONFile(t, filepath.Join(folder, "settings.json"), s)
	var logs bytes.Buffer
	daemon := exec.Command(binary, "--settings", filepath.Join(folder, "settings.json"))
	daemon.Stderr = &logs
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = daemon.Process.Kill() }()
	vm := &testVM{Node: &Node{settings: s}, base: "https://" + s.CallerAddress}
	http.DefaultTransport.(*http.Transport).TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
	ready := func() bool {
		resp, err := send(t.Context(), http.MethodGet, vm.base+"/readyz", "", "")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	}
	await(t, "ready daemon", ready)
	engine, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{ID: "e1", Zone: "muc-a", Region: "oberbayern", Model: testModel, Version: "v1", TokenInterval: 5 * time.Millisecond, BatchSlots: 8, AnnounceURLs: announceTo([]*testVM{vm})})
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	await(t, "response", func() bool { return ask(t, vm, "dossier", 1, nil).complete() })
	got := ask(t, vm, "dossier", 500, func(n int) {
		if n == 20 {
			_ = daemon.Process.Signal(syscall.SIGTERM)
		}
	})
	if !got.complete() {
		t.Errorf("incomplete stream: %d end markers, error %q, %d bytes", got.done, got.failed, len(got.text))
	}
	if err := daemon.Wait(); err != nil {
		t.Errorf("daemon exited with %v\n%s", err, logs.String())
	}
	if conn, err := net.Dial("tcp", s.CallerAddress); err == nil {
		conn.Close()
		t.Error("the daemon still accepts connections after it exited")
	}
}

func writeJSONFile(t *testing.T, file string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
