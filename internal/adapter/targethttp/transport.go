package targethttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Limits on connections to targets.
const (
	dialTimeout = time.Second
	// sendPingTimeout and pingTimeout limit how long an unresponsive HTTP/2
	// connection remains undetected when no request on it has timed out yet.
	sendPingTimeout = time.Second
	pingTimeout     = time.Second
	// streamWindowBytes limits the data buffered per HTTP/2 stream when the
	// caller reads slowly.
	streamWindowBytes      = 64 << 10
	maxResponseHeaderBytes = 64 << 10
	idleConnTimeout        = 30 * time.Second
	// maxHTTP2Transports limits the HTTP/2 transports, one per target URL. The
	// system is designed for 600 engines.
	maxHTTP2Transports = 2048
)

// Dialer opens connections to targets.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// transportPool holds the HTTP transports to targets. An HTTP/1.1 connection
// carries only one request: an idle connection may have failed without notice,
// and a request sent on it would wait for its whole timeout, whereas a dial
// costs one round trip. HTTP/2 connections are shared by requests and replaced
// as soon as one request on them stalls or one service call does not complete.
type transportPool struct {
	dial  Dialer
	http1 *http.Transport

	mu    sync.Mutex
	http2 map[string]*http.Transport
}

func newTransportPool(dial Dialer) *transportPool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transportPool{
		dial: dial,
		http1: &http.Transport{
			DialContext:            dialUpload(dial),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		http2: make(map[string]*http.Transport),
	}
}

// forTarget returns the transport for new requests to dest.
func (t *transportPool) forTarget(dest *target.Target) *http.Transport {
	if !dest.Capabilities.HTTP2 {
		return t.http1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if rt, ok := t.http2[dest.URL]; ok {
		return rt
	}
	t.evict()
	rt := t.newHTTP2Transport()
	t.http2[dest.URL] = rt
	return rt
}

// evict makes room for a new HTTP/2 transport by removing an arbitrary one.
// Requests in progress on it finish normally.
func (t *transportPool) evict() {
	if len(t.http2) < maxHTTP2Transports {
		return
	}
	for url, rt := range t.http2 {
		delete(t.http2, url)
		rt.CloseIdleConnections()
		return
	}
}

func (t *transportPool) newHTTP2Transport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idleConnTimeout,
		Protocols:              protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           sendPingTimeout,
			PingTimeout:               pingTimeout,
			WriteByteTimeout:          pingTimeout,
			MaxReceiveBufferPerStream: streamWindowBytes,
		},
	}
}

// retire removes an HTTP/2 transport on which a request stalled or did not
// complete, so that no new request uses its connection. Requests in progress on
// it continue until their own timeouts.
func (t *transportPool) retire(dest *target.Target, rt *http.Transport) {
	if rt == t.http1 {
		return
	}
	t.mu.Lock()
	if t.http2[dest.URL] == rt {
		delete(t.http2, dest.URL)
	}
	t.mu.Unlock()
	rt.CloseIdleConnections()
}
