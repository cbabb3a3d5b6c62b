package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// fatalPart is the part of a prompt that crashes fragile engines.
const fatalPart = "fatal"

// hasFatalPart reports whether a prompt has the fatal part.
func hasFatalPart(r *http.Request, _ string) bool {
	return strings.Contains(r.Header.Get("Parts"), fatalPart)
}

// fragileEngines are engines that crash when they begin to answer a fatal request. A
// crashed engine is back after restartTime.
type fragileEngines struct {
	t           *testing.T
	core        *Core
	restartTime time.Duration
	isFatal     func(r *http.Request, body string) bool

	mu sync.Mutex
	// fatal holds the times at which fatal requests have reached an engine.
	fatal   []time.Time
	stopped bool
	conns   map[string]map[net.Conn]bool
}

// start starts an incarnation of an engine, which announces itself and serves until it
// crashes or the test ends.
func (e *fragileEngines) start(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.t.Error(err)
		return
	}
	started := time.Now().UnixMilli()
	target := fleet.Target{ID: "engine-" + address, Service: "s", Address: address, Zone: "z", Started: started}
	go func() { _ = e.core.Announce(context.Background(), target) }()
	e.mu.Lock()
	e.conns[address] = make(map[net.Conn]bool)
	if e.stopped {
		_ = listener.Close()
	}
	e.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[address][conn] = true
		e.mu.Unlock()
		go e.answer(conn, listener, address)
	}
}

func (e *fragileEngines) answer(conn net.Conn, listener net.Listener, address string) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		body, _ := io.ReadAll(r.Body)
		if e.isFatal(r, string(body)) {
			e.crash(listener, address)
			return
		}
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	}
}

func (e *fragileEngines) crash(listener net.Listener, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fatal = append(e.fatal, time.Now())
	_ = listener.Close()
	for conn := range e.conns[address] {
		_ = conn.Close()
	}
	time.AfterFunc(e.restartTime, func() {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if !stopped {
			go e.start(address)
		}
	})
}

func (e *fragileEngines) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	for _, conns := range e.conns {
		for conn := range conns {
			_ = conn.Close()
		}
	}
}

// fatalAfter returns how many fatal requests have reached engines later than d after the
// nth one.
func (e *fragileEngines) fatalAfter(nth int, d time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for i := nth; i < len(e.fatal); i++ {
		if e.fatal[i].Sub(e.fatal[nth-1]) > d {
			count++
		}
	}
	return count
}

// startFragileEngines starts engines that crash because of requests for which isFatal is
// true.
func startFragileEngines(t *testing.T, d *deployment, count int, isFatal func(r *http.Request, body string) bool) *fragileEngines {
	t.Helper()
	e := &fragileEngines{
		t: t, core: d.cores[0].core, restartTime: 300 * time.Millisecond, isFatal: isFatal, conns: make(map[string]map[net.Conn]bool),
	}
	t.Cleanup(e.stop)
	for range count {
		go e.start(fmt.Sprintf("%s:%d", nextHostAddress(), allocatePort(t)))
	}
	return e
}

// contactTime is the time after which fronts act on what others have seen.
const contactTime = 4 * time.Second

// fatalLoad is a load of which each fourth request is fatal.
type fatalLoad struct {
	isFatal func(r *http.Request, body string) bool
	// send sends the ith request to a front.
	send func(front string, i int, fatal bool) (status int, err error)
}

// run sends the load to three fronts for ten seconds. It returns the engines, and how many
// sound requests of the last four seconds were served.
func (l fatalLoad) run(t *testing.T) (engines *fragileEngines, served, sound int) {
	t.Helper()
	d := newDeployment(t, 3)
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(context.Background(), documentWithKey(1, "k")) })
	engines = startFragileEngines(t, d, 4, l.isFatal)
	fronts := l.startFronts(t, d)
	var wg sync.WaitGroup
	var mu sync.Mutex
	started := time.Now()
	for i := 0; time.Since(started) < 10*time.Second; i++ {
		fatal := i%4 == 0
		counted := time.Since(started) > 6*time.Second && !fatal
		wg.Go(func() {
			status, err := l.send(fronts[i%len(fronts)], i, fatal)
			mu.Lock()
			defer mu.Unlock()
			if counted {
				sound++
			}
			if counted && err == nil && status == http.StatusOK {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return engines, served, sound
}

// startFronts starts three fronts, which serve sound requests when it returns.
func (l fatalLoad) startFronts(t *testing.T, d *deployment) []string {
	t.Helper()
	var fronts []string
	for range 3 {
		front, _ := d.startFront()
		fronts = append(fronts, front)
		eventually(t, "request", func() error {
			status, err := l.send(front, 1, false)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			return err
		})
	}
	return fronts
}

// Guards against requests with one part in their prompts that crash one engine after the
// other, and against the refusal of sound requests that share their other parts: after
// five crashes and the time of contact, at most three more such requests may reach an
// engine over all fronts.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	load := fatalLoad{isFatal: hasFatalPart, send: func(front string, i int, fatal bool) (int, error) {
		parts := fmt.Sprintf("common topic-%d own-%d", i%7, i)
		if fatal {
			parts = fmt.Sprintf("common %s own-%d", fatalPart, i)
		}
		return sendPrompt(front, "k", parts)
	}}
	engines, served, sound := load.run(t)
	if n := engines.fatalAfter(5, contactTime); n > 3 {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth crash, want 3 at most", n, contactTime)
	}
	if served*100 < sound*98 {
		t.Errorf("%d of %d sound requests were served in the last seconds, want 98 in 100", served, sound)
	}
}

