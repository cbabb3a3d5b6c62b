package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// Guards against a stream that has begun and breaks off, and whose caller then finds the
// error response of the next engine in the middle of the stream, or a stream that ends as
// if it were complete.
func TestErrorOfTheNextEngineIsKeptOutOfAStream(t *testing.T) {
	const events = 2
	begun := eventText(1) + eventText(events)
	for _, c := range []struct {
		name string
		next script
	}{
		{"500", respond("500 Internal Server Error", "Signed: yes\r\n", "failed")},
		{"404", respond("404 Not Found", "Signed: yes\r\n", "no such model")},
		{"400 without a signature", respond("400 Bad Request", "", "bad")},
		{"302", respond("302 Found", "Signed: yes\r\nLocation: /y\r\n", "elsewhere")},
		{"204", respond("204 No Content", "Signed: yes\r\n", "")},
		{"refusal", respond("503 Service Unavailable", "Not-Run: yes\r\n", "full")},
		{"503 that may have run", respond("503 Service Unavailable", "Signed: yes\r\n", "full")},
		{"stream without a signature", respond("200 OK", "", eventText(3))},
		{"head that breaks off", func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-", r.Header.Get("Id"))
			return false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := newTarget(t, streamResponse(false, eventText(1), eventText(events)))
			next := newTarget(t, c.next)
			f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunStream, Resumable: true, MaxAttempts: 2}, broken, next)
			resp, body, err := f.call(t, "r1", "POST", "b")
			if resp == nil && err == nil {
				t.Fatal("no response")
			}
			if err == nil {
				t.Errorf("the stream %q looks complete", body)
			}
			if !strings.HasPrefix(begun, body) {
				t.Errorf("the caller got %q, want a part of %q", body, begun)
			}
			if n := len(next.requests()); n != 1 {
				t.Errorf("the next engine got %d requests, want 1", n)
			}
		})
	}
}

// Guards against a refusal that an engine writes once more on a kept connection: the
// request after it has run or is running, so its caller must not be told that it has not,
// and it must not run at a second engine.
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\n" + id + "Not-Run: yes\r\nContent-Length: 4\r\n\r\nfull"
	}
	for name, id := range map[string]string{"without an ID": "", "with the earlier ID": "Id: r1\r\n"} {
		t.Run(name, func(t *testing.T) {
			refuse := func(conn net.Conn, _ *http.Request) bool {
				fmt.Fprint(conn, refusal("Id: r1\r\n"))
				return true
			}
			repeat := func(conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, refusal(id))
				return respondOK("ran")(conn, r)
			}
			faulty := newTarget(t, refuse, repeat)
			// The first request finds no second target.
			f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, faulty)
			if resp, _, err := f.call(t, "r1", "POST", "b"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("refused request: %v, %v", resp, err)
			}
			resp, body, err := f.call(t, "r2", "POST", "b")
			if err != nil {
				t.Fatal(err)
			}
			if impliesNotRun(resp.StatusCode) || resp.StatusCode == http.StatusOK && body != "ran" {
				t.Errorf("status %d with body %q for a request that has run", resp.StatusCode, body)
			}
			if n := len(faulty.requests()); n != 2 {
				t.Errorf("the engine got %d requests, want 2", n)
			}
		})
	}
}

// Guards against a refusal that an engine writes once more before it runs the second
// attempt of the same request on the same connection: both copies have the ID of the
// request, so the request went out a third time and ran twice. The second attempt can go
// to the same address because the engine only expects other weights, or because another
// target has it now.
func TestRepeatedRefusalIsNoAnswerToTheNextAttempt(t *testing.T) {
	for _, c := range []struct {
		name, headers string
		addressReused bool
	}{
		{"other weights", "Other-Weights: yes\r\n", false},
		{"misdirected", "Misdirected: yes\r\nNot-Run: yes\r\n", true},
		{"refused", "Not-Run: yes\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			refuse := respond("421 Misdirected Request", c.headers, "")
			var refusedOn net.Conn
			first := func(conn net.Conn, r *http.Request) bool {
				refusedOn = conn
				return refuse(conn, r)
			}
			second := func(conn net.Conn, r *http.Request) bool {
				if conn == refusedOn {
					refuse(conn, r)
				}
				return respondOK("ran")(conn, r)
			}
			faulty := newTarget(t, first, second)
			next := newTarget(t, respondOK("ran"))
			if c.addressReused {
				next = faulty
			}
			f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, faulty, next)
			resp, body, err := f.call(t, "r1", "POST", "b")
			if err != nil || resp.StatusCode != http.StatusOK || body != "ran" {
				t.Errorf("response %v with body %q, %v", resp, body, err)
			}
			runs := len(faulty.requests()) - 1
			if !c.addressReused {
				runs += len(next.requests())
			}
			if runs != 1 {
				t.Errorf("the request ran %d times, want once", runs)
			}
		})
	}
}

// Guards against a repeated refusal that arrives while the connection is idle.
func TestRefusalOnAnIdleConnectionIsNoAnswerToTheNextRequest(t *testing.T) {
	repeatLater := func(conn net.Conn, r *http.Request) bool {
		ok := respondOK("first")(conn, r)
		time.AfterFunc(30*time.Millisecond, func() {
			fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n")
		})
		return ok
	}
	faulty := newTarget(t, repeatLater, respondOK("second"))
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, faulty)
	if _, body, err := f.call(t, "r1", "POST", "b"); err != nil || body != "first" {
		t.Fatalf("first request: %q, %v", body, err)
	}
	time.Sleep(80 * time.Millisecond)
	resp, body, err := f.call(t, "r2", "POST", "b")
	if err != nil || impliesNotRun(resp.StatusCode) || resp.StatusCode == http.StatusOK && body != "second" {
		t.Errorf("second request: %v with body %q, %v", resp, body, err)
	}
}

// Guards against an engine that stops in the middle of the head of its response, and whose
// caller gets status 200 with an empty or short body that looks complete.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n"
	for _, kind := range []gatewayconfig.RunKind{gatewayconfig.RunOnce, gatewayconfig.RunIdempotent, gatewayconfig.RunStream} {
		for length := 1; length < len(head); length++ {
			part := head[:length]
			breakOff := func(conn net.Conn, _ *http.Request) bool {
				fmt.Fprint(conn, part)
				return false
			}
			f := newFront(t, gatewayconfig.Route{Kind: kind}, newTarget(t, breakOff))
			if resp, body, err := f.call(t, "r1", "POST", "b"); err != nil || resp.StatusCode/100 == 2 || impliesNotRun(resp.StatusCode) {
				t.Fatalf("kind %v, head %q: response %v with body %q, %v", kind, part, resp, body, err)
			}
		}
	}
}
