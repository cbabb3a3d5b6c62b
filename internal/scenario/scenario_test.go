// Package scenario runs failure scenarios against real daemons on the loopback
// interface. Each script in testdata is named after the guarantee that it tests.
package scenario

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	callerKey = "cw-test-key-of-the-yards-0123456789abcdef"
	modelName = "gutachter"
	// waitTimeout limits waits for a condition. It is far longer than any of
	// them takes, even on a slow machine.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Guards against the failure that the head of each script describes.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds:  commands,
	})
}

type clusterKey struct{}

func setup(env *testscript.Env) error {
	c := &testCluster{
		dataRoot: env.WorkDir, network: newNetwork(), vms: make(map[string]*vm),
		engines: make(map[string]*standin.Engine), services: make(map[string]*standin.Service),
		pendingCalls: make(map[string]*pendingCall),
	}
	env.Values[clusterKey{}] = c
	env.Defer(c.close)
	return nil
}

// testCluster holds the VMs, targets, network and calls of one running script.
type testCluster struct {
	// TestScript is the running script.
	*testscript.TestScript
	dataRoot string
	network  *network
	// document is the configuration that VMs use until the log contains one.
	document     config.Document
	names        []string
	vms          map[string]*vm
	engines      map[string]*standin.Engine
	services     map[string]*standin.Service
	pendingCalls map[string]*pendingCall
	callers      sync.WaitGroup
	editCount    atomic.Int64
	// lastLeader is the VM that the name "leader" last resolved to.
	lastLeader string
}

type vm struct {
	settings settings.Settings
	// node is nil while the VM is stopped.
	node *daemon.Node
}

func (c *testCluster) close() {
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	for _, v := range c.vms {
		if v.node != nil {
			v.node.Close()
		}
	}
	c.callers.Wait()
}

var zoneRegions = map[string]string{"muc-a": "oberbayern", "muc-b": "oberbayern", "nue-a": "franken"}

func baseDocument(slots map[string]int, rate config.Rate) config.Document {
	d := config.Document{
		Models:     map[string]config.Model{modelName: {ServingVersion: "v1"}},
		Workspaces: map[string]config.Workspace{"yards": {Keys: []config.Key{{ID: "k", SHA256: apikeys.HashKey(callerKey).String()}}}},
		Rates:      map[string]config.Rate{"yards": rate},
		Routes: map[string]config.Route{
			"grade":  {Kind: config.KindModel, Model: modelName, MaxAttempts: 6, FirstTokenTimeoutMS: 5000, TokenGapTimeoutMS: 3000, TimeoutMS: 60000},
			"orders": {Kind: config.KindService, Service: "orders", PathPrefix: "/orders", Run: config.RunAtMostOnce},
		},
		Zones: make(map[string]config.Zone),
	}
	for zone, count := range slots {
		d.Zones[zone] = config.Zone{Region: zoneRegions[zone], VMSlots: count}
	}
	return d
}

// addVM adds a VM without starting it. Slot 0 of each zone is a voter.
func (c *testCluster) addVM(zone string, slot int) error {
	s := settings.Settings{VM: fmt.Sprintf("%s-%d", zone, slot), Zone: zone, Region: zoneRegions[zone], Slot: slot}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.AllocateAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	c.network.add(site{s.VM, s.Zone, s.Region}, s.TargetAddress, s.PeerAddress, s.GossipAddress, s.AdminAddress)
	c.names = append(c.names, s.VM)
	c.vms[s.VM] = &vm{settings: s}
	return nil
}

// setVotersAndJoin configures each VM with the voters and the gossip addresses of
// all VMs.
func (c *testCluster) setVotersAndJoin() {
	voters := make(map[string]string)
	var addresses []string
	for _, v := range c.vms {
		addresses = append(addresses, v.settings.GossipAddress)
		if v.settings.Slot == 0 {
			voters[v.settings.VM] = v.settings.PeerAddress
			v.settings.DataFolder = filepath.Join(c.dataRoot, v.settings.VM)
		}
	}
	for _, v := range c.vms {
		v.settings.InitialVoters, v.settings.Join = voters, addresses
	}
}

func (c *testCluster) startVM(v *vm) error {
	s := v.settings
	local := site{s.VM, s.Zone, s.Region}
	options := daemon.Options{Dial: c.network.dialFrom(local), ListenPacket: c.network.listenPacketFrom(local), Document: &c.document}
	var err error
	v.node, err = daemon.Start(s, options)
	return err
}

func (c *testCluster) targetListenerURLs(zone string) (urls []string) {
	for _, v := range c.vms {
		if v.settings.Zone == zone {
			urls = append(urls, "http://"+v.settings.TargetAddress)
		}
	}
	return urls
}
