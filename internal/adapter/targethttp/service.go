package targethttp

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/serving"
	"github.com/cuminwing/cuminwing/internal/target"
)

// ServiceClient dispatches calls to plain services over HTTP.
type ServiceClient struct {
	transports *transportPool
}

// NewServiceClient returns a ServiceClient that opens connections with dial.
func NewServiceClient(dial Dialer) *ServiceClient {
	return &ServiceClient{transports: newTransportPool(dial)}
}

// Do implements serving.ServiceClient.
func (s *ServiceClient) Do(ctx context.Context, t *target.Target, call *serving.Call, req serving.ServiceRequest) (*serving.ServiceResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	httpReq, err := newServiceRequest(ctx, t, call, req)
	if err != nil {
		cancel()
		return nil, &serving.DialError{Err: err}
	}
	rt := s.transports.forTarget(t)
	timeout := call.Route.FirstTokenTimeout()
	resp, err := roundTrip(rt, httpReq, cancel, timeout)
	if err != nil {
		cancel()
		if _, dial := err.(*serving.DialError); !dial {
			s.transports.retire(t, rt)
		}
		return nil, err
	}
	RemoveHopByHop(resp.Header)
	body := &timeoutBody{body: resp.Body, cancel: cancel, timeout: timeout, retireTransport: func() { s.transports.retire(t, rt) }}
	return &serving.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func newServiceRequest(ctx context.Context, t *target.Target, call *serving.Call, req serving.ServiceRequest) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, t.URL+req.URI, readerOnly{req.Body()})
	if err != nil {
		return nil, err
	}
	httpReq.ContentLength = req.ContentLength
	if req.ContentLength == 0 {
		httpReq.Body = nil
	}
	httpReq.Header = req.Header.Clone()
	httpReq.Header.Set(HeaderRequestID, call.ID)
	return httpReq, nil
}

// readerOnly hides the concrete type of a body, so that the transport cannot
// rewind it and send the request a second time.
type readerOnly struct{ io.Reader }

// timeoutBody limits the time that a response body may take to deliver more
// data.
type timeoutBody struct {
	body            io.ReadCloser
	cancel          context.CancelFunc
	timeout         time.Duration
	retireTransport func()
	reachedEOF      bool
}

// Read implements io.Reader.
func (b *timeoutBody) Read(p []byte) (int, error) {
	timer := time.AfterFunc(b.timeout, b.cancel)
	n, err := b.body.Read(p)
	if !timer.Stop() && err != nil {
		err = serving.ErrStalled
	}
	b.reachedEOF = b.reachedEOF || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *timeoutBody) Close() error {
	b.cancel()
	if !b.reachedEOF {
		b.retireTransport()
	}
	return b.body.Close()
}

// hopByHopHeaders are the header fields that apply to a single connection (RFC
// 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the hop-by-hop header fields, including those that the
// Connection field lists.
func RemoveHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

func splitList(value string) []string {
	fields := strings.Split(value, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}
