package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engine is a stand-in for an engine or an instance of a plain service.
type engine struct {
	c       *cluster
	name    string
	service string
	ip      string
	zone    string
	model   string
	slots   int
	// answer handles a request that the engine begins to run. It writes the response.
	answer func(e *engine, w net.Conn, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
	fillers  []net.Conn
	// darkSocket listens in place of a dark engine and accepts nothing.
	darkSocket int
	state      string
	up         bool
	sequence   int
	version    int
	stopBeat   chan struct{}
	// orders carries out orders; nil if the engine takes none.
	orders *orders
	// keepID is set if the engine starts again under the id that it had.
	keepID bool
	// places has a value for each request that the engine runs.
	places chan struct{}
}

func (e *engine) address() string { return fmt.Sprintf("%s:%d", e.ip, enginePort) }

// listenSmall opens a listener with a short queue of new connections.
func listenSmall(ip string, port, backlog int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, address); err != nil {
		syscall.Close(fd)
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		syscall.Close(fd)
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	return net.FileListener(f)
}

// start starts an incarnation of the engine.
func (e *engine) start() error {
	l, err := listenSmall(e.ip, enginePort, 64)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	if e.id == "" || !e.keepID {
		e.id = fmt.Sprintf("i-%s-%d", e.name, e.starts)
	}
	e.born = time.Now().UnixMilli()
	e.listener, e.conns, e.state, e.up, e.sequence = l, make(map[net.Conn]bool), "ready", true, 0
	if e.version == 0 {
		e.version = 1
	}
	stop := make(chan struct{})
	e.stopBeat = stop
	e.mu.Unlock()
	e.c.rec.line("engine %s starts as %s at %s", e.name, e.id, e.address())
	go e.accept(l)
	go e.beat(stop)
	return nil
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if !e.up || e.listener != l {
			e.mu.Unlock()
			reset(conn)
			continue
		}
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// beat sends heartbeats until stop is closed.
func (e *engine) beat(stop chan struct{}) {
	for i := 0; ; i++ {
		e.heartbeat(i)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1200) * time.Millisecond):
		}
	}
}

func (e *engine) heartbeat(i int) {
	e.mu.Lock()
	e.sequence++
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
	}
	body := map[string]any{
		"service": e.service, "address": e.address(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.model != "" {
		body["stage"], body["models"] = "both", models
	}
	id := e.id
	e.mu.Unlock()
	data, _ := json.Marshal(body)
	cores := e.c.cores()
	for k := range cores {
		n := cores[(i+k)%len(cores)]
		status, _, err := call(fmt.Sprintf("%s:%d", n.ip, controlPort), "PUT", "/instances/"+id, data, time.Second)
		if err == nil && status/100 == 2 {
			return
		}
	}
}

func (e *engine) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			e.drop(conn)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			e.drop(conn)
			return
		}
		if e.orders != nil {
			if orderRequest(r) {
				e.orders.onArrival(body)
			}
			e.orders.awaitSilence()
		}
		e.mu.Lock()
		id, up := e.id, e.up
		e.mu.Unlock()
		if !up {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			continue
		}
		switch {
		case r.URL.Path == "/healthz":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		case e.orders != nil && orderRequest(r):
			if e.orders.leaveUnanswered(e, body) {
				continue
			}
			_, _ = io.WriteString(conn, orderReply(e.orders.take(e, body)))
		case r.URL.Path == "/report":
			text := e.report()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		default:
			e.answer(e, conn, r, body)
			e.mu.Lock()
			open := e.conns[conn] && e.up
			e.mu.Unlock()
			if !open {
				return
			}
		}
	}
}

func (e *engine) report() string {
	busy, sequence := false, uint64(0)
	if e.orders != nil {
		e.orders.mu.Lock()
		busy, sequence = e.orders.busy, e.orders.accepted
		e.orders.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}, "busy": busy, "sequence": sequence,
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
	return string(data)
}

func (e *engine) drop(conn net.Conn) {
	e.mu.Lock()
	up := e.up
	delete(e.conns, conn)
	e.mu.Unlock()
	if up {
		conn.Close()
	}
}

// plainAnswer writes a complete answer with the engine's signature.
func plainAnswer(conn net.Conn, r *http.Request, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
}

// crash ends the engine for a time. If dark is set, its machine is gone from the network: open
// connections fall silent and new ones are not answered. Otherwise the process ends and the
// kernel of its machine resets the connections.
func (e *engine) crash(dark bool, down time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stopBeat)
	l := e.listener
	var conns []net.Conn
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	e.c.rec.line("engine %s (%s) crashes, dark %v", e.name, e.id, dark)
	if dark {
		fillQueue(e)
	} else {
		l.Close()
		for _, c := range conns {
			reset(c)
		}
	}
	time.AfterFunc(down, func() {
		l.Close()
		for _, c := range conns {
			reset(c)
		}
		e.lightAgain()
		if e.orders != nil {
			// It knows nothing of before.
			e.orders.mu.Lock()
			e.orders.accepted, e.orders.busy = 0, false
			e.orders.mu.Unlock()
		}
		for range 50 {
			if err := e.start(); err == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		e.c.rec.line("engine %s cannot start again", e.name)
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func header(h http.Header, names ...string) string {
	var parts []string
	for _, n := range names {
		if v, ok := h[n]; ok {
			parts = append(parts, n+"="+strings.Join(v, ";"))
		} else {
			parts = append(parts, n+" absent")
		}
	}
	return strings.Join(parts, ", ")
}
