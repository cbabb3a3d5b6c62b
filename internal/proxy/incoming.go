package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/requestbody"
)

const (
	// defaultMaxHeaderBytes applies if the configuration document sets no limit.
	defaultMaxHeaderBytes = 64 << 10
	// maxDiscardTime and maxDiscardedRequestBytes limit what is read of the body of a
	// refused request.
	maxDiscardTime           = 10 * time.Second
	maxDiscardedRequestBytes = 16 << 20
)

func (c *call) maxHeaderBytes() int {
	if limit := c.state.Table.Document.Limits.MaxHeaderBytes; limit > 0 {
		return limit
	}
	return defaultMaxHeaderBytes
}

// headerBytes returns the smallest number of bytes that the request line and the headers can
// have taken: spaces around values and carriage returns may be left out.
func (c *call) headerBytes() int {
	const (
		lineBytes   = len("  HTTP/1.1\n")
		hostBytes   = len("Host:\n")
		headerBytes = len(":\n")
	)
	n := len(c.r.Method) + len(c.r.RequestURI) + lineBytes + len(c.r.Host) + hostBytes
	for name, values := range c.r.Header {
		for _, value := range values {
			n += len(name) + len(value) + headerBytes
		}
	}
	return n
}

// bodyPending reports whether the caller is expected to send more of the body. A caller
// that waits for an interim response sends nothing once it has a final one.
func (c *call) bodyPending() bool {
	return c.r.ContentLength != 0 && c.r.Body != nil && !c.bodyEnded && c.r.Header.Get("Expect") == ""
}

// limitBodyRead ends the reads of the body once ctx is done, until end is called. end reports
// false if that has happened, and returns after it, as a later deadline would end the
// connection while it waits for the next request.
func (c *call) limitBodyRead(ctx context.Context) (end func() bool) {
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(limited)
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now())
	})
	return func() bool {
		if stop() {
			return true
		}
		<-limited
		return false
	}
}

// discardBody reads what the caller of a refused request still sends. The server would
// reset the connection after half a second, and a caller that sends its whole body before
// it reads would not get the refusal.
func (c *call) discardBody() {
	if !c.bodyPending() {
		return
	}
	if c.Memory.scarce() {
		// The request keeps the memory of its head while its body is read.
		requestbody.CloseConnection(c.w)
		return
	}
	taken := func() bool { return false }
	if c.OfferPlace != nil {
		taken = c.OfferPlace(c.r.Context())
	}
	limit := c.request.Timeout
	if limit <= 0 {
		limit = maxDiscardTime
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.started.Add(min(limit, maxDiscardTime)))
	defer cancel()
	defer c.limitBodyRead(ctx)()
	if _, err := io.CopyN(io.Discard, c.r.Body, maxDiscardedRequestBytes); !errors.Is(err, io.EOF) {
		if taken() {
			// The server would keep the connection for half a second.
			panic(http.ErrAbortHandler)
		}
		// Otherwise the server takes the rest of the body for a request.
		requestbody.CloseConnection(c.w)
	}
}

// endUnread returns the refusal of a request whose body has not arrived before its deadline
// or the end of this VM.
func (c *call) endUnread() *refusal {
	if c.Shutdown.Ended().Err() != nil {
		return &errStopping
	}
	return &errBodyTimeout
}
