package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/loopback"
)

// Guards against a VM in trouble whose response never ends: the process that reads
// it would run out of memory.
func TestEndlessResponseOfAPeerIsCut(t *testing.T) {
	for name, head := range map[string]string{
		"headers":         "HTTP/1.1 200 OK\r\n",
		"body":            "HTTP/1.1 200 OK\r\n\r\n\"",
		"chunk extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
		"trailers":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			block := []byte(strings.Repeat("X-Filler: more\r\n", 2000))
			address, stop, err := loopback.Serve(func(conn net.Conn) {
				defer conn.Close()
				fmt.Fprint(conn, head)
				for sent.Load() < 4*maxPeerResponseBytes {
					n, err := conn.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var response string
			err = postJSON(ctx, peerClient(), "http://"+address+joinPath, joinRequest{}, &response)
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want the limit to be exceeded", err)
			}
			if n := sent.Load(); n > maxPeerResponseBytes+(16<<20) {
				t.Errorf("%d bytes were sent before the connection was closed", n)
			}
		})
	}
}

var _ http.RoundTripper = bodyLimiter{}
