package proxy

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes limits a response that is buffered.
	maxResponseBytes = 32 << 20
	// maxDiscardedBytes limits the body of a response that no caller gets. It is
	// read only so that the connection can be reused.
	maxDiscardedBytes = 64 << 10
	// unaccountedBytes is the size up to which a body needs no part of the memory
	// budget, so that short requests are served while large ones fill it.
	unaccountedBytes = 64 << 10
	// bodyChunkBytes is how much is read at once, and how much a buffer grows at
	// least.
	bodyChunkBytes = 32 << 10
)

var (
	errBodyOverLimit = errors.New("body exceeds its limit")
	errMemoryInUse   = errors.New("the memory for bodies is in use")
)

// MemoryBudget limits the memory that all buffered bodies take together. A nil
// budget has no limit.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryBudget returns a budget of the given size.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Used returns the number of reserved bytes.
func (m *MemoryBudget) Used() int64 { return m.used.Load() }

func (m *MemoryBudget) reserve(n int64) bool {
	if m == nil {
		return true
	}
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *MemoryBudget) release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// readBody reads a body to its end. reserved is the number of bytes that the caller
// must release once it has dropped the body; it is 0 after an error. A body longer
// than limit is an error, never a shortened body.
func (m *MemoryBudget) readBody(r io.Reader, limit int64) (body []byte, reserved int64, err error) {
	fail := func(err error) ([]byte, int64, error) {
		m.release(reserved)
		return nil, 0, err
	}
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, bodyChunkBytes)
			if need := int64(cap(body)) - unaccountedBytes - reserved; need > 0 {
				if !m.reserve(need) {
					return fail(errMemoryInUse)
				}
				reserved += need
			}
		}
		n, err := r.Read(body[len(body):min(cap(body), len(body)+bodyChunkBytes)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return fail(errBodyOverLimit)
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return fail(err)
		}
	}
}
