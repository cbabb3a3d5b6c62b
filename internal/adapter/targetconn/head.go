package targetconn

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes limits the status line and headers of a response. Without a limit,
// a target that sends headers without end would fill the memory of the VM.
const maxHeadBytes = 64 << 10

const (
	// headLineCost is what a header line of a response costs besides its bytes, and
	// freeHeadCost the cost up to which a head needs no part of the memory budget. It covers
	// a head of 100 lines.
	headLineCost = 256
	freeHeadCost = 32 << 10
)

// Memory is the memory budget of the process.
type Memory interface {
	// Reserve reserves n bytes, unless they exceed the budget.
	Reserve(n int64) bool
	// Release releases reserved bytes.
	Release(n int64)
}

// ErrNoMemory means that the memory budget has no room for the head of a response.
var ErrNoMemory = errors.New("no memory is free for the head of the response")

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
	// memory is the budget for heads; nil if they are not limited together. cost is that of
	// the present head, and reserved the part of it that the budget holds.
	memory   Memory
	cost     int64
	reserved int64
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
	if !l.charge(b[:n]) {
		return 0, ErrNoMemory
	}
	return n, err
}

// charge reserves what the part of a head costs that was read.
func (l *headLimiter) charge(read []byte) bool {
	if l.memory == nil {
		return true
	}
	for _, end := range []string{"\n\r\n", "\n\n"} {
		// The body may have many lines, which cost nothing.
		if i := bytes.Index(read, []byte(end)); i >= 0 {
			read = read[:i]
		}
	}
	l.cost += int64(len(read)) + headLineCost*int64(bytes.Count(read, []byte{'\n'}))
	need := l.cost - freeHeadCost - l.reserved
	if need <= 0 {
		return true
	}
	if !l.memory.Reserve(need) {
		return false
	}
	l.reserved += need
	return true
}

// release releases the memory of the head that was read last.
func (l *headLimiter) release() {
	if l.reserved > 0 {
		l.memory.Release(l.reserved)
	}
	l.cost, l.reserved = 0, 0
}

var _ io.Reader = (*headLimiter)(nil)

// ReadHead reads the head of the next response, which may be an interim one. method
// is that of the request. The body of the response is read from the connection.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	c.limiter.release()
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	resp, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil && c.limiter.remaining <= 0 {
		return nil, ErrHeadTooLarge
	}
	return resp, err
}

// ReleaseHead releases the memory of the head that was read last, once nothing uses it.
func (c *Conn) ReleaseHead() { c.limiter.release() }
