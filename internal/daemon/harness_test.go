package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	testKey   = "cw-test-key-of-the-yards-0123456789abcdef"
	testModel = "gutachter"
)

// awaitTimeout limits waits for conditions. It is far longer than they take, so
// that slow machines pass too.
const awaitTimeout = 20 * time.Second

func testDocument() config.Document {
	return config.Document{
		Models:     map[string]config.Model{testModel: {ServingVersion: "v1"}},
		Workspaces: map[string]config.Workspace{"yards": {Keys: []config.Key{{ID: "k", SHA256: apikeys.HashKey(testKey).String()}}}},
		Rates:      map[string]config.Rate{"yards": {RateTokensPerSecond: 1e6, BurstTokens: 1e6, MaxWaitMS: 10000}},
		Routes: map[string]config.Route{
			"grade":  {Kind: config.KindModel, Model: testModel, MaxAttempts: 6, FirstTokenTimeoutMS: 2000, TokenGapTimeoutMS: 1000, TimeoutMS: 60000},
			"stock":  {Kind: config.KindService, Service: "stock", PathPrefix: "/stock", MaxAttempts: 3, FirstTokenTimeoutMS: 2000},
			"orders": {Kind: config.KindService, Service: "orders", PathPrefix: "/orders", Run: config.RunAtMostOnce},
			"open":   {Kind: config.KindService, Service: "stock", PathPrefix: "/open", Access: config.AccessOpen},
		},
		Zones: map[string]config.Zone{"muc-a": {Region: "oberbayern", VMSlots: 2}, "muc-b": {Region: "oberbayern", VMSlots: 1}},
	}
}

// testVM is a VM with the base URL for its callers.
type testVM struct {
	*Node
	base string
}

func startVM(t testing.TB, zone string, document config.Document) *testVM {
	t.Helper()
	return startVMs(t, document, zone)[0]
}

// startVMs starts one VM per zone; all of them are voters. Another process may
// take a free port before the VM binds it, so a failed start is retried.
func startVMs(t testing.TB, document config.Document, zones ...string) []*testVM {
	t.Helper()
	const tries = 5
	for try := 1; ; try++ {
		vms, err := tryStartVMs(t, document, zones)
		if err == nil {
			return vms
		}
		if try == tries {
			t.Fatal(err)
		}
	}
}

func tryStartVMs(t testing.TB, document config.Document, zones []string) (vms []*testVM, err error) {
	all := make([]settings.Settings, len(zones))
	voters := make(map[string]string)
	for i, zone := range zones {
		s := settings.Settings{VM: fmt.Sprintf("vm-%d", i+1), Zone: zone, Region: "oberbayern", Slot: i, DataFolder: t.TempDir(), InitialVoters: voters}
		for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
			*a = testAddress(t)
		}
		voters[s.VM] = s.PeerAddress
		all[i] = s
	}
	for _, s := range all {
		for _, other := range all {
			s.Join = append(s.Join, other.GossipAddress)
		}
		node, err := Start(s, Options{Document: &document})
		if err != nil {
			for _, vm := range vms {
				vm.Close()
			}
			return nil, err
		}
		vms = append(vms, &testVM{node, "http://" + s.CallerAddress})
		t.Cleanup(node.Close)
	}
	return vms, nil
}

func startEngine(t testing.TB, id string, http2 bool, vms ...*testVM) *standin.Engine {
	t.Helper()
	e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
		ID: id, Zone: "muc-a", Region: "oberbayern", Model: testModel, Version: "v1",
		TokenInterval: time.Millisecond, BatchSlots: 8, HTTP2: http2, AnnounceURLs: announceTo(vms),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	for _, vm := range vms {
		awaitTarget(t, vm, id)
	}
	return e
}

func announceTo(vms []*testVM) []string {
	var bases []string
	for _, vm := range vms {
		bases = append(bases, "http://"+vm.settings.TargetAddress)
	}
	return bases
}

func awaitTarget(t testing.TB, vm *testVM, id string) {
	t.Helper()
	await(t, "target "+id, func() bool {
		target, ok := vm.registry.Get(id)
		return ok && target.Usable(time.Now())
	})
}

// await polls ok until it returns true and fails the test after awaitTimeout.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %q after %s", what, awaitTimeout)
		}
	}
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	text   string
	done   int
	failed string
	body   string
}

// complete reports whether the stream succeeded and ended with exactly one
// [DONE].
func (a result) complete() bool { return a.status == http.StatusOK && a.done == 1 && a.failed == "" }

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, stream, tokens, prompt)
}

func send(ctx context.Context, method, url, key, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// ask streams one chat completion. It calls each, which may be nil, for every
// event.
func ask(t testing.TB, vm *testVM, prompt string, tokens int, each func(n int)) result {
	t.Helper()
	resp, err := send(t.Context(), http.MethodPost, vm.base+"/v1/chat/completions", testKey, chatBody(prompt, tokens, true))
	if err != nil {
		t.Fatal(err)
	}
	return readResponse(resp, each)
}

func readResponse(resp *http.Response, each func(n int)) result {
	defer resp.Body.Close()
	a := result{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, _ := io.ReadAll(resp.Body)
		a.body = string(body)
		return a
	}
	scanner := bufio.NewScanner(resp.Body)
	for n := 0; scanner.Scan(); {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			a.body += scanner.Text()
			continue
		}
		a.addEvent(data)
		if n++; each != nil {
			each(n)
		}
	}
	return a
}

func (a *result) addEvent(data []byte) {
	if string(data) == "[DONE]" {
		a.done++
		return
	}
	var event struct {
		Choices []struct {
			Delta struct{ Content string }
		}
		Error struct{ Code string }
	}
	if err := json.Unmarshal(data, &event); err != nil {
		a.failed = err.Error()
		return
	}
	if event.Error.Code != "" {
		a.failed = event.Error.Code
	}
	for _, c := range event.Choices {
		a.text += c.Delta.Content
	}
}
