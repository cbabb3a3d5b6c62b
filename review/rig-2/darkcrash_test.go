package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// darkCrash sends a request that crashes each engine which begins to run it, again and again, to
// any front, beside ordinary traffic. The machine of a crashed engine is silent and back after some
// seconds.
func darkCrash(c *cluster, trouble bool) int {
	c.add(3, 3, 134)
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	// With LOUD=1 the processes of the engines end, and connections to them are reset.
	dark := os.Getenv("LOUD") != "1"
	const deadlyPath = "/a/deadly"
	var mu sync.Mutex
	crashes, late := 0, 0
	var third time.Time
	answer := func(e *engine, w net.Conn, r *http.Request, body []byte) {
		if r.URL.Path != deadlyPath {
			time.Sleep(150 * time.Millisecond)
			plainAnswer(w, r, "ok")
			return
		}
		mu.Lock()
		c.rec.line("engine %s begins to run the request %s", e.name, r.Header.Get("Request-Id"))
		if trouble {
			crashes++
			switch {
			case crashes == 3:
				third = time.Now()
			case crashes > 3 && time.Since(third) > contact:
				late++
			}
			c.rec.line("crash %d; reached engines later than contact_ms after the third crash: %d", crashes, late)
		}
		mu.Unlock()
		if trouble {
			e.crash(dark, 2500*time.Millisecond)
			return
		}
		plainAnswer(w, r, "ok")
	}
	for i := range 4 {
		e := &engine{c: c, name: fmt.Sprintf("e%d", i+1), service: "plain", ip: c.ip(21 + i), zone: zoneNames[i%3], slots: 6, answer: answer}
		if err := e.start(); err != nil {
			return cannot
		}
	}
	routes := []map[string]any{route("r", "a.example", "/a/", "unsafe", "plain", map[string]any{"max_attempts": 1})}
	doc := document(1, routes, []map[string]any{plainService("plain")}, []map[string]any{tenant("t1", "key1")})
	if c.operate("PUT", "/config", doc, 20*time.Second) != 200 || !c.awaitReady(10*time.Second) {
		return cannot
	}
	time.Sleep(contact + time.Second)
	key := [][2]string{{"Authorization", "Token key1"}}
	end := time.Now().Add(60 * time.Second)
	var clients sync.WaitGroup
	served, lost, asked := 0, 0, 0
	for k := range 12 {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				f := c.fronts()[(i+k)%3]
				r := send(f.frontAddress(), "POST", fmt.Sprintf("/a/%d-%d", k, i), "a.example", key, []byte("{}"), 3*time.Second)
				mu.Lock()
				asked++
				switch r.status {
				case 200:
					served++
				case 502, 504:
					lost++
				}
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	body := []byte(strings.Repeat("x", 600))
	for i := 0; time.Now().Before(end); i++ {
		f := c.fronts()[i%3]
		r := send(f.frontAddress(), "POST", deadlyPath, "a.example", key, body, 3*time.Second)
		c.rec.line("client, attempt %d of the request, id %s, to %s: %d %.60s after %.2f s %s", i+1, r.id, f.name, r.status, r.body, r.took.Seconds(), shortError(r.err))
		time.Sleep(1500 * time.Millisecond)
	}
	clients.Wait()
	c.rec.line("other requests, which run at most once: %d asked, %d answered with 200, %d ended with 502 or 504 after an engine had got them", asked, served, lost)
	c.rec.line("the request reached engines %d times later than contact_ms after the third crash; 3 are allowed", late)
	if trouble && crashes < 3 || served == 0 {
		return cannot
	}
	if late > 3 {
		return broken
	}
	return held
}
