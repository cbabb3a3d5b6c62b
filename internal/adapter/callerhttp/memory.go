package callerhttp

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/serving"
)

const (
	// bodyCost is what a byte of a body is charged: the body, the one for the engine, the text
	// of the prompt, and their copies while they are decoded.
	bodyCost = 3
	// freeBodyBytes is the size up to which a body needs no memory of the budget, so that short
	// requests are served while it is full.
	freeBodyBytes = 4 << 10
	// freeResponseBytes is that size for a response that is assembled, whose request has run.
	freeResponseBytes = 64 << 10
	// bodyChargeBytes is how much of a body is charged at once.
	bodyChargeBytes = 32 << 10
	// headerLineCost is what a header line takes besides its bytes, as for HTTP/1.1 without
	// TLS, where the connection is charged.
	headerLineCost = 256
	// unreadBodyTime limits the wait for the body of a request whose handler does not read it.
	// Until then its connection holds the head.
	unreadBodyTime = 5 * time.Second
)

// Memory is a share of the memory of the process.
type Memory interface {
	// Reserve reserves n bytes if they are free. held is what the same request has of the
	// share; a request that is its only user always gets them.
	Reserve(n, held int64) bool
	// Release releases reserved bytes.
	Release(n int64)
}

var errMemoryInUse = errors.New("the memory for bodies is in use")

var (
	errNoMemory = &serving.Refusal{
		Status: http.StatusServiceUnavailable, Code: "no_memory", Message: "no memory is free for the request",
		Run: serving.NotRun, RetryAfter: busyRetryAfter,
	}
	// errNoMemoryForResponse ends a request that has run.
	errNoMemoryForResponse = &serving.Refusal{
		Status: http.StatusBadGateway, Code: "answer_no_memory", Message: "no memory is free to assemble the answer; ask for a stream", Run: serving.Ran,
	}
)

// reserveHead charges the head of a request, unless its connection is charged for it. The
// release function must be called once the request has ended.
func (s *Server) reserveHead(r *http.Request) (release func(), ok bool) {
	if s.Heads == nil || r.ProtoMajor < 2 && r.TLS == nil {
		return func() {}, true
	}
	cost := int64(headerBytes(r))
	for _, values := range r.Header {
		cost += headerLineCost * int64(len(values))
	}
	if !s.Heads.Reserve(cost, 0) {
		return nil, false
	}
	return func() { s.Heads.Release(cost) }, true
}

// newChargedBody returns a body that nothing has been read of. Its release method must be
// called once the request has ended.
func (s *Server) newChargedBody() *chargedBody {
	return &chargedBody{memory: s.Bodies, free: freeBodyBytes}
}

// chargedBody charges a body as it is read.
type chargedBody struct {
	body   io.Reader
	memory Memory
	// free is the size up to which no memory is charged.
	free     int64
	read     int64
	reserved int64
	// request is the body of the request if this is the body of its response.
	request *chargedBody
}

// newResponse returns a response, of which nothing has been received, to the request with the
// body b. Its release method must be called once the response has been sent.
func (b *chargedBody) newResponse() *chargedBody {
	return &chargedBody{memory: b.memory, free: freeResponseBytes, request: b}
}

// from returns the body with the source that it is read from.
func (b *chargedBody) from(body io.Reader) io.Reader {
	b.body = body
	return b
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if !b.charge(n) {
		return 0, errMemoryInUse
	}
	return n, err
}

// charge charges n more bytes.
func (b *chargedBody) charge(n int) bool {
	if b == nil {
		return true
	}
	b.read += int64(n)
	if b.memory == nil || b.read <= b.free || bodyCost*b.read <= b.reserved {
		return true
	}
	need := bodyCost*(b.read+min(b.read, bodyChargeBytes)) - b.reserved
	held := b.reserved
	if b.request != nil {
		held += b.request.reserved
	}
	if !b.memory.Reserve(need, held) {
		return false
	}
	b.reserved += need
	return true
}

// restart charges a body that is read once more.
func (b *chargedBody) restart() {
	if b != nil {
		b.release()
		b.read = 0
	}
}

// release releases what was charged.
func (b *chargedBody) release() {
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.reserved = 0
	}
}

// limitUnreadBody limits the wait of the server for a body that no handler reads.
func limitUnreadBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}
