package fleetsync

import (
	"fmt"
	"net/netip"
	"testing"
)

// deployment returns the list of fronts of a deployment with one region.
func deployment(zones, frontsPerZone int) *FrontList {
	var fronts []Front
	for z := range zones {
		for i := range frontsPerZone {
			fronts = append(fronts, Front{VM: fmt.Sprint("vm-", z, "-", i), Address: fmt.Sprint("10.", z, ".", i/200, ".", i%200+1, ":7000"), Region: "r", Zone: fmt.Sprint("z", z)})
		}
	}
	return NewFrontList(fronts)
}

// delivery counts the copies of a packet that reach each front, and those that cross
// zones. Packets to the fronts in down are lost.
func delivery(l *FrontList, routes map[string]*HintRoutes, sender Front, n uint64, down map[netip.AddrPort]bool) (received map[netip.AddrPort]int, crossing int) {
	received = make(map[netip.AddrPort]int)
	zones := make(map[netip.AddrPort]Front)
	for _, f := range l.Fronts {
		zones[netip.MustParseAddrPort(f.Address)] = f
	}
	send := func(from Front, to []netip.AddrPort) (arrived []Front) {
		for _, address := range to {
			if zones[address].Zone != from.Zone {
				crossing++
			}
			if !down[address] {
				received[address]++
				arrived = append(arrived, zones[address])
			}
		}
		return arrived
	}
	r := routes[sender.VM]
	send(sender, r.Direct)
	for _, relay := range send(sender, r.Relays(n)) {
		if routes[relay.VM].MayRelayFor(netip.MustParseAddrPort(sender.Address)) {
			send(relay, routes[relay.VM].Local)
		}
	}
	return received, crossing
}

func allRoutes(l *FrontList) map[string]*HintRoutes {
	routes := make(map[string]*HintRoutes)
	for _, f := range l.Fronts {
		routes[f.VM] = NewHintRoutes(f.Zone, l.Peers(f.VM, f.Region))
	}
	return routes
}

// Guards against hints that reach a front twice or not at all, and against bytes between
// zones that grow with the number of fronts.
func TestHintsReachEachFrontOnceAndCrossZonesOnce(t *testing.T) {
	for _, size := range []struct{ zones, fronts int }{{3, 1}, {3, 2}, {3, 3}, {3, 4}, {3, 14}, {2, 50}, {3, 50}} {
		l := deployment(size.zones, size.fronts)
		routes := allRoutes(l)
		for n, f := range l.Fronts {
			received, crossing := delivery(l, routes, f, uint64(n), nil)
			if len(received) != len(l.Fronts)-1 || received[netip.MustParseAddrPort(f.Address)] > 0 {
				t.Fatalf("%v: %d fronts receive a packet of %s", size, len(received), f.VM)
			}
			for address, copies := range received {
				if copies != 1 {
					t.Fatalf("%v: %v receives %d copies", size, address, copies)
				}
			}
			if limit := (size.zones - 1) * (minRelayedPeers - 1); crossing > limit {
				t.Errorf("%v: %d copies cross zones, want at most %d", size, crossing, limit)
			}
		}
	}
}

// Guards against a relay that is down and cuts a zone off from the hints of others.
func TestRelayThatIsDownCostsItsShareOfThePackets(t *testing.T) {
	const fronts, packets = 10, 200
	l := deployment(2, fronts)
	routes := allRoutes(l)
	relay := netip.MustParseAddrPort(l.Fronts[fronts].Address)
	lost := 0
	for n := range uint64(packets) {
		received, _ := delivery(l, routes, l.Fronts[0], n, map[netip.AddrPort]bool{relay: true})
		lost += 2*fronts - 2 - len(received)
	}
	if want := packets / fronts * (fronts - 1); lost > want {
		t.Errorf("%d packets did not arrive at fronts that run, want at most %d", lost, want)
	}
}

// Guards against packets of a front that are relayed in its own zone again, for ever.
func TestPacketsAreRelayedForOtherZonesOnly(t *testing.T) {
	routes := NewHintRoutes("a", []Peer{{"10.0.0.1:1", "a"}, {"10.0.0.2:1", "b"}, {"not an address", "b"}})
	for address, want := range map[string]bool{"10.0.0.1:1": false, "10.0.0.2:1": true, "10.0.0.3:1": false} {
		if got := routes.MayRelayFor(netip.MustParseAddrPort(address)); got != want {
			t.Errorf("MayRelayFor(%s) = %t, want %t", address, got, want)
		}
	}
	if routes.Peers() != 2 || routes.Accepts(netip.MustParseAddrPort("10.0.0.3:1")) {
		t.Errorf("%d peers, want the two with a valid address", routes.Peers())
	}
}
