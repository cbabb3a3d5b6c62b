package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// silent returns a script that says nothing, and reports when the connection has closed.
func silent(closed chan<- time.Time) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	}
}

// Guards against a request that waits at a silent target until its caller leaves, although
// another target could serve it in time, and against two targets at once.
func TestSilentTargetIsReplacedWhileThereIsTime(t *testing.T) {
	for name, route := range map[string]gatewayconfig.Route{
		"stream":     impatientStream,
		"idempotent": {Kind: gatewayconfig.RunIdempotent, MaxAttempts: 2, Objective: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			var sent time.Time
			answer := respondOK("fine")
			if route.Kind == gatewayconfig.RunStream {
				answer = streamResponse(true, eventText(1))
			}
			second := newTarget(t, func(conn net.Conn, r *http.Request) bool {
				sent = time.Now()
				return answer(conn, r)
			})
			f := newBusyFront(t, route, time.Millisecond, true, newTarget(t, silent(closed)), second)
			r := &recorder{Placer: f.handler.Placer}
			f.handler.Placer = r
			resp, _, err := f.call(t, "r1", "POST", "b")
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v; want 200", resp, err)
			}
			if at := <-closed; at.Sub(sent) > route.Objective {
				t.Errorf("the silent target kept the request for %v after the other one got it", at.Sub(sent))
			}
			if got, want := fmt.Sprint(r.results), fmt.Sprint([]placement.Result{placement.Silent, placement.Completed}); got != want {
				t.Errorf("results %s, want %s", got, want)
			}
		})
	}
}

// Guards against a second run of a request that may run once only, and against an attempt that
// is given up although no other target can serve the request in time.
func TestSilentTargetKeepsWhatCannotBeServedElsewhere(t *testing.T) {
	slow := func(conn net.Conn, r *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return respondOK("fine")(conn, r)
	}
	idempotent := gatewayconfig.Route{Kind: gatewayconfig.RunIdempotent, MaxAttempts: 2, Objective: 300 * time.Millisecond}
	once, lastAttempt := idempotent, idempotent
	once.Kind, lastAttempt.MaxAttempts = gatewayconfig.RunOnce, 1
	for name, c := range map[string]struct {
		route    gatewayconfig.Route
		expected time.Duration
		budget   *Budget
	}{
		"runs once":           {once, time.Millisecond, nil},
		"last attempt":        {lastAttempt, time.Millisecond, nil},
		"no retry left":       {idempotent, time.Millisecond, &Budget{Window: 10 * time.Second}},
		"others are too late": {idempotent, 1400 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			second := newTarget(t, respondOK("fine"))
			f := newBusyFront(t, c.route, c.expected, true, newTarget(t, slow), second)
			if c.budget != nil {
				f.handler.Budget = c.budget
			}
			resp, _, err := f.call(t, "r1", "POST", "b")
			if err != nil || resp.StatusCode != http.StatusOK || len(second.requests()) != 0 {
				t.Errorf("response %v, error %v, %d requests elsewhere; want 200 of the first target", resp, err, len(second.requests()))
			}
		})
	}
}

// Guards against an answer of a front that says "not run" about a request that a silent target
// may have run.
func TestRequestOfASilentTargetIsNotRefusedAsNotRun(t *testing.T) {
	closed := make(chan time.Time, 2)
	route := gatewayconfig.Route{Kind: gatewayconfig.RunIdempotent, MaxAttempts: 2, Objective: 150 * time.Millisecond}
	f := newBusyFront(t, route, time.Millisecond, true, newTarget(t, silent(closed)), newTarget(t, respond("503 Service Unavailable", "Not-Run: 1\r\n", "")))
	resp, _, err := f.call(t, "r1", "POST", "b")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v; want 502", resp, err)
	}
}
