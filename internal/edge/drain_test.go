package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// drainGracePeriod leaves a second between the time at which a front without requests in
// flight would close its listener and the end of the requests.
const drainGracePeriod = 4 * time.Second

// startBusyStop stops a front while a request is in flight that ends with the grace period,
// and returns after the time for which the load balancer may still send callers. prepare
// opens connections before the signal.
func startBusyStop(t *testing.T, prepare func(f *stoppedFront)) *stoppedFront {
	t.Helper()
	f := startStoppedFront(t, drainGracePeriod, gatewayconfig.RunOnce, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/x" {
			answerNothing(conn, r)
		}
		answerAtOnce(conn, r)
	})
	f.open(t, time.Minute, "body")
	<-f.arrivals
	prepare(f)
	f.stop()
	time.Sleep(min(drainDelay, drainGracePeriod/2) + 200*time.Millisecond)
	return f
}

// expectLastAnswer reads a response that is the last one on its connection.
func expectLastAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("response %v, error %v; want 200 with Connection: close", response, err)
	}
}

// Guards against a request that the front reads completely while it stops and drops without
// an answer.
func TestRequestThatIsReadDuringAStopIsAnswered(t *testing.T) {
	t.Parallel()
	var conn net.Conn
	startBusyStop(t, func(f *stoppedFront) {
		conn = f.dial(t)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n", shortRoute)
	})
	fmt.Fprint(conn, "Id: id\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody")
	expectLastAnswer(t, conn)
}

// Guards against a kept connection that a stopping front closes while its caller may send
// the next request, although the front still serves others.
func TestKeptConnectionIsServedDuringAStop(t *testing.T) {
	t.Parallel()
	var conn net.Conn
	f := startBusyStop(t, func(f *stoppedFront) {
		conn = f.dial(t)
		send(t, conn, shortRoute, time.Second, "body")
		if _, _, err := readAnswer(conn); err != nil {
			t.Fatal(err)
		}
	})
	send(t, conn, shortRoute, time.Second, "body")
	expectLastAnswer(t, conn)
	if len(f.arrivals) != 2 {
		t.Errorf("%d requests of the kept connection reached the target, want 2", len(f.arrivals))
	}
}

// Guards against callers that find a closed listener although the front lives for seconds
// more: it can serve short requests, and refuse the others with a true answer.
func TestNewConnectionIsAnsweredAsLongAsRequestsAreInFlight(t *testing.T) {
	t.Parallel()
	f := startBusyStop(t, func(*stoppedFront) {})
	conn := f.dial(t)
	send(t, conn, shortRoute, time.Second, "body")
	expectLastAnswer(t, conn)
	status, retryAfter, err := readAnswer(f.open(t, time.Minute, "body"))
	if err != nil || status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("long request: status %d, Retry-After %q, error %v; want 503 with a time", status, retryAfter, err)
	}
}
