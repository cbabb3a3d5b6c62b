package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// lateConn is a connection to a target whose first Close takes effect late, as that of a
// goroutine that is held up.
type lateConn struct {
	*net.TCPConn
	delay time.Duration
	once  sync.Once
	// closing is closed when the first Close begins.
	closing chan struct{}
}

func (c *lateConn) Close() error {
	c.once.Do(func() {
		close(c.closing)
		time.Sleep(c.delay)
	})
	return c.TCPConn.Close()
}

// leavingWriter is the response to a caller that leaves as soon as it has the body.
type leavingWriter struct {
	http.ResponseWriter
	leave func()
}

func (w *leavingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.leave()
	return n, err
}

// Guards against a connection to a target that is closed under the next request, because
// the caller of the request before it left with the last byte of the response.
func TestConnectionThatIsBeingClosedCarriesNoFurtherRequest(t *testing.T) {
	const closeDelay = 100 * time.Millisecond
	target := newTarget(t, respondOK("first"), func(conn net.Conn, r *http.Request) bool {
		time.Sleep(3 * closeDelay)
		return respondOK("second")(conn, r)
	})
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, target)
	dial := f.handler.Pool.DialContext
	closing := make(chan struct{})
	dials := 0
	f.handler.Pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if dials++; err != nil || dials > 1 {
			return conn, err
		}
		return &lateConn{TCPConn: conn.(*net.TCPConn), delay: closeDelay, closing: closing}, nil
	}
	ctx, leave := context.WithCancel(context.Background())
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/x", http.NoBody)
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	w := &leavingWriter{httptest.NewRecorder(), func() {
		leave()
		<-closing
	}}
	f.handler.ServeHTTP(w, r)
	resp, body, err := f.call(t, "r2", http.MethodGet, "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "second" {
		t.Errorf("the next request gets response %v with body %q, error %v; want 200", resp, body, err)
	}
}