// fatalBody is the body of the requests that crash engines.
const fatalBody = "fatal"

// Guards against a request without a prompt that crashes one engine after the other each
// time its caller repeats it, and against the refusal of sound requests of the same caller:
// after three crashes and the time of contact, at most three more of its repeats may reach
// an engine over all fronts.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	load := fatalLoad{
		isFatal: func(_ *http.Request, body string) bool { return body == fatalBody },
		send: func(front string, i int, fatal bool) (int, error) {
			body := fmt.Sprintf("sound-%d", i)
			if fatal {
				body = fatalBody
			}
			return sendBody(front, http.Header{"Key": {"k"}}, body)
		},
	}
	engines, served, sound := load.run(t)
	if n := engines.fatalAfter(3, contactTime); n > 3 {
		t.Errorf("%d repeats reached engines later than %v after the third crash, want 3 at most", n, contactTime)
	}
	if served*100 < sound*98 {
		t.Errorf("%d of %d sound requests were served in the last seconds, want 98 in 100", served, sound)
	}
}

// checkAsBefore returns an error if members of the core of the version before reject a report.
func checkAsBefore(report *followv1.FrontReport) error {
	if len(report.GetCrashes()) > 256 || len(report.GetCompletions()) > 1024 {
		return errors.New("too many crashes or completions")
	}
	for _, c := range report.GetCrashes() {
		for _, r := range c.GetRequests() {
			isLong := func(name string) bool { return len(name) > 256 || quarantine.IsRequestKey(name) }
			if len(r.GetParts()) > 64 || slices.ContainsFunc(r.GetParts(), isLong) {
				return errors.Newf("a request with %d parts", len(r.GetParts()))
			}
		}
	}
	return nil
}

// maxReportSize is the size that a report of crashes must not exceed, so that the reports of several
// fronts fit into one call to the leader.
const maxReportSize = maxPeerRequestBytes / 8

// brokenRequests returns what a report says of a request.
func brokenRequests(report *followv1.FrontReport, key string) []*followv1.BrokenRequest {
	var list []*followv1.BrokenRequest
	for _, c := range report.GetCrashes() {
		for _, r := range c.GetRequests() {
			if r.GetKey() == key {
				list = append(list, r)
			}
		}
	}
	return list
}

// Guards against a front that loses the core because of one request: its report of a crash is
// rejected as a whole, and sent again until it is too old.
func TestReportOfAnyCrashIsAccepted(t *testing.T) {
	for _, parts := range []int{0, quarantine.MaxChunkParts, quarantine.MaxChunkParts + 1, 1025, 10000} {
		o := quarantine.NewObserver(boottime.Now)
		r := quarantine.Request{Key: quarantine.RequestKey("r")}
		for i := range parts {
			r.Parts = append(r.Parts, strconv.Itoa(i))
		}
		large := quarantine.Request{Key: quarantine.RequestKey("large"), Parts: slices.Repeat([]string{strings.Repeat("x", quarantine.MaxNameBytes)}, 1000)}
		requests := slices.Repeat([]quarantine.SentRequest{{Request: large}}, 10)
		o.RecordCrash("engine", boottime.Now(), append(requests, quarantine.SentRequest{Request: r}), false)
		reported := make(map[string]uint32)
		found := false
		for evidence := o.Report(); len(evidence.Crashes) > 0; evidence = o.Report() {
			report := &followv1.FrontReport{Vm: "f", Address: "f:1"}
			encodeEvidence(report, evidence, boottime.Now())
			if err := checkReport(report); err != nil {
				t.Fatalf("a request with %d parts: %v", parts, err)
			}
			if size := proto.Size(report); size > maxReportSize {
				t.Errorf("a report of a request with %d parts has %d bytes, want %d at most", parts, size, maxReportSize)
			}
			if err := checkAsBefore(report); err != nil {
				t.Fatalf("a request with %d parts is rejected by the version before: %v", parts, err)
			}
			for _, b := range brokenRequests(report, r.Key) {
				found = true
				for i, part := range b.GetParts() {
					reported[part] = b.GetPositions()[i]
				}
			}
			o.Confirm(evidence, false, nil)
		}
		if !found || len(reported) != parts {
			t.Errorf("%d of %d parts of a request are reported", len(reported), parts)
		}
		for i, part := range r.Parts {
			if reported[part] != uint32(i) {
				t.Errorf("part %d of a request is reported as part %d", i, reported[part])
			}
		}
	}
}
