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

// startService runs one VM with a control log of its own and returns its admin
// address.
func startService(t *testing.T) string {
	t.Helper()
	s := settings.Settings{VM: "vm-1", Zone: "muc-a", Region: "oberbayern", DataFolder: t.TempDir()}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.Address()
		if err != nil {
			t.Fatal(err)
		}
		*a = address
	}
	s.Voters = map[string]string{s.VM: s.PeerAddress}
	n, err := daemon.Start(s, daemon.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return s.AdminAddress
}

func run(t *testing.T, want int, args ...string) string {
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

func wantText(t *testing.T, got string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(got, part) {
			t.Fatalf("no %q in:\n%s", part, got)
		}
	}
}

// Guards the operators' way of working: two of them read the same state, and
// the second edit of a section must not undo the first.
func TestOperatorsDoNotOverwriteEachOther(t *testing.T) {
	t.Setenv("CUMINWING_SERVER", startService(t))
	run(t, ExitOK, "config", "apply", writeFile(t, document))
	first := run(t, ExitOK, "config", "get")
	mine := strings.Replace(first, `"rate_tokens_per_second": 10`, `"rate_tokens_per_second": 20`, 1)
	theirs := strings.Replace(first, `"serving_version": "v1"`, `"serving_version": "v2"`, 1)
	late := strings.Replace(first, `"burst_tokens": 50`, `"burst_tokens": 60`, 1)
	wantText(t, run(t, ExitOK, "config", "diff", writeFile(t, mine)), "rates", "lorries", "changed", "20")
	run(t, ExitOK, "config", "apply", writeFile(t, mine), "--comment", "raise")
	// Another section, read before the first edit: no conflict.
	run(t, ExitOK, "config", "apply", writeFile(t, theirs))
	wantText(t, run(t, ExitConflict, "config", "apply", writeFile(t, late)), "section rates was changed to revision")
	wantText(t, run(t, ExitRefused, "config", "apply", writeFile(t, `{"rates": {}}`)), "does not note the state")
	wantText(t, run(t, ExitRefused, "config", "apply", writeFile(t, `{"rates": {}}`), "--overwrite"), `workspace "yards" has no rate`)
	now := run(t, ExitOK, "config", "get", "--defaults")
	wantText(t, now, `"serving_version": "v2"`, `"rate_tokens_per_second": 20`, `"burst_tokens": 50`, `"floor_fraction": 0.2`)
	wantText(t, run(t, ExitOK, "config", "history"), "raise", "rates", "models")
	wantText(t, run(t, ExitOK, "status"), "vm-1", "live", "muc-a")
}

// lossyProxy passes calls on and loses the answers of the first ones.
func lossyProxy(t *testing.T, address, path string, lose int64) string {
	t.Helper()
	var left atomic.Int64
	left.Store(lose)
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

// Guards against an edit that is executed again when its answer is lost.
func TestLostAnswerIsResentWithSameID(t *testing.T) {
	address := startService(t)
	t.Setenv("CUMINWING_SERVER", address)
	run(t, ExitOK, "config", "apply", writeFile(t, document))
	t.Setenv("CUMINWING_SERVER", lossyProxy(t, address, "ApplyConfig", 2))
	edited := strings.Replace(run(t, ExitOK, "config", "get", "--section", "rates"), `: 10`, `: 30`, 1)
	run(t, ExitOK, "config", "apply", writeFile(t, edited))
	var history []historyEntry
	text := run(t, ExitOK, "--output", "json", "config", "history")
	if err := json.Unmarshal([]byte(text), &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != 2 {
		t.Fatalf("%d edits in the history, want 2:\n%s", len(history), text)
	}
}

// Guards the life of a key: made once, listed by its hash only, and withdrawn
// for good.
func TestKeysFromNewToWithdrawn(t *testing.T) {
	t.Setenv("CUMINWING_SERVER", startService(t))
	run(t, ExitOK, "config", "apply", writeFile(t, document))
	made := run(t, ExitOK, "keys", "new", "--workspace", "yards", "--id", "dispatch")
	wantText(t, made, "key:    cw-", "accepted")
	key := strings.Fields(made)[1]
	listed := run(t, ExitOK, "keys", "list", "--workspace", "yards")
	wantText(t, listed, "dispatch", "usable")
	if strings.Contains(listed, key) {
		t.Fatal("the list shows the key")
	}
	run(t, ExitRefused, "keys", "withdraw", "--workspace", "yards", "--id", "unknown")
	run(t, ExitOK, "keys", "withdraw", "--workspace", "yards", "--id", "dispatch")
	wantText(t, run(t, ExitOK, "keys", "list"), "withdrawn")
}

// Guards the exit codes when no VM answers, and the examples in the help.
func TestUnreachableServerAndHelp(t *testing.T) {
	run(t, ExitRefused, "status", "--server", "not-an-address")
	start := time.Now()
	run(t, ExitFailed, "status", "--server", "127.0.0.1:1")
	if time.Since(start) > callTimeout {
		t.Fatal("a refused connection took as long as a silent one")
	}
	wantText(t, run(t, ExitOK, "config", "apply", "--help"), "Example:", "cuminwing config apply rates.json")
	// kingpin writes the script to the standard output of the process.
	if text := run(t, ExitOK, "--completion-script-bash"); text != "" {
		t.Fatalf("the completion script is followed by:\n%s", text)
	}
}
