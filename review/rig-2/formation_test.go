package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// formation starts three machines of the core within 0.3 s, for the first time. One of them is lost
// for good before the last one starts, and an empty one replaces it at another address.
func formation(c *cluster, trouble bool) int {
	c.add(3, 1, 134)
	cores := c.cores()
	lost := cores[0]
	for i, n := range cores {
		if i == 2 && trouble {
			time.Sleep(60 * time.Millisecond)
			lost.kill()
			c.rec.line("%s is lost for good, with its disk", lost.name)
			time.Sleep(60 * time.Millisecond)
		} else if i > 0 {
			time.Sleep(120 * time.Millisecond)
		}
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	front := c.fronts()[0]
	if err := front.start(true); err != nil {
		return cannot
	}
	var runs atomic.Int64
	e := &engine{c: c, name: "e1", service: "plain", ip: c.ip(21), zone: "muc-a", slots: 6, answer: func(e *engine, w net.Conn, r *http.Request, body []byte) {
		runs.Add(1)
		plainAnswer(w, r, "ok")
	}}
	if err := e.start(); err != nil {
		return cannot
	}
	if trouble {
		time.Sleep(1700 * time.Millisecond)
		n := &node{c: c, name: "core-4", ip: c.ip(4), zone: lost.zone, memory: 280, seeds: lost.seeds}
		c.nodes = append(c.nodes[1:], n)
		c.removed = append(c.removed, lost)
		if err := n.start(false); err != nil {
			return cannot
		}
		c.rec.line("the core has run with all three machines from here on")
	}
	routes := []map[string]any{route("r", "a.example", "/a/", "safe", "plain", nil)}
	status := c.operate("PUT", "/config", document(1, routes, []map[string]any{plainService("plain")}, []map[string]any{tenant("t1", "key1")}), 60*time.Second)
	c.rec.line("the operator's change after 60 s at most: %d (0: no clear answer)", status)
	time.Sleep(2 * time.Second)
	served := 0
	for range 10 {
		r := send(front.frontAddress(), "GET", "/a/1", "a.example", [][2]string{{"Authorization", "Token key1"}}, nil, 3*time.Second)
		c.rec.line("client: %d %.60q %s", r.status, r.body, shortError(r.err))
		if r.status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The operator reads the configuration back repeatedly for longer than contact_ms.
	came := false
	for end := time.Now().Add(3 * contact); !came && time.Now().Before(end); {
		for _, n := range c.cores() {
			code, text, err := call(fmt.Sprintf("%s:%d", n.ip, controlPort), "GET", "/config", nil, time.Second)
			c.rec.line("GET /config at %s: %d %.40q %s", n.name, code, text, shortError(err))
			came = came || code == 200
		}
	}
	c.rec.line("requests served: %d of 10; the configuration came when it was read back: %v", served, came)
	if status != 200 && !came && served == 0 {
		return broken
	}
	if status == 200 && came && served > 0 {
		return held
	}
	return cannot
}
