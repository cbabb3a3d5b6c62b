package httpconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testMemory is a Memory with a limit.
type testMemory struct{ limit, used atomic.Int64 }

func (m *testMemory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.limit.Load() {
		return true
	}
	m.used.Add(-n)
	return false
}
func (m *testMemory) Force(n int64)   { m.used.Add(n) }
func (m *testMemory) Release(n int64) { m.used.Add(-n) }
func (m *testMemory) Used() int64     { return m.used.Load() }

func newTestBudget(limit int64, connections int) (*Budget, *testMemory) {
	memory := &testMemory{}
	memory.limit.Store(2 * limit)
	return NewBudget(memory, limit, connections), memory
}

// openTest opens a connection from an address. ended is set once it has been told to end;
// it is then closed.
func openTest(b *Budget, host string) (a *account, ended *atomic.Bool) {
	ended = &atomic.Bool{}
	a = newAccount(&net.TCPAddr{IP: net.ParseIP(host), Port: 1}, func() bool { return false }, func() {
		ended.Store(true)
		b.remove(a)
	})
	if opened, _ := b.open(a); !opened {
		return nil, ended
	}
	return a, ended
}

// Guards against one address that takes the memory of all heads, so that a head from another
// one cannot be read.
func TestOneAddressCannotTakeAllMemoryForHeads(t *testing.T) {
	b, _ := newTestBudget(1000, 0)
	var ended []*atomic.Bool
	for range 20 {
		a, e := openTest(b, "10.0.0.1")
		b.charge(a, 100)
		ended = append(ended, e)
	}
	if held := b.HeadBytes(); held > 750 {
		t.Errorf("one address holds %d of 1000 bytes, want at most 750", held)
	}
	if !ended[0].Load() || ended[19].Load() {
		t.Error("the connection that has waited longest is kept, or the latest one has ended")
	}
	before := b.HeadBytes()
	other, _ := openTest(b, "10.0.0.2")
	if !b.charge(other, 200) || b.HeadBytes() != before+200 {
		t.Error("the other address had to wait, or took memory from the first")
	}
}

// Guards against a single head that is refused because of its size alone, and against memory
// that stays reserved after requests and connections have ended.
func TestMemoryOfHeadsIsReturned(t *testing.T) {
	b, memory := newTestBudget(1000, 0)
	a, _ := openTest(b, "10.0.0.1")
	if !b.charge(a, 5000) {
		t.Error("a single head is not accepted")
	}
	b.admit(a)
	b.idle(a)
	b.charge(a, 100)
	b.stopWaiting(a)
	if !b.charge(a, 100) {
		t.Error("a head that has arrived is not accepted because its connection ends")
	}
	b.resume(a)
	b.admit(a)
	b.release(a)
	b.remove(a)
	if b.HeadBytes() != 0 || memory.Used() != 0 || b.ending != 0 || b.endingConnections != 0 || len(b.addresses) != 0 {
		t.Errorf("%d bytes of heads, %d of memory, %d of ending connections and %d addresses are left", b.HeadBytes(), memory.Used(), b.ending, len(b.addresses))
	}
}

// Guards against connections beyond the limit, and against callers whose connections are
// ended for those of clients that send nothing.
func TestConnectionsThatCarriedNoRequestEndFirst(t *testing.T) {
	b, _ := newTestBudget(1000, 32)
	caller, callerEnded := openTest(b, "10.0.0.1")
	b.admit(caller)
	b.idle(caller)
	for range 200 {
		openTest(b, "10.0.0.1")
	}
	if n := b.Connections(); n > 34 {
		t.Errorf("%d connections are open, want at most 34", n)
	}
	if callerEnded.Load() {
		t.Error("the connection that carried a request has ended")
	}
}

