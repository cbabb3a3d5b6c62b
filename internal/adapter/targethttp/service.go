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

// Services calls plain services over HTTP.
type Services struct {
	transports *transports
}

// NewServices returns a dispatcher that connects through dial.
func NewServices(dial Dialer) *Services {
	return &Services{transports: newTransports(dial)}
}

// Do implements serving.Services.
func (s *Services) Do(ctx context.Context, t *target.Target, call *serving.Call, req serving.ServiceRequest) (*serving.ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	httpReq, err := newServiceRequest(ctx, t, call, req)
	if err != nil {
		cancel()
		return nil, &serving.DialError{Err: err}
	}
	rt := s.transports.forTarget(t)
	limit := call.Route.FirstTokenTimeout()
	resp, err := roundTrip(rt, httpReq, cancel, limit)
	if err != nil {
		cancel()
		if _, dial := err.(*serving.DialError); !dial {
			s.transports.retire(t, rt)
		}
		return nil, err
	}
	RemoveHopByHop(resp.Header)
	body := &serviceBody{body: resp.Body, cancel: cancel, limit: limit, retire: func() { s.transports.retire(t, rt) }}
	return &serving.ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func newServiceRequest(ctx context.Context, t *target.Target, call *serving.Call, req serving.ServiceRequest) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, t.URL+req.URI, onlyReader{req.Body()})
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

// onlyReader hides the type of a body, so that the transport cannot rewind it
// and send the request a second time.
type onlyReader struct{ io.Reader }

// serviceBody bounds the time between two parts of an answer.
type serviceBody struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	limit  time.Duration
	retire func()
	ended  bool
}

// Read implements io.Reader.
func (b *serviceBody) Read(p []byte) (int, error) {
	timer := time.AfterFunc(b.limit, b.cancel)
	n, err := b.body.Read(p)
	if !timer.Stop() && err != nil {
		err = serving.ErrStalled
	}
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *serviceBody) Close() error {
	b.cancel()
	if !b.ended {
		b.retire()
	}
	return b.body.Close()
}

// hopByHop lists the fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the fields that must not be passed on, with those
// that the Connection field names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
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
