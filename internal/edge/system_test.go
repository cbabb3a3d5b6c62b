package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/adapter/disk"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/forward"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// The tests of this file run the processes of a deployment in one process, on
// loopback addresses of their own.

// plainCodec passes headers on as they are.
type plainCodec struct{}

func (plainCodec) Request(h http.Header) (forward.Request, error) {
	return forward.Request{ID: h.Get("Id"), Key: h.Get("Key"), Limit: 2 * time.Second}, nil
}
func (plainCodec) Outgoing(caller http.Header, a *forward.Attempt) http.Header {
	return http.Header{"Id": caller["Id"], "Workspace": {a.Workspace}}
}
func (plainCodec) Answer(_ int, h http.Header, _ string) forward.Answer {
	return forward.Answer{RequestID: h.Get("Id"), Signed: true}
}
func (plainCodec) Reply(caller, answer http.Header) { caller["Workspace"] = answer["Workspace"] }

func decodeJSON(raw []byte) (*gateway.Document, error) {
	var d gateway.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, errors.Join(gateway.ErrInvalid, err)
	}
	return &d, d.Validate()
}

type idleEngines struct{}

func (idleEngines) Report(context.Context, fleet.Target) (EngineReport, error) {
	return EngineReport{}, errors.New("no engine")
}
func (idleEngines) SetWeights(context.Context, fleet.Target, WeightsOrder) error { return nil }

// deployment is a core and a front, each at an address of its own.
type deployment struct {
	t     *testing.T
	port  int
	cores []*runningCore
	// metricsPort is that of fronts; 0 serves none.
	metricsPort int
}

type runningCore struct {
	settings Settings
	core     *Core
	stop     context.CancelFunc
	done     chan error
	// full makes every write fail.
	full atomic.Bool
}

// fullDisk is a file on a disk that takes no bytes while full is set.
type fullDisk struct {
	disk.File
	full *atomic.Bool
}

