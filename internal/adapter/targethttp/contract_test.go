package targethttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

const event = "id: r;1;0;1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

// startTarget serves handler over HTTP/1.1 or HTTP/2.
func startTarget(t *testing.T, http2 bool, handler http.HandlerFunc) *target.Target {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(!http2)
	server.Config.Protocols.SetUnencryptedHTTP2(http2)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &target.Target{Announcement: target.Announcement{ID: "t", Incarnation: 1, URL: server.URL, Capabilities: target.Capabilities{HTTP2: http2}}}
}

func testCall(timeout time.Duration) *serving.Call {
	return &serving.Call{ID: "r", Path: "/v1/completions", Body: []byte("{}"), Route: config.Route{FirstTokenTimeoutMS: int(timeout.Milliseconds())}}
}

// stall sends no response until the client cancels the request.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func respond(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against failures of a target that are mistaken for a response or for
// another kind of failure, or are detected only after the timeout. This is the
// contract of serving.EngineClient.
func TestEngineClientContract(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		chunks  int
		check   func(error) bool
	}{
		{"complete response", respond(event, "data: [DONE]\n\n"), 2, func(err error) bool { return err == nil }},
		{"silent", stall, 0, func(err error) bool { return errors.Is(err, serving.ErrStalled) }},
		{"status 503", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "7"); w.WriteHeader(503) }, 0,
			func(err error) bool {
				var status *serving.StatusError
				return errors.As(err, &status) && status.RetryAfter == 7*time.Second
			}},
		{"stall between events", func(w http.ResponseWriter, r *http.Request) { respond(event)(w, r); stall(w, r) }, 1,
			func(err error) bool { return errors.Is(err, serving.ErrStalled) }},
		{"end without [DONE]", respond(event), 1, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"aborted connection", func(w http.ResponseWriter, r *http.Request) { respond(event)(w, r); panic(http.ErrAbortHandler) }, 1,
			func(err error) bool { return err != nil && !errors.Is(err, serving.ErrStalled) }},
		{"malformed id", respond("id: r;1;x;1\ndata: {}\n\n"), 0, func(err error) bool { return err != nil }},
		{"malformed data", respond("id: r;1;0;1\ndata: {\n\n"), 0, func(err error) bool { return err != nil }},
		{"error event", respond("id: r;1;0;0\ndata: {\"error\":{}}\n\n"), 0, func(err error) bool { return errors.Is(err, errErrorEvent) }},
		{"line too long", respond("data: " + strings.Repeat("x", maxEventLineBytes+1)), 0, func(err error) bool { return errors.Is(err, errEventTooLong) }},
	} {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/http2=%t", c.name, http2), func(t *testing.T) {
				t.Parallel()
				dest := startTarget(t, http2, c.handler)
				// The timeout is short only in cases that must reach it.
				timeout := 20 * time.Second
				if c.name == "silent" || strings.HasPrefix(c.name, "stall") {
					timeout = 300 * time.Millisecond
				}
				chunks, err := countChunks(NewEngineClient(nil), dest, timeout)
				if chunks != c.chunks || !c.check(err) {
					t.Errorf("got %d chunks and error %v", chunks, err)
				}
			})
		}
	}
}

func countChunks(e *EngineClient, dest *target.Target, timeout time.Duration) (int, error) {
	s, err := e.Open(context.Background(), dest, serving.EngineRequest{Call: testCall(timeout)})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		chunk, err := s.Next(timeout)
		if err != nil {
			return n, err
		}
		if chunk.Done {
			return n + 1, nil
		}
	}
}

// Guards against DialError being returned after bytes of the request were sent,
// which would report the request as not run, and against a refused connection
// that is not reported as a DialError.
func TestRefusedDial(t *testing.T) {
	// Nothing listens on the address.
	address, err := loopback.AllocateAddress()
	if err != nil {
		t.Fatal(err)
	}
	for _, http2 := range []bool{false, true} {
		dest := &target.Target{Announcement: target.Announcement{URL: "http://" + address, Capabilities: target.Capabilities{HTTP2: http2}}}
		var dial *serving.DialError
		if _, err := countChunks(NewEngineClient(nil), dest, time.Second); !errors.As(err, &dial) {
			t.Errorf("refused connection to engine, http2=%t: got %v, want a DialError", http2, err)
		}
		req := serving.ServiceRequest{Method: "POST", URI: "/", Header: http.Header{}, Body: func() io.Reader { return strings.NewReader("x") }, ContentLength: 1}
		if _, err := NewServiceClient(nil).Do(t.Context(), dest, testCall(time.Second), req); !errors.As(err, &dial) {
			t.Errorf("refused connection to service, http2=%t: got %v, want a DialError", http2, err)
		}
	}
}

// Guards against calls that the HTTP library retries on its own. This is part
// of the contract of serving.ServiceClient.
func TestServicesSendOnce(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		var calls atomic.Int32
		dest := startTarget(t, http2, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		services := NewServiceClient(nil)
		for _, method := range []string{"GET", "POST", "PUT"} {
			calls.Store(0)
			header := http.Header{"Idempotency-Key": {"k"}}
			req := serving.ServiceRequest{Method: method, URI: "/", Header: header, Body: func() io.Reader { return strings.NewReader("") }}
			if _, err := services.Do(t.Context(), dest, testCall(20*time.Second), req); err == nil || calls.Load() != 1 {
				t.Errorf("%s, http2=%t: target received %d calls, want 1 and an error; error %v", method, http2, calls.Load(), err)
			}
		}
	}
}

// Guards against hop-by-hop header fields that are forwarded to the next
// connection.
func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"X-One, x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "X-Keep": {"3"}}
	RemoveHopByHop(header)
	if len(header) != 1 || header.Get("X-Keep") != "3" {
		t.Errorf("got header %v, want only X-Keep", header)
	}
}
