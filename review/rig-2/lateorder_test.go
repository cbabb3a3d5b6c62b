package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// versionLimit is version_ms.
const versionLimit = 8 * time.Second

// lateOrder names new weights twice. An engine leaves the first order unanswered and carries it out
// late, after it has restarted under the id that it had.
func lateOrder(c *cluster, trouble bool) int {
	c.add(3, 2, 134)
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	var mu sync.Mutex
	var named time.Time
	old, begun := 0, 0
	answer := func(e *engine, w net.Conn, r *http.Request, body []byte) {
		// Requests beyond the slots wait.
		e.places <- struct{}{}
		defer func() { <-e.places }()
		e.mu.Lock()
		version := e.version
		e.mu.Unlock()
		id := r.Header.Get("Request-Id")
		if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.Itoa(version) {
			fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nWeight-Versions: %d\r\nContent-Length: 0\r\n\r\n", id, e.id, version)
			return
		}
		mu.Lock()
		if !named.IsZero() {
			begun++
			if since := time.Since(named); version < 3 && since > versionLimit {
				old++
				c.rec.line("engine %s begins the request %s on version %d, %.1f s after version 3 was acknowledged (Expect-Version %q)", e.name, id, version, since.Seconds(), r.Header.Get("Expect-Version"))
			}
		}
		mu.Unlock()
		streamAnswer(w, r, 40)
	}
	var engines []*engine
	for i := range 9 {
		e := &engine{c: c, name: fmt.Sprintf("e%d", i+1), service: "llm", model: "m", ip: c.ip(21 + i), zone: zoneNames[i%3], slots: 4, answer: answer, orders: &orders{}, keepID: true, places: make(chan struct{}, 4)}
		e.orders.onArrival = func([]byte) {}
		engines = append(engines, e)
		if err := e.start(); err != nil {
			return cannot
		}
	}
	// Engines run four requests at once, so that the traffic needs all of them.
	llm := engineService("llm", "m", 82307)
	llm["engine"].(map[string]any)["slots"] = 4
	services := []map[string]any{llm}
	routes := []map[string]any{route("r", "a.example", "/a/", "streaming", "llm", map[string]any{"max_attempts": 1, "timeout_ms": 5000, "target_latency_ms": 800, "target_gap_ms": 250, "session_affinity": true})}
	if c.operate("PUT", "/config", document(1, routes, services, []map[string]any{tenant("t1", "key1")}), 20*time.Second) != 200 || !c.awaitReady(10*time.Second) {
		return cannot
	}
	time.Sleep(6 * time.Second)
	end := make(chan struct{})
	var clients sync.WaitGroup
	served, asked := 0, 0
	for k := range 54 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-time.After(120 * time.Millisecond):
				}
				headers := [][2]string{{"Authorization", "Token key1"}, {"Model", "m"}, {"Token-Usage", "6550,13"},
					{"Prompt-Prefix", fmt.Sprintf("%08x:2520,%08x:3780,%08x:250", 1, 2+(i+k)%7, 1000*(k+1)+i)}}
				r := send(c.fronts()[(i+k)%2].frontAddress(), "POST", "/a/1", "a.example", headers, []byte("prompt"), 5*time.Second)
				mu.Lock()
				asked++
				if r.status == 200 && r.err == nil {
					served++
				}
				mu.Unlock()
			}
		})
	}
	struck := engines[:2]
	if trouble {
		for _, e := range struck {
			e.orders.late = 9 * time.Second
		}
	}
	c.operate("POST", "/version-put", map[string]any{"model": "m", "version": 2}, 10*time.Second)
	if !awaitVersion(engines, 2, 15*time.Second) {
		c.rec.line("the engines do not come to version 2")
		return cannot
	}
	c.operate("POST", "/version-put", map[string]any{"model": "m", "version": 3}, 10*time.Second)
	mu.Lock()
	named = time.Now()
	mu.Unlock()
	if !awaitVersion(engines, 3, 15*time.Second) {
		c.rec.line("the engines do not come to version 3")
		return cannot
	}
	c.rec.line("all engines run version 3")
	if trouble {
		for _, e := range struck {
			e.crash(false, time.Second)
		}
	}
	time.Sleep(30 * time.Second)
	close(end)
	clients.Wait()
	behind, carriedOut := 0, true
	for i, e := range engines {
		e.mu.Lock()
		if e.version < 3 {
			behind++
		}
		carriedOut = carriedOut && (i >= len(struck) || e.orders.lateDone)
		c.rec.line("engine %s runs version %d, as its heartbeats say", e.name, e.version)
		e.mu.Unlock()
	}
	c.rec.line("requests: %d asked, %d answered completely; begun on an older version later than version_ms after version 3 was acknowledged: %d of %d", asked, served, old, begun)
	c.rec.line("engines with an older version at the end: %d of %d", behind, len(engines))
	if served == 0 || trouble && !carriedOut {
		return cannot
	}
	if old > 0 || behind > 1 && 10*behind > len(engines) {
		return broken
	}
	return held
}

func awaitVersion(engines []*engine, version int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		done := true
		for _, e := range engines {
			e.mu.Lock()
			done = done && e.version >= version
			e.mu.Unlock()
		}
		if done {
			return true
		}
	}
	return false
}
