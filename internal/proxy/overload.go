package proxy

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/overload"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// firstEventBy returns when the response, or the first event of a stream, must have begun:
// the caller leaves later.
func (c *call) firstEventBy() time.Time {
	if patient := c.started.Add(c.route.Patience); c.route.Patience > 0 && patient.Before(c.deadline) {
		return patient
	}
	return c.deadline
}

// refusable reports whether the request can still be refused with the promise that it has not
// run.
func (c *call) refusable() bool { return c.possibleRuns == 0 && !c.headersSent }

func (c *call) overloadRequest() overload.Request {
	waited := time.Since(c.started)
	r := overload.Request{
		Service: c.service, Priority: c.priority(), Rank: c.route.Priority, Objective: c.route.Objective,
		Patience: c.firstEventBy().Sub(c.started), Waited: waited, TimeLeft: c.callerLimit() - waited,
	}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	return r
}

// boundChoice makes placement prefer targets that can begin the request in time, and refuse
// the request if none can.
func (c *call) boundChoice(request *placement.Request) {
	if c.Overload == nil || !c.refusable() {
		return
	}
	r := c.overloadRequest()
	request.Bounds.First, request.Bounds.Wait = c.Overload.Bounds(r)
	request.Accept = func(choice *placement.Choice) bool {
		c.verdict = c.Overload.Decide(r, c.estimate(choice))
		return !c.verdict.Refused()
	}
}

// estimate returns what is known of a choice. How long the request itself takes is known only if
// it has a prompt.
func (c *call) estimate(choice *placement.Choice) overload.Estimate {
	e := overload.Estimate{Expected: choice.Expected, Limited: choice.Limited, Certain: choice.Certain}
	if len(c.placementRequest.Parts) > 0 {
		e.Work = choice.Work()
	}
	return e
}

// observeWait records the time to the first byte of the attempt, or to its end without one.
func (s *exchange) observeWait(answered bool) {
	if s.Overload == nil || s.waitObserved {
		return
	}
	s.waitObserved = true
	s.Overload.Observe(s.overloadRequest(), s.estimate(s.choice), time.Since(s.began), answered)
}

// endOverloaded returns the refusal of a request that no target is expected to begin in time.
func (c *call) endOverloaded(choice *placement.Choice) *refusal {
	c.choice, c.targetID = choice, choice.Target.ID
	c.addReason(overloadReason(c.verdict, choice.Expected))
	refused := errOverloaded
	refused.retryAfter = c.verdict.RetryAfter
	return &refused
}

func overloadReason(v overload.Verdict, expected time.Duration) string {
	expected, limit := expected.Round(time.Millisecond), v.Limit.Round(time.Millisecond)
	if v.Reason == overload.LateResponses {
		return fmt.Sprintf("%v: all recent responses began later than %v, and the first byte is expected after %v", v.Reason, limit, expected)
	}
	return fmt.Sprintf("%v: the first byte is expected after %v, which is over the limit of %v", v.Reason, expected, limit)
}

// outOfPatience reports whether a request that can still be refused has waited here until its
// caller leaves.
func (c *call) outOfPatience() bool {
	return c.Overload != nil && c.refusable() && !time.Now().Before(c.firstEventBy())
}

// overloadFields returns the log fields of a request that was refused because of the expected
// time to its first byte.
func (c *call) overloadFields() []zap.Field {
	if !c.verdict.Refused() {
		return nil
	}
	return []zap.Field{
		zap.Stringer("refused_for", c.verdict.Reason), zap.Duration("first_expected", c.choice.Expected),
		zap.Duration("first_limit", c.verdict.Limit), zap.Duration("retry_after", c.verdict.RetryAfter),
	}
}
