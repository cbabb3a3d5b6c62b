package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/adapter/disk"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// register is a state machine that records the value of each command. The
// response to a command holds the previous value and the log index of the
// command.
type register struct {
	// ballast is the size of the part of a snapshot that has no meaning.
	ballast int

	mu      sync.Mutex
	history []uint64
}

func consumeNumber(body []byte) (uint64, []byte) {
	v, n := protowire.ConsumeVarint(body)
	return v, body[max(n, 0):]
}

func (r *register) Apply(index uint64, _ time.Time, body []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := uint64(0)
	if n := len(r.history); n > 0 {
		before = r.history[n-1]
	}
	value, _ := consumeNumber(body)
	r.history = append(r.history, value)
	return protowire.AppendVarint(protowire.AppendVarint(nil, before), index)
}

func (r *register) Snapshot() ([]byte, error) {
	out := protowire.AppendBytes(nil, make([]byte, r.ballast))
	for _, v := range r.history {
		out = protowire.AppendVarint(out, v)
	}
	return out, nil
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	_, n := protowire.ConsumeBytes(data)
	data = data[max(n, 0):]
	for len(data) > 0 {
		var v uint64
		v, data = consumeNumber(data)
		r.history = append(r.history, v)
	}
	return nil
}

func (r *register) values() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.history)
}

// vm is one VM of a test. Its replica can be stopped and restarted with the same
// address and folder.
type vm struct {
	name     string
	nonVoter bool
	folder   string
	address  string
	mux      *http.ServeMux
	server   *http.Server
	replica  *Replica
	log      *Log
	state    *register
	// failSync makes every disk sync of the VM fail.
	failSync   atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

type cluster struct {
	tb      testing.TB
	members raft.Membership
	vms     []*vm
	client  *http.Client
	faults  *lossyTransport
	// link limits the rate to one VM; nil if no rate is limited.
	link atomic.Pointer[slowLink]
}

func newCluster(tb testing.TB, size int) *cluster {
	c := &cluster{tb: tb}
	faults := &lossyTransport{base: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: c.dial}}
	c.client, c.faults = &http.Client{Transport: faults}, faults
	addresses := make(map[string]string)
	var listeners []net.Listener
	for i := range size {
		l := listenLoopback(tb)
		listeners = append(listeners, l)
		v := &vm{name: fmt.Sprintf("vm-%d", i), folder: tb.TempDir(), address: l.Addr().String()}
		addresses[v.name] = v.address
		c.vms = append(c.vms, v)
	}
	c.members = raft.NewVoters(addresses)
	for i, v := range c.vms {
		c.start(v, listeners[i])
	}
	tb.Cleanup(func() {
		for _, v := range c.vms {
			v.stop()
		}
		faults.base.CloseIdleConnections()
	})
	return c
}

// dial opens a connection, whose rate is limited if it leads over the slow link.
func (c *cluster) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if link := c.link.Load(); err == nil && link != nil && link.address == address {
		conn = &slowConn{conn, link}
	}
	return conn, err
}

func url(address string) string { return "http://" + address }

func (c *cluster) start(v *vm, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.state = &register{}
	start := func(f func(context.Context)) { v.goroutines.Go(func() { f(ctx) }) }
	bootstrap := c.members
	if v.nonVoter {
		bootstrap = nil
	}
	r, err := Open(Config{
		ID: v.name, Folder: v.folder, Bootstrap: bootstrap, Disk: disk.Options{Open: v.open},
		StateMachines: map[control.Kind]control.StateMachine{control.KindClaims: v.state},
		Transport:     &TwirpTransport{Self: v.address, URL: url, Client: c.client, Go: start},
		Clock:         time.Now,
	})
	if err != nil {
		c.tb.Fatal(err)
	}
	v.replica = r
	v.log = &Log{Replica: r, Voters: c.members, URL: url, Client: c.client}
	v.mux = http.NewServeMux()
	step := raftv1.NewRaftServiceServer(Server{r})
	v.mux.Handle(step.PathPrefix(), step)
	calls := raftv1.NewLogServiceServer(Server{r})
	v.mux.Handle(calls.PathPrefix(), calls)
	v.server = &http.Server{Handler: v.mux}
	v.goroutines.Go(func() { _ = v.server.Serve(l) })
	start(r.Run)
}

// open opens a file whose syncs fail while failSync is set.
func (v *vm) open(name string, flag int) (disk.File, error) {
	f, err := os.OpenFile(name, flag|os.O_CREATE, 0o600)
	return syncFaultFile{f, &v.failSync}, err
}

type syncFaultFile struct {
	disk.File
	failSync *atomic.Bool
}

func (f syncFaultFile) Sync() error {
	if f.failSync.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// stop stops a VM without a leadership transfer, to simulate a crash.
func (v *vm) stop() {
	v.cancel()
	_ = v.server.Close()
	v.goroutines.Wait()
}

func (c *cluster) restart(v *vm) {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.start(v, l)
}

// leader waits until one of the VMs holds the lease.
func (c *cluster) leader(vms ...*vm) *vm {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, v := range vms {
			if v.replica.HoldsLease() {
				return v
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.tb.Fatal("no VM holds the lease")
	return nil
}

func (c *cluster) others(v *vm) []*vm {
	var out []*vm
	for _, other := range c.vms {
		if other != v {
			out = append(out, other)
		}
	}
	return out
}

// listenLoopback listens on an address that stays free for the VM while it is down.
func listenLoopback(tb testing.TB) net.Listener {
	tb.Helper()
	address, err := loopback.AllocateAddress()
	if err != nil {
		tb.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

// addNonVoter starts a VM that is not a member yet.
func (c *cluster) addNonVoter(name string) *vm {
	l := listenLoopback(c.tb)
	v := &vm{name: name, folder: c.tb.TempDir(), address: l.Addr().String(), nonVoter: true}
	c.vms = append(c.vms, v)
	c.start(v, l)
	return v
}
