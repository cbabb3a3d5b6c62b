package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// startTrickle starts a server that sends pieces of the given size at an interval. It
// stops after the given number of pieces, or with the caller if that is 0.
func startTrickle(t *testing.T, size int, interval time.Duration, pieces int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := 0; (pieces == 0 || i < pieces) && r.Context().Err() == nil; i++ {
			_, _ = w.Write(make([]byte, size))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(interval)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// receive calls a server with a limit that received bytes extend.
func receive(t *testing.T, url string, limit time.Duration) (int, error) {
	t.Helper()
	ctx, _, stop := withTransferLimit(context.Background(), limit)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := peerClient(discardMeter(), trafficCore).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return len(body), err
}

// Guards against a front that never receives a large document over a slow link, because
// each call ends before the response is complete.
func TestLargeResponseOverASlowLinkIsReceived(t *testing.T) {
	const size, pieces = 256 << 10, 12
	url := startTrickle(t, size, 100*time.Millisecond, pieces)
	if n, err := receive(t, url, 600*time.Millisecond); err != nil || n != size*pieces {
		t.Errorf("received %d bytes, %v; want %d", n, err, size*pieces)
	}
}

// Guards against a call that is kept open by a VM that sends a byte now and then.
func TestStalledResponseEnds(t *testing.T) {
	url := startTrickle(t, 1, 20*time.Millisecond, 0)
	started := time.Now()
	if _, err := receive(t, url, 300*time.Millisecond); err == nil {
		t.Error("the call has succeeded")
	}
	if took := time.Since(started); took > 10*time.Second {
		t.Errorf("the call ended after %v, want about 0.3 s", took)
	}
}

// Guards against a proposal of a large document that ends before another member of the
// core can have received it.
func TestProposalTimeoutGrowsWithItsSize(t *testing.T) {
	const slowLinkBytesPerSecond = 500 << 10
	for _, size := range []int{1 << 20, 16 << 20} {
		sending := time.Duration(size) * time.Second / slowLinkBytesPerSecond
		if limit := proposalTimeout(size); limit < sending {
			t.Errorf("a proposal of %d bytes ends after %v, but takes %v to send", size, limit, sending)
		}
	}
}
