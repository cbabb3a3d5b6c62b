package proxy

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// BackupEvent is what happens with the backup of a stream.
type BackupEvent uint8

const (
	// BackupRequested means that an engine was asked to copy a run to another one.
	BackupRequested BackupEvent = iota
	// BackupContinued means that a run was to continue from its copy.
	BackupContinued
	// BackupRefused means that the engine did not continue the run, for example because it
	// has no copy.
	BackupRefused
	// BackupSucceeded means that a run that continued from its copy has completed.
	BackupSucceeded
)

// String returns the name of the event in metrics.
func (e BackupEvent) String() string {
	return [...]string{"requested", "continued", "refused", "succeeded"}[e]
}

func (c *call) countBackup(e BackupEvent) {
	if c.CountBackup != nil {
		c.CountBackup(e)
	}
}

// requestBackup lets placement choose an engine that gets a copy of the run, if the engines of
// the service can keep copies and the response is a stream that would be lost with its engine.
// For other streams copies cost more than they save: these run again at another engine.
func (c *call) requestBackup(engine *gatewayconfig.Engine) {
	runsAgain := c.route.Retryable() && c.route.MaxAttempts > 1
	if !engine.Backups || c.route.Kind != gatewayconfig.RunStream || runsAgain || len(c.placementRequest.Parts) == 0 {
		return
	}
	c.placementRequest.Backup, c.placementRequest.Objective = true, c.route.Objective
}

// setBackupFields sets which engine gets a copy of the run, or from which copy it continues.
func (s *exchange) setBackupFields(a *Attempt) {
	if s.choice.FromCopy {
		a.CopyAt, a.RunID = s.choice.Target.Address, s.request.ID
		s.countBackup(BackupContinued)
	}
	if s.choice.Backup != nil {
		a.BackupTo = s.choice.Backup.Target.Address
		s.countBackup(BackupRequested)
	}
}

// hasNoCopy reports whether the status means that the engine does not continue the run, which
// it then has not run.
func (s *exchange) hasNoCopy(status int) bool {
	return s.choice.FromCopy && status == http.StatusServiceUnavailable
}

// recordContinuation counts the result of an attempt to continue a run from its copy.
func (c *call) recordContinuation(result result) {
	switch {
	case !c.choice.FromCopy:
	case result == resultDelivered && c.succeeded:
		c.countBackup(BackupSucceeded)
	case result == resultRefused || result == resultMisdirected || result == resultOtherWeights:
		c.countBackup(BackupRefused)
	}
}

// reserveBackup reserves the engine that has the copy of the run for the next attempt, if the
// connection to the first engine broke. It reports false if the run cannot continue there. The
// attempt belongs to the same run, so that it is allowed on any route.
func (c *call) reserveBackup(result result) bool {
	if result != resultBroken || c.choice.Backup == nil || c.unnumberedEvents || c.attempts >= maxAttempts {
		return false
	}
	choice := c.Placer.Continue(c.choice, c.placementRequest)
	if choice == nil {
		c.addReason("backup " + c.choice.Backup.Target.ID + " cannot be used")
		return false
	}
	if !c.Budget.TakeRetry(c.service, time.Now(), c.state.FrontCount) {
		c.Placer.Done(choice, placement.Unused)
		c.addReason("retry budget spent")
		return false
	}
	c.reserved = choice
	return true
}

// backupField returns the log field with the engine from whose copy the next attempt continues.
func (c *call) backupField() zap.Field {
	if c.reserved == nil || !c.reserved.FromCopy {
		return zap.Skip()
	}
	return zap.String("backup", c.reserved.Target.ID)
}
