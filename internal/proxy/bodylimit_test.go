package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"
)

// slowDeadlineWriter is a response whose read deadline is set late, as by a goroutine that
// is held up.
type slowDeadlineWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
	// begun is closed when the deadline is about to be set, set once it is.
	begun, set chan struct{}
}

func (w *slowDeadlineWriter) SetReadDeadline(time.Time) error {
	close(w.begun)
	time.Sleep(w.delay)
	close(w.set)
	return nil
}

// Guards against the time limit of one body that ends the connection under the next request:
// the read deadline must not be set after the request has ended.
func TestLimitOfABodyDoesNotOutliveItsRequest(t *testing.T) {
	w := &slowDeadlineWriter{httptest.NewRecorder(), 100 * time.Millisecond, make(chan struct{}), make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	end := (&call{w: w}).limitBodyRead(ctx)
	cancel()
	<-w.begun
	if end() {
		t.Error("the limit has taken effect, and its end reports that it has not")
	}
	select {
	case <-w.set:
	default:
		t.Error("the limit takes effect after its end")
	}
}
