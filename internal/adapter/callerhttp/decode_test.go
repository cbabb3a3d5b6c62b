package callerhttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"
	"time"
)

// deadlineWriter is a response that records the read deadline of its connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// Guards against a refusal that is never sent, because the server reads the rest of a body
// that stalls before it sends the response.
func TestDeadlineOfAnIncompleteBodyStays(t *testing.T) {
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(iotest.ErrReader(os.ErrDeadlineExceeded)))
	if _, refusal := readBody(w, r, 100); refusal == nil || refusal.Status != http.StatusBadRequest {
		t.Errorf("refusal %v, want status 400", refusal)
	}
	if w.deadline.IsZero() {
		t.Error("the rest of the body is read without a deadline")
	}
}
