// Package targetconn pools HTTP/1.1 connections to targets. Unlike
// http.Transport, it never retries a request on its own, and it reports whether
// any byte of a request may have reached the target.
package targetconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
)

const (
	// dialTimeout limits how long a dial may take. It allows for the loss of
	// the first packet between regions, and detects an unresponsive target.
	dialTimeout = 450 * time.Millisecond
	// tcpUserTimeout limits how long sent data can remain unacknowledged
	// (TCP_USER_TIMEOUT). It detects connections that failed silently, and
	// tolerates the loss of two packets.
	tcpUserTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// does not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of a target,
	// so that no request is sent while the target closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to one target. SetIdleLimits
	// can only lower this limit.
	maxIdlePerTarget = 24
	// maxUnfinished limits the requests that a connection remembers.
	maxUnfinished = 32
	// readBufferBytes is large enough for a response header or several stream
	// events.
	readBufferBytes = 8 << 10
)

// ErrNotSent means that no byte of the request can have reached the target.
var ErrNotSent = errors.New("request was not sent")

// ErrNoDescriptor means that the process has too many open connections for another one. It
// says nothing about the target.
var ErrNoDescriptor = errors.New("no descriptor is free for a connection to the target")

// Descriptors limits the connections to targets together with the others of the process.
type Descriptors interface {
	// Acquire takes a descriptor. It reports false if none is free.
	Acquire() bool
	// Release returns a descriptor.
	Release()
}

// Pool holds idle connections, keyed by address.
type Pool struct {
	// DialContext opens a connection to a target. It is set by New.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Memory is the budget that the heads of responses are charged to; nil if none is.
	Memory Memory
	// Descriptors is the limit that connections are counted towards; nil if there is none.
	Descriptors Descriptors

	mu   sync.Mutex
	idle map[string][]*Conn
	// idleLimits is the maximum number of idle connections by address.
	idleLimits map[string]int
	// opened is the number of connections opened so far.
	opened int64
}

// New returns an empty pool.
func New() *Pool {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.AckTimeout(tcpUserTimeout)}
	return &Pool{DialContext: dialer.DialContext, idle: make(map[string][]*Conn)}
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is true if the connection has carried a request before.
	Reused  bool
	limiter *headLimiter
	address string
	// closing closes the connection and returns its descriptor.
	closing func() error
	// unfinished holds the IDs of the latest requests that the target refused or failed
	// on this connection.
	unfinished []string
	// expires is when the idle connection must no longer be used, because the
	// target may close it.
	expires     time.Time
	idleTimeout time.Duration
}

// RecordUnfinished records that the target has responded to a request on this
// connection, and that the request may be sent again. The target may repeat its
// response at any later time, and nothing distinguishes the copy from the response to
// the second attempt, so the connection must not carry the request again.
func (c *Conn) RecordUnfinished(requestID string) {
	if len(c.unfinished) == maxUnfinished {
		c.unfinished = c.unfinished[1:]
	}
	c.unfinished = append(c.unfinished, requestID)
}

// Close closes the connection. It may be called again, also at the same time.
func (c *Conn) Close() error { return c.closing() }

// Get returns a connection for a request. The connection has been idle for less than
// maxIdleTime and no response to this request has arrived on it, or it is new.
func (p *Pool) Get(ctx context.Context, address, requestID string, maxIdleTime time.Duration) (*Conn, error) {
	if c := p.takeIdle(address, requestID, maxIdleTime); c != nil {
		return c, nil
	}
	return p.dial(ctx, address)
}

func (p *Pool) takeIdle(address, requestID string, maxIdleTime time.Duration) *Conn {
	now := time.Now()
	for {
		c := p.popIdle(address, requestID)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.expires.Add(-c.idleTimeout))
		if now.Before(c.expires) && idle < maxIdleTime && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes the connection from the pool that was used last among those on which
// no response to the request has arrived. It returns nil if there is none.
func (p *Pool) popIdle(address, requestID string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.unfinished, requestID) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// reusable reports whether the target has neither closed the connection nor
// sent data that belongs to no request.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = e == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	if !p.acquireDescriptor() {
		return nil, errors.Mark(ErrNoDescriptor, ErrNotSent)
	}
	conn, err := p.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseDescriptor()
		return nil, errors.Mark(err, ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limiter := &headLimiter{conn: conn, memory: p.Memory}
	closing := sync.OnceValue(func() error {
		defer p.releaseDescriptor()
		return conn.Close()
	})
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, address: address, closing: closing}, nil
}

func (p *Pool) acquireDescriptor() bool { return p.Descriptors == nil || p.Descriptors.Acquire() }

func (p *Pool) releaseDescriptor() {
	if p.Descriptors != nil {
		p.Descriptors.Release()
	}
}

// CloseIdle closes the idle connection that would expire first. It reports false if there is
// none.
func (p *Pool) CloseIdle() bool {
	p.mu.Lock()
	var oldest *Conn
	for _, list := range p.idle {
		for _, c := range list {
			if oldest == nil || c.expires.Before(oldest.expires) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		list := p.idle[oldest.address]
		i := slices.Index(list, oldest)
		p.idle[oldest.address] = slices.Delete(list, i, i+1)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	// The descriptor is free also if this fails.
	_ = oldest.Close()
	return true
}

// Probe opens a connection and adds it to the pool for the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// Put returns a connection to the pool after its response was read completely,
// or closes it if the response does not allow reuse.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	c.ReleaseHead()
	idleTimeout := idleTimeoutOf(resp)
	if resp.Close || idleTimeout <= 0 || c.Reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.Reused = true
	p.putIdle(c, idleTimeout)
}

func (p *Pool) putIdle(c *Conn, idleTimeout time.Duration) {
	c.idleTimeout = idleTimeout
	c.expires = time.Now().Add(idleTimeout)
	p.mu.Lock()
	list := p.idle[c.address]
	keep := len(list) < p.idleLimit(c.address)
	if keep {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// idleLimit returns how many idle connections to an address are kept. The caller must
// hold mu.
func (p *Pool) idleLimit(address string) int {
	if limit, limited := p.idleLimits[address]; limited {
		return min(limit, maxIdlePerTarget)
	}
	return maxIdlePerTarget
}

// idleTimeoutOf returns how long the connection may stay idle after resp.
func idleTimeoutOf(resp *http.Response) time.Duration {
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// SetIdleLimits sets the maximum number of idle connections by address. A target
// accepts a limited number of connections from all VMs together and resets
// those beyond it.
func (p *Pool) SetIdleLimits(limits map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits = limits
}

// Sweep closes idle connections that have expired, whose address is not in live, or that
// are more than the limit, which may have been lowered: of these, the least recently used.
func (p *Pool) Sweep(live map[string]bool) {
	now := time.Now()
	var closing []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if live[address] && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
		}
		if surplus := len(kept) - p.idleLimit(address); surplus > 0 {
			closing = append(closing, kept[:surplus]...)
			kept = append(kept[:0], kept[surplus:]...)
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// OpenedConnections returns the number of connections opened so far.
func (p *Pool) OpenedConnections() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// TakeAllIdle removes all idle connections from the pool and returns them. The
// caller must close them.
func (p *Pool) TakeAllIdle() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*Conn
	for address, list := range p.idle {
		all = append(all, list...)
		delete(p.idle, address)
	}
	return all
}
