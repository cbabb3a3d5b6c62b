package daemon

import (
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/settings"
)

const (
	// encryptedConnectionBytes is what a connection with TLS takes: its records and the state
	// of its handshake besides what any connection takes.
	encryptedConnectionBytes = 48 << 10
	// otherConnections is the number of connections besides those that max_concurrent_per_vm
	// admits: of other VMs, targets and operators' tools, and idle ones.
	otherConnections = 256
)

// memoryBudget limits what the clients of all listeners of a VM make it hold.
type memoryBudget struct {
	total       *proxy.MemoryBudget
	connections *httpconn.Budget
	// derivedConnections is the limit of connections that follows from the memory, and
	// descriptorConnections that which follows from the descriptors; 0 is no limit.
	derivedConnections    int
	descriptorConnections int
	bodies                *memoryShare
	heads                 *memoryShare
}

// processMemory returns the memory that a VM may take in bytes.
func processMemory(s *settings.Settings) int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	// A negative value changes nothing. The runtime takes the limit from GOMEMLIMIT.
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var machine syscall.Sysinfo_t
	if err := syscall.Sysinfo(&machine); err != nil {
		return math.MaxInt64 / 2
	}
	return int64(machine.Totalram) * int64(machine.Unit)
}

func newMemoryBudget(s *settings.Settings) *memoryBudget {
	memory := processMemory(s)
	share := func(fraction float64) int64 { return httpconn.Share(memory, fraction) }
	b := &memoryBudget{
		total:                 proxy.NewSharedMemoryBudget(share(httpconn.BudgetFraction), share(httpconn.BodyMemoryFraction)),
		descriptorConnections: httpconn.DescriptorConnections(),
	}
	perConnection := int64(httpconn.ConnectionBytes)
	if s.CallerTLS != nil {
		perConnection = encryptedConnectionBytes
	}
	b.derivedConnections = int(min(share(httpconn.ConnectionMemoryFraction)/perConnection, math.MaxInt32))
	b.bodies = &memoryShare{total: b.total, limit: share(httpconn.BodyMemoryFraction)}
	b.heads = &memoryShare{total: b.total, limit: share(httpconn.BudgetFraction)}
	b.connections = httpconn.NewBudget(b.total, share(httpconn.HeadMemoryFraction), b.maxConnections(0))
	return b
}

// maxConnections returns the limit of connections if the document admits a number of requests
// at a time: no fewer connections than these, if the descriptors suffice.
func (b *memoryBudget) maxConnections(requests int) int {
	n := max(b.derivedConnections, requests+otherConnections)
	if b.descriptorConnections > 0 {
		n = min(n, b.descriptorConnections)
	}
	return n
}

// applyDocument adapts the limit of connections to a document.
func (b *memoryBudget) applyDocument(limits config.Limits, logger *zap.Logger) {
	n := b.maxConnections(limits.MaxConcurrentPerVM)
	b.connections.SetMaxConnections(n)
	if n < limits.MaxConcurrentPerVM {
		logger.Warn("the limit on descriptors admits fewer connections than the document admits requests",
			zap.Int("connections", n), zap.Int("max_concurrent_per_vm", limits.MaxConcurrentPerVM))
	}
}

// memoryShare is the part of the budget for one use. It implements callerhttp.Memory.
type memoryShare struct {
	total *proxy.MemoryBudget
	limit int64
	used  atomic.Int64
}

// Reserve implements callerhttp.Memory.
func (m *memoryShare) Reserve(n, held int64) bool {
	used := m.used.Add(n)
	if used == n+held {
		m.total.Force(n)
		return true
	}
	if used <= m.limit && m.total.Reserve(n) {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release releases reserved bytes.
func (m *memoryShare) Release(n int64) {
	m.used.Add(-n)
	m.total.Release(n)
}

// internalLimits are the limits of connections of VMs, targets and operators' tools.
var internalLimits = httpconn.Limits{Header: peerReadHeaderTimeout, HeadBytes: maxInternalHeaderBytes}

// serveInternal serves VMs, targets or operators' tools on an address. name is the prefix of
// the counters of its connections.
func (n *Node) serveInternal(name, address string, handler http.Handler, encryption *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	limits := internalLimits
	if encryption != nil {
		limits.Header += tlsHandshakeTime
	}
	connections := &httpconn.Tracker{
		Limits: func() httpconn.Limits { return limits }, Logger: n.logger, Budget: n.memory.connections, Encrypted: encryption != nil,
		Count: n.countConnections(name),
	}
	n.serve(&http.Server{
		Handler: handler, ConnState: connections.ConnState, TLSConfig: encryption,
		ReadHeaderTimeout: peerReadHeaderTimeout, MaxHeaderBytes: maxInternalHeaderBytes, HTTP2: http2Limits(),
	}, connections.Listen(listener))
	return nil
}

// countConnections returns a function that counts events of the connections of a listener.
func (n *Node) countConnections(name string) func(event string) {
	return func(event string) {
		// Tests start listeners alone.
		if n.observer != nil {
			n.observer.metrics.Add(name+"_"+event, 1)
		}
	}
}

// http2WriteTime limits how long a connection with HTTP/2 may take no byte that the server
// writes.
const http2WriteTime = 30 * time.Second

// http2Limits returns the limits of connections with HTTP/2.
func http2Limits() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReceiveBufferPerConnection: httpconn.HTTP2ReceiveBytes, MaxReceiveBufferPerStream: httpconn.HTTP2ReceiveBytes,
		WriteByteTimeout: http2WriteTime,
	}
}
