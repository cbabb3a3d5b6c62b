package targetconn

import (
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes limits the status line and headers of a response. Without a limit,
// a target that sends headers without end would fill the memory of the VM.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that the head of a response exceeds the limit.
var ErrHeadTooLarge = errors.Newf("the head of the response exceeds %d bytes", maxHeadBytes)

// headLimiter passes on the bytes of a connection, and limits them while the head
// of a response is read. It is not safe for concurrent use.
type headLimiter struct {
	conn net.Conn
	// limited is set while a head is read; remaining is then the number of bytes
	// that may still be read.
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(b)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.conn.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

var _ io.Reader = (*headLimiter)(nil)

// ReadHead reads the head of the next response, which may be an interim one. method
// is that of the request. The body of the response is read from the connection.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	resp, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil && c.limiter.remaining <= 0 {
		return nil, ErrHeadTooLarge
	}
	return resp, err
}
