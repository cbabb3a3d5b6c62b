package targethttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
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

func testCall(limit time.Duration) *serving.Call {
	return &serving.Call{ID: "r", Path: "/v1/completions", Body: []byte("{}"), Route: config.Route{FirstTokenTimeoutMS: int(limit.Milliseconds())}}
}

// stall answers nothing until the caller gives up.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func write(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against faults of a target that are taken for an answer, for another
// fault, or wait longer than the limit. It is the contract of serving.Engines.
func TestEnginesContract(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		chunks  int
		check   func(error) bool
	}{
		{"whole answer", write(event, "data: [DONE]\n\n"), 2, func(err error) bool { return err == nil }},
		{"silent", stall, 0, func(err error) bool { return errors.Is(err, serving.ErrStalled) }},
		{"status 503", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "7"); w.WriteHeader(503) }, 0,
			func(err error) bool {
				var status *serving.StatusError
				return errors.As(err, &status) && status.RetryAfter == 7*time.Second
			}},
		{"stall between events", func(w http.ResponseWriter, r *http.Request) { write(event)(w, r); stall(w, r) }, 1,
			func(err error) bool { return errors.Is(err, serving.ErrStalled) }},
		{"end without marker", write(event), 1, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"cut connection", func(w http.ResponseWriter, r *http.Request) { write(event)(w, r); panic(http.ErrAbortHandler) }, 1,
			func(err error) bool { return err != nil && !errors.Is(err, serving.ErrStalled) }},
		{"malformed id", write("id: r;1;x;1\ndata: {}\n\n"), 0, func(err error) bool { return err != nil }},
		{"malformed data", write("id: r;1;0;1\ndata: {\n\n"), 0, func(err error) bool { return err != nil }},
		{"error event", write("id: r;1;0;0\ndata: {\"error\":{}}\n\n"), 0, func(err error) bool { return errors.Is(err, errInStream) }},
		{"endless line", write("data: " + strings.Repeat("x", maxEventLineBytes+1)), 0, func(err error) bool { return errors.Is(err, errLongEvent) }},
	} {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/http2=%t", c.name, http2), func(t *testing.T) {
				t.Parallel()
				to := startTarget(t, http2, c.handler)
				// The limit is short only where it has to be reached.
				limit := 20 * time.Second
				if c.name == "silent" || strings.HasPrefix(c.name, "stall") {
					limit = 300 * time.Millisecond
				}
				chunks, err := readAll(NewEngines(nil), to, limit)
				if chunks != c.chunks || !c.check(err) {
					t.Errorf("%d chunks, error %v", chunks, err)
				}
			})
		}
	}
}

func readAll(e *Engines, to *target.Target, limit time.Duration) (int, error) {
	s, err := e.Open(context.Background(), to, serving.EngineRequest{Call: testCall(limit)})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		chunk, err := s.Next(limit)
		if err != nil {
			return n, err
		}
		if chunk.Done {
			return n + 1, nil
		}
	}
}

// Guards against refusals that call a request not-run although its bytes left,
// and the other way round.
func TestRefusedDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	for _, http2 := range []bool{false, true} {
		to := &target.Target{Announcement: target.Announcement{URL: "http://" + l.Addr().String(), Capabilities: target.Capabilities{HTTP2: http2}}}
		var dial *serving.DialError
		if _, err := readAll(NewEngines(nil), to, time.Second); !errors.As(err, &dial) {
			t.Errorf("engine, http2=%t: %v", http2, err)
		}
		req := serving.ServiceRequest{Method: "POST", URI: "/", Header: http.Header{}, Body: func() io.Reader { return strings.NewReader("x") }, ContentLength: 1}
		if _, err := NewServices(nil).Do(t.Context(), to, testCall(time.Second), req); !errors.As(err, &dial) {
			t.Errorf("service, http2=%t: %v", http2, err)
		}
	}
}

// Guards against calls that the HTTP library sends a second time by itself. It
// is part of the contract of serving.Services.
func TestServicesSendOnce(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		var calls atomic.Int32
		to := startTarget(t, http2, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		services := NewServices(nil)
		for _, method := range []string{"GET", "POST", "PUT"} {
			calls.Store(0)
			header := http.Header{"Idempotency-Key": {"k"}}
			req := serving.ServiceRequest{Method: method, URI: "/", Header: header, Body: func() io.Reader { return strings.NewReader("") }}
			if _, err := services.Do(t.Context(), to, testCall(20*time.Second), req); err == nil || calls.Load() != 1 {
				t.Errorf("%s, http2=%t: %d calls, error %v", method, http2, calls.Load(), err)
			}
		}
	}
}

// Guards against fields of one connection that travel on to the next.
func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"X-One, x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "X-Keep": {"3"}}
	RemoveHopByHop(header)
	if len(header) != 1 || header.Get("X-Keep") != "3" {
		t.Errorf("left: %v", header)
	}
}
