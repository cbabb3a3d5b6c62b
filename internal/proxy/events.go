package proxy

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event of a stream, which is buffered.
const maxEventBytes = 1 << 20

// event is one event of a server-sent event stream, including the blank line
// that ends it.
type event struct {
	data []byte
	// id is the value of the id field; -1 if the event has none.
	id int64
}

// eventReader splits a stream into events.
type eventReader struct {
	src *bufio.Reader
	buf []byte
}

// errEventTooLarge means that an event exceeds maxEventBytes. The stream cannot be
// continued after it.
var errEventTooLarge = errors.Newf("an event of the stream exceeds %d bytes", maxEventBytes)

// next returns the next complete event. At the end of the stream it returns the
// bytes after the last complete event, if any, with the error.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	for {
		line, err := r.src.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > maxEventBytes {
			return event{id: -1}, errEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event{data: r.buf, id: -1}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(r.buf) > len(line) {
			return event{data: r.buf, id: eventID(r.buf)}, nil
		}
	}
}

// eventID returns the number in the last id field of an event; -1 if there is
// none.
func eventID(data []byte) int64 {
	id := int64(-1)
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			id = n
		}
	}
	return id
}
