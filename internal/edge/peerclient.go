package edge

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
	"github.com/cuminwing/cuminwing/internal/adapter/traffic"
)

const (
	// maxPeerHeaderBytes limits the headers of another VM's response.
	maxPeerHeaderBytes = 64 << 10
	// maxPeerResponseBytes limits its body. The largest one holds a document with
	// thousands of routes and the whole registry.
	maxPeerResponseBytes = 32 << 20
)

var errPeerResponseTooLarge = errors.Newf("the response of a VM exceeds %d bytes", maxPeerResponseBytes)

// peerClient returns the HTTP client for calls to other VMs, whose bytes meter counts under
// cause. A call on a connection that stops responding ends with the call's own timeout.
func peerClient(meter *traffic.Meter, cause string) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.AckTimeout(ackTimeout)}
	return &http.Client{Transport: bodyLimiter{&http.Transport{
		DialContext:            meter.Dial(cause, dialer.DialContext),
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}}}
}

// bodyLimiter is an http.RoundTripper that limits the bodies of responses.
type bodyLimiter struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (b bodyLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.Transport.RoundTrip(r)
	if err == nil {
		limit, _ := r.Context().Value(transferLimitKey{}).(*transferLimit)
		response.Body = &limitedBody{response.Body, maxPeerResponseBytes, limit}
	}
	return response, err
}

// limitedBody is a body that fails once more than remaining bytes were read.
type limitedBody struct {
	io.ReadCloser
	remaining int64
	// limit is the time limit that received bytes extend; nil if there is none.
	limit *transferLimit
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	// A reader with a large buffer must not read far beyond the limit.
	b = b[:min(int64(len(b)), l.remaining+1)]
	n, err := l.ReadCloser.Read(b)
	l.limit.extend(n)
	if l.remaining -= int64(n); l.remaining < 0 {
		return 0, errPeerResponseTooLarge
	}
	return n, err
}
