package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/callerhttp"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/retry"
	"github.com/cuminwing/cuminwing/internal/routing"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// startServing builds the request path.
func (n *Node) startServing() error {
	health := retry.NewHealth(n.clock)
	service := &serving.Service{
		Clock:    n.clock,
		Limiter:  n.rates,
		Queue:    n.newQueue(),
		Claims:   n.startClaims(),
		Picker:   n.newTargetPicker(n.enginePicker(health), health),
		Retries:  retry.NewBudgets(),
		Engines:  targethttp.NewEngines(n.options.Dial),
		Services: targethttp.NewServices(n.options.Dial),
		Ledger:   n.ledger,
		Observer: n.observer,
	}
	n.callers = &callerhttp.Server{
		Snapshot: n.Snapshot,
		Keys:     keyCheck{n},
		Serving:  service,
		Ready:    func() bool { return !n.draining.Load() },
		Clock:    n.clock,
	}
	return nil
}

const (
	// callerIdleTimeout is longer than the idle timeout of usual load
	// balancers, so that it is they who close idle connections.
	callerIdleTimeout = 3 * time.Minute
	// maxCallerHeaderBytes bounds the header before a configuration is known;
	// limits.max_header_bytes is checked per request.
	maxCallerHeaderBytes = 256 << 10
)

// callerProtocols allows HTTP/2 in clear text too, for load balancers that
// speak it.
func callerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// enginePicker returns the policy that places requests on engines.
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
	n.callerServer = &http.Server{
		Handler:           n.callers.Handler(),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: peerReadHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		Protocols:         callerProtocols(),
	}
	return n.listen(n.settings.CallerAddress, n.callerServer)
}

// keyCheck refuses withdrawn keys, and unconfirmed keys where the workspace
// asks for it.
type keyCheck struct{ node *Node }

func (k keyCheck) Usable(h keys.Hash, w config.Workspace) bool {
	if k.node.withdrawn.Contains(h) {
		return false
	}
	if w.OnUnconfirmedKeys != config.UnconfirmedRefuse {
		return true
	}
	age, ok := k.node.distribution.lease.age(k.node.clock())
	return ok && age <= time.Duration(w.KeyLeaseMS)*time.Millisecond
}

func (k keyCheck) Watch(ctx context.Context, h keys.Hash) (context.Context, context.CancelFunc) {
	return k.node.withdrawn.Watch(ctx, h)
}
