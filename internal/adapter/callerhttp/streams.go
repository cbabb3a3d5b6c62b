package callerhttp

import (
	"net/http"
	"time"
)

const (
	// streamBytes is what a stream of HTTP/2 takes besides its head: its goroutine and buffers.
	streamBytes = 16 << 10
	// maxRefusedStreams limits the streams that get a response although no memory is free for
	// them. Others are reset.
	maxRefusedStreams = 64
	// endWriteTime limits how long a client may take to read the end of a response, less than a
	// buffer of the server.
	endWriteTime = 30 * time.Second
)

// chargeStreams returns a handler that charges each stream of HTTP/2 until its response has been
// written. A client can open streams and read no responses; the server then keeps each stream,
// although its handler has returned.
func (s *Server) chargeStreams(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 || s.Heads == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !s.Heads.Reserve(streamBytes, 0) {
			s.refuseStream(w, r)
			return
		}
		defer s.Heads.Release(streamBytes)
		next.ServeHTTP(w, r)
		endStream(w, r)
	})
}

// refuseStream refuses a request for which no memory is free, and resets its stream if many are
// being refused.
func (s *Server) refuseStream(w http.ResponseWriter, r *http.Request) {
	defer s.refusedStreams.Add(-1)
	if s.refusedStreams.Add(1) > maxRefusedStreams {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, errNoMemory)
	endStream(w, r)
}

// endStream releases the head of a request whose response is complete, and waits until the
// response is written.
func endStream(w http.ResponseWriter, r *http.Request) {
	// The server keeps the request until then.
	r.Header = nil
	control := http.NewResponseController(w)
	// Both fail only on a stream that has ended.
	_ = control.SetWriteDeadline(time.Now().Add(endWriteTime))
	_ = control.Flush()
}
