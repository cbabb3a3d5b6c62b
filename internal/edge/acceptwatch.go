package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// quietAcceptTime is the time without a new connection after which a stopping
	// front closes its listener. Closing it resets the connections that wait to be
	// accepted, with the requests that they have already carried.
	quietAcceptTime = 400 * time.Millisecond
	// quietPollInterval is the time between two checks for new connections.
	quietPollInterval = 20 * time.Millisecond
	// quietPolls is the number of checks in a row that must find no new connection. They
	// are counted, and not the time, because a process that is held up accepts none.
	quietPolls = int(quietAcceptTime / quietPollInterval)
)

// acceptWatch is a listener for callers that counts the connections that it accepts.
type acceptWatch struct {
	net.Listener
	conns    *callerConns
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (w *acceptWatch) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.accepted.Add(1)
	if tcp, ok := conn.(*net.TCPConn); ok {
		return w.conns.accept(tcp), nil
	}
	return conn, nil
}

// awaitQuiet blocks until no connection has arrived for quietAcceptTime, and at least until
// notBefore. It returns at once when ctx is done.
func (w *acceptWatch) awaitQuiet(ctx context.Context, notBefore time.Time) {
	known, quiet := w.accepted.Load(), 0
	for (quiet < quietPolls || time.Now().Before(notBefore)) && pause.For(ctx, quietPollInterval) {
		quiet++
		if accepted := w.accepted.Load(); accepted != known {
			known, quiet = accepted, 0
		}
	}
}
