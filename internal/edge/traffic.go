package edge

import (
	"sync/atomic"

	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/traffic"
	"github.com/cuminwing/cuminwing/internal/fleet"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// Causes of traffic in metrics.
const (
	trafficTargets = "targets"
	trafficHints   = "hints"
	// trafficCore is the traffic of a front with members of the core, and
	// trafficReplication that among the members: entries of the control log and relayed
	// reports.
	trafficCore        = "core"
	trafficReplication = "replication"
)

// addressZones knows the zones of the addresses with which a process exchanges data.
type addressZones struct {
	targets, core atomic.Pointer[map[string]string]
}

func (z *addressZones) setTargets(targets map[string]fleet.Target) {
	zones := make(map[string]string, len(targets))
	for id := range targets {
		t := targets[id]
		zones[t.Address] = t.Zone
	}
	z.targets.Store(&zones)
}

func (z *addressZones) setCore(members []*followv1.CoreMember) {
	zones := make(map[string]string, len(members))
	for _, m := range members {
		zones[m.GetAddress()] = m.GetZone()
	}
	z.core.Store(&zones)
}

// zone returns the zone of an address; empty if it is not known.
func (z *addressZones) zone(address string) string {
	for _, known := range []*map[string]string{z.targets.Load(), z.core.Load()} {
		if known == nil {
			continue
		}
		if zone := (*known)[address]; zone != "" {
			return zone
		}
	}
	return ""
}

// meter returns a Meter that adds to the counters of this process.
func (z *addressZones) meter(s *Settings, counters *metrics.Set) *traffic.Meter {
	distance := func(address string) traffic.Distance { return traffic.Between(s.Regions, s.Zone, z.zone(address)) }
	return &traffic.Meter{DistanceTo: distance, Add: counters.Add}
}
