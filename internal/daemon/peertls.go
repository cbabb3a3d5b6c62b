package daemon

import (
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/peertls"
)

// Errors for peers that have a valid certificate but do not match the
// membership.
var (
	errPeerAddressMismatch = errors.New("peer certificate names a different VM than the member at this address")
	errPeerZoneMismatch    = errors.New("peer certificate names a different zone than the member")
)

// startPeerTLS enables mutual TLS between VMs if the settings configure it.
func (n *Node) startPeerTLS() error {
	if n.settings.PeerTLS == nil {
		return nil
	}
	self := peertls.Identity{Zone: n.settings.Zone, VM: n.settings.VM}
	source, err := peertls.Load(*n.settings.PeerTLS, self, n.verifyPeer)
	if err != nil {
		return err
	}
	n.peerTLS = source.ServerConfig()
	transport := n.peerClient.Transport.(*http.Transport)
	transport.DialTLSContext = source.WrapDial(n.options.Dial)
	return nil
}

// verifyPeer checks the identity in a certificate against the membership. A VM
// that is not a member yet is accepted, because VMs call each other before
// gossip has spread the membership.
func (n *Node) verifyPeer(id peertls.Identity, address netip.AddrPort, dialed bool) error {
	for vm, voterAddress := range n.settings.InitialVoters {
		if dialed && voterAddress == address.String() && vm != id.VM {
			return errPeerAddressMismatch
		}
	}
	for _, m := range n.members() {
		memberAddress, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			continue
		}
		if dialed && memberAddress == address && m.VM != id.VM {
			return errPeerAddressMismatch
		}
		if m.VM != id.VM {
			continue
		}
		if m.Zone != id.Zone {
			return errPeerZoneMismatch
		}
		if memberAddress.Addr() != address.Addr() || dialed && memberAddress != address {
			return errPeerAddressMismatch
		}
	}
	return nil
}
