package targethttp

import (
	"bufio"
	"bytes"
	"testing"
)

// Guards against panics and unbounded memory use on malformed event streams.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: r;1;0;1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: ;;;\ndata:x\ndata:y\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			chunk, err := readEvent(r)
			if err != nil {
				return
			}
			if chunk.Offset < 0 || chunk.Tokens < 0 {
				t.Fatalf("negative offset or token count in %+v", chunk)
			}
		}
	})
}
