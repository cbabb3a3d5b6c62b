package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the command of both roles in the deploy file.
const program = "target/cuminwing-node"

// Ports of every machine. Each machine has a loopback address of its own.
const (
	frontPort   = 8606
	readyPort   = 8605
	controlPort = 8608
	peerPort    = 7600
	enginePort  = 8080
	metricsPort = 9464
)

// Bounds of the site that the claims name.
const (
	contact     = 4 * time.Second
	ackTimeout  = 5 * time.Second
	configApply = 3 * time.Second
	revoke      = 5 * time.Second
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

// cluster is a small deployment: machines of the core and fronts.
type cluster struct {
	rec *recorder
	dir string
	// root is the repository, in which the programs start.
	root   string
	subnet string
	nodes  []*node
	// removed are machines that were lost for good.
	removed []*node
}

// node is one machine with one process.
type node struct {
	c       *cluster
	name    string
	ip      string
	zone    string
	front   bool
	memory  int
	seeds   []string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

var zones = map[string]string{"muc-a": "oberbayern", "nue-a": "franken", "muc-b": "oberbayern"}
var zoneNames = []string{"muc-a", "nue-a", "muc-b"}

func newCluster(rec *recorder, root string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, root: root}
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		return nil, err
	}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d.", 40+rand.IntN(180), 1+rand.IntN(250))
		if c.free() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// free reports whether the ports of the first machines are free.
func (c *cluster) free() bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort, enginePort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.subnet, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (c *cluster) ip(host int) string { return fmt.Sprintf("%s%d", c.subnet, host) }

// add adds n machines of the core and m fronts.
func (c *cluster) add(cores, fronts, frontMemory int) {
	var seeds []string
	for i := range cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip(1+i), controlPort))
	}
	for i := range cores {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("core-%d", i+1), ip: c.ip(1 + i), zone: zoneNames[i%3], memory: 280, seeds: seeds})
	}
	for i := range fronts {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("front-%d", i+1), ip: c.ip(11 + i), zone: zoneNames[i%3], front: true, memory: frontMemory, seeds: seeds})
	}
}

func (c *cluster) cores() (list []*node) {
	for _, n := range c.nodes {
		if !n.front {
			list = append(list, n)
		}
	}
	return list
}

func (c *cluster) fronts() (list []*node) {
	for _, n := range c.nodes {
		if n.front {
			list = append(list, n)
		}
	}
	return list
}

func (n *node) folder() string { return filepath.Join(n.c.dir, n.name) }

func (n *node) writeSettings(firstStart bool) error {
	if err := os.MkdirAll(filepath.Join(n.folder(), "data"), 0o755); err != nil {
		return err
	}
	listen := map[string]string{"control": fmt.Sprintf("%s:%d", n.ip, controlPort)}
	serves, class := []string{"control"}, "core"
	limits := map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": n.memory, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
	var dataDir any = filepath.Join(n.folder(), "data")
	if n.front {
		listen = map[string]string{"front": fmt.Sprintf("%s:%d", n.ip, frontPort), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort)}
		serves, class = []string{"front"}, "front"
		limits = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": n.memory, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
		dataDir = nil
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": n.name, "role": class, "machine_class": class, "serves": serves, "ip": n.ip, "zone": n.zone, "region": zones[n.zone], "zones": zones,
		"listen": listen, "internal_port_range": []int{peerPort, peerPort + 15}, "seeds": n.seeds, "first_start": firstStart,
		"counts_as_loss": !n.front, "limits": limits, "data_dir": dataDir, "discovery": "registry", "entry_mode": "vip", "heartbeat_ms": 1200,
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
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.folder(), "settings.json"), data, 0o644)
}

// start starts the process of the machine with the command of the deploy file.
func (n *node) start(firstStart bool) error {
	if err := n.writeSettings(firstStart); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder(), "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Dir = n.c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.folder(), "LANG=C", "CUMINWING_SETTINGS=" + filepath.Join(n.folder(), "settings.json")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = cmd, exited
	n.mu.Unlock()
	n.c.rec.line("%s starts, first_start %v", n.name, firstStart)
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

func (n *node) signal(s syscall.Signal) {
	n.c.rec.line("%s gets %v", n.name, s)
	_ = syscall.Kill(n.pid(), s)
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// wipe empties the disk of a machine whose process has ended.
func (n *node) wipe() {
	_ = os.RemoveAll(filepath.Join(n.folder(), "data"))
	n.c.rec.line("the disk of %s is empty", n.name)
}

// end kills all processes that still run, and removes the temporary folder.
func (c *cluster) end() {
	for _, n := range append(c.nodes, c.removed...) {
		n.mu.Lock()
		cmd, exited := n.command, n.exited
		n.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-exited:
		default:
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}
