package daemon

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/peertls"
	"github.com/cuminwing/cuminwing/internal/settings"
	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// startTLSVM starts a VM that uses mutual TLS between VMs.
func startTLSVM(t *testing.T, authority *peertls.Authority, s settings.Settings, join []string) *Node {
	t.Helper()
	cert, key, err := authority.Issue(peertls.Identity{Zone: s.Zone, VM: s.VM}, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	file := func(name string, data []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	s.PeerTLS = &settings.TLS{CertFile: file("cert", cert), KeyFile: file("key", key), CAFile: file("ca", authority.CertPEM())}
	s.ClusterSecretFile = file("secret", []byte("a secret of enough length"))
	s.DataFolder = t.TempDir()
	s.Join = join
	document := testDocument()
	node, err := Start(s, Options{Document: &document})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// Guards against a control log that does not work over mutual TLS, and against
// accepting peers whose certificate names a different VM or zone than the
// member at their address.
func TestPeersAreIdentifiedByCertificate(t *testing.T) {
	authority, err := peertls.NewAuthority(time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	voters := make(map[string]string)
	var all []settings.Settings
	var join []string
	for i := range 3 {
		s := settings.Settings{VM: fmt.Sprintf("vm-%d", i+1), Zone: "muc-a", Region: "oberbayern", Slot: i, InitialVoters: voters}
		for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
			*a = testAddress(t)
		}
		voters[s.VM] = s.PeerAddress
		join = append(join, s.GossipAddress)
		all = append(all, s)
	}
	var nodes []*Node
	for _, s := range all {
		nodes = append(nodes, startTLSVM(t, authority, s, join))
	}
	await(t, "a command is committed", func() bool {
		_, err := usageServer{nodes[2]}.Report(t.Context(), &usagev1.Query{})
		return err == nil && len(nodes[0].members()) == 3
	})
	second := netip.MustParseAddrPort(all[1].PeerAddress)
	for _, c := range []struct {
		id     peertls.Identity
		dialed bool
		ok     bool
	}{
		{peertls.Identity{Zone: "muc-a", VM: "vm-2"}, true, true},
		{peertls.Identity{Zone: "muc-a", VM: "vm-2"}, false, true},
		{peertls.Identity{Zone: "muc-a", VM: "vm-3"}, true, false},
		{peertls.Identity{Zone: "muc-a", VM: "vm-9"}, true, false},
		{peertls.Identity{Zone: "muc-b", VM: "vm-2"}, true, false},
	} {
		if err := nodes[0].verifyPeer(c.id, second, c.dialed); (err == nil) != c.ok {
			t.Errorf("%+v: got error %v", c, err)
		}
	}
	elsewhere := netip.MustParseAddrPort("127.0.0.9:4000")
	if nodes[0].verifyPeer(peertls.Identity{Zone: "muc-a", VM: "vm-2"}, elsewhere, false) == nil {
		t.Error("a connection from vm-2 at a different address was accepted")
	}
}
