package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lease = 3 * time.Second
	// silence is how long the engine falls silent once: "a second or so".
	silence = time.Second
)

// order is an order as an engine has received it.
type order struct {
	at      time.Time
	holder  string
	token   uint64
	version int
	reply   int
}

// orders is the part of an engine that carries out orders.
type orders struct {
	mu       sync.Mutex
	silent   time.Time
	received []order
	accepted uint64
	busy     bool
	// late is after which time the next order is carried out, without an answer; 0 if it is
	// answered at once. lateDone is set once that has happened.
	late     time.Duration
	lateDone bool
	// onArrival is called when the bytes of an order are there, before the engine reads it.
	onArrival func(body []byte)
}

// awaitSilence blocks while the engine is silent.
func (o *orders) awaitSilence() {
	o.mu.Lock()
	until := o.silent
	o.mu.Unlock()
	time.Sleep(time.Until(until))
}

// leaveUnanswered reports whether an order is left unanswered, to be carried out late.
func (o *orders) leaveUnanswered(e *engine, body []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.late == 0 {
		return false
	}
	late := o.late
	o.late = 0
	e.c.rec.line("engine %s leaves an order unanswered: %s", e.name, body)
	time.AfterFunc(late, func() {
		e.c.rec.line("engine %s carries out the order of %v ago now", e.name, late)
		reply := o.take(e, body)
		o.mu.Lock()
		o.lateDone = reply == 202
		o.mu.Unlock()
	})
	return true
}

// take carries out an order that the engine has read.
func (o *orders) take(e *engine, body []byte) int {
	var b struct {
		Op, Model, Holder string
		Version           int
		Token             uint64  `json:"fencing_token"`
		Expected          *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &b) != nil || b.Holder == "" {
		return 400
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	reply := 202
	switch {
	case o.busy || b.Expected != nil && *b.Expected != o.accepted:
		reply = 409
	case version == b.Version:
		reply = 200
	default:
		o.accepted++
		o.busy = true
		time.AfterFunc(380*time.Millisecond, func() {
			o.mu.Lock()
			o.busy = false
			o.mu.Unlock()
			e.mu.Lock()
			e.version = b.Version
			e.mu.Unlock()
		})
	}
	o.received = append(o.received, order{time.Now(), b.Holder, b.Token, b.Version, reply})
	e.c.rec.line("engine %s receives an order: version %d, holder %s, fencing_token %d; it answers %d", e.name, b.Version, b.Holder, b.Token, reply)
	return reply
}

// holders names new weights. The member of the core that orders them is stopped as planned while the
// engine is silent for a moment, and newer weights are named.
func holders(c *cluster, trouble bool) int {
	c.add(3, 1, 134)
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	o := &orders{}
	e := &engine{c: c, name: "e1", service: "llm", model: "m", ip: c.ip(21), zone: "muc-a", slots: 96, orders: o}
	if err := e.start(); err != nil {
		return cannot
	}
	services := []map[string]any{engineService("llm", "m", 82307)}
	routes := []map[string]any{route("r", "a.example", "/a/", "streaming", "llm", map[string]any{"max_attempts": 1, "timeout_ms": 5000, "target_latency_ms": 800, "target_gap_ms": 250, "session_affinity": true})}
	if c.operate("PUT", "/config", document(1, routes, services, []map[string]any{tenant("t1", "key1")}), 20*time.Second) != 200 {
		return cannot
	}
	time.Sleep(6 * time.Second)
	first := make(chan string, 1)
	var once sync.Once
	// With SILENT=0 the engine does not fall silent.
	silentNow := os.Getenv("SILENT") != "0"
	o.onArrival = func(body []byte) {
		// The bytes of the order have arrived and are not read yet.
		var b struct{ Holder string }
		_ = json.Unmarshal(body, &b)
		once.Do(func() {
			first <- b.Holder
			if silentNow {
				c.rec.line("engine %s falls silent for %v", e.name, silence)
				o.mu.Lock()
				o.silent = time.Now().Add(silence)
				o.mu.Unlock()
			}
		})
	}
	c.operate("POST", "/version-put", map[string]any{"model": "m", "version": 2}, 10*time.Second)
	var holder string
	select {
	case holder = <-first:
	case <-time.After(15 * time.Second):
		return cannot
	}
	var stopped *node
	for _, n := range c.cores() {
		if n.name == holder {
			stopped = n
		}
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	cores := c.nodes
	if trouble {
		// The operator does not call the machine that is being replaced.
		var rest []*node
		for _, n := range c.nodes {
			if n != stopped {
				rest = append(rest, n)
			}
		}
		c.nodes = rest
	}
	c.operate("POST", "/version-put", map[string]any{"model": "m", "version": 3}, 10*time.Second)
	c.nodes = cores
	if trouble {
		<-stopped.exited
		c.rec.line("%s has ended", stopped.name)
		if err := stopped.start(false); err != nil {
			return cannot
		}
	}
	time.Sleep(12 * time.Second)
	o.mu.Lock()
	defer o.mu.Unlock()
	code := held
	for i := 1; i < len(o.received); i++ {
		a, b := o.received[i-1], o.received[i]
		if a.holder != b.holder {
			gap := b.at.Sub(a.at)
			c.rec.line("%s orders %v after %s", b.holder, gap.Round(time.Millisecond), a.holder)
			if gap < lease {
				code = broken
			}
		}
		if b.token < a.token {
			c.rec.line("fencing_token %d after %d", b.token, a.token)
			code = broken
		}
	}
	if len(o.received) < 2 {
		return cannot
	}
	return code
}

// orderRequest reports whether a request is an order.
func orderRequest(r *http.Request) bool {
	return r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/order")
}

func orderReply(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}
