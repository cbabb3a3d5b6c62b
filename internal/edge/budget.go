package edge

import (
	"math"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/proxy"
)

const (
	// internalHeadBytes limits the heads of requests to all servers but that for callers.
	// Those of operators, targets and VMs have some hundred bytes.
	internalHeadBytes = 32 << 10
	// internalIdleTimeout limits how long readiness and metrics connections stay idle.
	internalIdleTimeout = time.Minute
)

// processBudget is what the clients of all servers of a process may take together.
type processBudget struct {
	memory      *proxy.MemoryBudget
	connections *httpconn.Budget
}

// newProcessBudget derives the budget from the memory and descriptors of the process.
func newProcessBudget(s *Settings) *processBudget {
	b := &processBudget{}
	headLimit, maxConnections := int64(math.MaxInt64/2), httpconn.DescriptorConnections()
	if s.MemoryBytes > 0 {
		share := func(fraction float64) int64 { return httpconn.Share(s.MemoryBytes, fraction) }
		b.memory = proxy.NewSharedMemoryBudget(share(httpconn.BudgetFraction), share(httpconn.BodyMemoryFraction))
		headLimit = share(httpconn.HeadMemoryFraction)
		if n := int(share(httpconn.ConnectionMemoryFraction) / httpconn.ConnectionBytes); maxConnections == 0 || n < maxConnections {
			maxConnections = n
		}
	}
	b.connections = httpconn.NewBudget(b.memory, headLimit, maxConnections)
	return b
}

// register exports what is in use as metrics.
func (b *processBudget) register(set *metrics.Set) {
	set.Gauge("memory_reserved", func() any { return b.memory.Used() })
	set.Gauge("head_memory_reserved", func() any { return b.connections.HeadBytes() })
	set.Gauge("client_connections", func() any { return b.connections.Connections() })
}

// serveInternal serves readiness checks or metrics on a listener. name is the prefix of the
// counters of its connections.
func (b *processBudget) serveInternal(logger *zap.Logger, set *metrics.Set, name string, listener net.Listener, handler http.Handler) *http.Server {
	limits := httpconn.Limits{Header: defaultHeaderTimeout, Idle: internalIdleTimeout, HeadBytes: internalHeadBytes}
	tracker := &httpconn.Tracker{
		Limits: func() httpconn.Limits { return limits }, Logger: logger, Budget: b.connections,
		Count: func(event string) { set.Add(name+"_"+event, 1) },
	}
	server := &http.Server{Handler: httpconn.LimitUnreadBodies(handler), ConnState: tracker.ConnState, ConnContext: tracker.ConnContext, MaxHeaderBytes: internalHeadBytes, ErrorLog: zap.NewStdLog(logger)}
	go serveUntilClosed(logger, server, tracker.Listen(listener))
	return server
}
