package httpconn

import (
	"net/http"
	"time"
)

// unreadBodyTime limits the time for a body that is short or that nobody reads.
const unreadBodyTime = 5 * time.Second

// LimitUnreadBodies returns a handler that limits the time in which the body of a request may
// arrive. Without a limit, the server waits for a body that the handler has not read, and the
// connection holds its head as long as its client likes. It is for handlers that need no more
// than a short body, and respond at once. The place of a connection with such a body is offered
// to new ones.
func LimitUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server reads a connection without a body to see its end, which has no limit.
		if r.ContentLength != 0 {
			// It fails only on a closed connection.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
		}
		next.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			OfferPlace(r.Context())
		}
	})
}
