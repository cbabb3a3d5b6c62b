package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/loopback"
)

// Guards against a response that is cut off because its caller reads nothing for some
// seconds, while its connection still acknowledges what arrives.
func TestCallerThatPausesGetsItsResponse(t *testing.T) {
	t.Parallel()
	const size = 16 << 20
	f := startStoppedFront(t, 8*time.Second, gatewayconfig.RunOnce, func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = conn.Write(make([]byte, size))
	})
	conn := f.open(t, time.Minute, "body")
	<-f.arrivals
	time.Sleep(ackTimeout * 5 / 3)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || n != size {
		t.Errorf("read %d bytes of %d, error %v", n, size, err)
	}
}

// Guards against a response that lasts for ever, with its memory, because its caller keeps
// its connection and reads nothing.
func TestCallerThatReadsNothingIsCutAtItsDeadline(t *testing.T) {
	const (
		size  = 16 << 20
		limit = 3 * time.Second
		// late allows for the time from the deadline to the close of the connection.
		late = 2 * time.Second
	)
	for name, kind := range map[string]gatewayconfig.RunKind{"once": gatewayconfig.RunOnce, "stream": gatewayconfig.RunStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startStoppedFront(t, 8*time.Second, kind, func(conn net.Conn, _ *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: %d\r\n\r\n", size)
				event := make([]byte, 16<<10)
				copy(event[len(event)-2:], "\n\n")
				for range size / len(event) {
					if _, err := conn.Write(event); err != nil {
						return
					}
				}
			})
			conn := f.open(t, limit, "body")
			<-f.arrivals
			time.Sleep(limit + late)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Errorf("read %d bytes of %d after the deadline, want a part and an error", n, size)
			}
		})
	}
}

// Guards against engines that work on for callers that are cut off: while a request runs,
// and in the middle of its response.
func TestCallerThatIsCutOffEndsItsRequest(t *testing.T) {
	// idleLimit is the time in which keep-alive probes detect the cut.
	idleLimit := callerKeepAlive.Idle + time.Duration(callerKeepAlive.Count)*callerKeepAlive.Interval
	for name, c := range map[string]struct {
		responds bool
		limit    time.Duration
	}{
		"without data":         {false, idleLimit + time.Second},
		"while it gets events": {true, ackTimeout + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan time.Time, 1)
			f := startStoppedFront(t, 8*time.Second, gatewayconfig.RunStream, func(conn net.Conn, _ *http.Request) {
				if c.responds {
					go sendEvents(conn)
				}
				_, _ = conn.Read(make([]byte, 1))
				ended <- time.Now()
			})
			conn := f.open(t, time.Minute, "body")
			<-f.arrivals
			if err := loopback.CutOff(conn.(syscall.Conn)); err != nil {
				t.Fatal(err)
			}
			cut := time.Now()
			select {
			case at := <-ended:
				t.Logf("ended after %v", at.Sub(cut))
			case <-time.After(c.limit):
				t.Errorf("the request still runs %v after the cut", c.limit)
			}
		})
	}
}

// sendEvents sends a stream until its connection ends.
func sendEvents(conn net.Conn) {
	_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: id\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; err == nil; time.Sleep(100 * time.Millisecond) {
		const event = "data: t\n\n"
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
}

// Guards against responses that fail because the time to write the response before them, on
// the same connection, has passed.
func TestRequestAfterTheDeadlineOfTheLastOneIsAnswered(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"refused by the handler": {"GET /x HTTP/1.1\r\nHost: a.example\r\nId: id\r\nKey: other\r\n\r\n", http.StatusUnauthorized},
		"refused by the server":  {"GET\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startStoppedFront(t, 8*time.Second, gatewayconfig.RunOnce, answerAtOnce)
			conn := f.open(t, limit, "body")
			if status, _, err := readAnswer(conn); status != http.StatusOK || err != nil {
				t.Fatalf("status %d, error %v", status, err)
			}
			time.Sleep(2 * limit)
			if _, err := fmt.Fprint(conn, c.request); err != nil {
				t.Fatal(err)
			}
			if status, _, err := readAnswer(conn); status != c.status || err != nil {
				t.Errorf("status %d, error %v; want %d", status, err, c.status)
			}
		})
	}
}
