package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// anonymous takes a key away that a client uses on a route which also serves requests without a key.
func anonymous(c *cluster, trouble bool) int {
	c.add(3, 2, 134)
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	var runs atomic.Int64
	e := &engine{c: c, name: "e1", service: "plain", ip: c.ip(21), zone: "muc-a", slots: 6, answer: func(e *engine, w net.Conn, r *http.Request, body []byte) {
		runs.Add(1)
		c.rec.line("engine runs %s: %s", r.Header.Get("Request-Id"), header(r.Header, "Tenant", "Authorization"))
		plainAnswer(w, r, "ok")
	}}
	if err := e.start(); err != nil {
		return cannot
	}
	routes := []map[string]any{route("r", "a.example", "/a/", "safe", "plain", map[string]any{"allow_anonymous": true})}
	doc := func(version int, keys ...string) map[string]any {
		return document(version, routes, []map[string]any{plainService("plain")}, []map[string]any{tenant("t1", keys...), tenant("t2", "other2")})
	}
	if c.operate("PUT", "/config", doc(1, "key1", "kept1"), 20*time.Second) != 200 || !c.awaitReady(10*time.Second) {
		return cannot
	}
	time.Sleep(3 * time.Second)
	ask := func(key string) (ran bool) {
		before := runs.Load()
		for _, f := range c.fronts() {
			r := send(f.frontAddress(), "GET", "/a/1", "a.example", [][2]string{{"Authorization", "Token " + key}}, nil, 3*time.Second)
			c.rec.line("client, key %s, to %s: %d %s %v", key, f.name, r.status, r.body, r.err)
		}
		return runs.Load() > before
	}
	if !ask("key1") {
		return cannot
	}
	keys := []string{"kept1"}
	if !trouble {
		keys = append(keys, "key1")
	}
	if c.operate("PUT", "/config", doc(2, keys...), 10*time.Second) != 200 {
		return cannot
	}
	time.Sleep(revoke + time.Second)
	if ran := ask("key1"); ran && trouble {
		return broken
	} else if !ran && !trouble {
		return cannot
	}
	return held
}
