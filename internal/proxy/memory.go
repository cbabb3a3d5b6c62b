package proxy

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes limits a response that is buffered.
	maxResponseBytes = 32 << 20
	// maxDiscardedBytes limits the body of a response that no caller gets. It is
	// read only so that the connection can be reused.
	maxDiscardedBytes = 64 << 10
	// freeBytes is the size up to which a body needs no part of the memory budget, so that
	// ordinary requests are served while it is full. The cost of a connection covers it.
	freeBytes = 4 << 10
	// smallBytes is the size up to which a body may take the part of the budget that is kept
	// from large bodies, so that short requests are served while large ones fill it.
	smallBytes = 64 << 10
	// partBytes is what a part of a prompt takes: its entries in the request, in the request
	// to placement and in the choice of a target. A list of up to unaccountedParts needs no
	// part of the memory budget.
	partBytes        = 96
	unaccountedParts = 128
	// ordinaryHeaders is the number of header lines up to which a request is admitted also while
	// the memory budget is full.
	ordinaryHeaders = 64
	// bodyChunkBytes is the size of the parts in which a body is read.
	bodyChunkBytes = 32 << 10
)

var (
	errBodyOverLimit = errors.New("body exceeds its limit")
	// ErrMemoryInUse means that no memory is free for a body.
	ErrMemoryInUse = errors.New("the memory for bodies is in use")
)

// MemoryBudget limits the memory that connections, heads and buffered bodies take
// together. A nil budget has no limit.
type MemoryBudget struct {
	limit int64
	// bodyLimit limits the part that bodies take, so that requests can still be read while
	// bodies take all of it.
	bodyLimit int64
	used      atomic.Int64
	bodies    atomic.Int64
}

// NewMemoryBudget returns a budget of the given size, all of which bodies may take.
func NewMemoryBudget(limit int64) *MemoryBudget { return NewSharedMemoryBudget(limit, limit) }

// NewSharedMemoryBudget returns a budget of the given size. Bodies may take bodyLimit of it.
func NewSharedMemoryBudget(limit, bodyLimit int64) *MemoryBudget {
	return &MemoryBudget{limit: limit, bodyLimit: bodyLimit}
}

// Used returns the number of reserved bytes.
func (m *MemoryBudget) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// Reserve reserves n bytes, unless they exceed the budget.
func (m *MemoryBudget) Reserve(n int64) bool {
	if m == nil || m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Force reserves n bytes in any case.
func (m *MemoryBudget) Force(n int64) {
	if m != nil {
		m.used.Add(n)
	}
}

// Release releases bytes that Reserve or Force has reserved.
func (m *MemoryBudget) Release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// scarce reports whether more than half of the budget is reserved.
func (m *MemoryBudget) scarce() bool { return m != nil && m.used.Load() > m.limit/2 }

// full reports whether only the part of the budget is left that bodies cannot take.
func (m *MemoryBudget) full() bool { return m != nil && m.used.Load() > m.bodyLimit }

// reserveBody reserves n bytes for a large body.
func (m *MemoryBudget) reserveBody(n int64) bool {
	if m == nil {
		return true
	}
	if m.bodies.Add(n) <= m.bodyLimit && m.Reserve(n) {
		return true
	}
	m.bodies.Add(-n)
	return false
}

// reserveSmall reserves n bytes for a small body, in any case if force is set.
func (m *MemoryBudget) reserveSmall(n int64, force bool) bool {
	if m == nil {
		return true
	}
	if force {
		m.Force(n)
	} else if !m.Reserve(n) {
		return false
	}
	m.bodies.Add(n)
	return true
}

// releaseBody releases bytes that reserveBody or reserveSmall has reserved.
func (m *MemoryBudget) releaseBody(n int64) {
	if m != nil {
		m.bodies.Add(-n)
		m.Release(n)
	}
}

// readBody reads the body of a request to its end. reserved is the number of bytes that the
// caller must release once it has dropped the body; it is 0 after an error. A body longer
// than limit is an error, never a shortened body.
func (m *MemoryBudget) readBody(r io.Reader, limit int64) (body []byte, reserved int64, err error) {
	return m.read(r, limit, 0, false)
}

// readResponse reads the body of a response like readBody. A small one is always read, as
// its request has run. held is what the bodies of the same request have reserved.
func (m *MemoryBudget) readResponse(r io.Reader, limit, held int64) (body []byte, reserved int64, err error) {
	return m.read(r, limit, held, true)
}

func (m *MemoryBudget) read(r io.Reader, limit, held int64, response bool) (body []byte, reserved int64, err error) {
	var chunks [][]byte
	defer func() {
		for _, chunk := range chunks {
			bodyChunks.Put((*[bodyChunkBytes]byte)(chunk[:bodyChunkBytes]))
		}
	}()
	fail := func(err error) ([]byte, int64, error) {
		m.releaseBody(reserved)
		return nil, 0, err
	}
	body = make([]byte, 0, freeBytes)
	last := &body
	for length := int64(0); ; {
		if len(*last) == cap(*last) {
			if !m.reserveChunk(reserved, response) {
				return fail(ErrMemoryInUse)
			}
			reserved += bodyChunkBytes
			chunks = append(chunks, bodyChunks.Get().(*[bodyChunkBytes]byte)[:0])
			last = &chunks[len(chunks)-1]
		}
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		length += int64(n)
		switch {
		case length > limit:
			return fail(errBodyOverLimit)
		case err == io.EOF:
			if len(chunks) == 0 {
				return body, reserved, nil
			}
			whole, ok := m.join(body, chunks, length, reserved, held, response)
			if !ok {
				return fail(ErrMemoryInUse)
			}
			// The chunks are no longer used.
			m.releaseBody(reserved)
			return whole, length, nil
		case err != nil:
			return fail(err)
		}
	}
}

// bodyChunks are parts of bodies that are being read. Bodies that grow by copies would leave
// several times their size to the garbage collector, which a crowd of bodies without end
// allocates faster than it is freed.
var bodyChunks = sync.Pool{New: func() any { return new([bodyChunkBytes]byte) }}

// reserveChunk reserves a chunk for a body that has reserved bytes.
func (m *MemoryBudget) reserveChunk(reserved int64, response bool) bool {
	if reserved+bodyChunkBytes <= smallBytes {
		return m.reserveSmall(bodyChunkBytes, response)
	}
	return m.reserveBody(bodyChunkBytes)
}

// join returns a body whose chunks have reserved bytes, as one slice of length bytes. It
// reserves them before it allocates. held is what the bodies of the same request have reserved
// besides.
func (m *MemoryBudget) join(start []byte, chunks [][]byte, length, reserved, held int64, response bool) (body []byte, ok bool) {
	switch {
	case m == nil:
	case length <= smallBytes:
		ok = m.reserveSmall(length, response)
	case m.bodies.Load() <= held+reserved:
		// The only request is not refused because of the copy of its body or response.
		ok = m.reserveSmall(length, true)
	default:
		ok = m.reserveBody(length)
	}
	if m != nil && !ok {
		return nil, false
	}
	body = append(make([]byte, 0, length), start...)
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	return body, true
}

// ReadBody reads a body that is no request to a target, like readBody.
func (m *MemoryBudget) ReadBody(r io.Reader, limit int64) (body []byte, release func(), err error) {
	body, reserved, err := m.readBody(r, limit)
	return body, func() { m.releaseBody(reserved) }, err
}
