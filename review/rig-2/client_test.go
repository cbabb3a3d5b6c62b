package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// result is what a client got for one attempt.
type result struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
	header http.Header
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt on a new connection and reads the whole answer.
func send(address, method, path, host string, headers [][2]string, body []byte, deadline time.Duration) (r result) {
	r.id = newID()
	started := time.Now()
	defer func() { r.took = time.Since(started) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(started.Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	for _, h := range headers {
		text += h[0] + ": " + h[1] + "\r\n"
	}
	if body != nil {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := conn.Write(append([]byte(text+"\r\n"), body...)); err != nil {
		r.err = err
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header = response.StatusCode, response.Header
	data, err := io.ReadAll(response.Body)
	r.body, r.err = string(data), err
	return r
}

// ready reports whether a front answers its readiness check with 200.
func (n *node) ready() bool {
	status, _, err := call(fmt.Sprintf("%s:%d", n.ip, readyPort), "GET", "/readyz", nil, time.Second)
	return err == nil && status == 200
}

// awaitReady waits until all fronts are ready.
func (c *cluster) awaitReady(within time.Duration) bool {
	end := time.Now().Add(within)
	for _, n := range c.fronts() {
		for !n.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func (n *node) frontAddress() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
