package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an engine began to work on.
type run struct {
	id, path, tenant, salt, engine, service string
	parts                                   []string
	tokens                                  int
	at                                      time.Time
}

// engine is the stand-in of an engine or of an instance of a plain service. It behaves
// as the pages say of a sound one.
type engine struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	llm     bool
	slots   int
	queue   int
	// work returns how long a request takes.
	work func(*http.Request) time.Duration
	// served is called when a request begins to run. It may be nil.
	served func(*run)

	mu       sync.Mutex
	born     int64
	sequence int
	version  int
	orders   int
	busy     bool
	running  int
	waiting  []chan bool
	runs     []run
	refused  int
	answers  int
	copies   int
	// faulty engines write some of their refusals a second time. faultyAnswers and
	// faultyCopies count since the engine became faulty.
	faulty                      bool
	faultyAnswers, faultyCopies int
	server                      *http.Server
	beats                       context.CancelFunc
}

func (r *rig) newEngine(id, service, zone string, llm bool) *engine {
	return &engine{
		rig: r, id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", r.newIP(), r.enginePort()), llm: llm, slots: 96, queue: 288, version: 1,
		work: func(*http.Request) time.Duration { return 30 * time.Millisecond },
	}
}

// listen starts an incarnation of the engine, which says nothing of itself yet.
func (e *engine) listen() {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.born = time.Now().UnixMilli()
	e.sequence, e.orders = 0, 0
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	e.mu.Unlock()
	go server.Serve(l)
	e.rig.onClose(func() { server.Close() })
	e.rig.logf("engine %s of %s starts at %s", e.id, e.service, e.address)
}

// start starts the engine and its heartbeats.
func (e *engine) start() {
	e.listen()
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.beats = cancel
	e.mu.Unlock()
	e.rig.onClose(cancel)
	go func() {
		for ctx.Err() == nil {
			e.beat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatTime):
			}
		}
	}()
}

// heartbeat returns the body of the next heartbeat.
func (e *engine) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b := object{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.llm {
		b["stage"], b["models"] = "both", []object{{"name": "m0", "version": e.version, "adapters": []string{}}}
	}
	return encode(b)
}

