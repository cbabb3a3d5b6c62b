package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// documentWithLimits is documentWithKey with limits for callers.
func documentWithLimits(t *testing.T, version uint64, limits gatewayconfig.Limits) []byte {
	t.Helper()
	var document gatewayconfig.Document
	if err := json.Unmarshal(documentWithKey(version, "k"), &document); err != nil {
		t.Fatal(err)
	}
	document.Limits = limits
	raw, err := json.Marshal(&document)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// startLimitedFront starts a front under a document with limits and returns its address
// and a function that changes them.
func startLimitedFront(t *testing.T, limits gatewayconfig.Limits) (address string, change func(gatewayconfig.Limits)) {
	t.Helper()
	d := newDeployment(t, 1)
	ctx := context.Background()
	put := func(version uint64, limits gatewayconfig.Limits) {
		raw := documentWithLimits(t, version, limits)
		eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, raw) })
	}
	put(1, limits)
	target := fleet.Target{ID: "t", Service: "s", Address: startEchoTarget(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	address, _ = d.startFront()
	eventually(t, "first response", expectStatus(address, "k", http.StatusOK))
	return address, func(limits gatewayconfig.Limits) {
		put(2, limits)
		time.Sleep(time.Second)
	}
}

// exchangeOn sends a request with a header of the given size on a connection and returns
// the status of the response.
func exchangeOn(conn net.Conn, headerBytes int) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: a.example\r\nId: id\r\nKey: k\r\nFiller: %s\r\n\r\n", strings.Repeat("a", headerBytes))
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func dialFront(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against requests that are refused, or accepted, by the limit of headers under
// which the front was started.
func TestLimitOfHeadersFollowsTheDocument(t *testing.T) {
	address, change := startLimitedFront(t, gatewayconfig.Limits{MaxHeaderBytes: 8 << 10})
	const size = 40 << 10
	if status, err := exchangeOn(dialFront(t, address), size); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("above the first limit: status %d, error %v; want 431", status, err)
	}
	change(gatewayconfig.Limits{MaxHeaderBytes: 64 << 10})
	if status, err := exchangeOn(dialFront(t, address), size); status != http.StatusOK {
		t.Errorf("below the second limit: status %d, error %v; want 200", status, err)
	}
	if status, err := exchangeOn(dialFront(t, address), size*2); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("above the second limit: status %d, error %v; want 431", status, err)
	}
}

// Guards against connections that are closed while callers may use them again, because
// the front keeps to the idle timeout under which it was started.
func TestIdleTimeoutFollowsTheDocument(t *testing.T) {
	const short, long = 500 * time.Millisecond, 5 * time.Second
	address, change := startLimitedFront(t, gatewayconfig.Limits{IdleTimeout: short})
	conn := dialFront(t, address)
	if status, err := exchangeOn(conn, 0); status != http.StatusOK {
		t.Fatalf("first request: status %d, error %v", status, err)
	}
	change(gatewayconfig.Limits{IdleTimeout: long})
	if status, err := exchangeOn(conn, 0); status != http.StatusOK {
		t.Fatalf("second request: status %d, error %v", status, err)
	}
	time.Sleep(long * 4 / 5)
	if status, err := exchangeOn(conn, 0); status != http.StatusOK {
		t.Errorf("request after four fifths of the idle timeout: status %d, error %v", status, err)
	}
}

// Guards against an idle connection that is closed by the limit under which it became idle,
// while its caller keeps to the higher limit of the document that is in force.
func TestRaisedIdleTimeoutCoversConnectionsThatAreIdle(t *testing.T) {
	const short, long = 500 * time.Millisecond, 6 * time.Second
	address, change := startLimitedFront(t, gatewayconfig.Limits{IdleTimeout: short})
	conn := dialFront(t, address)
	if status, err := exchangeOn(conn, 0); status != http.StatusOK {
		t.Fatalf("first request: status %d, error %v", status, err)
	}
	idleSince := time.Now()
	change(gatewayconfig.Limits{IdleTimeout: long})
	time.Sleep(time.Until(idleSince.Add(long * 4 / 5)))
	if status, err := exchangeOn(conn, 0); status != http.StatusOK {
		t.Errorf("request after four fifths of the raised limit: status %d, error %v", status, err)
	}
}

// Guards against headers that trickle and keep their connection, and against a body that
// is cut off by the time limit of the headers.
func TestTimeLimitOfHeadersCoversOnlyTheHeaders(t *testing.T) {
	const limit = 500 * time.Millisecond
	address, change := startLimitedFront(t, gatewayconfig.Limits{HeaderTimeout: 5 * time.Second})
	kept := dialFront(t, address)
	if status, err := exchangeOn(kept, 0); status != http.StatusOK {
		t.Fatalf("first request: status %d, error %v", status, err)
	}
	change(gatewayconfig.Limits{HeaderTimeout: limit})
	for name, connect := range map[string]func() net.Conn{
		"new connection": func() net.Conn { return dialFront(t, address) }, "kept connection": func() net.Conn { return kept },
	} {
		started := time.Now()
		conn := connect()
		_ = conn.SetDeadline(started.Add(4 * limit))
		fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: a.")
		n, err := conn.Read(make([]byte, 1))
		if took := time.Since(started); n != 0 || took < limit/2 || took > 3*limit {
			t.Errorf("%s: read %d bytes, error %v after %v; want the close after %v", name, n, err, took, limit)
		}
	}
	conn := dialFront(t, address)
	fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nId: id\r\nKey: k\r\nContent-Length: 4\r\n\r\nbo")
	time.Sleep(2 * limit)
	fmt.Fprint(conn, "dy")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("slow body: response %v, error %v", response, err)
	}
}
