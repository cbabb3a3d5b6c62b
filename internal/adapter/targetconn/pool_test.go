package targetconn

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/loopback"
)

// listen accepts connections on a loopback address, passes each to accepted,
// and returns the address.
func listen(t *testing.T, accepted func(net.Conn)) string {
	t.Helper()
	address, stop, err := loopback.Serve(accepted)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

func get(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, "r", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against idle connections beyond the number that the target accepts
// from all VMs.
func TestIdleConnectionsStayWithinTheLimit(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := New()
	p.SetIdleLimits(map[string]int{address: 2})
	var conns []*Conn
	for range 5 {
		conns = append(conns, get(t, p, address))
	}
	for _, c := range conns {
		p.Put(c, &http.Response{})
	}
	reused := 0
	for range 5 {
		if get(t, p, address).Reused {
			reused++
		}
	}
	if reused != 2 {
		t.Errorf("%d idle connections were reused, want 2", reused)
	}
}

// Guards against sending a request on a connection that the target has closed,
// or on which it has sent data that belongs to no request.
func TestClosedOrDesynchronizedConnectionsAreNotReused(t *testing.T) {
	for name, breakConn := range map[string]func(net.Conn){
		"closed":           func(c net.Conn) { c.Close() },
		"unsolicited data": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	} {
		accepted := make(chan net.Conn, 4)
		address := listen(t, func(c net.Conn) { accepted <- c })
		p := New()
		p.Put(get(t, p, address), &http.Response{})
		breakConn(<-accepted)
		time.Sleep(50 * time.Millisecond)
		if get(t, p, address).Reused {
			t.Errorf("%s: connection was reused", name)
		}
	}
}

// Guards against reusing a connection after the Keep-Alive timeout of its
// target, or after a longer idle time than the request accepts.
func TestKeepAliveTimeoutOfTheTargetIsRespected(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := New()
	p.Put(get(t, p, address), &http.Response{Header: http.Header{"Keep-Alive": {"timeout=0"}}})
	if get(t, p, address).Reused {
		t.Error("connection with a Keep-Alive timeout of 0 was reused")
	}
	p.Put(get(t, p, address), &http.Response{Header: http.Header{"Keep-Alive": {"timeout=5, max=100"}}})
	time.Sleep(5 * time.Millisecond)
	c, err := p.Get(context.Background(), address, "r", time.Millisecond)
	if err != nil || c.Reused {
		t.Errorf("connection idle for more than the accepted 1 ms was reused, or Get failed: %v", err)
	}
}

// Guards against a failed dial that is reported as a request that may have run.
func TestFailedDialMeansNotSent(t *testing.T) {
	// Nothing listens on the address.
	address, err := loopback.AllocateAddress()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New().Get(context.Background(), address, "r", time.Minute); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// Guards against a connection that carries a request again which the target has refused
// on it: the target may repeat the refusal, which is then taken for the answer to the
// second attempt.
func TestConnectionCarriesARefusedRequestOnlyOnce(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := New()
	c := get(t, p, address)
	c.RecordUnfinished("refused")
	p.Put(c, &http.Response{})
	again, err := p.Get(context.Background(), address, "refused", time.Minute)
	if err != nil || again.Reused {
		t.Errorf("the connection carries the request again, or Get failed: %v", err)
	}
	other, err := p.Get(context.Background(), address, "other", time.Minute)
	if err != nil || !other.Reused {
		t.Errorf("the connection does not carry another request, or Get failed: %v", err)
	}
}

// Guards against idle connections that are kept above a limit which has been lowered since,
// and for which the target resets connections of other VMs.
func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := New()
	conns := []*Conn{get(t, p, address), get(t, p, address), get(t, p, address)}
	for _, c := range conns {
		p.Put(c, &http.Response{})
	}
	p.SetIdleLimits(map[string]int{address: 1})
	p.Sweep(map[string]bool{address: true})
	if left := p.TakeAllIdle(); len(left) != 1 || left[0] != conns[2] {
		t.Errorf("%d idle connections are kept, want the one that was used last", len(left))
	}
}

// memoryLimit is a Memory of a number of bytes.
type memoryLimit struct{ free int64 }

func (m *memoryLimit) Reserve(n int64) bool {
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

func (m *memoryLimit) Release(n int64) { m.free += n }

// Guards against heads of responses that together exceed the memory of the VM, against an
// ordinary head that is refused because none is free, and against lines of a body that count.
func TestHeadsOfResponsesTakeMemory(t *testing.T) {
	const ordinary = "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n"
	long := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n"
	for name, c := range map[string]struct {
		head string
		free int64
		want error
	}{
		"many lines":        {long, 1 << 20, nil},
		"many lines, full":  {long, 100 << 10, ErrNoMemory},
		"ordinary, full":    {ordinary, 0, nil},
		"lines of the body": {ordinary + strings.Repeat("\n", 6000), 0, nil},
	} {
		address := listen(t, func(conn net.Conn) { _, _ = conn.Write([]byte(c.head)) })
		memory := &memoryLimit{c.free}
		p := New()
		p.Memory = memory
		conn := get(t, p, address)
		resp, err := conn.ReadHead("GET")
		if !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		if resp != nil {
			p.Put(conn, resp)
		}
		conn.ReleaseHead()
		if memory.free != c.free {
			t.Errorf("%s: %d bytes are free, want %d", name, memory.free, c.free)
		}
	}
}

// descriptorLimit is a Descriptors of a number of descriptors.
type descriptorLimit struct{ free int }

func (d *descriptorLimit) Acquire() bool {
	if d.free == 0 {
		return false
	}
	d.free--
	return true
}

func (d *descriptorLimit) Release() { d.free++ }

// Guards against descriptors that are not returned, or returned twice, and against connections
// beyond the limit.
func TestConnectionsTakeDescriptors(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	unreachable, err := loopback.AllocateAddress()
	if err != nil {
		t.Fatal(err)
	}
	p, limit := New(), &descriptorLimit{free: 2}
	p.Descriptors = limit
	if _, err := p.Get(context.Background(), unreachable, "r", time.Minute); err == nil || limit.free != 2 {
		t.Errorf("after a dial that fails with %v, %d descriptors are free, want 2", err, limit.free)
	}
	first, second := get(t, p, address), get(t, p, address)
	if _, err := p.Get(context.Background(), address, "r", time.Minute); !errors.Is(err, ErrNoDescriptor) || !errors.Is(err, ErrNotSent) {
		t.Errorf("without a descriptor the error is %v, want ErrNoDescriptor and ErrNotSent", err)
	}
	_ = first.Close()
	_ = first.Close()
	if limit.free != 1 {
		t.Errorf("after a close, %d descriptors are free, want 1", limit.free)
	}
	p.Put(second, &http.Response{})
	if !p.CloseIdle() || p.CloseIdle() {
		t.Error("the idle connection is not closed, or another one is")
	}
	if limit.free != 2 {
		t.Errorf("after both are closed, %d descriptors are free, want 2", limit.free)
	}
}
