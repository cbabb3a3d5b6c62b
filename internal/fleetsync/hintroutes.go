package fleetsync

import (
	"cmp"
	"net/netip"
	"slices"
)

// minRelayedPeers is the number of peers in a zone from which one of them relays the
// packets for that zone. Fewer are sent to one by one, because that costs little and
// needs no relay that may be down.
const minRelayedPeers = 4

// HintRoutes are the ways by which the packets of a front reach its peers. The front
// sends them to its own zone itself. To another zone with many peers it sends one copy,
// which a peer there relays within its zone, so that the bytes between zones do not grow
// with the number of fronts. HintRoutes are never modified.
type HintRoutes struct {
	// Direct are the peers to which the front sends each packet.
	Direct []netip.AddrPort
	// Local are the peers in the front's own zone.
	Local []netip.AddrPort
	// relays are the peers of each other zone that relay packets.
	relays [][]netip.AddrPort
	// zones maps each peer to its zone.
	zones map[netip.AddrPort]string
	// zone is the zone of the front.
	zone string
}

// NewHintRoutes returns the routes of a front in a zone. It skips peers whose address
// cannot be parsed: they get no hints, which makes their placement slightly worse.
func NewHintRoutes(zone string, peers []Peer) *HintRoutes {
	r := &HintRoutes{zone: zone, zones: make(map[netip.AddrPort]string)}
	byZone := make(map[string][]netip.AddrPort)
	for _, p := range peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			continue
		}
		r.zones[address] = p.Zone
		byZone[p.Zone] = append(byZone[p.Zone], address)
	}
	r.Local = byZone[zone]
	for name, addresses := range byZone {
		if name == zone || name == "" || len(addresses) < minRelayedPeers {
			r.Direct = append(r.Direct, addresses...)
			continue
		}
		r.relays = append(r.relays, addresses)
	}
	slices.SortFunc(r.relays, func(a, b []netip.AddrPort) int { return a[0].Compare(b[0]) })
	return r
}

// Peers returns the number of peers.
func (r *HintRoutes) Peers() int { return len(r.zones) }

// Relays returns the peers that relay the n-th packet, one in each zone that has relays.
// The peers of a zone take turns, so that one that is down costs a part of the packets.
func (r *HintRoutes) Relays(n uint64) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(r.relays))
	for _, zone := range r.relays {
		list = append(list, zone[n%uint64(len(zone))])
	}
	return list
}

// Zone returns the zone of a peer; empty if it is not known.
func (r *HintRoutes) Zone(peer netip.AddrPort) string { return r.zones[peer] }

// Accepts reports whether packets of an address are accepted.
func (r *HintRoutes) Accepts(from netip.AddrPort) bool {
	_, known := r.zones[from]
	return known
}

// MayRelayFor reports whether a packet of a peer may be relayed within this zone. Only
// fronts in other zones need that.
func (r *HintRoutes) MayRelayFor(from netip.AddrPort) bool {
	zone, known := r.zones[from]
	return known && zone != r.zone
}

// comparePeers orders peers by their addresses.
func comparePeers(a, b Peer) int { return cmp.Compare(a.Address, b.Address) }
