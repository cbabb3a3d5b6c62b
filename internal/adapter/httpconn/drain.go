package httpconn

import (
	"context"
	"time"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// quietAcceptTime is the time without a new connection after which a draining server
	// closes its listener. Closing it resets the connections that wait to be accepted, with
	// the requests that they have already carried.
	quietAcceptTime = 400 * time.Millisecond
	// drainPollInterval is the time between two checks of a server that drains.
	drainPollInterval = 20 * time.Millisecond
	// quietPolls is the number of checks in a row that must find no new connection. They
	// are counted, and not the time, because a process that is held up accepts none.
	quietPolls = int(quietAcceptTime / drainPollInterval)
)

// AwaitQuiet blocks until no connection has arrived for quietAcceptTime,
// and at least until notBefore. It returns at once when ctx is done.
func (t *Tracker) AwaitQuiet(ctx context.Context, notBefore time.Time) {
	known, quiet := t.accepted.Load(), 0
	for (quiet < quietPolls || time.Now().Before(notBefore)) && pause.For(ctx, drainPollInterval) {
		quiet++
		if accepted := t.accepted.Load(); accepted != known {
			known, quiet = accepted, 0
		}
	}
}
