package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/control/configstate"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/settings"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

// testLog replaces the control log with one sequence of commands in memory,
// which is applied to the state machines of every voter.
type testLog struct {
	mu          sync.Mutex
	entries     [][]byte
	machines    map[string]*control.CompositeStateMachine
	partitioned map[string]bool
	// lostResponses is how many of the next responses are lost after the commit.
	lostResponses int
}

func newTestLog() *testLog {
	return &testLog{machines: make(map[string]*control.CompositeStateMachine), partitioned: make(map[string]bool)}
}

// attach returns the log as vm sees it. A voter first replays all commands.
func (l *testLog) attach(vm string, voter bool, stateMachines map[control.Kind]control.StateMachine) control.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	if voter {
		m := control.NewCompositeStateMachine(stateMachines)
		for i, e := range l.entries {
			_, _ = m.Apply(uint64(i+1), e)
		}
		l.machines[vm] = m
	}
	return &vmLog{l, vm}
}

func (l *testLog) setPartitioned(vm string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[vm] = partitioned
}

type vmLog struct {
	log *testLog
	vm  string
}

const testLeader = "vm-1"

func (v *vmLog) Propose(_ context.Context, kind control.Kind, body []byte) ([]byte, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned[v.vm] {
		return nil, control.ErrNotCommitted
	}
	command := control.EncodeCommand(kind, time.UnixMilli(0), body)
	l.entries = append(l.entries, command)
	var response []byte
	for _, m := range l.machines {
		a, err := m.Apply(uint64(len(l.entries)), command)
		if err != nil {
			return nil, err
		}
		response = a
	}
	if l.lostResponses > 0 {
		l.lostResponses--
		return nil, control.ErrUncertain
	}
	return response, nil
}

func (v *vmLog) Barrier(context.Context) (uint64, error) {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	if v.log.partitioned[v.vm] {
		return 0, errors.New("no quorum")
	}
	return uint64(len(v.log.entries)), nil
}

func (v *vmLog) Leader() (string, bool) { return testLeader, true }

func (v *vmLog) HoldsLease() bool { return v.vm == testLeader }

// testCluster runs several VMs in one process. The first ones are voters.
type testCluster struct {
	t      testing.TB
	log    *testLog
	voters int
	peers  map[string]string
	gossip map[string]string
	nodes  map[string]*Node
	// skew is an offset in nanoseconds added to the clocks of all VMs.
	skew atomic.Int64

	mu      sync.Mutex
	blocked map[string]bool
	conns   map[string][]net.Conn
}

func newTestCluster(t testing.TB, vms, voters int) *testCluster {
	t.Helper()
	c := &testCluster{
		t: t, log: newTestLog(), voters: voters, peers: make(map[string]string), gossip: make(map[string]string),
		nodes: make(map[string]*Node), blocked: make(map[string]bool), conns: make(map[string][]net.Conn),
	}
	for i := range vms {
		c.peers[vmName(i)] = testAddress(t)
		c.gossip[vmName(i)] = testAddress(t)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.Close()
		}
	})
	return c
}

func vmName(i int) string { return fmt.Sprint("vm-", i+1) }

func (c *testCluster) settings(i int, zone string) settings.Settings {
	vm := vmName(i)
	s := settings.Settings{
		VM: vm, Zone: zone, Region: "r", CallerAddress: testAddress(c.t), TargetAddress: testAddress(c.t),
		PeerAddress: c.peers[vm], GossipAddress: c.gossip[vm], AdminAddress: testAddress(c.t),
		InitialVoters: make(map[string]string),
	}
	for j := range c.voters {
		s.InitialVoters[vmName(j)] = c.peers[vmName(j)]
	}
	for name, address := range c.gossip {
		if name != vm {
			s.Join = append(s.Join, address)
		}
	}
	return s
}

// start starts VM i in a zone.
func (c *testCluster) start(i int, zone string, change func(*settings.Settings)) *Node {
	c.t.Helper()
	s := c.settings(i, zone)
	if change != nil {
		change(&s)
	}
	options := Options{
		Dial:         c.dialFrom(s.VM),
		Clock:        func() time.Time { return time.Now().Add(time.Duration(c.skew.Load())) },
		ListenPacket: func(address string) (net.PacketConn, error) { return c.listenPacket(s.VM, address) },
	}
	if c.log != nil {
		options.NewLog = func(stateMachines map[control.Kind]control.StateMachine) control.Log {
			return c.log.attach(s.VM, s.IsInitialVoter(), stateMachines)
		}
	}
	n, err := Start(s, options)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[s.VM] = n
	return n
}

