package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// Guards against a withdrawn key that still runs requests, because they began before it was
// withdrawn and their bodies arrived after it, or after the state was no longer confirmed.
func TestKeyIsCheckedAgainOnceTheBodyHasArrived(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *State)
		status int
	}{
		"withdrawn": {func(s *State) {
			document := *s.Table.Document
			document.Version, document.Workspaces = 2, nil
			s.Table = gatewayconfig.Compile(&document)
		}, http.StatusUnauthorized},
		"not confirmed": {func(s *State) { s.Confirmed = -2 * time.Second }, http.StatusServiceUnavailable},
		"unchanged":     {func(*State) {}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, respondOK("ran"))
			f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, target)
			conn := f.dialCaller(t)
			writeHead(t, conn, time.Second)
			time.Sleep(100 * time.Millisecond)
			state := f.getState()
			c.change(&state)
			f.setState(state)
			fmt.Fprint(conn, "body")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("response %v, error %v; want %d", resp, err, c.status)
			}
			if ran := len(target.requests()) > 0; ran != (c.status == http.StatusOK) {
				t.Errorf("the request ran: %v", ran)
			}
		})
	}
}

// Guards against a withdrawn key that still runs requests at further targets, because they
// were admitted before.
func TestWithdrawnKeyBeginsNoFurtherAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		first  script
		status int
	}{
		"refused by the first target": {respond("503 Service Unavailable", "Not-Run: yes\r\n", "full"), http.StatusUnauthorized},
		"broken off":                  {func(net.Conn, *http.Request) bool { return false }, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var f *front
			first := newTarget(t, func(conn net.Conn, r *http.Request) bool {
				state := f.getState()
				document := *state.Table.Document
				document.Version, document.Workspaces = 2, nil
				state.Table = gatewayconfig.Compile(&document)
				f.setState(state)
				return c.first(conn, r)
			})
			next := newTarget(t, respondOK("ran"))
			f = newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunIdempotent, MaxAttempts: 2}, first, next)
			resp, _, err := f.call(t, "r1", http.MethodGet, "")
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("response %v, error %v; want %d", resp, err, c.status)
			}
			if n := len(next.requests()); n != 0 {
				t.Errorf("the next target got %d requests, want none", n)
			}
		})
	}
}
