package callerhttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
)

// Guards against a caller that stops reading and thereby blocks its stream, and
// the engine that feeds it, indefinitely.
func TestWriteToSlowCallerTimesOut(t *testing.T) {
	writeErr := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newEventSink(w, time.Hour, false)
		defer sink.close()
		sink.writeTimeout = 50 * time.Millisecond
		chunk := serving.Chunk{Data: make([]byte, 64<<10)}
		for {
			if err := sink.Chunk(chunk); err != nil {
				writeErr <- err
				return
			}
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: vm\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-writeErr:
	case <-time.After(20 * time.Second):
		t.Error("write to a caller that does not read did not time out within 20 s")
	}
}
