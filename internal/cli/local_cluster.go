package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/loadgen"
	"github.com/cuminwing/cuminwing/internal/loopback"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

// maxVoters is the number of voters of a local fleet.
const maxVoters = 3

// localFleet runs VMs and stand-in engines on loopback inside this process,
// with the disks of its voters in a temporary folder.
type localFleet struct {
	folder   string
	settings []settings.Settings
	nodes    []*daemon.Node
	engines  []*standin.Engine
}

// startFleet starts one VM per slot of the document's zones, and the engines.
func startFleet(document config.Document, engines []standin.EngineOptions, options daemon.Options) (*localFleet, error) {
	folder, err := os.MkdirTemp("", "cuminwing-")
	if err != nil {
		return nil, err
	}
	f := &localFleet{folder: folder}
	if err := f.start(document, engines, options); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *localFleet) start(document config.Document, engines []standin.EngineOptions, options daemon.Options) error {
	options.Document = &document
	if err := f.plan(document); err != nil {
		return err
	}
	for _, s := range f.settings {
		node, err := daemon.Start(s, options)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	for _, e := range engines {
		e.Announce = f.announceURLs(e.Zone)
		engine, err := standin.StartEngine("127.0.0.1:0", e)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
	}
	return nil
}

// plan makes the settings of every VM. The first VMs of different zones are
// the voters.
func (f *localFleet) plan(document config.Document) error {
	byZone := make(map[string][]int)
	for _, zone := range sortedKeys(document.Zones) {
		z := document.Zones[zone]
		for slot := range z.VMSlots {
			s := settings.Settings{VM: fmt.Sprintf("vm-%s-%d", zone, slot), Zone: zone, Region: z.Region, Slot: slot}
			if err := giveAddresses(&s); err != nil {
				return err
			}
			byZone[zone] = append(byZone[zone], len(f.settings))
			f.settings = append(f.settings, s)
		}
	}
	f.chooseVoters(byZone)
	return nil
}

func (f *localFleet) chooseVoters(byZone map[string][]int) {
	var order []int
	for round := 0; len(order) < len(f.settings); round++ {
		for _, zone := range sortedKeys(byZone) {
			if vms := byZone[zone]; round < len(vms) {
				order = append(order, vms[round])
			}
		}
	}
	count := min(maxVoters, len(order))
	if count == 2 {
		count = 1
	}
	voters := make(map[string]string)
	for _, i := range order[:count] {
		voters[f.settings[i].VM] = f.settings[i].PeerAddress
		f.settings[i].DataFolder = filepath.Join(f.folder, f.settings[i].VM)
	}
	join := f.settings[0].GossipAddress
	for i := range f.settings {
		f.settings[i].Voters = voters
		f.settings[i].Join = []string{join}
	}
}

// announceURLs lists the target listeners of the zone's VMs.
func (f *localFleet) announceURLs(zone string) []string {
	var urls []string
	for _, s := range f.settings {
		if s.Zone == zone {
			urls = append(urls, "http://"+s.TargetAddress)
		}
	}
	return urls
}

// callerURLs lists the caller listeners of all VMs.
func (f *localFleet) callerURLs() []string {
	var urls []string
	for _, s := range f.settings {
		urls = append(urls, "http://"+s.CallerAddress)
	}
	return urls
}

func (f *localFleet) close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, n := range f.nodes {
		n.Close()
	}
	_ = os.RemoveAll(f.folder)
}

func giveAddresses(s *settings.Settings) error {
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.Address()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

// engineTokenInterval is the time between tokens of a stand-in engine.
const engineTokenInterval = 5 * time.Millisecond

// startService starts one replica of a plain service in the first zone.
func (f *localFleet) startService(name string) (*standin.Service, error) {
	zone := f.settings[0].Zone
	return standin.StartService("127.0.0.1:0", standin.ServiceOptions{
		ID: name + "-1", Zone: zone, Region: f.settings[0].Region, Service: name, Announce: f.announceURLs(zone),
	})
}

// readyPoll is how often awaitReady looks.
const readyPoll = 50 * time.Millisecond

// awaitReady waits until every VM knows the others and all targets, and the
// log has a leader.
func (f *localFleet) awaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for !n.Knows(len(f.nodes), len(f.engines)) {
			select {
			case <-ctx.Done():
				return errors.New("the VMs did not find each other and the targets in time")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// counters sums the request counters of all VMs.
func (f *localFleet) counters() loadgen.Counters {
	var sum loadgen.Counters
	for _, n := range f.nodes {
		sum.PromptTokens += n.Counter("prompt_tokens")
		sum.CachedTokens += n.Counter("cached_tokens")
		sum.WastedTokens += n.Counter("wasted_tokens")
	}
	return sum
}
