package edge

import (
	"testing"

	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/traffic"
	"github.com/cuminwing/cuminwing/internal/fleet"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// discardMeter returns a Meter whose counters nobody reads.
func discardMeter() *traffic.Meter {
	return new(addressZones).meter(&Settings{}, metrics.New("discarded"))
}

// Guards against bytes that are counted under the zone of a target that has left, whose
// address another one uses now.
func TestDistanceFollowsTheRegistryAndTheMembers(t *testing.T) {
	var zones addressZones
	s := &Settings{Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}
	distance := zones.meter(s, metrics.New("distance")).DistanceTo
	if got := distance("10.0.0.1:1"); got != traffic.Unknown {
		t.Errorf("distance without a registry is %v", got)
	}
	zones.setTargets(map[string]fleet.Target{"t": {Address: "10.0.0.1:1", Zone: "a2"}})
	zones.setCore([]*followv1.CoreMember{{Address: "10.0.0.2:1", Zone: "b1"}, {Address: "10.0.0.3:1"}})
	for address, want := range map[string]traffic.Distance{"10.0.0.1:1": traffic.SameRegion, "10.0.0.2:1": traffic.OtherRegion, "10.0.0.3:1": traffic.Unknown} {
		if got := distance(address); got != want {
			t.Errorf("distance to %s is %v, want %v", address, got, want)
		}
	}
	zones.setTargets(map[string]fleet.Target{"u": {Address: "10.0.0.1:1", Zone: "a1"}})
	if got := distance("10.0.0.1:1"); got != traffic.SameZone {
		t.Errorf("distance to the next target at the address is %v", got)
	}
}
