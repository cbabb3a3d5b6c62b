// Package scenario runs scripts of failures against real daemons on loopback.
// Each script in testdata is named after the promise that it guards.
package scenario

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	callerKey = "cw-test-key-of-the-yards-0123456789abcdef"
	model     = "gutachter"
	// patience bounds waits that succeed long before on a machine of any speed.
	patience = 30 * time.Second
	poll     = 20 * time.Millisecond
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds:  commands,
	})
}

type worldKey struct{}

func setup(env *testscript.Env) error {
	w := &world{
		folder: env.WorkDir, network: newNetwork(), vms: make(map[string]*vm),
		engines: make(map[string]*standin.Engine), services: make(map[string]*standin.Service),
		calls: make(map[string]*pending),
	}
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	return nil
}

// world is what one script runs.
type world struct {
	// TestScript is the script that runs.
	*testscript.TestScript
	folder  string
	network *network
	// document is the configuration in force while the log has none.
	document config.Document
	names    []string
	vms      map[string]*vm
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	calls    map[string]*pending
	callers  sync.WaitGroup
	edits    atomic.Int64
	// oldLeader is the last VM that a script named as the leader.
	oldLeader string
}

type vm struct {
	settings settings.Settings
	// node is nil while the VM is down.
	node *daemon.Node
}

func (w *world) close() {
	for _, e := range w.engines {
		e.Close()
	}
	for _, s := range w.services {
		s.Close()
	}
	for _, v := range w.vms {
		if v.node != nil {
			v.node.Close()
		}
	}
	w.callers.Wait()
}

var regions = map[string]string{"muc-a": "oberbayern", "muc-b": "oberbayern", "nue-a": "franken"}

func baseDocument(slots map[string]int, rate config.Rate) config.Document {
	d := config.Document{
		Models:     map[string]config.Model{model: {ServingVersion: "v1"}},
		Workspaces: map[string]config.Workspace{"yards": {Keys: []config.Key{{ID: "k", SHA256: keys.Sum(callerKey).String()}}}},
		Rates:      map[string]config.Rate{"yards": rate},
		Routes: map[string]config.Route{
			"grade":  {Kind: config.KindModel, Model: model, MaxAttempts: 6, FirstTokenTimeoutMS: 5000, TokenGapTimeoutMS: 3000, TimeoutMS: 60000},
			"orders": {Kind: config.KindService, Service: "orders", PathPrefix: "/orders", Run: config.RunAtMostOnce},
		},
		Zones: make(map[string]config.Zone),
	}
	for zone, count := range slots {
		d.Zones[zone] = config.Zone{Region: regions[zone], VMSlots: count}
	}
	return d
}

// plan adds one VM. The VMs of slot 0 are the voters, in a zone each.
func (w *world) plan(zone string, slot int) error {
	s := settings.Settings{VM: fmt.Sprintf("%s-%d", zone, slot), Zone: zone, Region: regions[zone], Slot: slot}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.Address()
		if err != nil {
			return err
		}
		*a = address
	}
	w.network.add(place{s.VM, s.Zone, s.Region}, s.TargetAddress, s.PeerAddress, s.GossipAddress, s.AdminAddress)
	w.names = append(w.names, s.VM)
	w.vms[s.VM] = &vm{settings: s}
	return nil
}

// join tells every VM the voters and the addresses of all VMs.
func (w *world) join() {
	voters := make(map[string]string)
	var addresses []string
	for _, v := range w.vms {
		addresses = append(addresses, v.settings.GossipAddress)
		if v.settings.Slot == 0 {
			voters[v.settings.VM] = v.settings.PeerAddress
			v.settings.DataFolder = filepath.Join(w.folder, v.settings.VM)
		}
	}
	for _, v := range w.vms {
		v.settings.Voters, v.settings.Join = voters, addresses
	}
}

func (w *world) start(v *vm) error {
	s := v.settings
	at := place{s.VM, s.Zone, s.Region}
	options := daemon.Options{Dial: w.network.dialFrom(at), ListenPacket: w.network.listenPacketOf(at), Document: &w.document}
	var err error
	v.node, err = daemon.Start(s, options)
	return err
}

func (w *world) announceTo(zone string) (urls []string) {
	for _, v := range w.vms {
		if v.settings.Zone == zone {
			urls = append(urls, "http://"+v.settings.TargetAddress)
		}
	}
	return urls
}
