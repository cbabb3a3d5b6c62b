package edge

import (
	"context"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// unusableTargets are registry entries of another writer that name no usable target,
// by what is wrong with them.
func unusableTargets() map[string]fleet.Target {
	changed := func(change func(*fleet.Target)) fleet.Target {
		t := fleet.Target{ID: "odd", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: 1}
		change(&t)
		return t
	}
	targets := make(map[string]fleet.Target)
	for _, address := range []string{
		"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:1e3", "127.0.0.1:18446744073709551617", "127.0.0.1:http", "127.0.0.1",
		"engine.example:80", "localhost:80", ":80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "255.255.255.255:80", "[fe80::1%eth0]:80",
		"127.0.0.1:80/x", "user@127.0.0.1:80", "127.0.0.1:80\r\nX: y", strings.Repeat("1", 1<<20),
	} {
		targets["address "+address[:min(len(address), 40)]] = changed(func(t *fleet.Target) { t.Address = address })
	}
	targets["line break in the ID"] = changed(func(t *fleet.Target) { t.ID = "odd\r\nX: y" })
	targets["ID that is not UTF-8"] = changed(func(t *fleet.Target) { t.ID = "odd\xff" })
	targets["long service"] = changed(func(t *fleet.Target) { t.Service = strings.Repeat("s", 1<<20) })
	targets["long zone"] = changed(func(t *fleet.Target) { t.Zone = strings.Repeat("z", 1<<20) })
	targets["long model"] = changed(func(t *fleet.Target) { t.Model = strings.Repeat("m", 1<<20) })
	targets["negative start"] = changed(func(t *fleet.Target) { t.Started = -1 })
	targets["start beyond all dates"] = changed(func(t *fleet.Target) { t.Started = math.MaxInt64 })
	return targets
}

// Guards against an entry of another writer that gets into the registry although no
// request can be sent to it: all members and fronts would keep it and dial it.
func TestUnusableTargetsAreRejected(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	core := d.cores[0].core
	sound := fleet.Target{ID: "t1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: 1}
	eventually(t, "sound target", func() error { return core.Announce(ctx, sound) })
	unusable := unusableTargets()
	for name, target := range unusable {
		err := core.Announce(ctx, target)
		if !errors.Is(err, gatewayconfig.ErrInvalid) {
			t.Errorf("%s: %v, want ErrInvalid", name, err)
		} else if len(err.Error()) > 512 {
			t.Errorf("%s: the error has %d bytes", name, len(err.Error()))
		}
	}
	if targets := core.registry.Current().Targets; len(targets) != 1 || targets["t1"].Address != sound.Address {
		t.Errorf("%d targets are registered, want the sound one only", len(targets))
	}
	if n := core.rejectedHeartbeats.total(); n != len(unusable) {
		t.Errorf("%d rejections are counted, want %d", n, len(unusable))
	}
}

// Guards against an entry of another writer that takes a sound engine away, because it has
// the engine's ID or address and a service that the document does not name.
func TestTargetOfAnUnknownServiceReplacesNoOther(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	core := d.cores[0].core
	target := func(id, service, address string, started int64) fleet.Target {
		return fleet.Target{ID: id, Service: service, Address: address, Zone: "z", Started: started}
	}
	eventually(t, "sound target", func() error { return core.Announce(ctx, target("t1", "s", "127.0.0.1:1", 1)) })
	eventually(t, "document", func() error { return core.PutDocument(ctx, documentWithKey(1, "k1")) })
	for name, odd := range map[string]fleet.Target{
		"same address": target("odd", "unknown", "127.0.0.1:1", 2),
		"same ID":      target("t1", "unknown", "127.0.0.1:2", 2),
		"both":         target("t1", "unknown", "127.0.0.1:1", 1),
	} {
		if err := core.Announce(ctx, odd); !errors.Is(err, gatewayconfig.ErrInvalid) {
			t.Errorf("%s: %v, want ErrInvalid", name, err)
		}
	}
	if targets := core.registry.Current().Targets; len(targets) != 1 || targets["t1"].Service != "s" {
		t.Errorf("targets are %v, want t1 of service s only", targets)
	}
	// The service may be named later, and an address may go to a target of a named one.
	for _, sound := range []fleet.Target{target("early", "later", "127.0.0.1:3", 1), target("t2", "s", "127.0.0.1:3", 2), target("t3", "s", "127.0.0.1:1", 2)} {
		if err := core.Announce(ctx, sound); err != nil {
			t.Errorf("%s: %v", sound.ID, err)
		}
	}
	if targets := core.registry.Current().Targets; len(targets) != 2 || targets["t2"].ID == "" || targets["t3"].ID == "" {
		t.Errorf("targets are %v, want t2 and t3", targets)
	}
}

// Guards against requests to a target whose only heartbeat arrives after it has left: the
// departure of an unknown target was not recorded.
func TestHeartbeatOfATargetThatHasLeftIsIgnored(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	core := d.cores[0].core
	eventually(t, "departure", func() error { return core.Deregister(ctx, "t1") })
	late := fleet.Target{ID: "t1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: time.Now().Add(-time.Second).UnixMilli()}
	if err := core.Announce(ctx, late); err != nil {
		t.Fatal(err)
	}
	if targets := core.registry.Current().Targets; len(targets) != 0 {
		t.Errorf("targets are %v, want none", targets)
	}
	restarted := late
	restarted.Started = time.Now().Add(time.Second).UnixMilli()
	if err := core.Announce(ctx, restarted); err != nil {
		t.Fatal(err)
	}
	if targets := core.registry.Current().Targets; len(targets) != 1 {
		t.Errorf("targets are %v, want the restarted one", targets)
	}
	long := strings.Repeat("t", 100_000)
	if err := core.Deregister(ctx, long); err != nil || len(core.registry.Current().Departed) > 1 {
		t.Errorf("the departure of a target with an ID of %d bytes: error %v, or recorded", len(long), err)
	}
}

// Guards against a front that sends requests to unusable entries, or dials them, when
// an earlier version of the core has registered such entries: they stay in the control
// log and in its snapshots.
func TestFrontPlacesNoRequestsAtUnusableTargets(t *testing.T) {
	registry := fleet.NewRegistry()
	index := uint64(0)
	announce := func(target fleet.Target) {
		index++
		registry.Apply(index, time.Time{}, fleet.Command{Announce: &target}.Encode())
	}
	announce(fleet.Target{ID: "t1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: 1})
	for name, target := range unusableTargets() {
		if target.Address == "127.0.0.1:1" {
			target.Address = "127.0.0.1:2"
		}
		target.ID += name
		announce(target)
	}
	delta, err := new(encodedState).delta(registry, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := newFront(Settings{VM: "f", Zone: "z", Guarantees: testGuarantees()}, FrontOptions{Logger: zap.NewNop(), Decode: decodeJSON, Codec: headerCodec{}})
	if f.registry, err = f.registryFor(&followv1.FollowResponse{FleetDelta: delta}); err != nil {
		t.Fatal(err)
	}
	if n := len(f.registry.Targets); n < 10 {
		t.Fatalf("the registry has %d targets", n)
	}
	f.updatePlacement(nil, 1)
	if targets := f.placer.Targets(); len(targets) != 1 || targets[0].ID != "t1" {
		t.Errorf("requests are placed at %d targets, want t1 only", len(targets))
	}
}

// Guards against an entry of the control log that cannot be applied and stops the
// members of the core, or is skipped by some of them only: each would meet it again at
// every start.
func TestMalformedCommandsInTheLogChangeNothing(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	core := d.cores[0].core
	target := fleet.Target{ID: "t1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: 1}
	eventually(t, "target", func() error { return core.Announce(ctx, target) })
	for name, body := range map[string]string{
		"deep nesting":          `{"announce":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "}",
		"number too large":      `{"announce":{"id":"odd","started":1` + strings.Repeat("0", 400) + "}}",
		"field of another type": `{"announces":[{"id":7}]}`,
		"no JSON":               "\xff\x00",
		"empty":                 "",
		"null":                  "null",
		"no number":             `{"weights":{"model":"m","version":NaN}}`,
	} {
		for _, kind := range []control.Kind{control.KindFleet, control.KindDocument} {
			eventually(t, name, func() error { return core.propose(ctx, kind, []byte(body)) })
		}
		if err := core.propose(ctx, control.Kind(200), []byte(body)); !errors.Is(err, control.ErrNotCommitted) {
			t.Errorf("%s: a command of an unknown kind: %v, want ErrNotCommitted", name, err)
		}
	}
	for i, c := range d.cores {
		d.stopCore(c)
		c.settings.FirstStart = false
		d.startCore(c)
		eventually(t, fmt.Sprint("state of core ", i, " after its restart"), func() error {
			if _, err := c.core.Document(ctx); err != nil {
				return err
			}
			targets := c.core.registry.Current().Targets
			if len(targets) != 1 || targets["t1"].ID != "t1" {
				return fmt.Errorf("targets are %v", maps.Clone(targets))
			}
			return nil
		})
	}
}