// Guards against a server that hangs, or leaks memory of its budget, when many clients send
// heads at once, some of which exceed a limit, stay unfinished or have other requests behind
// them.
func TestBudgetOfAServerIsReturned(t *testing.T) {
	b, memory := newTestBudget(100<<10, 64)
	var crossed atomic.Int64
	tracker := newTestTracker(Limits{Header: 300 * time.Millisecond, Idle: 300 * time.Millisecond, HeadBytes: 8 << 10}, &crossed)
	tracker.Budget = b
	var closed sync.Map
	tracker.Count = func(name string) {
		n, _ := closed.LoadOrStore(name, &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served atomic.Int64
	server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		served.Add(1)
	})}
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	var clients sync.WaitGroup
	for i := range 90 {
		text := "POST / HTTP/1.1\r\nHost: a\r\n" + lines(100*(i%3))
		switch i % 3 {
		case 0:
			text = strings.Repeat(text+"Content-Length: 2\r\n\r\n\n\n", 3)
		case 2:
			text += lines(5000)
		}
		clients.Go(func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			// The server may end the connection at any time.
			_, _ = fmt.Fprint(conn, text)
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	clients.Wait()
	for until := time.Now().Add(5 * time.Second); b.Connections() > 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	if b.Connections() != 0 || b.HeadBytes() != 0 || memory.Used() != 0 || served.Load() == 0 {
		t.Errorf("%d connections, %d bytes of heads and %d of memory are left, %d requests were served; want some requests and nothing left",
			b.Connections(), b.HeadBytes(), memory.Used(), served.Load())
		closed.Range(func(name, n any) bool {
			t.Log(name, n.(*atomic.Int64).Load())
			return true
		})
	}
}

// send writes text to a connection and reads it at the other end, as the server does.
func send(t *testing.T, c *conn, client net.Conn, text string) error {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4<<10)
	for left := len(text); left > 0; {
		n, err := c.Read(buffer)
		if err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// newBudgetPair returns a tracked connection with a budget, its client's end and the counters
// of its Tracker.
func newBudgetPair(t *testing.T, limit int64) (*conn, net.Conn, *Budget, map[string]int) {
	t.Helper()
	b, _ := newTestBudget(limit, 0)
	counters := make(map[string]int)
	tracker := newTestTracker(Limits{HeadBytes: 8 << 10}, nil)
	tracker.Budget, tracker.Count = b, func(name string) { counters[name]++ }
	c, client := pair(t, tracker)
	return c, client, b, counters
}

// Guards against an idle connection that is charged for the body of its last request as for a
// head, and ended for it.
func TestBodyIsNotChargedToTheNextHead(t *testing.T) {
	c, client, b, _ := newBudgetPair(t, 1<<20)
	for _, body := range []string{"\n\n\n", "\n"} {
		_ = send(t, c, client, "POST / HTTP/1.1\r\nHost: a\r\n\r\n"+body)
		c.setState(http.StateActive)
		_ = send(t, c, client, strings.Repeat(body, 1000))
		c.setState(http.StateIdle)
		if held := b.HeadBytes(); held != 0 {
			t.Errorf("the idle connection holds %d bytes for a head after a body of %q, want 0", held, body)
		}
	}
}

// Guards against heads that are not counted to their end: after empty lines before the request
// line, which the server skips, or after the rest of a head of which the server had a part.
func TestHeadIsCountedAfterEmptyLines(t *testing.T) {
	for _, start := range []string{"\r\n", "\n\n", "\r\r\n\n", "Host: a\r\n\r\nGET / HTTP/1.1\r\n"} {
		c, client, b, counters := newBudgetPair(t, 1<<20)
		first := start + strings.Repeat("a:\r\n", 100)
		if err := send(t, c, client, first); err != nil {
			t.Fatal(err)
		}
		if err := send(t, c, client, "a:\r\n"); err != nil {
			t.Fatal(err)
		}
		if held, want := b.HeadBytes(), int64(101*(headLineCost+4)); held < want {
			t.Errorf("after %q the head holds %d bytes, want at least %d", start, held, want)
		}
		if err := send(t, c, client, strings.Repeat("a:\r\n", 4000)); err == nil {
			t.Errorf("after %q an endless head is accepted", start)
		}
		_ = c.Close()
		if counters["connections_closed_by_head_bytes"]+counters["connections_closed_by_head_lines"] != 1 {
			t.Errorf("after %q: %v", start, counters)
		}
	}
}

// Guards against a request that has arrived completely and is closed without an answer for
// another head.
func TestConnectionWithAWholeHeadIsNotEnded(t *testing.T) {
	c, client, b, _ := newBudgetPair(t, 1000)
	if err := send(t, c, client, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	other, _ := openTest(b, "10.0.0.1")
	charged := make(chan bool, 1)
	go func() { charged <- b.charge(other, 600) }()
	select {
	case <-charged:
		t.Error("memory for the other head was found at the expense of the whole one")
	case <-time.After(50 * time.Millisecond):
	}
	c.mu.Lock()
	ending := c.refused || c.ending
	c.mu.Unlock()
	if ending {
		t.Error("the connection with the whole head is ended")
	}
	c.setState(http.StateActive)
	if !<-charged || c.cause != closedByServer {
		t.Errorf("the other head is not read after the request was admitted, or the connection ends: %v", c.cause)
	}
	c.setState(http.StateIdle)
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.account.whole {
		t.Error("the connection without a head is kept like one with a whole head")
	}
}

// Guards against a request that is closed without an answer because its head became complete
// at the moment its connection was ended for another head.
func TestHeadThatBecomesWholeIsAccepted(t *testing.T) {
	c, client, b, _ := newBudgetPair(t, 1000)
	if err := send(t, c, client, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	victims := b.headVictims(&account{address: &addressUse{}}, 500)
	b.mu.Unlock()
	for _, v := range victims {
		v.end()
	}
	if !c.acceptHead([]byte("\r\n")) || len(victims) != 1 || c.refused || c.ending || b.ending != 0 || b.endingConnections != 0 {
		t.Errorf("the head is refused, or still ends: %d victims, refused %v, ending %v", len(victims), c.refused, c.ending)
	}
}

// Guards against a failed read of a head that is recorded as the end by the server, and whose
// memory leaves that of the heads: the server reports a request also then.
func TestFailedReadOfAHeadIsNoRequest(t *testing.T) {
	for cause, fail := range map[closeCause]func(c *conn, client net.Conn){
		closedByHeadBytes: func(_ *conn, client net.Conn) { _, _ = io.WriteString(client, strings.Repeat("a", 16<<10)) },
		closedByClient:    func(_ *conn, client net.Conn) { _ = client.Close() },
		closedByLimit:     func(c *conn, _ net.Conn) { c.mu.Lock(); c.endWait(closedByLimit); c.mu.Unlock() },
		closedByBudget:    func(c *conn, _ net.Conn) { c.evict() },
	} {
		c, client, b, counters := newBudgetPair(t, 1<<20)
		if err := send(t, c, client, "GET / HTTP/1.1\r\nA: b"); err != nil {
			t.Fatal(err)
		}
		fail(c, client)
		for buffer := make([]byte, 4<<10); ; {
			if _, err := c.Read(buffer); err != nil {
				break
			}
		}
		held := b.HeadBytes()
		c.setState(http.StateActive)
		if c.account.requests != 0 || b.HeadBytes() != held {
			t.Errorf("%v: %d requests are admitted, %d of %d bytes are counted as heads", cause, c.account.requests, b.HeadBytes(), held)
		}
		_ = c.Close()
		if counters["connections_closed_by_"+cause.String()] != 1 {
			t.Errorf("%v: %v", cause, counters)
		}
	}
}

// Guards against a connection that waits for memory and is ended for a new connection, but not
// woken.
func TestConnectionEndedForANewOneIsWoken(t *testing.T) {
	b, memory := newTestBudget(1000, 1)
	memory.Force(5000)
	a := newAccount(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)}, func() bool { return false }, func() {})
	b.open(a)
	charged := make(chan bool, 1)
	go func() { charged <- b.charge(a, 100) }()
	for charging := false; !charging; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		charging = a.charging
		b.mu.Unlock()
	}
	openTest(b, "10.0.0.2")
	select {
	case ok := <-charged:
		if ok {
			t.Error("the ended connection got memory")
		}
	case <-time.After(time.Second):
		t.Error("the ended connection still waits")
	}
}

// Guards against a new connection that is refused, and a head that waits, because the address
// that holds most has no connection to end.
func TestNextAddressIsSearchedForConnectionsToEnd(t *testing.T) {
	b, _ := newTestBudget(1000, 32)
	for range 20 {
		a, _ := openTest(b, "10.0.0.1")
		b.admit(a)
	}
	for range 14 {
		openTest(b, "10.0.0.2")
	}
	if a, _ := openTest(b, "10.0.0.3"); a == nil {
		t.Error("the new connection is refused although slow ones of another address are open")
	}

	b, _ = newTestBudget(1000, 0)
	big, _ := openTest(b, "10.0.0.1")
	b.charge(big, 500)
	var ended []*atomic.Bool
	for i := range 5 {
		a, e := openTest(b, fmt.Sprint("10.0.1.", i))
		b.charge(a, 95)
		ended = append(ended, e)
	}
	charged := make(chan bool, 1)
	go func() { charged <- b.charge(big, 200) }()
	select {
	case ok := <-charged:
		if !ok || !ended[0].Load() || !ended[1].Load() || !ended[2].Load() || ended[3].Load() || ended[4].Load() {
			t.Errorf("charged %v; want the three connections that waited longest to end for it", ok)
		}
	case <-time.After(time.Second):
		t.Error("the head waits although slow heads of other addresses could be ended")
	}
}

// Guards against a request that has been read completely, finds no memory until its time for the
// headers has passed, and is closed without a response: its caller could not know that it has not
// run.
func TestWholeHeadWithoutMemoryIsRefused(t *testing.T) {
	for name, end := range map[string]func(*conn){
		"time limit": func(c *conn) { c.mu.Lock(); c.endWait(closedByLimit); c.mu.Unlock() },
		"stop":       func(c *conn) { _ = c.Close() },
	} {
		for head, want := range map[string]string{"GET / HTTP/1.1\r\nA: b\r\n\r\n": "HTTP/1.1 503 ", "GET / HTTP/1.1\r\nA: b\r\n": ""} {
			c, client, b, counters := newBudgetPair(t, 1000)
			b.memory.Force(5000)
			refused := make(chan error, 1)
			go func() { refused <- send(t, c, client, head) }()
			for charging := false; !charging; time.Sleep(time.Millisecond) {
				b.mu.Lock()
				charging = c.account.charging
				b.mu.Unlock()
			}
			end(c)
			if err := <-refused; err == nil {
				t.Errorf("%s: the server gets the head", name)
			}
			_ = c.Close()
			_ = client.SetDeadline(time.Now().Add(2 * time.Second))
			response, _ := io.ReadAll(client)
			if !strings.HasPrefix(string(response), want) || want == "" && len(response) > 0 {
				t.Errorf("%s: response %q to %q, want %q", name, response, head, want)
			}
			if n := counters["connections_closed_by_no_memory"]; (n == 1) != (want != "") {
				t.Errorf("%s: %q: counters %v", name, head, counters)
			}
		}
	}
}

// Guards against a process that ends because a connection is told to end for one of another
// listener while it is still being accepted.
func TestListenersShareABudget(t *testing.T) {
	budget, _ := newTestBudget(1<<20, 2)
	var addresses []string
	for range 4 {
		tracker := newTestTracker(Limits{Header: time.Minute, HeadBytes: 1 << 10}, nil)
		tracker.Count, tracker.Budget = func(string) {}, budget
		addresses = append(addresses, serveTracked(t, tracker, http.NotFoundHandler()))
	}
	var clients sync.WaitGroup
	for _, address := range addresses {
		clients.Go(func() {
			for range 1000 {
				// A connection beyond the limit is reset.
				if conn, err := net.Dial("tcp", address); err == nil {
					_ = conn.Close()
				}
			}
		})
	}
	clients.Wait()
	for range 100 {
		response, err := http.Get("http://" + addresses[0])
		if err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no request is answered afterwards")
}
