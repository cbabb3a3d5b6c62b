package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// quarantineInterval is the time between two checks of the evidence.
const quarantineInterval = 100 * time.Millisecond

// crashEvidence is what a leader knows about requests and parts of prompts that may crash
// engines.
type crashEvidence struct {
	mu       sync.Mutex
	tracker  *quarantine.Tracker
	suspects []string
}

// newCrashEvidence returns the evidence of a new leader at now, given what is quarantined and what
// the leaders before it have recorded.
func newCrashEvidence(now time.Duration, quarantined []string, recorded quarantine.EvidenceRecord) *crashEvidence {
	e := &crashEvidence{tracker: quarantine.NewTracker()}
	e.tracker.SetQuarantined(quarantined)
	e.tracker.Restore(now, time.Now(), recorded)
	return e
}

// unrecorded returns the evidence that has to be recorded for the next leader.
func (e *crashEvidence) unrecorded(now time.Duration) quarantine.Unrecorded {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Unrecorded(now, time.Now())
}

func (e *crashEvidence) confirmRecorded(u quarantine.Unrecorded) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.ConfirmRecorded(u)
}

// record applies the report of a front.
func (e *crashEvidence) record(now time.Duration, report *followv1.FrontReport) {
	if len(report.GetCrashes()) == 0 && len(report.GetCompletions()) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range report.GetCrashes() {
		e.tracker.RecordCrash(now, decodeCrash(c, now))
	}
	for _, c := range report.GetCompletions() {
		e.tracker.RecordCompletion(now, quarantine.Completion{Suspect: quarantine.ReportedID(c.GetSuspect()), At: now - fromMilliseconds(c.GetAgeMs())})
	}
}

// knownSuspects returns the sorted requests and parts of which fronts have to report
// completions.
func (e *crashEvidence) knownSuspects() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects
}

// changes returns the requests and parts that have to be quarantined and those whose
// quarantine is over, given the quarantined ones. While as many as possible are
// quarantined, none is added.
func (e *crashEvidence) changes(now time.Duration, quarantined []string) (add, release []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.SetQuarantined(quarantined)
	e.tracker.ObserveQuarantine(now)
	for _, suspect := range e.tracker.QuarantineOver(now) {
		release = append(release, suspect)
		e.tracker.Forget(suspect)
	}
	for _, suspect := range e.tracker.Released() {
		release = append(release, suspect)
		e.tracker.Release(suspect)
	}
	add = e.tracker.Due(now)
	e.suspects = e.tracker.Suspects(now)
	return add[:min(len(add), max(fleet.MaxQuarantined-len(quarantined), 0))], release
}

// withoutRefuted returns the elements of the list that have not completed meanwhile. A proposal
// may take seconds while members of the core are lost.
func (e *crashEvidence) withoutRefuted(list []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(list, e.tracker.IsRefuted)
}

// updateQuarantine changes the quarantined requests and parts while this replica leads. A
// change that was not committed is proposed again. New suspects are passed on at once, so
// that fronts hold them back.
func (c *Core) updateQuarantine(ctx context.Context) {
	var change fleet.Command
	var suspects []string
	for pause.For(ctx, quarantineInterval) {
		leader, leading := c.leadership()
		if !leading {
			change = fleet.Command{}
			continue
		}
		add, release := leader.evidence.changes(boottime.Now(), c.registry.Quarantined())
		if known := leader.evidence.knownSuspects(); !slices.Equal(known, suspects) {
			suspects = known
			c.notify()
		}
		change.Quarantine = leader.evidence.withoutRefuted(union(change.Quarantine, add))
		change.Release = union(change.Release, release)
		if len(change.Quarantine) == 0 && len(change.Release) == 0 {
			c.recordCrashes(ctx, leader.evidence)
			continue
		}
		err := c.propose(ctx, control.KindFleet, change.Encode())
		c.logger.Warn("quarantine changed", zap.Strings("quarantined", change.Quarantine),
			zap.Strings("released", change.Release), zap.Error(err))
		if err == nil {
			change = fleet.Command{}
		}
	}
}

// recordCrashes commits the crashes that have been reported, so that the next leader knows them
// even if the fronts that saw them are lost together with this one.
func (c *Core) recordCrashes(ctx context.Context, evidence *crashEvidence) {
	u := evidence.unrecorded(boottime.Now())
	if u.IsEmpty() {
		return
	}
	if err := c.propose(ctx, control.KindFleet, fleet.Command{Evidence: &u.Record}.Encode()); err != nil {
		c.logger.Info("recording the crashes of engines failed", zap.Error(err))
		return
	}
	evidence.confirmRecorded(u)
}

// union returns the sorted elements of both lists, each once.
func union(a, b []string) []string {
	list := slices.Concat(a, b)
	slices.Sort(list)
	return slices.Compact(list)
}

// suspects returns the requests and parts that the leader suspects, as far as this member knows.
func (c *Core) suspects() []string {
	if leader, leading := c.leadership(); leading {
		return leader.evidence.knownSuspects()
	}
	return c.relayedState().suspects
}
