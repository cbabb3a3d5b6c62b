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
	for name, c := range map[string]struct{ head, block string }{
		"headers":         {"HTTP/1.1 200 OK\r\n", "X-Filler: more\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n\"", "more"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "more"},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: more\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			closed := make(chan bool, 1)
			block := []byte(strings.Repeat(c.block, 32<<10/len(c.block)))
			address, stop, err := loopback.Serve(func(conn net.Conn) {
				defer conn.Close()
				fmt.Fprint(conn, c.head)
				var err error
				for sent := 0; sent < 4*maxPeerResponseBytes && err == nil; sent += len(block) {
					_, err = conn.Write(block)
				}
				closed <- err != nil
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			client := peerClient(discardMeter(), trafficCore)
			transport := client.Transport.(bodyLimiter).Transport
			transport.DialContext = loopback.CountReads(transport.DialContext, &read)
			var response string
			err = postJSON(ctx, client, "http://"+address+joinPath, joinRequest{}, &response)
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want the limit to be exceeded", err)
			}
			if n := read.Load(); n > maxPeerResponseBytes+maxPeerHeaderBytes {
				t.Errorf("%d bytes were read", n)
			}
			if !<-closed {
				t.Error("the connection was not closed")
			}
		})
	}
}

var _ http.RoundTripper = bodyLimiter{}
