package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/cuminwing/cuminwing/internal/placement"
)

// afterAttempt reports whether the request is finished after an attempt, and
// with which refusal.
func (c *call) afterAttempt(result result) (bool, *refusal) {
	if result == resultDelivered {
		return true, nil
	}
	if c.r.Context().Err() != nil {
		return true, &errCallerDisconnected
	}
	if result.mayHaveRun() && !c.choice.FromCopy {
		c.possibleRuns++
	}
	if c.Shutdown.Ended().Err() != nil {
		return true, c.endStopped()
	}
	if !time.Now().Before(c.deadline) {
		return true, c.endFailed(&errTimeout)
	}
	if result == resultNoDescriptor {
		return true, c.endWithoutDescriptor()
	}
	if c.reserveBackup(result) {
		return false, nil
	}
	// A run that continues from a copy has begun before, whatever the result is.
	if (result.mayHaveRun() || c.choice.FromCopy) && (!c.route.Retryable() || c.unnumberedEvents || c.possibleRuns >= c.route.MaxAttempts) {
		return true, c.endFailed(&errTargetFailed)
	}
	if c.attempts >= maxAttempts {
		return true, c.endWithoutTarget()
	}
	return false, nil
}

// endWithoutTarget returns the refusal of a request for which no further target
// is available.
func (c *call) endWithoutTarget() *refusal {
	switch {
	case c.headersSent || c.possibleRuns > 0:
		return c.endFailed(&errTargetFailed)
	}
	if refused := c.notAdmitted(); refused != nil {
		return refused
	}
	if c.attempts > 0 {
		return &errTargetsFull
	}
	return &errNoTarget
}

// endWithoutDescriptor returns the refusal of a request for which this VM can open no
// connection. Another target would need one, too.
func (c *call) endWithoutDescriptor() *refusal {
	if c.headersSent || c.possibleRuns > 0 {
		return c.endFailed(&errTargetFailed)
	}
	return &errNoDescriptor
}

// notAdmitted returns the refusal of a request that no target of its service accepts at
// present, because they all drain, pause or have reached their limits. It is nil if that
// is not the reason. The time to retry is spread, so that callers do not return at once.
func (c *call) notAdmitted() *refusal {
	reason, wait := c.Placer.AdmittedAfter(c.service)
	if reason == placement.Admitted {
		return nil
	}
	c.addReason("all targets are " + reason.String())
	refused := errTargetsNotAdmitting
	if wait > 0 {
		refused.retryAfter = wait + time.Duration(rand.Float64()*float64(min(wait, maxRetrySpread)))
	}
	return &refused
}

// comesTooLate reports whether no attempt may begin any more, because this VM may end
// before it is finished. A stream that has begun has no other way to be completed.
func (c *call) comesTooLate() bool { return !c.headersSent && c.Shutdown.Rejects(c.deadline) }

// endStopped returns the refusal of a request that this VM cannot finish before it ends.
func (c *call) endStopped() *refusal {
	if c.headersSent || c.possibleRuns > 0 {
		return c.endFailed(&errStopped)
	}
	return &errStopping
}

// endWithdrawn returns the refusal of a request whose key was withdrawn after its admission.
func (c *call) endWithdrawn() *refusal {
	c.addReason("the key was withdrawn")
	if c.headersSent || c.possibleRuns > 0 {
		return c.endFailed(&errTargetFailed)
	}
	return &errUnknownKey
}

// endFailed finishes a failed request. A stream that has begun is aborted.
// Otherwise the caller gets the error response of a target, if there is one. A
// request that cannot have run gets errTargetsFull, and any other one the given
// refusal.
func (c *call) endFailed(refused *refusal) *refusal {
	switch {
	case c.headersSent:
		return &errAborted
	case c.failedResponse != nil:
		c.failedResponse.write(c)
		return nil
	case c.possibleRuns == 0:
		return &errTargetsFull
	}
	return refused
}
