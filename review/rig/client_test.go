package rig

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, path, key, front string
	// usage and prefix are the Token-Usage and Prompt-Prefix headers.
	usage, prefix string
	deadline      time.Duration
	sent          time.Time
	// status is 0 without an answer.
	status int
	body   string
	took   time.Duration
}

var lastID atomic.Int64

// send sends one request to a front on a connection of its own. There are no retries.
func (r *rig) send(front *node, a attempt) attempt {
	a.id = fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1))
	a.front = front.name
	method := http.MethodPost
	if strings.HasPrefix(a.path, "/look/") {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+front.frontAddress()+a.path, strings.NewReader(map[bool]string{true: "order " + a.id, false: ""}[method == http.MethodPost]))
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.GetBody = nil
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Authorization", "Token "+a.key)
	if a.deadline == 0 {
		a.deadline = 3 * time.Second
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.usage != "" {
		request.Header.Set("Model", "m0")
		request.Header.Set("Token-Usage", a.usage)
		request.Header.Set("Prompt-Prefix", a.prefix)
	}
	a.sent = time.Now()
	response, err := newClient(a.deadline).Do(request)
	a.took = time.Since(a.sent)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.took = time.Since(a.sent)
	a.body = string(body)
	if err == nil {
		a.status = response.StatusCode
	}
	return a
}

// logAttempt writes an attempt to the record.
func (r *rig) logAttempt(a attempt) {
	r.logf("request %s %s key %s to %s, sent at %.3f s: status %d after %.3f s %.60q", a.id, a.path, a.key, a.front, a.sent.Sub(r.started).Seconds(), a.status, a.took.Seconds(), a.body)
}

// traffic sends requests at regular intervals until stopped.
type traffic struct {
	rig  *rig
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	sent []attempt
}

// startTraffic sends a request every interval, to the fronts in turn.
func (r *rig) startTraffic(fronts []*node, every time.Duration, next func(i int) attempt) *traffic {
	t := &traffic{rig: r, stop: make(chan struct{})}
	t.done.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			front := fronts[i%len(fronts)]
			t.done.Go(func() {
				a := r.send(front, next(i))
				t.mu.Lock()
				t.sent = append(t.sent, a)
				t.mu.Unlock()
			})
		}
	})
	return t
}

// end stops the traffic and returns all attempts.
func (t *traffic) end() []attempt {
	close(t.stop)
	t.done.Wait()
	for _, a := range t.sent {
		t.rig.logAttempt(a)
	}
	return t.sent
}

// awaitServed waits until fronts serve requests.
func (r *rig) awaitServed(fronts []*node, a attempt) {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		served := 0
		for _, f := range fronts {
			if r.send(f, a).status == http.StatusOK {
				served++
			}
		}
		if served == len(fronts) {
			r.logf("all fronts serve requests")
			return
		}
	}
	panic("the fronts do not serve requests")
}
