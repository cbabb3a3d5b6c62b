package targethttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Limits of connections to targets.
const (
	dialTimeout = time.Second
	// pingAfter and pingTimeout bound how long a silent HTTP/2 connection
	// goes unnoticed while no request on it has reached its own limit.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// streamWindowBytes bounds what one HTTP/2 stream buffers for a slow
	// caller.
	streamWindowBytes = 64 << 10
	maxHeaderBytes    = 64 << 10
	idleConnTimeout   = 30 * time.Second
	// maxShared bounds the HTTP/2 connections kept; the design size has 600
	// engines.
	maxShared = 2048
)

// Dialer opens connections to targets.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// transports holds the connections to targets. An HTTP/1.1 connection carries
// one request: an idle connection may have gone silent without notice, and a
// request that is sent on one would wait for its whole limit, while a dial
// costs one round trip. HTTP/2 connections are shared and are replaced as soon
// as one request on them stalls.
type transports struct {
	dial  Dialer
	plain *http.Transport

	mu     sync.Mutex
	shared map[string]*http.Transport
}

func newTransports(dial Dialer) *transports {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transports{
		dial: dial,
		plain: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		shared: make(map[string]*http.Transport),
	}
}

// forTarget returns the transport for new requests to t.
func (t *transports) forTarget(to *target.Target) *http.Transport {
	if !to.Capabilities.HTTP2 {
		return t.plain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if rt, ok := t.shared[to.URL]; ok {
		return rt
	}
	t.evict()
	rt := t.newShared()
	t.shared[to.URL] = rt
	return rt
}

// evict makes room by dropping any one connection; running requests on it end
// normally.
func (t *transports) evict() {
	if len(t.shared) < maxShared {
		return
	}
	for url, rt := range t.shared {
		delete(t.shared, url)
		rt.CloseIdleConnections()
		return
	}
}

func (t *transports) newShared() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleConnTimeout,
		Protocols:              protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
			WriteByteTimeout:          pingTimeout,
			MaxReceiveBufferPerStream: streamWindowBytes,
		},
	}
}

// retire makes sure that no new request uses a connection on which one
// stalled. Requests that still run on it are left to their own limits.
func (t *transports) retire(to *target.Target, rt *http.Transport) {
	if rt == t.plain {
		return
	}
	t.mu.Lock()
	if t.shared[to.URL] == rt {
		delete(t.shared, to.URL)
	}
	t.mu.Unlock()
	rt.CloseIdleConnections()
}
