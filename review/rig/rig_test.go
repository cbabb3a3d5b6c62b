// Package rig plays the scripted cases of the review. It starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins of its own
// for clients, engines, the operator and the platform. It consists of test files only;
// review/build.sh builds it with go test -c.
package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun limits a case. All processes are ended then.
const maxRun = 115 * time.Second

// Bounds of the small deployment, as its pages state them.
const (
	contactTime   = 4 * time.Second
	catchUpTime   = 4 * time.Second
	drainTime     = 3 * time.Second
	configApply   = 3 * time.Second
	recoveryTime  = 12 * time.Second
	gracePeriod   = 8 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

var zones = map[string]string{"muc-a": "oberbayern", "muc-b": "oberbayern", "nue-a": "franken"}

var zoneNames = []string{"muc-a", "nue-a", "muc-b"}

// rig is one small deployment on loopback addresses.
type rig struct {
	root    string
	dir     string
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	// network is the prefix of the addresses, such as "127.81.7.".
	network string
	port    int
	nextIP  int
	seeds   []string
	control []string
	closers []func()
	verdict int
}

// node is one process of the system.
type node struct {
	rig      *rig
	name     string
	ip       string
	zone     string
	front    bool
	dataDir  string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// TestMain plays the case that the arguments name; there are no other tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.logf("the case could not run: %v", p)
				done <- exitNotRun
			}
		}()
		play(r)
		done <- r.verdict
	}()
	code := exitNotRun
	select {
	case code = <-done:
	case <-signals:
		r.logf("ended by a signal")
	case <-time.After(maxRun):
		r.logf("the case took too long")
	}
	r.logf("verdict: %s", map[int]string{exitHeld: "the rule held", exitBroken: "THE RULE WAS BROKEN", exitNotRun: "the case did not run"}[code])
	r.close()
	os.Exit(code)
}

func newRig(folder string) (*rig, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "cuminwing-node")); err != nil {
		return nil, fmt.Errorf("target/cuminwing-node is missing: build it as the deploy file says")
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cuminwing-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{root: root, dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), nextIP: 11}
	r.logf("TROUBLE=%v", map[bool]string{true: "1", false: "0"}[r.trouble])
	return r, r.pickNetwork()
}

// pickNetwork chooses loopback addresses and ports that are free.
func (r *rig) pickNetwork() error {
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		r.port = 12000 + 100*rand.IntN(180)
		free := true
		for port := r.port; port < r.port+40 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s11:%d", r.network, port))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("found no free ports")
}

// newIP returns the address of a new machine.
func (r *rig) newIP() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextIP++
	return fmt.Sprintf("%s%d", r.network, r.nextIP-1)
}

// logf writes a line to record.txt.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (r *rig) broken(format string, args ...any) {
	r.logf("BROKEN: "+format, args...)
	r.mu.Lock()
	r.verdict = exitBroken
	r.mu.Unlock()
}

func (r *rig) close() {
	r.mu.Lock()
	nodes, closers := r.nodes, r.closers
	r.mu.Unlock()
	for _, f := range closers {
		f()
	}
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		n.awaitExit(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	}
	r.record.Close()
}

// onClose registers a function that is called at the end of the case.
func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

func (r *rig) frontPort() int   { return r.port }
func (r *rig) readyPort() int   { return r.port + 1 }
func (r *rig) controlPort() int { return r.port + 2 }
func (r *rig) enginePort() int  { return r.port + 3 }

func (n *node) controlAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.rig.controlPort()) }
func (n *node) frontAddress() string   { return fmt.Sprintf("%s:%d", n.ip, n.rig.frontPort()) }

// newCore returns a machine of the core that is not started yet.
func (r *rig) newCore(name, zone string) *node {
	n := &node{rig: r, name: name, zone: zone, ip: r.newIP(), dataDir: filepath.Join(r.dir, name+"-data")}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return n
}

func (r *rig) newFront(name, zone string) *node {
	n := &node{rig: r, name: name, zone: zone, ip: r.newIP(), front: true}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return n
}

// start starts the process of a machine with its settings file.
func (n *node) start(firstStart bool, seeds []string) {
	s := map[string]any{
		"node_name": n.name, "role": "core", "machine_class": "core", "serves": []string{"control"},
		"ip": n.ip, "zone": n.zone, "region": zones[n.zone], "zones": zones,
		"listen":              map[string]string{"control": n.controlAddress()},
		"internal_port_range": []int{n.rig.port + 10, n.rig.port + 25},
		"seeds":               seeds, "first_start": firstStart, "counts_as_loss": !n.front,
		"limits":    map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
		"data_dir":  n.dataDir,
		"discovery": "registry", "entry_mode": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "revoke_fail_closed": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "quota_window_s": 8, "quota_overshoot": 0.1,
			"quota_slack": 72000, "recovery_s": 12, "transit_ms": 400, "retry_after_s": 10, "require_fencing": false, "lease_ms": 3000,
			"thaw_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
		},
		"config_mode": "highest",
	}
	if n.front {
		s["role"], s["machine_class"], s["serves"], s["data_dir"] = "front", "front", []string{"front"}, nil
		s["listen"] = map[string]string{"front": n.frontAddress(), "ready": fmt.Sprintf("%s:%d", n.ip, n.rig.readyPort())}
		s["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	} else if err := os.MkdirAll(n.dataDir, 0o755); err != nil {
		panic(err)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err)
	}
	n.settings = filepath.Join(n.rig.dir, n.name+".json")
	if err := os.WriteFile(n.settings, data, 0o644); err != nil {
		panic(err)
	}
	output, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(n.rig.root, "target", "cuminwing-node"))
	cmd.Dir = n.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CUMINWING_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	n.rig.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.rig.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.rig.logf("start %s at %s (first_start %v)", n.name, n.ip, firstStart)
}

func (n *node) signal(s syscall.Signal) {
	n.rig.mu.Lock()
	cmd := n.cmd
	n.rig.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(s)
	}
}

// awaitExit waits until the process has ended.
func (n *node) awaitExit(limit time.Duration) bool {
	n.rig.mu.Lock()
	exited := n.exited
	n.rig.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// startSystem starts three machines of the core and some fronts for the first time.
func (r *rig) startSystem(fronts int) (cores, fronting []*node) {
	for i, zone := range zoneNames {
		cores = append(cores, r.newCore(fmt.Sprintf("core-%s-%d", zone, i+1), zone))
	}
	for _, c := range cores {
		r.seeds = append(r.seeds, c.controlAddress())
	}
	r.setControl(cores)
	for i := range fronts {
		zone := zoneNames[i%len(zoneNames)]
		fronting = append(fronting, r.newFront(fmt.Sprintf("front-%s-%d", zone, i+1), zone))
	}
	for _, n := range append(append([]*node(nil), cores...), fronting...) {
		n.start(true, r.seeds)
	}
	return cores, fronting
}

// setControl sets the list from which callers of control pick a node.
func (r *rig) setControl(cores []*node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.control = nil
	for _, c := range cores {
		r.control = append(r.control, c.controlAddress())
	}
}

// controls returns the addresses of control in random order.
func (r *rig) controls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]string(nil), r.control...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