func (f fullDisk) Write(b []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (c *runningCore) open(name string, flag int) (disk.File, error) {
	file, err := os.OpenFile(name, flag|os.O_CREATE, 0o600)
	return fullDisk{file, &c.full}, err
}

// nextHost numbers the loopback addresses of this test process.
var nextHost = 10

func hostAddress() string {
	nextHost++
	return fmt.Sprintf("127.77.%d.%d", nextHost/250, nextHost%250+1)
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func testBounds() Bounds {
	return Bounds{
		Grace: 8 * time.Second, Revoke: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 56,
		RetryWindow: 10 * time.Second, Quota: ratelimit.Overshoot{Window: 8 * time.Second, Part: 0.1, Tokens: 10},
		HolderLease: 3 * time.Second, Weights: 8 * time.Second,
	}
}

func newDeployment(t *testing.T, cores int) *deployment {
	t.Helper()
	d := &deployment{t: t, port: freePort(t)}
	control := strconv.Itoa(freePort(t))
	var seeds []string
	for range cores {
		host := hostAddress()
		seeds = append(seeds, host+":"+control)
		d.cores = append(d.cores, &runningCore{settings: Settings{
			VM: host, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, IP: host,
			ControlAddress: host + ":" + control, PeerPort: d.port, FirstStart: true,
			DataFolder: t.TempDir(), Bounds: testBounds(),
		}})
	}
	for _, c := range d.cores {
		c.settings.Seeds = seeds
		d.start(c)
	}
	return d
}

func (d *deployment) start(c *runningCore) {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop, c.done = cancel, make(chan error, 1)
	ready := make(chan *Core, 1)
	go func() {
		c.done <- RunCore(ctx, c.settings, CoreOptions{
			Logger: zap.NewNop(), Decode: decodeJSON, Engines: idleEngines{},
			Disk: disk.Options{Open: c.open},
			Control: func(core *Core) http.Handler {
				select {
				case ready <- core:
				default:
					// The control log was opened again.
				}
				return http.NotFoundHandler()
			},
		})
	}()
	select {
	case c.core = <-ready:
	case err := <-c.done:
		d.t.Fatalf("core did not start: %v", err)
	}
	d.t.Cleanup(func() { d.halt(c) })
}

func (d *deployment) halt(c *runningCore) {
	if c.stop == nil {
		return
	}
	c.stop()
	c.stop = nil
	if err := <-c.done; err != nil {
		d.t.Errorf("core ended with %v", err)
	}
}

// eventually repeats f until it succeeds.
func eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func document(version uint64, key string) []byte {
	raw, err := json.Marshal(&gateway.Document{
		Version: version,
		Routes: []gateway.Route{{
			Name: "r", Host: "a.example", PathPrefix: "/", Kind: gateway.RunOnce, Timeout: 2 * time.Second,
			Split: []gateway.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		}},
		Services:   []gateway.Service{{Name: "s"}},
		Workspaces: []gateway.Workspace{{Name: "w", Keys: []string{key}, Rate: 100, Burst: 100}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// echo answers each request with its ID and workspace.
func echo(t *testing.T) string { return slowEcho(t, 0) }

// slowEcho answers after a delay.
func slowEcho(t *testing.T, delay time.Duration) string {
	t.Helper()
	address, stop, err := loopback.Serve(func(conn net.Conn) { echoRequests(conn, delay) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

func echoRequests(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(delay)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nWorkspace: %s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Id"), r.Header.Get("Workspace"))
	}
}

func (d *deployment) startFront() (string, context.CancelFunc) {
	host := hostAddress()
	s := Settings{
		VM: host, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, IP: host, PeerPort: d.port, MetricsPort: d.metricsPort,
		FrontAddress: fmt.Sprintf("%s:%d", host, freePort(d.t)), ReadyAddress: fmt.Sprintf("%s:%d", host, freePort(d.t)),
		Seeds: d.cores[0].settings.Seeds, Bounds: testBounds(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- RunFront(ctx, s, FrontOptions{Logger: zap.NewNop(), Decode: decodeJSON, Codec: plainCodec{}})
	}()
	d.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Errorf("front ended with %v", err)
		}
	})
	return s.FrontAddress, cancel
}

func ask(address, key string) (int, error) {
	r, err := http.NewRequest("POST", "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	r.Host = "a.example"
	r.Header.Set("Id", "id")
	r.Header.Set("Key", key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, nil
}

func wantStatus(address, key string, want int) func() error {
	return func() error {
		status, err := ask(address, key)
		if err == nil && status != want {
			err = fmt.Errorf("status %d, want %d", status, want)
		}
		return err
	}
}

// Guards against a path that does not work as a whole: documents, registry,
// forwarding, withdrawn keys, and the loss of a member of the core.
func TestRequestsAreServedThroughChangesAndTheLossOfACore(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "first document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: echo(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[1].core.Announce(ctx, target) })
	front, _ := d.startFront()
	eventually(t, "request", wantStatus(front, "k1", 200))
	if err := wantStatus(front, "k2", 401)(); err != nil {
		t.Error(err)
	}
	d.halt(d.cores[0])
	eventually(t, "document without one core", func() error { return d.cores[1].core.PutDocument(ctx, document(2, "k2")) })
	eventually(t, "withdrawn key", wantStatus(front, "k1", 401))
	eventually(t, "new key", wantStatus(front, "k2", 200))
	eventually(t, "read", func() error {
		stored, err := d.cores[2].core.Document(ctx)
		if err == nil && stored.Version != 2 {
			err = fmt.Errorf("version %d, want 2", stored.Version)
		}
		return err
	})
}

// Guards against acknowledged documents that are lost with a disk, and against
// a replica with an empty disk that votes under its old name.
func TestCoreThatHasLostItsDiskJoinsAgain(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(4, "k1")) })
	lost := d.cores[2]
	before := lost.core.replica.Status().ID
	d.halt(lost)
	lost.settings.DataFolder = t.TempDir()
	lost.settings.FirstStart = false
	d.start(lost)
	eventually(t, "join", func() error {
		status := lost.core.replica.Status()
		if status.ID == before {
			return errors.New("replica has its old name")
		}
		if !status.Members.Voter(status.ID) || status.Members.Voters() != 3 {
			return fmt.Errorf("members are %v", status.Members)
		}
		return nil
	})
	d.halt(d.cores[0])
	eventually(t, "read after the loss of another", func() error {
		stored, err := lost.core.Document(ctx)
		if err == nil && stored.Version != 4 {
			err = fmt.Errorf("version %d, want 4", stored.Version)
		}
		return err
	})
}

// Guards against a read that is older than an acknowledgement: a core without a
// quorum must not answer.
func TestCoreWithoutAQuorumDoesNotAnswerReads(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	d.halt(d.cores[0])
	d.halt(d.cores[1])
	if stored, err := d.cores[2].core.Document(ctx); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read %d, %v; want ErrUnavailable", stored.Version, err)
	}
	if err := d.cores[2].core.PutDocument(ctx, document(2, "k1")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("change without a quorum: %v, want ErrUnavailable", err)
	}
}

// Guards against an invalid document in force.
func TestInvalidDocumentIsRefusedByEveryCore(t *testing.T) {
	d := newDeployment(t, 1)
	for _, raw := range []string{"{", `{"Version":1,"Routes":[{"Name":"r"}]}`} {
		if err := d.cores[0].core.PutDocument(context.Background(), []byte(raw)); !errors.Is(err, gateway.ErrInvalid) {
			t.Errorf("%s: %v, want ErrInvalid", raw, err)
		}
	}
}

// Guards against a front that takes requests before it has its parts of the
// rates: the first second after a start brought 66 refusals by quota.
func TestFrontServesABurstRightAfterItsStart(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: echo(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	front, _ := d.startFront()
	eventually(t, "first answer", func() error {
		status, err := ask(front, "k1")
		if err == nil && status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("status %d right after the start", status)
		}
		return err
	})
	for i := range 200 {
		if err := wantStatus(front, "k1", 200)(); err != nil {
			t.Fatalf("request %d right after the start: %v", i, err)
		}
	}
}

// Guards against a planned stop that cuts off requests: those under way, and
// those that come on open connections while the load balancer has not noticed.
func TestStopOfAFrontCutsOffNoRequest(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: slowEcho(t, 300*time.Millisecond), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	front, stop := d.startFront()
	eventually(t, "first answer", wantStatus(front, "k1", 200))
	results := make(chan error, 12)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			results <- wantStatus(front, "k1", 200)()
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// Guards against metrics that are not served where the deploy file says.
func TestCountersAreServedOnTheMetricsPort(t *testing.T) {
	d := newDeployment(t, 1)
	d.metricsPort = freePort(t)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: echo(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	front, _ := d.startFront()
	eventually(t, "request", wantStatus(front, "k1", 200))
	host, _, _ := net.SplitHostPort(front)
	answer, err := http.Get(fmt.Sprintf("http://%s:%d%s", host, d.metricsPort, MetricsPath))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	for _, name := range []string{"requests_once_ok", "request_time_once_le_", "confirmed_age_ms", "connections_opened"} {
		if err != nil || !strings.Contains(string(text), name) {
			t.Errorf("%s is not served: %v", name, err)
		}
	}
}

// Guards against a core that loses its majority because disks were full one
// after the other: each member stayed away after its first failed write.
func TestDisksThatFillInTurnLeaveTheCoreWhole(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	version := uint64(1)
	put := func() error {
		for _, c := range d.cores {
			if err := c.core.PutDocument(ctx, document(version, "k1")); err == nil {
				return nil
			}
		}
		return errors.New("no member of the core takes the document")
	}
	eventually(t, "first document", put)
	for i, c := range d.cores {
		c.full.Store(true)
		version++
		eventually(t, fmt.Sprintf("document with the disk of core %d full", i), put)
		time.Sleep(300 * time.Millisecond)
		c.full.Store(false)
		version++
		eventually(t, fmt.Sprintf("document after the disk of core %d was full", i), put)
		time.Sleep(2 * reopenPause)
	}
}

// Guards against spending that is forgotten when all members of the core start
// again: the leader divided the rates before it had applied its log, and a
// workspace could spend its rate twice within a window.
func TestSpendingOutlastsTheEndOfTheWholeCore(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, document(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: echo(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	front, _ := d.startFront()
	eventually(t, "first answer", wantStatus(front, "k1", 200))
	for range 300 {
		if _, err := ask(front, "k1"); err != nil {
			t.Fatal(err)
		}
	}
	var recorded float64
	eventually(t, "record of the spending", func() error {
		recorded = d.cores[0].core.fleet.Current().Spent["w"].Spent
		if recorded < 250 {
			return fmt.Errorf("%v is recorded", recorded)
		}
		return nil
	})
	for _, c := range d.cores {
		d.halt(c)
	}
	for _, c := range d.cores {
		c.settings.FirstStart = false
		d.start(c)
	}
	eventually(t, "leader", func() error {
		for _, c := range d.cores {
			led, leading := c.core.leadership()
			if !leading {
				continue
			}
			if total := led.divider.Totals(boottime.Now())["w"].Spent; total < recorded {
				t.Fatalf("the leader starts with %v spent, %v was recorded", total, recorded)
			}
			return nil
		}
		return errors.New("no core leads")
	})
}
