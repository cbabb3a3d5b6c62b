package httpconn

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against places that refused requests hold as long as their clients send bodies that
// nobody needs, and against a connection whose place is taken although it carries on.
func TestOfferedPlacesAreTaken(t *testing.T) {
	tracker := newTestTracker(Limits{Header: time.Minute, HeadBytes: 1 << 10}, nil)
	tracker.Count = func(string) {}
	tracker.Budget, _ = newTestBudget(1<<20, 2)
	address := serveTracked(t, tracker, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// Otherwise the server reads the body before it sends the response.
		_ = control.EnableFullDuplex()
		w.WriteHeader(http.StatusUnauthorized)
		_ = control.Flush()
		if r.ContentLength != 0 {
			taken := OfferPlace(r.Context())
			if _, err := io.Copy(io.Discard, r.Body); err != nil && taken() {
				panic(http.ErrAbortHandler)
			}
		}
	}))
	for i := range 20 {
		client := dialTracked(t, address)
		_, _ = client.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || response.StatusCode != http.StatusUnauthorized {
			t.Fatalf("connection %d: %v, %v; want the refusal", i, response, err)
		}
	}
	for tracker.Budget.Connections() > 3 {
		time.Sleep(time.Millisecond)
	}
}
