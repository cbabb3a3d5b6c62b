package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// Guards against a refusal that is lost, because the connection is reset while its caller
// still sends a long body.
func TestRefusalReachesACallerThatSendsALongBody(t *testing.T) {
	const (
		pieces    = 30
		pieceSize = 64 << 10
		pause     = 50 * time.Millisecond
	)
	for name, c := range map[string]struct {
		key    string
		change func(*front)
		status int
	}{
		"unknown key":       {"other", func(*front) {}, http.StatusUnauthorized},
		"no configuration":  {"key", func(f *front) { f.setState(State{}) }, http.StatusServiceUnavailable},
		"no memory is free": {"key", func(f *front) { f.handler.Memory = NewMemoryBudget(0) }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce, Timeout: 10 * time.Second}, newTarget(t, respondOK("ran")))
			c.change(f)
			conn := f.dialCaller(t)
			fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: %s\r\nLimit: 8000\r\nContent-Length: %d\r\n\r\n", c.key, pieces*pieceSize)
			for n := range pieces {
				if _, err := conn.Write(make([]byte, pieceSize)); err != nil {
					t.Fatalf("piece %d: %v", n, err)
				}
				time.Sleep(pause)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("response %v, error %v; want %d", resp, err, c.status)
			}
		})
	}
}

// Guards against the rest of a refused body that is taken for a request, because it arrives
// only after the server has stopped waiting for it.
func TestRestOfARefusedBodyIsNotTakenForARequest(t *testing.T) {
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, newTarget(t, respondOK("ran")))
	returned := make(chan struct{}, 2)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handler.ServeHTTP(w, r)
		returned <- struct{}{}
	}))
	t.Cleanup(f.server.Close)
	conn := f.dialCaller(t)
	rest := "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
	fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: other\r\nLimit: 100\r\nContent-Length: %d\r\n\r\nhead", len("head")+len(rest))
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Fatalf("response %v, error %v; want 401", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	<-returned
	// The connection may have ended.
	_, _ = io.WriteString(conn, rest)
	if resp, err := http.ReadResponse(reader, nil); err == nil {
		t.Errorf("the rest of the body got the response %d, want the end of the connection", resp.StatusCode)
	}
}
