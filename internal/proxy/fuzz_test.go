package proxy

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// Guards against a stream that takes a front down, and against bytes of a stream
// that are lost or changed when it is split into events.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\n: comment\n\ndata: x")
	f.Add("id: 99999999999999999999\r\n\r\n")
	f.Add(strings.Repeat("data: x\n", 5000))
	f.Fuzz(func(t *testing.T, stream string) {
		r := eventReader{src: bufio.NewReader(strings.NewReader(stream))}
		var got bytes.Buffer
		for {
			e, err := r.next()
			got.Write(e.data)
			if err != nil {
				break
			}
		}
		if len(stream) <= maxEventBytes && got.String() != stream {
			t.Errorf("stream %q is split into %q", stream, got.String())
		}
	})
}
