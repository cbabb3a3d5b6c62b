package edge

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// storeInterval is the time between two looks at the stores. An engine that
	// asks a lost one waits for some hundred milliseconds with each request.
	storeInterval = 300 * time.Millisecond
	// storeDial bounds the set-up of a connection to a store; between regions
	// it takes 60 ms.
	storeDial = 300 * time.Millisecond
	// storeMisses is the number of failures in a row after which a store is
	// lost: one may be a lost packet.
	storeMisses = 2
)

// storeWatch knows which stores cannot be reached.
type storeWatch struct {
	// version and addresses are those of the document that was read last; only
	// watchStores uses them.
	version   uint64
	addresses []string

	mu sync.Mutex
	// misses counts failures in a row by address.
	misses map[string]int
}

func newStoreWatch() *storeWatch { return &storeWatch{misses: make(map[string]int)} }

// lost returns the addresses of the lost stores in order.
func (w *storeWatch) lost() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for address, misses := range w.misses {
		if misses >= storeMisses {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// note takes the outcome of an attempt, and reports whether the store is lost
// or regained with it.
func (w *storeWatch) note(address string, reached bool) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.misses[address] >= storeMisses
	if reached {
		delete(w.misses, address)
		return before
	}
	w.misses[address]++
	return !before && w.misses[address] >= storeMisses
}

// forget drops what is known of the stores.
func (w *storeWatch) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.misses)
}

// watchStores is a duty of the leader: fronts are told which stores are lost.
func (c *Core) watchStores(ctx context.Context) {
	for pause.For(ctx, storeInterval) {
		if _, leading := c.leadership(); !leading {
			c.stores.forget()
			continue
		}
		var waiting sync.WaitGroup
		for _, address := range c.storeAddresses() {
			waiting.Go(func() { c.tryStore(ctx, address) })
		}
		waiting.Wait()
	}
}

// storeAddresses returns the stores of the document. Those of an earlier one
// are forgotten.
func (c *Core) storeAddresses() []string {
	stored := c.document.Current()
	w := c.stores
	if stored.Version == w.version {
		return w.addresses
	}
	document, err := c.decode(stored.Raw)
	if err != nil {
		c.logger.Error("document in force cannot be decoded", zap.Uint64("version", stored.Version), zap.Error(err))
		return w.addresses
	}
	var addresses []string
	for i := range document.Services {
		if s := document.Services[i].Store; s != nil {
			addresses = append(addresses, s.Address)
		}
	}
	if !slices.Equal(addresses, w.addresses) {
		w.forget()
	}
	w.version, w.addresses = stored.Version, addresses
	return addresses
}

func (c *Core) tryStore(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, storeDial)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	if !c.stores.note(address, err == nil) {
		return
	}
	if err != nil {
		c.logger.Info("store lost", zap.String("address", address), zap.Error(err))
	} else {
		c.logger.Info("store regained", zap.String("address", address))
	}
	c.notify()
}
