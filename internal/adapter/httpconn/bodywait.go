package httpconn

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// LimitBodyWaits returns a handler that limits each wait for the next bytes of the body of a
// request, also that of the server for a body which next does not read. Without a limit, the
// connection holds its head as long as its client likes. The limit ends with the body, so next
// may take longer, and so may a body that keeps arriving. No limit is set any more once the
// context of the request is done: whoever ends the requests sets the deadline of their reads.
func LimitBodyWaits(limit time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server reads a connection without a body to see its end, which has no limit.
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &limitedBody{ReadCloser: r.Body, control: http.NewResponseController(w), limit: limit, done: r.Context().Done()}
		// The server needs its own body in the request that it has passed.
		limited := r.WithContext(r.Context())
		limited.Body = body
		// Only HTTP/1 waits for a body that the handler does not read. With HTTP/2, a deadline
		// that passes before the first read would end the body.
		if r.ProtoMajor == 1 {
			body.setDeadline(time.Now().Add(limit))
		}
		next.ServeHTTP(w, limited)
		if r.ProtoMajor == 1 && !body.ended.Load() {
			body.awaitBytes()
		}
	})
}

// limitedBody is a request body whose reads have a time limit.
type limitedBody struct {
	io.ReadCloser
	control *http.ResponseController
	limit   time.Duration
	done    <-chan struct{}
	// ended is set once nothing more of the body is read, at its end or after an error.
	ended atomic.Bool
}

// setDeadline sets the deadline of reads.
func (b *limitedBody) setDeadline(deadline time.Time) {
	// It fails only on a closed connection.
	_ = b.control.SetReadDeadline(deadline)
}

// awaitBytes limits the reads that follow.
func (b *limitedBody) awaitBytes() {
	if b.isDone() {
		return
	}
	b.setDeadline(time.Now().Add(b.limit))
	if b.isDone() {
		// The deadline that ends the request may have been replaced.
		b.setDeadline(time.Now())
	}
}

func (b *limitedBody) isDone() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.ended.Load() {
		return b.ReadCloser.Read(p)
	}
	b.awaitBytes()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	if errors.Is(err, io.EOF) {
		// From now on the server reads the connection to see its end.
		b.setDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer. It may read the rest of the body.
func (b *limitedBody) Close() error {
	if b.ended.Load() {
		return b.ReadCloser.Close()
	}
	b.awaitBytes()
	err := b.ReadCloser.Close()
	b.ended.Store(true)
	b.setDeadline(time.Time{})
	return err
}