// awaitMembers waits until every VM sees all others.
func (c *testCluster) awaitMembers() {
	c.t.Helper()
	await(c.t, "all VMs are members", func() bool {
		for _, n := range c.nodes {
			if len(n.members()) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// partitionedPacketConn drops packets from and to partitioned VMs.
type partitionedPacketConn struct {
	net.PacketConn
	cluster *testCluster
	vm      string
}

func (c *testCluster) listenPacket(vm, address string) (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp", address)
	return partitionedPacketConn{conn, c, vm}, err
}

func (p partitionedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	p.cluster.mu.Lock()
	drop := p.cluster.blocked[p.vm]
	for name, address := range p.cluster.gossip {
		drop = drop || p.cluster.blocked[name] && address == to.String()
	}
	p.cluster.mu.Unlock()
	if drop {
		return len(data), nil
	}
	return p.PacketConn.WriteTo(data, to)
}

func (c *testCluster) dialFrom(vm string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		other := ""
		for name, a := range c.peers {
			if a == address {
				other = name
			}
		}
		if c.blocked[vm] || c.blocked[other] {
			return nil, errors.New("partitioned")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			c.conns[vm] = append(c.conns[vm], conn)
			c.conns[other] = append(c.conns[other], conn)
		}
		return conn, err
	}
}

// partition isolates a VM from all others and from the log, or ends the
// partition.
func (c *testCluster) partition(i int, partitioned bool) {
	vm := vmName(i)
	c.log.setPartitioned(vm, partitioned)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[vm] = partitioned
	for _, conn := range c.conns[vm] {
		_ = conn.Close()
	}
	c.conns[vm] = nil
}

// testAddress returns a loopback address that is free for both TCP and UDP.
func testAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.AllocateAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func adminClientOf(n *Node) adminv1.AdminService {
	return adminv1.NewAdminServiceProtobufClient("http://"+n.settings.AdminAddress, http.DefaultClient)
}

const (
	clusterKey = "cw-test-key"
)

func clusterDocument(unconfirmed string) config.Document {
	return config.Document{
		Models: map[string]config.Model{"gutachter": {ServingVersion: "v1"}},
		Workspaces: map[string]config.Workspace{"yards": {
			Keys:              []config.Key{{ID: "k1", SHA256: hashOf(clusterKey)}},
			OnUnconfirmedKeys: unconfirmed,
			KeyLeaseMS:        config.MinKeyLeaseMS,
		}},
		Rates:  map[string]config.Rate{"yards": {RateTokensPerSecond: 10, BurstTokens: 50}},
		Routes: map[string]config.Route{"grade": {Kind: config.KindModel, Model: "gutachter"}},
		Zones:  map[string]config.Zone{"muc-a": {Region: "r", VMSlots: 3}, "nue-a": {Region: "r", VMSlots: 3}},
	}
}

func applyFirst(t testing.TB, n *Node, d config.Document) *adminv1.ApplyConfigResponse {
	t.Helper()
	edit, err := configstate.InitialEdit("first", d)
	if err != nil {
		t.Fatal(err)
	}
	return applyEdit(t, n, edit)
}

func applyEdit(t testing.TB, n *Node, edit *configv1.Edit) *adminv1.ApplyConfigResponse {
	t.Helper()
	response, err := adminClientOf(n).ApplyConfig(context.Background(), &adminv1.ApplyConfigRequest{Edit: edit})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func rateEdit(id string, base uint64, rate int) *configv1.Edit {
	patch := fmt.Sprintf(`{"yards":{"rate_tokens_per_second":%d}}`, rate)
	return &configv1.Edit{Id: id, Sections: []*configv1.SectionEdit{{Section: "rates", BaseRevision: base, Patch: []byte(patch)}}}
}

func requireAccepted(t testing.TB, r *adminv1.ApplyConfigResponse) uint64 {
	t.Helper()
	if r.GetResult().GetOutcome() != configv1.Outcome_OUTCOME_ACCEPTED {
		t.Fatalf("edit was rejected: %v", r.GetResult())
	}
	return r.GetResult().GetRevision()
}

// callerStatus lists the models with the test key and returns the status. The
// request needs a valid key but no target.
func callerStatus(n *Node) int {
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer "+clusterKey)
	w := httptest.NewRecorder()
	n.callers.Handler().ServeHTTP(w, r)
	return w.Code
}

func encoded(t testing.TB, d *configv1.Document) string {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
