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
	// storeProbeInterval is the time between two probes of a store. Until an
	// unreachable store is detected, each request that an engine makes to it
	// is delayed by some hundred milliseconds.
	storeProbeInterval = 300 * time.Millisecond
	// storeProbeTimeout limits the time to connect to a store. Connecting
	// between regions takes 60 ms.
	storeProbeTimeout = 300 * time.Millisecond
	// storeFailureThreshold is the number of consecutive failed probes after
	// which a store counts as unreachable. One failure may be a lost packet.
	storeFailureThreshold = 2
)

// storeHealth tracks which stores are unreachable.
type storeHealth struct {
	// version is that of the document decoded last, and addresses are its
	// stores. Only the goroutine of probeStores uses them.
	version   uint64
	addresses []string

	mu sync.Mutex
	// failures counts the consecutive failed probes by address.
	failures map[string]int
}

func newStoreHealth() *storeHealth { return &storeHealth{failures: make(map[string]int)} }

// unreachable returns the sorted addresses of the unreachable stores.
func (h *storeHealth) unreachable() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for address, count := range h.failures {
		if count >= storeFailureThreshold {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// recordProbe records the result of a probe, and reports whether it made the store
// unreachable, or reachable again.
func (h *storeHealth) recordProbe(address string, reached bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUnreachable := h.failures[address] >= storeFailureThreshold
	if reached {
		delete(h.failures, address)
		return wasUnreachable
	}
	h.failures[address]++
	return !wasUnreachable && h.failures[address] >= storeFailureThreshold
}

// reset clears the results of all probes.
func (h *storeHealth) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.failures)
}

// probeStores runs on the leader. It finds the unreachable stores, which the
// leader reports to the fronts.
func (c *Core) probeStores(ctx context.Context) {
	for pause.For(ctx, storeProbeInterval) {
		if _, leading := c.leadership(); !leading {
			c.storeHealth.reset()
			continue
		}
		var probes sync.WaitGroup
		for _, address := range c.storeAddresses() {
			probes.Go(func() { c.probeStore(ctx, address) })
		}
		probes.Wait()
	}
}

// storeAddresses returns the addresses of the stores in the current document. It
// clears the probe results if the stores have changed.
func (c *Core) storeAddresses() []string {
	h := c.storeHealth
	if c.document.Current().Version == h.version {
		return h.addresses
	}
	document, version, err := c.decodeCurrent()
	if err != nil {
		c.logger.Error("decoding the active document failed", zap.Uint64("version", version), zap.Error(err))
		return h.addresses
	}
	var addresses []string
	for i := range document.Services {
		if s := document.Services[i].Store; s != nil {
			addresses = append(addresses, s.Address)
		}
	}
	if !slices.Equal(addresses, h.addresses) {
		h.reset()
	}
	h.version, h.addresses = version, addresses
	return addresses
}

// probeStore connects to a store and wakes the waiting fronts if its reachability
// has changed.
func (c *Core) probeStore(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	if !c.storeHealth.recordProbe(address, err == nil) {
		return
	}
	if err != nil {
		c.logger.Info("store is unreachable", zap.String("address", address), zap.Error(err))
	} else {
		c.logger.Info("store is reachable again", zap.String("address", address))
	}
	c.notify()
}
