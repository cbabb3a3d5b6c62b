// Package requestbody ends the bodies of requests that a server answers before it has read
// them.
//
// Once a handler has enabled full duplex, net/http expects that it reads the body to its
// end. It reads what is left only after the handler has returned, then panics as soon as it
// waits for the next request, and if the rest cannot be read it takes what arrives later for
// a request.
package requestbody

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxDiscardTime and maxDiscardBytes limit how long a caller may take to send the rest
	// of a body that nobody needs, and how long it may be.
	maxDiscardTime  = 10 * time.Second
	maxDiscardBytes = 16 << 20
	// maxDiscardPause is how long no byte of it may arrive. It exceeds a round trip with a
	// retransmission.
	maxDiscardPause = time.Second
	// discardBufferBytes is how much of it is read at once.
	discardBufferBytes = 32 << 10
)

// Discard reads the rest of body, the body of the request that w answers, as long as the
// caller sends it, and otherwise has the connection closed after the response. Nothing else
// may read the body any more. The response should be flushed before.
func Discard(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	end := time.Now().Add(maxDiscardTime)
	buffer := make([]byte, discardBufferBytes)
	for discarded := 0; discarded < maxDiscardBytes; {
		limitPause(control, end)
		n, err := body.Read(buffer)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			break
		}
		discarded += n
	}
	CloseConnection(w)
}

// limitPause limits the present and the next read of a body by maxDiscardPause, and by end.
func limitPause(control *http.ResponseController, end time.Time) {
	deadline := time.Now().Add(maxDiscardPause)
	if deadline.After(end) {
		deadline = end
	}
	_ = control.SetReadDeadline(deadline)
}

// CloseConnection has the server close the connection once the response to the present
// request is sent, although its headers may be written.
func CloseConnection(w http.ResponseWriter) {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		w = wrapper.Unwrap()
	}
	// http.MaxBytesReader tells the server so when a body exceeds its limit.
	_, _ = http.MaxBytesReader(w, oneByteBody{}, 0).Read(make([]byte, 1))
}

// oneByteBody is a body that exceeds a limit of 0 bytes.
type oneByteBody struct{}

// Read implements io.Reader.
func (oneByteBody) Read(p []byte) (int, error) { return copy(p, "x"), io.EOF }

// Close implements io.Closer.
func (oneByteBody) Close() error { return nil }
