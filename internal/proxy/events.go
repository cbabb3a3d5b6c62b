package proxy

import (
	"bufio"
	"bytes"
	"iter"
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

// eventReader splits a stream into events. A line ends with LF, CRLF or CR.
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
	endsWithCR := false
	for lines := 0; ; lines++ {
		length, lineEndsWithCR, err := r.readLine(endsWithCR)
		switch {
		case err == errEventTooLarge:
			return event{id: -1}, err
		case err != nil:
			return event{data: r.buf, id: -1}, err
		case length == 0 && lines > 0:
			return event{data: r.buf, id: eventID(r.buf)}, nil
		}
		endsWithCR = lineEndsWithCR
	}
}

// readLine appends the next line to the buffer. It returns the length of the line
// without its terminator, and whether that is a CR alone. After a CR it waits for the next
// byte, which may belong to the terminator, unless the line is blank and the line before
// it ended with a CR alone: an event must not wait for the one after it.
func (r *eventReader) readLine(previousEndsWithCR bool) (length int, endsWithCR bool, err error) {
	for {
		b, err := r.src.ReadByte()
		if err != nil {
			return length, false, err
		}
		r.buf = append(r.buf, b)
		if len(r.buf) > maxEventBytes {
			return length, false, errEventTooLarge
		}
		switch {
		case b == '\n':
			return length, false, nil
		case b != '\r':
			length++
			continue
		case length == 0 && previousEndsWithCR:
			return length, true, nil
		}
		next, err := r.src.Peek(1)
		if err != nil {
			return length, false, err
		}
		if next[0] != '\n' {
			return length, true, nil
		}
	}
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

// fields returns the lines of an event that are neither blank nor comments.
func fields(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for line := range bytes.FieldsFuncSeq(data, isLineEnd) {
			if line[0] != ':' && !yield(line) {
				return
			}
		}
	}
}

// isProgress reports whether an event has a field. Comments and blank lines only
// keep a connection open.
func (e *event) isProgress() bool {
	for range fields(e.data) {
		return true
	}
	return false
}

// eventID returns the number in the last id field of an event; -1 if there is
// none.
func eventID(data []byte) int64 {
	id := int64(-1)
	for line := range fields(data) {
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
