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

// maxVoters is the maximum number of voters in a local cluster.
const maxVoters = 3

// localCluster runs VMs and simulated engines on loopback inside this process.
// The voters store their data in a temporary folder.
type localCluster struct {
	folder   string
	settings []settings.Settings
	nodes    []*daemon.Node
	engines  []*standin.Engine
}

// startCluster starts the engines and one VM per VM slot of the document's
// zones.
func startCluster(document config.Document, engines []standin.EngineOptions, options daemon.Options) (*localCluster, error) {
	folder, err := os.MkdirTemp("", "cuminwing-")
	if err != nil {
		return nil, err
	}
	c := &localCluster{folder: folder}
	if err := c.start(document, engines, options); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *localCluster) start(document config.Document, engines []standin.EngineOptions, options daemon.Options) error {
	options.Document = &document
	if err := c.makeSettings(document); err != nil {
		return err
	}
	for _, s := range c.settings {
		node, err := daemon.Start(s, options)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, node)
	}
	for _, e := range engines {
		e.AnnounceURLs = c.announceURLs(e.Zone)
		engine, err := standin.StartEngine("127.0.0.1:0", e)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, engine)
	}
	return nil
}

// makeSettings creates the settings of every VM. Voters are spread over the
// zones: the first VM of each zone is preferred.
func (c *localCluster) makeSettings(document config.Document) error {
	byZone := make(map[string][]int)
	for _, zone := range sortedKeys(document.Zones) {
		z := document.Zones[zone]
		for slot := range z.VMSlots {
			s := settings.Settings{VM: fmt.Sprintf("vm-%s-%d", zone, slot), Zone: zone, Region: z.Region, Slot: slot}
			if err := assignAddresses(&s); err != nil {
				return err
			}
			byZone[zone] = append(byZone[zone], len(c.settings))
			c.settings = append(c.settings, s)
		}
	}
	c.chooseVoters(byZone)
	return nil
}

func (c *localCluster) chooseVoters(byZone map[string][]int) {
	var order []int
	for round := 0; len(order) < len(c.settings); round++ {
		for _, zone := range sortedKeys(byZone) {
			if vms := byZone[zone]; round < len(vms) {
				order = append(order, vms[round])
			}
		}
	}
	count := min(maxVoters, len(order))
	// The settings do not accept an even number of voters.
	if count == 2 {
		count = 1
	}
	voters := make(map[string]string)
	for _, i := range order[:count] {
		voters[c.settings[i].VM] = c.settings[i].PeerAddress
		c.settings[i].DataFolder = filepath.Join(c.folder, c.settings[i].VM)
	}
	join := c.settings[0].GossipAddress
	for i := range c.settings {
		c.settings[i].InitialVoters = voters
		c.settings[i].Join = []string{join}
	}
}

// announceURLs returns the URLs of the target listeners of the zone's VMs.
func (c *localCluster) announceURLs(zone string) []string {
	var urls []string
	for _, s := range c.settings {
		if s.Zone == zone {
			urls = append(urls, "http://"+s.TargetAddress)
		}
	}
	return urls
}

// callerURLs returns the URLs of the caller listeners of all VMs.
func (c *localCluster) callerURLs() []string {
	var urls []string
	for _, s := range c.settings {
		urls = append(urls, "http://"+s.CallerAddress)
	}
	return urls
}

func (c *localCluster) close() {
	for _, e := range c.engines {
		e.Close()
	}
	for _, n := range c.nodes {
		n.Close()
	}
	_ = os.RemoveAll(c.folder)
}

func assignAddresses(s *settings.Settings) error {
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := loopback.AllocateAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

// demoTokenInterval is the time between two tokens of a demo engine.
const demoTokenInterval = 5 * time.Millisecond

// startService starts one replica of a simulated service that is not a model, in
// the zone of the first VM.
func (c *localCluster) startService(name string) (*standin.Service, error) {
	zone := c.settings[0].Zone
	return standin.StartService("127.0.0.1:0", standin.ServiceOptions{
		ID: name + "-1", Zone: zone, Region: c.settings[0].Region, Service: name, AnnounceURLs: c.announceURLs(zone),
	})
}

// readyPollInterval is the interval at which waitReady checks a VM.
const readyPollInterval = 50 * time.Millisecond

// waitReady waits until every VM knows all other VMs, all engines and a leader
// of the control log.
func (c *localCluster) waitReady(ctx context.Context) error {
	for _, n := range c.nodes {
		for !n.SeesAtLeast(len(c.nodes), len(c.engines)) {
			select {
			case <-ctx.Done():
				return errors.New("timed out waiting for every VM to discover the other VMs, all targets and the leader")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// counters returns the sums of the token counters over all VMs.
func (c *localCluster) counters() loadgen.Counters {
	var sum loadgen.Counters
	for _, n := range c.nodes {
		sum.PromptTokens += n.Counter("prompt_tokens")
		sum.CachedTokens += n.Counter("cached_tokens")
		sum.WastedTokens += n.Counter("wasted_tokens")
	}
	return sum
}
