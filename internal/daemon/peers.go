package daemon

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
)

// Limits for connections between VMs. The dial and idle timeouts also apply to
// connections to targets, and the header timeout to all listeners.
const (
	peerDialTimeout       = time.Second
	peerIdleTimeout       = time.Minute
	peerReadHeaderTimeout = 5 * time.Second
	// tlsHandshakeTime is the time for a handshake besides that for the headers.
	tlsHandshakeTime = peerReadHeaderTimeout
	maxIdlePeerConns = 8
	// maxInternalHeaderBytes limits the headers of VMs, targets and operators' tools, which
	// have some hundred bytes.
	maxInternalHeaderBytes = 32 << 10
)

// startPeers serves other VMs and operators' tools. Handlers may be registered
// on peerMux and adminMux before or after this step.
func (n *Node) startPeers() error {
	if err := n.serveInternal("peer", n.settings.PeerAddress, httpconn.LimitBodyWaits(n.bodyWait, n.peerMux), n.peerTLS); err != nil {
		return err
	}
	return n.serveInternal("admin", n.settings.AdminAddress, httpconn.LimitBodyWaits(n.bodyWait, n.adminMux), nil)
}
