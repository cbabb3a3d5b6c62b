package daemon

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/standin"
)

// headBytes is the size of the start of a body after which it is streamed to a service.
const headBytes = 64 << 10

// callerConn is the connection of a caller that decides when which bytes are sent.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, vm *testVM) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", vm.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	return &callerConn{conn, bufio.NewReader(conn)}
}

// post sends the headers of a request to a service with a body of the given length, and the
// part of the body that follows at once.
func (c *callerConn) post(t *testing.T, length int, part string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /stock HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, length, part)
	if err != nil {
		t.Fatal(err)
	}
}

// response returns the status and the body of the next response.
func (c *callerConn) response() (int, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// logBuffer collects what the HTTP servers of the process log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func collectServerLog(t *testing.T) *logBuffer {
	b := &logBuffer{}
	log.SetOutput(b)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return b
}

// Guards against a connection that ends with the next request on it, because the refusal of
// the request before it left a part of its body unread.
func TestConnectionIsKeptAfterARefusalBeforeTheEndOfABody(t *testing.T) {
	logged := collectServerLog(t)
	vm := startVM(t, "muc-a", testDocument())
	startService(t, "stock", "s1", vm)
	conn := dialCaller(t, vm)
	body := testKey + strings.Repeat("x", headBytes)
	conn.post(t, len(body), body)
	if status, _, err := conn.response(); status != http.StatusBadRequest || err != nil {
		t.Fatalf("status %d, error %v; want 400", status, err)
	}
	conn.post(t, 4, "body")
	if status, got, err := conn.response(); status != http.StatusOK || got != "body" || err != nil {
		t.Errorf("the next request got status %d, body %q, error %v; want 200", status, got, err)
	}
	if strings.Contains(logged.String(), "panic") {
		t.Errorf("the server logged %s", logged)
	}
}

// Guards against a panic of the server, and a connection that ends with the next request on
// it, after a service has responded before the end of a body that arrives later.
func TestBodyThatArrivesAfterItsResponse(t *testing.T) {
	logged := collectServerLog(t)
	vm := startVM(t, "muc-a", testDocument())
	service := startService(t, "stock", "s1", vm)
	service.SetFaults(standin.ServiceFaults{RespondEarly: true})
	conn := dialCaller(t, vm)
	rest := strings.Repeat("y", 1000)
	conn.post(t, headBytes+len(rest), strings.Repeat("x", headBytes))
	if status, got, err := conn.response(); status != http.StatusOK || got != "early" || err != nil {
		t.Fatalf("status %d, body %q, error %v; want 200 and the body of the service", status, got, err)
	}
	service.SetFaults(standin.ServiceFaults{})
	_, err := io.WriteString(conn, rest)
	if err == nil {
		conn.post(t, 4, "body")
	}
	status, got, err := conn.response()
	if (status != http.StatusOK || got != "body") && err == nil {
		t.Errorf("the next request got status %d, body %q; want 200 or the end of the connection", status, got)
	}
	if strings.Contains(logged.String(), "panic") {
		t.Errorf("the server logged %s", logged)
	}
}

// Guards against a truncated response whose connection stays open until its caller sends the
// rest of the body.
func TestConnectionEndsAfterATruncatedResponse(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	service := startService(t, "stock", "s1", vm)
	service.SetFaults(standin.ServiceFaults{RespondEarly: true, CloseAfterBytes: 2})
	conn := dialCaller(t, vm)
	conn.post(t, headBytes+100, strings.Repeat("x", headBytes))
	status, got, err := conn.response()
	var timeout net.Error
	if status != http.StatusOK || got != "ea" || err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("status %d, body %q, error %v; want a response that is cut off before the caller sends more", status, got, err)
	}
}

// Guards against a connection that waits without a limit for the rest of a refused body, and
// takes what arrives later for a request.
func TestConnectionEndsIfTheRestOfARefusedBodyDoesNotArrive(t *testing.T) {
	vm := startVM(t, "muc-a", testDocument())
	startService(t, "stock", "s1", vm)
	conn := dialCaller(t, vm)
	conn.post(t, headBytes+100, testKey+strings.Repeat("x", headBytes-len(testKey)))
	if status, _, err := conn.response(); status != http.StatusBadRequest || err != nil {
		t.Fatalf("status %d, error %v; want 400", status, err)
	}
	if _, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
}
