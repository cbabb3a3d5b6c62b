package proxy

import (
	"bufio"
	"fmt"
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
