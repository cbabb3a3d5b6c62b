package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/callerhttp"
	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/retry"
	"github.com/cuminwing/cuminwing/internal/routing"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// startServing assembles the request path.
func (n *Node) startServing() error {
	health := retry.NewHealth(n.clock)
	service := &serving.Service{
		Clock:         n.clock,
		Limiter:       n.rates,
		Queue:         n.newQueue(),
		Claims:        n.startClaims(),
		Picker:        n.newTargetPicker(n.enginePicker(health), health),
		Retries:       retry.NewBudgets(),
		Engines:       targethttp.NewEngineClient(n.options.Dial),
		Services:      targethttp.NewServiceClient(n.options.Dial),
		UsageRecorder: n.ledger,
		Observer:      n.observer,
	}
	n.callers = &callerhttp.Server{
		Snapshot: n.Snapshot,
		Keys:     keyValidator{n},
		Serving:  service,
		Ready:    func() bool { return !n.draining.Load() },
		Clock:    n.clock,
		Bodies:   n.memory.bodies,
		Heads:    n.memory.heads,
	}
	return nil
}

const (
	// callerIdleTimeout exceeds the idle timeout of common load balancers, so
	// that idle connections are closed by the load balancer and not by this VM.
	callerIdleTimeout = 3 * time.Minute
	// maxCallerHeaderBytes limits request headers before a configuration is
	// known; limits.max_header_bytes is checked per request.
	maxCallerHeaderBytes = 256 << 10
)

// callerProtocols also enables unencrypted HTTP/2, for load balancers that use
// it.
func callerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// enginePicker returns the policy that selects an engine for a request.
func (n *Node) enginePicker(health routing.Health) serving.Picker {
	picker := n.newPicker()
	picker.Health = health
	if !n.options.LeastOutstanding {
		return picker
	}
	return &routing.LeastOutstanding{
		Registry: n.registry,
		Clock:    n.clock,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// startCallers binds the listener for callers.
func (n *Node) startCallers() error {
	tlsConfig, err := n.callerTLS()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", n.settings.CallerAddress)
	}
	n.callerListener = listener
	n.callerConns = &httpconn.Tracker{
		HTTP2: true, Encrypted: tlsConfig != nil, Budget: n.memory.connections,
		Limits: func() httpconn.Limits { return n.callerLimits(tlsConfig != nil) }, Logger: n.logger,
		Count: n.countConnections("caller"),
	}
	// While the VM shuts down, callers that keep their connection alive open a new one,
	// which the load balancer places on a VM that stays in service.
	n.callerServer = &http.Server{
		Handler:           httpconn.CloseAfterResponse(n.draining.Load, n.callers.Handler()),
		ConnState:         n.callerConns.ConnState,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: peerReadHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		Protocols:         callerProtocols(),
		HTTP2:             http2Limits(),
	}
	n.serve(n.callerServer, n.callerConns.Listen(listener))
	return nil
}

// callerLimits returns the limits of connections of callers. The time limits are those of the
// server, which do not end the wait of a head for memory.
func (n *Node) callerLimits(encrypted bool) httpconn.Limits {
	limits := httpconn.Limits{Header: peerReadHeaderTimeout, Idle: callerIdleTimeout, HeadBytes: config.DefaultMaxHeaderBytes}
	if encrypted {
		limits.Header += tlsHandshakeTime
	}
	if snapshot := n.Snapshot(); snapshot != nil {
		limits.HeadBytes = snapshot.Document.Limits.MaxHeaderBytes
	}
	return limits
}

// keyValidator rejects withdrawn keys. If the workspace refuses unconfirmed
// keys, it also rejects all its keys unless this VM had contact with the control
// VMs within the key lease.
type keyValidator struct{ node *Node }

func (k keyValidator) Usable(h apikeys.Hash, w config.Workspace) bool {
	if k.node.withdrawn.Contains(h) {
		return false
	}
	if w.OnUnconfirmedKeys != config.UnconfirmedRefuse {
		return true
	}
	age, ok := k.node.distribution.contact.age(k.node.clock())
	return ok && age <= time.Duration(w.KeyLeaseMS)*time.Millisecond
}

func (k keyValidator) Watch(ctx context.Context, h apikeys.Hash) (context.Context, context.CancelFunc) {
	return k.node.withdrawn.Watch(ctx, h)
}
