package requestbody

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errEnded = errors.New("the request has ended")

// Streamed is a request body that another goroutine, that of a transport, may still read
// when the handler has its response. The handler must call End or Abort before it returns.
// Nil stands for a body that is not streamed.
type Streamed struct {
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	limited io.Reader

	// mu is held during a read.
	mu         sync.Mutex
	ended      atomic.Bool
	reachedEnd atomic.Bool
}

// Stream returns the body of r, limited to maxBytes. Its caller may get the response before
// it has sent the whole body.
func Stream(w http.ResponseWriter, r *http.Request, maxBytes int64) *Streamed {
	control := http.NewResponseController(w)
	// HTTP/2 is always full duplex.
	_ = control.EnableFullDuplex()
	return &Streamed{w: w, r: r, control: control, limited: http.MaxBytesReader(w, r.Body, maxBytes)}
}

// Read implements io.Reader.
func (s *Streamed) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended.Load() {
		return 0, errEnded
	}
	n, err := s.limited.Read(p)
	if errors.Is(err, io.EOF) {
		s.reachedEnd.Store(true)
	}
	return n, err
}

// End ends the reads after a complete response and discards the rest of the body.
func (s *Streamed) End() {
	if s == nil || s.r.ProtoMajor > 1 || s.reachedEnd.Load() {
		return
	}
	// An error means that the caller has disconnected.
	_ = s.control.Flush()
	s.ended.Store(true)
	limitPause(s.control, time.Now().Add(maxDiscardPause))
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachedEnd.Load() {
		Discard(s.w, s.r.Body)
	}
}

// Abort ends the reads before a handler aborts its connection, which the server would
// otherwise keep until the rest of the body has arrived.
func (s *Streamed) Abort() {
	if s == nil || s.r.ProtoMajor > 1 || s.reachedEnd.Load() {
		return
	}
	s.ended.Store(true)
	_ = s.control.SetReadDeadline(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
}
