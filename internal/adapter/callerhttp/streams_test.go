package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// fullMemory is a Memory without free memory.
type fullMemory struct{}

func (fullMemory) Reserve(int64, int64) bool { return false }
func (fullMemory) Release(int64)             {}

// Guards against streams of HTTP/2 that keep their heads until their clients read the response,
// and against refusals without limit that no client reads.
func TestStreamsWithoutMemoryAreRefusedAndThenReset(t *testing.T) {
	s := &Server{Heads: fullMemory{}}
	handler := s.chargeStreams(http.NotFoundHandler())
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.ProtoMajor = 2
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || !w.Flushed || r.Header != nil {
		t.Errorf("status %d, flushed: %v, head kept: %v; want a refusal, and no head", w.Code, w.Flushed, r.Header != nil)
	}
	s.refusedStreams.Store(maxRefusedStreams)
	defer func() {
		if recover() != http.ErrAbortHandler || s.refusedStreams.Load() != maxRefusedStreams {
			t.Errorf("the stream is not reset, or %d are counted", s.refusedStreams.Load())
		}
	}()
	handler.ServeHTTP(httptest.NewRecorder(), r)
	t.Error("a stream beyond the limit gets a response")
}
