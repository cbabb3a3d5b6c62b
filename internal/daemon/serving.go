package daemon

import (
	"context"
	"net/http"

	"github.com/cuminwing/cuminwing/internal/adapter/callerhttp"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// startServing builds the request path.
func (n *Node) startServing() error {
	service := &serving.Service{
		Clock:    n.clock,
		Limiter:  unlimited{},
		Queue:    unordered{},
		Claims:   noClaims{},
		Picker:   n.newPicker(),
		Retries:  alwaysRetry{},
		Engines:  targethttp.NewEngines(n.options.Dial),
		Ledger:   discardLedger{},
		Observer: discardObserver{},
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

// startCallers binds the listener for callers.
func (n *Node) startCallers() error {
	server := &http.Server{Handler: n.callers.Handler(), ReadHeaderTimeout: peerReadHeaderTimeout}
	return n.listen(n.settings.CallerAddress, server)
}

// keyCheck refuses withdrawn keys.
type keyCheck struct{ node *Node }

func (k keyCheck) Usable(h keys.Hash, _ config.Workspace) bool {
	return !k.node.withdrawn.Contains(h)
}

func (k keyCheck) Watch(ctx context.Context, h keys.Hash) (context.Context, context.CancelFunc) {
	return k.node.withdrawn.Watch(ctx, h)
}
