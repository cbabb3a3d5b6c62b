package daemon

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/standin"
)

func startService(t testing.TB, name, id string, vms ...*testVM) *standin.Service {
	t.Helper()
	s, err := standin.StartService("127.0.0.1:0", standin.ServiceOptions{ID: id, Zone: "muc-a", Region: "oberbayern", Service: name, AnnounceURLs: announceTo(vms)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, vm := range vms {
		awaitTarget(t, vm, id)
	}
	return s
}

// call sends a request and returns the status, header and body of the response.
// Status 0 means that no complete response arrived.
func call(t testing.TB, method, url, key, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	resp, err := send(t.Context(), method, url, key, body, header...)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, resp.Header, string(data)
	}
	return resp.StatusCode, resp.Header, string(data)
}

// Guards against service calls whose method, query, body or response is lost or
// changed, and against routes that admit the wrong callers.
func TestServiceCalls(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	service := startService(t, "stock", "s1", vm)
	large := strings.Repeat("sleeper ", 100_000)
	for _, c := range []struct {
		method, path, key, body string
		status                  int
	}{
		{"GET", "/stock/oak?count=2&size=l", testKey, "", 200},
		{"PUT", "/stock/oak%2Fgrade", testKey, "body", 200},
		{"POST", "/stock", testKey, large, 200},
		{"POST", "/open/price", "", "body", 200},
		{"GET", "/stock/oak", "", "", 401},
		{"GET", "/stock/oak", "cw-wrong", "", 401},
		{"GET", "/stockyard", testKey, "", 404},
		{"GET", "/stock/../orders", testKey, "", 400},
		{"TRACE", "/stock", testKey, "", 405},
	} {
		before := service.ExecutionCount()
		status, header, body := call(t, c.method, vm.base+c.path, c.key, c.body)
		ran := service.ExecutionCount() - before
		if status != c.status || (status == 200) != (ran == 1) || status == 200 && (body != c.body || header.Get("X-Method") != c.method) {
			t.Errorf("%s %s: status %d, ran %d times, %d bytes", c.method, c.path, status, ran, len(body))
		}
	}
	if seen := service.RecordedRequests()[0]; !strings.HasPrefix(seen, "GET /stock/oak?count=2&size=l ") {
		t.Errorf("the request line was changed: %.80s", seen)
	}
}

// Guards against retries after the caller has received a byte or when the
// request body cannot be replayed, and against truncated responses that look
// complete.
func TestServiceRetries(t *testing.T) {
	large := strings.Repeat("x", 200_000)
	for _, c := range []struct {
		name   string
		fault  standin.ServiceFaults
		body   string
		status int
		ran    int
	}{
		{"dropped response", standin.ServiceFaults{DropResponse: true, MaxRequests: 1}, "body", 200, 2},
		{"overloaded replica", standin.ServiceFaults{Status: 503, MaxRequests: 1}, "body", 200, 2},
		{"service error", standin.ServiceFaults{Status: 500}, "body", 500, 1},
		{"body cannot be replayed", standin.ServiceFaults{DropResponse: true, MaxRequests: 1}, large, 502, 1},
		{"truncated response", standin.ServiceFaults{CloseAfterBytes: 2, MaxRequests: 1}, "body", 0, 1},
	} {
		vm := startVM(t, "muc-a", testDocument())
		service := startService(t, "stock", "s1", vm)
		service.SetFaults(c.fault)
		status, _, _ := call(t, "POST", vm.base+"/stock", testKey, c.body)
		if status != c.status || service.ExecutionCount() != c.ran {
			t.Errorf("%s: status %d after %d executions, want %d after %d", c.name, status, service.ExecutionCount(), c.status, c.ran)
		}
	}
}

// Guards against errors in a caller's streamed body that are attributed to the
// target or retried.
func TestFaultyStreamedBodies(t *testing.T) {
	document := testDocument()
	document.Limits.MaxBodyBytes = 200_000
	vm := startVM(t, "muc-a", document)
	service := startService(t, "stock", "s1", vm)
	filler := strings.Repeat("x", 100_000)
	for body, want := range map[string]int{filler: 200, filler + filler + filler: 413, filler + testKey: 400} {
		// The HTTP client sends a reader of unknown length in chunks.
		req, err := http.NewRequestWithContext(t.Context(), "POST", vm.base+"/stock", io.MultiReader(strings.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d bytes: status %d, want %d", len(body), resp.StatusCode, want)
		}
	}
	if service.ExecutionCount() != 1 {
		t.Errorf("%d calls were completed, want 1", service.ExecutionCount())
	}
}

// Guards against a slow replica that delays short calls, and against losing
// hedged attempts that are not cancelled.
func TestHedgedCall(t *testing.T) {
	document := testDocument()
	stock := document.Routes["stock"]
	stock.HedgeAfterMS, stock.FirstTokenTimeoutMS = 20, 60_000
	document.Routes["stock"] = stock
	vm := startVM(t, "muc-a", document)
	a, b := startService(t, "stock", "s1", vm), startService(t, "stock", "s2", vm)
	a.SetFaults(standin.ServiceFaults{Delay: time.Hour})
	for range 4 {
		if status, _, body := call(t, "POST", vm.base+"/stock", testKey, "body"); status != 200 || body != "body" {
			t.Fatalf("status %d, body %q", status, body)
		}
	}
	if b.ExecutionCount() != 4 {
		t.Errorf("the fast replica ran %d calls, want 4", b.ExecutionCount())
	}
	await(t, "cancelled attempts", func() bool { return a.DisconnectedCount() == a.ExecutionCount() })
}

// Guards against forwarding a caller's key to a target. The test puts keys in
// every place where an HTTP client can put them.
func TestNoTargetSeesTheKey(t *testing.T) {
	other, err := apikeys.New()
	if err != nil || len(other) != apikeys.Length {
		t.Fatal(err, len(other))
	}
	document := testDocument()
	yards := document.Workspaces["yards"]
	yards.Keys = append(yards.Keys, config.Key{ID: "k2", SHA256: apikeys.HashKey(other).String()})
	document.Workspaces["yards"] = yards
	vm := startVM(t, "muc-a", document)
	service := startService(t, "stock", "s1", vm)
	for _, key := range []string{testKey, other} {
		for _, path := range []string{"/stock", "/open"} {
			sendEverywhere(t, vm.base+path, key)
		}
	}
	if len(service.RecordedRequests()) < 20 {
		t.Fatalf("only %d calls arrived", len(service.RecordedRequests()))
	}
	for _, seen := range service.RecordedRequests() {
		for _, key := range []string{testKey, other} {
			for _, form := range []string{key, strings.ToLower(key), base64.StdEncoding.EncodeToString([]byte(key)), base64.StdEncoding.EncodeToString([]byte("user:" + key))} {
				if strings.Contains(strings.ToLower(seen), strings.ToLower(form)) {
					t.Errorf("a target received a key: %.300s", seen)
				}
			}
		}
	}
}

// sendEverywhere sends requests that are authorized by testKey and contain key
// in one more place each.
func sendEverywhere(t *testing.T, base, key string) {
	t.Helper()
	basic := "Basic " + base64.StdEncoding.EncodeToString([]byte("user:"+key))
	headers := [][2]string{
		{"X-Api-Key", key}, {"Api-Key", key}, {"X-Custom", "prefix " + key + " suffix"}, {"Proxy-Authorization", "Bearer " + key},
		{"X-Authorization", basic}, {"Cookie", "a=1; session=" + key + "; b=2"}, {"Referer", "http://x/?key=" + key},
		{"User-Agent", "agent/" + key}, {"X-Escaped", url.QueryEscape("k=" + key)}, {key, "1"}, {"Idempotency-Key", key},
		{"Keep-Alive", key}, {"Connection", "X-Hop"}, {"X-Forwarded-Authorization", "Bearer " + key},
	}
	for _, h := range headers {
		call(t, "POST", base, testKey, "body", h[0], h[1], "X-Hop", key)
	}
	escaped := strings.ReplaceAll(key, "c", "%63")
	for _, suffix := range []string{"?key=" + key, "?a=1&" + key + "=1", "?key=" + escaped, "/" + key, "/" + escaped} {
		call(t, "GET", base+suffix, testKey, "")
	}
	for _, body := range []string{key, `{"api_key":"` + key + `"}`, strings.Repeat("x", 70_000-8) + key + "y", strings.Repeat("x", 1<<16-8) + key} {
		call(t, "POST", base, testKey, body)
	}
	sendTrailer(t, base, key)
}

func sendTrailer(t *testing.T, base, key string) {
	req, _ := http.NewRequestWithContext(t.Context(), "POST", base, io.MultiReader(strings.NewReader("body")))
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Trailer = http.Header{"X-Trailer": {key}}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Guards against orders that are executed again after a resend, a lost response
// or a lost connection, and against responses that misreport whether the order
// ran.
func TestOrdersRunAtMostOnce(t *testing.T) {
	vms := startVMs(t, testDocument(), "muc-a", "muc-b", "muc-a")
	service := startService(t, "orders", "o1", vms...)
	order := func(vm *testVM, key, body string) (int, string, string) {
		status, header, response := call(t, "POST", vm.base+"/orders/buy", testKey, body, "Idempotency-Key", key)
		return status, header.Get("Cuminwing-Run"), response
	}
	await(t, "control log is available", func() bool { status, _, _ := order(vms[0], "warm-up", "x"); return status == 200 })
	for i, vm := range vms {
		if status, _, response := order(vm, "k1", "two oak"); status != 200 || response != "two oak" || service.Executions("k1") != 1 {
			t.Errorf("resend %d: status %d, response %q after %d executions", i, status, response, service.Executions("k1"))
		}
	}
	if status, run, _ := order(vms[1], "k1", "three oak"); status != 422 || run != "not-run" {
		t.Errorf("other body: status %d, %s", status, run)
	}
	service.SetFaults(standin.ServiceFaults{DropResponse: true})
	if status, run, _ := order(vms[0], "k2", "x"); status != 502 || run != "unknown" {
		t.Errorf("lost response: status %d, %s", status, run)
	}
	service.SetFaults(standin.ServiceFaults{})
	if status, run, _ := order(vms[1], "k2", "x"); status != 409 || run != "unknown" || service.Executions("k2") != 1 {
		t.Errorf("resend after a lost response: status %d, %s after %d executions", status, run, service.Executions("k2"))
	}
	service.Close()
	if status, run, _ := order(vms[0], "k3", "x"); status != 502 && status != 503 || run != "not-run" {
		t.Errorf("refused dial: status %d, %s", status, run)
	}
	again := startService(t, "orders", "o2", vms...)
	await(t, "claim is released", func() bool { status, _, _ := order(vms[2], "k3", "x"); return status == 200 })
	if again.Executions("k3") != 1 {
		t.Errorf("%d executions after the claim was released, want 1", again.Executions("k3"))
	}
}

// Guards against a call that keeps running after its caller has disconnected.
func TestCallerGoneCancelsService(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	service := startService(t, "stock", "s1", vm)
	service.SetFaults(standin.ServiceFaults{Delay: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for service.ExecutionCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _ = send(ctx, "POST", vm.base+"/stock", testKey, "body")
	await(t, "cancelled call", func() bool { return service.DisconnectedCount() == 1 })
}

// Guards against an at-most-once model request that is resumed, sent to a
// second engine, or executed again after a resend.
func TestModelRequestsAtMostOnce(t *testing.T) {
	document := testDocument()
	grade := document.Routes["grade"]
	grade.Run = config.RunAtMostOnce
	document.Routes["grade"] = grade
	vms := startVMs(t, document, "muc-a", "muc-b", "muc-a")
	engines := []*standin.Engine{startEngine(t, "e1", false, vms...), startEngine(t, "e2", true, vms...)}
	started := func() int { return engines[0].RequestCount() + engines[1].RequestCount() }
	grading := func(vm *testVM, key string, stream bool) result {
		resp, err := send(t.Context(), "POST", vm.base+"/v1/chat/completions", testKey, chatBody("dossier", 20, stream), "Idempotency-Key", key)
		if err != nil {
			t.Fatal(err)
		}
		return readResponse(resp, nil)
	}
	await(t, "control log is available", func() bool { return grading(vms[0], "warm-up", true).complete() })
	for _, stream := range []bool{true, false} {
		key := fmt.Sprint("stream ", stream)
		before := started()
		first, second := grading(vms[0], key, stream), grading(vms[1], key, stream)
		if first.status != 200 || second.status != 200 || first.text != second.text || first.body != second.body || started() != before+1 {
			t.Errorf("stream %t: %+v, then %+v after %d executions", stream, first, second, started()-before)
		}
	}
	for _, e := range engines {
		e.SetFaults(standin.EngineFaults{CloseAfterTokens: 5})
	}
	before := started()
	if got := grading(vms[0], "cut", true); got.done != 0 || got.failed != "target_failed" {
		t.Errorf("cut stream: %+v", got)
	}
	if got := grading(vms[2], "cut", true); got.status != 409 || got.header.Get("Cuminwing-Run") != "unknown" || started() != before+1 {
		t.Errorf("resend: %+v after %d executions", got, started()-before)
	}
}
