package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/settings"
)

const document = `{
  "models": {"gutachter": {"serving_version": "v1"}},
  "workspaces": {"yards": {}, "lorries": {}},
  "rates": {"yards": {"rate_tokens_per_second": 10, "burst_tokens": 50}, "lorries": {"rate_tokens_per_second": 10, "burst_tokens": 50}},
  "routes": {"grade": {"kind": "model", "model": "gutachter"}},
  "zones": {"muc-a": {"region": "oberbayern", "vm_slots": 1}}
}`

// startTestVM starts one VM that is the only voter of its control log and
// returns its admin address.
func startTestVM(t *testing.T) string {
	t.Helper()
	s := settings.Settings{VM: "vm-1", Zone: "muc-a", Region: "oberbayern", DataFolder: t.TempDir()}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.AllocateAddress()
		if err != nil {
			t.Fatal(err)
		}
		*a = address
	}
	s.InitialVoters = map[string]string{s.VM: s.PeerAddress}
	n, err := daemon.Start(s, daemon.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return s.AdminAddress
}

func runCLI(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := Run(args, &out, &errOut); code != want {
		t.Fatalf("%v: exit code %d, want %d\n%s%s", args, code, want, out.String(), errOut.String())
	}
	return out.String() + errOut.String()
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func requireText(t *testing.T, got string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(got, part) {
			t.Fatalf("output lacks %q:\n%s", part, got)
		}
	}
}

// Guards against lost updates: if two operators read the same state, the second
// edit of a section must not undo the first.
func TestOperatorsDoNotOverwriteEachOther(t *testing.T) {
	t.Setenv("CUMINWING_SERVER", startTestVM(t))
	runCLI(t, ExitOK, "config", "apply", writeFile(t, document))
	first := runCLI(t, ExitOK, "config", "get")
	firstEdit := strings.Replace(first, `"rate_tokens_per_second": 10`, `"rate_tokens_per_second": 20`, 1)
	otherSectionEdit := strings.Replace(first, `"serving_version": "v1"`, `"serving_version": "v2"`, 1)
	conflictingEdit := strings.Replace(first, `"burst_tokens": 50`, `"burst_tokens": 60`, 1)
	requireText(t, runCLI(t, ExitOK, "config", "diff", writeFile(t, firstEdit)), "rates", "lorries", "changed", "20")
	runCLI(t, ExitOK, "config", "apply", writeFile(t, firstEdit), "--comment", "raise")
	// An edit of another section does not conflict, although its file was read
	// before the first edit.
	runCLI(t, ExitOK, "config", "apply", writeFile(t, otherSectionEdit))
	requireText(t, runCLI(t, ExitConflict, "config", "apply", writeFile(t, conflictingEdit)), "section rates was changed to revision")
	requireText(t, runCLI(t, ExitRefused, "config", "apply", writeFile(t, `{"rates": {}}`)), "does not note the state")
	requireText(t, runCLI(t, ExitRefused, "config", "apply", writeFile(t, `{"rates": {}}`), "--overwrite"), `workspace "yards" has no rate`)
	now := runCLI(t, ExitOK, "config", "get", "--defaults")
	requireText(t, now, `"serving_version": "v2"`, `"rate_tokens_per_second": 20`, `"burst_tokens": 50`, `"floor_fraction": 0.2`)
	requireText(t, runCLI(t, ExitOK, "config", "history"), "raise", "rates", "models")
	requireText(t, runCLI(t, ExitOK, "status"), "vm-1", "live", "muc-a")
}

// lossyProxy forwards calls to address, but drops the responses to the first
// dropCount calls whose path ends in path.
func lossyProxy(t *testing.T, address, path string, dropCount int64) string {
	t.Helper()
	var left atomic.Int64
	left.Store(dropCount)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, path) || left.Add(-1) < 0 {
			proxy.ServeHTTP(w, r)
			return
		}
		proxy.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against an edit that is executed twice because its response was lost
// and the client sent it again.
func TestLostResponseIsRetriedWithSameEditID(t *testing.T) {
	address := startTestVM(t)
	t.Setenv("CUMINWING_SERVER", address)
	runCLI(t, ExitOK, "config", "apply", writeFile(t, document))
	t.Setenv("CUMINWING_SERVER", lossyProxy(t, address, "ApplyConfig", 2))
	edited := strings.Replace(runCLI(t, ExitOK, "config", "get", "--section", "rates"), `: 10`, `: 30`, 1)
	runCLI(t, ExitOK, "config", "apply", writeFile(t, edited))
	var history []historyEntry
	text := runCLI(t, ExitOK, "--output", "json", "config", "history")
	if err := json.Unmarshal([]byte(text), &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != 2 {
		t.Fatalf("history has %d edits, want 2:\n%s", len(history), text)
	}
}

// Guards against a key that is printed again after its creation, and against a
// withdrawal that accepts an unknown key or that the list of keys does not show.
func TestKeyLifecycle(t *testing.T) {
	t.Setenv("CUMINWING_SERVER", startTestVM(t))
	runCLI(t, ExitOK, "config", "apply", writeFile(t, document))
	made := runCLI(t, ExitOK, "keys", "new", "--workspace", "yards", "--id", "dispatch")
	requireText(t, made, "key:    cw-", "accepted")
	key := strings.Fields(made)[1]
	listed := runCLI(t, ExitOK, "keys", "list", "--workspace", "yards")
	requireText(t, listed, "dispatch", "usable")
	if strings.Contains(listed, key) {
		t.Fatal("keys list prints the key itself")
	}
	runCLI(t, ExitRefused, "keys", "withdraw", "--workspace", "yards", "--id", "unknown")
	runCLI(t, ExitOK, "keys", "withdraw", "--workspace", "yards", "--id", "dispatch")
	requireText(t, runCLI(t, ExitOK, "keys", "list"), "withdrawn")
}

// Guards against wrong exit codes for an invalid and an unreachable server, a
// refused connection that is retried for as long as one that times out, help
// without an example, and output after the completion script.
func TestUnreachableServerAndHelp(t *testing.T) {
	runCLI(t, ExitRefused, "status", "--server", "not-an-address")
	start := time.Now()
	runCLI(t, ExitFailed, "status", "--server", "127.0.0.1:1")
	if time.Since(start) > callTimeout {
		t.Fatal("a refused connection took as long as one that times out")
	}
	requireText(t, runCLI(t, ExitOK, "config", "apply", "--help"), "Example:", "cuminwing config apply rates.json")
	// kingpin writes the script to the standard output of the process.
	if text := runCLI(t, ExitOK, "--completion-script-bash"); text != "" {
		t.Fatalf("the completion script is followed by:\n%s", text)
	}
}