// beat sends a heartbeat to one node after another until it is acknowledged.
func (e *engine) beat() bool {
	body := e.heartbeat()
	for _, address := range e.rig.controls() {
		if status, _ := call(http.MethodPut, address, "/instances/"+e.id, body, time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if e.llm {
		e.mu.Lock()
		w.Header().Set("Weight-Versions", strconv.Itoa(e.version))
		e.mu.Unlock()
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		e.reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := object{"stage": "both", "models": []object{{"name": "m0", "version": e.version, "adapters": []string{}}}, "busy": e.busy, "sequence": e.orders,
		"queued": len(e.waiting), "running": e.running, "kv_used": 0, "kv_total": 82307, "handles": 0}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode(body))
}

// order carries out an order to load other weights, which takes 0.38 s. The requests that
// have not started are turned away.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Op, Holder string
		Version    int
		Expected   *int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Op != "version" || body.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, body.Expected != nil && *body.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case body.Version <= e.version:
		return
	}
	e.orders++
	e.busy = true
	for _, ready := range e.waiting {
		ready <- false
	}
	e.rig.logf("engine %s accepts the order of %s to load version %d; %d requests that have not started are turned away", e.id, body.Holder, body.Version, len(e.waiting))
	e.waiting = nil
	time.AfterFunc(380*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version, e.busy = body.Version, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// request runs a request once it has a slot.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Request-Id") == "" {
		e.reject(w, http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.answers++
	e.faultyAnswers++
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.Itoa(e.version) {
		version := strconv.Itoa(e.version)
		again := e.faulty && (e.faultyCopies+1)*answersPerCopy <= e.faultyAnswers
		if again {
			e.copies++
			e.faultyCopies++
		}
		e.mu.Unlock()
		w.Header().Set("Weight-Versions", version)
		w.Header().Set("Instance-Id", e.id)
		if again {
			e.refuseTwice(w, r, version)
			return
		}
		e.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if e.busy || e.running >= e.slots && len(e.waiting) >= e.queue {
		e.refused++
		e.mu.Unlock()
		e.reject(w, http.StatusServiceUnavailable)
		return
	}
	if e.running >= e.slots {
		ready := make(chan bool, 1)
		e.waiting = append(e.waiting, ready)
		e.mu.Unlock()
		if !e.await(w, r, ready) {
			return
		}
		e.mu.Lock()
	} else {
		e.running++
	}
	started := e.begin(r)
	e.mu.Unlock()
	defer e.release()
	if e.served != nil {
		e.served(started)
	}
	e.answer(w, r, e.work(r))
}

// await waits for a slot. It reports false if the request does not run.
func (e *engine) await(w http.ResponseWriter, r *http.Request, ready chan bool) bool {
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case run := <-ready:
		if run {
			return true
		}
	case <-timer.C:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	waited := false
	for i := range e.waiting {
		if e.waiting[i] == ready {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			waited = true
			break
		}
	}
	e.refused++
	e.mu.Unlock()
	if !waited {
		select {
		case run := <-ready:
			if run {
				e.release()
			}
		default:
		}
	}
	e.reject(w, http.StatusServiceUnavailable)
	return false
}

// begin records that a request runs. The caller holds mu.
func (e *engine) begin(r *http.Request) *run {
	started := run{
		id: r.Header.Get("Request-Id"), path: r.URL.Path, tenant: r.Header.Get("Tenant"), salt: r.Header.Get("Cache-Salt"), engine: e.id, service: e.service, at: time.Now(),
	}
	if prefix := r.Header.Get("Prompt-Prefix"); prefix != "" {
		started.parts = strings.Split(prefix, ",")
	}
	for _, number := range strings.Split(r.Header.Get("Token-Usage"), ",") {
		n, _ := strconv.Atoi(number)
		started.tokens += n
	}
	e.runs = append(e.runs, started)
	return &started
}

// release gives the slot of a request to the first one that waits.
func (e *engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		ready := e.waiting[0]
		e.waiting = e.waiting[1:]
		ready <- true
		return
	}
	e.running--
}

// answer answers a request: a stream for engines, a short body for plain services.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, work time.Duration) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Response-Stamp", e.id+"."+id)
	if !e.llm {
		time.Sleep(work)
		fmt.Fprintf(w, "answer of %s to %s", e.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	const pause = 100 * time.Millisecond
	events := max(int(work/pause), 1)
	for i := first; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, id)
		if flusher.Flush() != nil {
			return
		}
	}
}

// allRuns returns the runs at all engines by time.
func allRuns(engines []*engine) []run {
	var list []run
	for _, e := range engines {
		e.mu.Lock()
		list = append(list, e.runs...)
		e.mu.Unlock()
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	return list
}

// answersPerCopy is the number of answers of a faulty engine for each that it writes twice:
// a share of 0.03.
const answersPerCopy = 34

// refuseTwice turns a request away because of its weights, and writes the same answer once
// more where the answer to the next request on the connection is expected. The engine then
// serves the connection on.
func (e *engine) refuseTwice(w http.ResponseWriter, r *http.Request, version string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	e.rig.onClose(func() { conn.Close() })
	id := r.Header.Get("Request-Id")
	answer := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nWeight-Versions: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, e.id, version)
	fmt.Fprint(conn, answer)
	e.rig.logf("engine %s answers request %s with 421: it runs version %s, not %s", e.id, id, version, r.Header.Get("Expect-Version"))
	go func() {
		defer conn.Close()
		for first := true; ; first = false {
			next, err := http.ReadRequest(buffered.Reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, next.Body)
			if first {
				e.rig.logf("engine %s writes the answer to request %s once more, as request %s arrives on the connection", e.id, id, next.Header.Get("Request-Id"))
				fmt.Fprint(conn, answer)
			}
			if !e.runOn(conn, next) {
				return
			}
		}
	}()
}

// runOn serves a request on a connection that the HTTP server has given up.
func (e *engine) runOn(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	e.answers++
	e.faultyAnswers++
	version := strconv.Itoa(e.version)
	if want := r.Header.Get("Expect-Version"); want != "" && want != version || r.Header.Get("Expect-Instance") != e.id {
		e.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nWeight-Versions: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, version)
		return err == nil
	}
	e.running++
	e.begin(r)
	e.mu.Unlock()
	defer e.release()
	e.rig.logf("engine %s runs request %s", e.id, id)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nWeight-Versions: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, id, e.id+"."+id, version); err != nil {
		return false
	}
	const pause = 100 * time.Millisecond
	for i := range max(int(e.work(r)/pause), 1) {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i+1, i+1, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// setFaulty makes the engine faulty or sound.
func (e *engine) setFaulty(faulty bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faulty || e.faulty {
		e.rig.logf("engine %s is faulty: %v; answers since the last change %d, written twice %d", e.id, faulty, e.faultyAnswers, e.faultyCopies)
	}
	e.faulty, e.faultyAnswers, e.faultyCopies = faulty, 0, 0
}
