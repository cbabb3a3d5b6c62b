package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// pair returns a tracked connection and its client's end.
func pair(t *testing.T, tracker *Tracker) (*conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := tracker.Listen(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*conn)
	t.Cleanup(func() { _ = c.TCPConn.Close() })
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	return c, client
}

func newTestTracker(limits Limits, crossed *atomic.Int64) *Tracker {
	return &Tracker{Limits: func() Limits { return limits }, Logger: zap.NewNop(), Count: func(name string) {
		if name == "requests_crossed_close_by_stop" {
			crossed.Add(1)
		}
	}}
}

// Guards against a request that has arrived in time and is dropped, because its connection
// is ended before the process has read it.
func TestRequestThatHasArrivedIsReadAlthoughItsConnectionEnds(t *testing.T) {
	var crossed atomic.Int64
	for name, end := range map[string]func(*conn){
		"stop":  (*conn).stop,
		"limit": func(c *conn) { c.mu.Lock(); c.endWait(closedByLimit); c.mu.Unlock() },
	} {
		c, client := pair(t, newTestTracker(Limits{Header: time.Minute}, &crossed))
		const request = "GET / HTTP/1.1\r\n"
		if _, err := client.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(firstRequestTime)
		end(c)
		if !c.ending {
			t.Errorf("%s: the connection does not end", name)
		}
		buffer := make([]byte, len(request))
		if n, err := c.Read(buffer); err != nil || n != len(request) || c.ending {
			t.Errorf("%s: read %d bytes, error %v, ending %v; want the request", name, n, err, c.ending)
		}
	}
}

// Guards against a connection that stays open after its end, and against requests that
// cross the close and leave no trace.
func TestIdleConnectionEndsAndCountsARequestThatCrossesTheClose(t *testing.T) {
	var crossed atomic.Int64
	tracker := newTestTracker(Limits{Header: time.Minute}, &crossed)
	c, client := pair(t, tracker)
	time.Sleep(firstRequestTime)
	c.stop()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, error %v; want the end", n, err)
	}
	_ = c.Close()
	if n, err := client.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the client reads %d bytes, error %v; want the end", n, err)
	}
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * lingerTime); len(tracker.connections()) > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	if left := len(tracker.connections()); left > 0 || crossed.Load() != 1 {
		t.Errorf("%d connections are open and %d requests crossed the close, want 0 and 1", left, crossed.Load())
	}
}

// Guards against a log that blames the client for a connection that the server closed, or
// that leaves out a request which got an interim response only.
func TestCloseOfAConnectionIsRecordedTruly(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(c *conn)
		want    []string
	}{
		"new": {func(*conn) {}, []string{"connections_closed_by_server"}},
		"interim response": {func(c *conn) {
			c.setState(http.StateActive)
			_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}, []string{"connections_closed_by_server", "requests_unanswered_by_server"}},
		"answer": {func(c *conn) {
			c.setState(http.StateActive)
			_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
		}, []string{"connections_closed_by_server"}},
	} {
		var counted []string
		tracker := &Tracker{
			Limits: func() Limits { return Limits{Header: time.Minute} }, Logger: zap.NewNop(),
			Count: func(name string) { counted = append(counted, name) },
		}
		conn, _ := pair(t, tracker)
		c.prepare(conn)
		_ = conn.Close()
		if !slices.Equal(counted, c.want) {
			t.Errorf("%s: counted %q, want %q", name, counted, c.want)
		}
	}
}

// Guards against a response that is reset, because the client has already sent its next
// request, and the response ends the connection.
func TestLastResponseReachesAClientThatHasSentMore(t *testing.T) {
	const (
		request  = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
		bodySize = 1 << 20
	)
	var crossed atomic.Int64
	begun, proceed := make(chan struct{}), make(chan struct{})
	tracker := newTestTracker(Limits{Header: time.Minute}, &crossed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-proceed
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, bodySize))
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = client.Write([]byte(request))
	<-begun
	_, _ = client.Write([]byte(request))
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	time.Sleep(2 * lingerTime)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != bodySize {
		t.Errorf("read %d bytes of the body, error %v; want %d", n, err, bodySize)
	}
}

// Guards against a response without a length that looks complete although it was cut: a
// handler that has taken over the connection resets it.
func TestHijackedConnectionIsResetAtOnce(t *testing.T) {
	var crossed atomic.Int64
	c, client := pair(t, newTestTracker(Limits{Header: time.Minute}, &crossed))
	c.setState(http.StateActive)
	c.setState(http.StateHijacked)
	_, _ = client.Write([]byte("GET"))
	time.Sleep(50 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client reads error %v, want %v", err, syscall.ECONNRESET)
	}
}

// Guards against a connection that a client has just opened, and that the end of the server
// closes before the first request on it arrives.
func TestNewConnectionIsKeptForItsFirstRequest(t *testing.T) {
	var crossed atomic.Int64
	c, client := pair(t, newTestTracker(Limits{Header: time.Minute}, &crossed))
	c.stop()
	if c.ending {
		t.Error("the connection ends at once")
	}
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 3)); n != 3 || err != nil {
		t.Errorf("read %d bytes, error %v; want the request", n, err)
	}
}

// serveTracked serves a handler on connections that the tracker keeps, and returns the address.
func serveTracked(t *testing.T, tracker *Tracker, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: tracker.ConnState, ConnContext: tracker.ConnContext, Handler: handler}
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// dialTracked connects to such a server.
func dialTracked(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	return client
}

// Guards against new connections that are reset because refused ones, whose clients may still
// read the refusal, hold all places.
func TestLingeringConnectionsGiveUpTheirPlaces(t *testing.T) {
	tracker := newTestTracker(Limits{Header: time.Minute, HeadBytes: 1 << 10}, nil)
	tracker.Count = func(string) {}
	tracker.Budget, _ = newTestBudget(1<<20, 4)
	address := serveTracked(t, tracker, http.NotFoundHandler())
	for i := range 40 {
		client := dialTracked(t, address)
		// The server reads a part of it.
		_, _ = client.Write(slices.Repeat([]byte("a"), 64<<10))
		if response, err := io.ReadAll(client); err != nil || string(response) != tooLargeResponse {
			t.Fatalf("connection %d: %q, %v; want the refusal", i, response, err)
		}
	}
}
