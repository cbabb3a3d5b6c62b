package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// Guards against evidence that is lost with the leader and the front that saw the crashes, or with
// the snapshot of a member that restarts, and against crashes that change the registry of fronts.
func TestCrashesAreInTheRegistry(t *testing.T) {
	fatal := quarantine.RequestKey("fatal")
	report := func(engine string, ageMS float64) *followv1.FrontReport {
		return &followv1.FrontReport{Crashes: []*followv1.EngineCrash{{
			Engine: engine, AgeMs: ageMS, Requests: []*followv1.BrokenRequest{{Key: fatal, SentAgeMs: ageMS + 10}},
		}}}
	}
	registry := fleet.NewRegistry()
	first := newCrashEvidence(boottime.Now(), nil, registry.Evidence())
	first.record(boottime.Now(), report("0", 5000))
	first.record(boottime.Now(), report("1", 4000))
	u := first.unrecorded(boottime.Now())
	registry.Apply(7, time.Time{}, fleet.Command{Evidence: &u.Record}.Encode())
	first.confirmRecorded(u)
	if again := first.unrecorded(boottime.Now()); !again.IsEmpty() {
		t.Errorf("%v would be recorded again", again.Record)
	}
	if revision, _ := registry.Versions(); revision != 0 {
		t.Errorf("the revision is %d after a record of crashes, want 0: fronts have no use for them", revision)
	}
	data, err := registry.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restarted := fleet.NewRegistry()
	if err := restarted.Restore(data); err != nil {
		t.Fatal(err)
	}
	second := newCrashEvidence(boottime.Now(), nil, restarted.Evidence())
	second.record(boottime.Now(), report("2", 0))
	const decisionTime = 2 * time.Second
	if add, _ := second.changes(boottime.Now()+decisionTime, nil); !slices.Equal(add, []string{fatal}) {
		t.Errorf("the next leader quarantines %q after the third crash, want the fatal request", add)
	}
}
