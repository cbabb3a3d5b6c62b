package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadlyPart is the ID of the part of prompts that crashes engines.
const deadlyPart = "dead0001"

// manyParts sends requests of a long session. One part of their prompts, which is not the last,
// crashes each engine that begins to write an answer on it. Sound requests have the same caller and
// the other parts.
func manyParts(c *cluster, trouble bool) int {
	c.add(3, 3, 134)
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return cannot
		}
	}
	// PARTS is the number of parts before the deadly one.
	before, err := strconv.Atoi(os.Getenv("PARTS"))
	if err != nil {
		before = 70
	}
	var mu sync.Mutex
	crashes, late := 0, 0
	var fifth time.Time
	answer := func(e *engine, w net.Conn, r *http.Request, body []byte) {
		time.Sleep(20 * time.Millisecond)
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart) {
			streamAnswer(w, r, 30)
			return
		}
		mu.Lock()
		c.rec.line("engine %s begins to answer the request %s, which has the part", e.name, r.Header.Get("Request-Id"))
		if trouble {
			crashes++
			switch {
			case crashes == 5:
				fifth = time.Now()
			case crashes > 5 && time.Since(fifth) > contact:
				late++
			}
			c.rec.line("crash %d; requests with the part that reached engines later than contact_ms after the fifth crash: %d", crashes, late)
		}
		mu.Unlock()
		if trouble {
			e.crash(false, 2*time.Second)
			return
		}
		streamAnswer(w, r, 4)
	}
	for i := range 6 {
		e := &engine{c: c, name: fmt.Sprintf("e%d", i+1), service: "llm", model: "m", ip: c.ip(21 + i), zone: zoneNames[i%3], slots: 96, answer: answer}
		if err := e.start(); err != nil {
			return cannot
		}
	}
	routes := []map[string]any{route("r", "a.example", "/a/", "streaming", "llm", map[string]any{"max_attempts": 1, "timeout_ms": 5000, "target_latency_ms": 800, "target_gap_ms": 250, "session_affinity": true})}
	doc := document(1, routes, []map[string]any{engineService("llm", "m", 82307)}, []map[string]any{tenant("t1", "key1")})
	if c.operate("PUT", "/config", doc, 20*time.Second) != 200 || !c.awaitReady(10*time.Second) {
		return cannot
	}
	time.Sleep(contact + time.Second)
	// The parts that all requests of the session share.
	var parts []string
	for i := range before {
		parts = append(parts, fmt.Sprintf("%08x:64", 0x5c1e0000+i))
	}
	session := strings.Join(parts, ",")
	headers := func(n int, deadly bool) [][2]string {
		prefix := session
		if deadly {
			prefix += "," + deadlyPart + ":64"
		}
		prefix += fmt.Sprintf(",%08x:250", 0x77000000+n)
		return [][2]string{{"Authorization", "Token key1"}, {"Model", "m"}, {"Token-Usage", fmt.Sprintf("%d,13", 64*(before+1)+250)}, {"Prompt-Prefix", prefix}}
	}
	end := time.Now().Add(50 * time.Second)
	var clients sync.WaitGroup
	served, lost, asked := 0, 0, 0
	for k := range 12 {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				f := c.fronts()[(i+k)%3]
				r := send(f.frontAddress(), "POST", "/a/1", "a.example", headers(1000+10000*k+i, false), []byte(fmt.Sprintf("sound %d %d", k, i)), 5*time.Second)
				mu.Lock()
				asked++
				switch {
				case r.status == 200 && r.err == nil:
					served++
				case r.status == 200 || r.status == 502:
					lost++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		f := c.fronts()[i%3]
		r := send(f.frontAddress(), "POST", "/a/1", "a.example", headers(i, true), []byte(fmt.Sprintf("request %d", i)), 5*time.Second)
		c.rec.line("client, request %d with the part, id %s, to %s: %d %.60q after %.2f s %s", i+1, r.id, f.name, r.status, r.body, r.took.Seconds(), shortError(r.err))
		time.Sleep(1500 * time.Millisecond)
	}
	clients.Wait()
	c.rec.line("other requests: %d asked, %d answered completely, %d broken off at an engine that crashed", asked, served, lost)
	c.rec.line("requests with the part reached engines %d times later than contact_ms after the fifth crash; 3 are allowed", late)
	if trouble && crashes < 4 || served == 0 {
		return cannot
	}
	if late > 3 {
		return broken
	}
	return held
}

// streamAnswer writes a complete stream of events.
func streamAnswer(w net.Conn, r *http.Request, events int) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	for i := range events {
		text := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Fprint(w, "0\r\n\r\n")
}
