package daemon

import (
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/peertls"
)

// Reasons to refuse a peer with a valid certificate.
var (
	errPeerAddress = errors.New("peer certificate names another VM than the member at that address")
	errPeerZone    = errors.New("peer certificate names another zone than the member")
)

// startPeerTLS secures connections between VMs if the settings ask for it.
func (n *Node) startPeerTLS() error {
	if n.settings.PeerTLS == nil {
		return nil
	}
	self := peertls.Identity{Zone: n.settings.Zone, VM: n.settings.VM}
	source, err := peertls.Load(*n.settings.PeerTLS, self, n.checkPeer)
	if err != nil {
		return err
	}
	n.peerTLS = source.ServerConfig()
	transport := n.peerClient.Transport.(*http.Transport)
	transport.DialTLSContext = source.Dial(n.options.Dial)
	return nil
}

// checkPeer compares a certificate with the membership. A VM that is not yet a
// member is accepted on its certificate, because VMs call each other before
// membership has spread.
func (n *Node) checkPeer(id peertls.Identity, address netip.AddrPort, dialed bool) error {
	for vm, voter := range n.settings.Voters {
		if dialed && voter == address.String() && vm != id.VM {
			return errPeerAddress
		}
	}
	for _, m := range n.members() {
		member, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			continue
		}
		if dialed && member == address && m.VM != id.VM {
			return errPeerAddress
		}
		if m.VM != id.VM {
			continue
		}
		if m.Zone != id.Zone {
			return errPeerZone
		}
		if member.Addr() != address.Addr() || dialed && member != address {
			return errPeerAddress
		}
	}
	return nil
}
