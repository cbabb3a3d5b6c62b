package proxy

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// outcomeOK is the outcome of a request that was answered with the response of a target.
const outcomeOK = "ok"

// finish reports the outcome of the request to Observe and the log, and aborts
// the connection to the caller if the response is incomplete.
func (c *call) finish(code string) {
	took := time.Since(c.started)
	kind := gatewayconfig.RunOnce
	if c.route != nil {
		kind = c.route.Kind
	}
	c.Observe(kind, code, took)
	fields := []zap.Field{
		zap.String("id", c.request.ID), zap.String("outcome", code), zap.String("reason", c.reason),
		zap.Duration("first", c.firstByteAfter), zap.Duration("took", took),
	}
	if elapsed := c.Shutdown.Elapsed(); elapsed > 0 {
		fields = append(fields, zap.Duration("shutdown_for", elapsed))
	}
	fields = append(fields, c.admissionFields()...)
	if code == errTargetsNotAdmitting.code {
		fields = append(fields, zap.Stringers("passed_over", c.Placer.AdmissionFacts(c.service)))
	}
	if code == errOverloaded.code {
		fields = append(fields, c.overloadFields()...)
	}
	if c.possibleRuns > 0 {
		fields = append(fields, zap.String("key", c.key), zap.Strings("parts", c.sharedParts()))
	}
	c.Logger.Info(logMessage(code), append(fields, c.placementFields()...)...)
	if code != outcomeOK && c.headersSent {
		c.abort()
	}
}

// ignoredLogInterval is the shortest time between two log entries about ignored headers.
const ignoredLogInterval = time.Second

// logIgnored logs the names of headers of a target that have no valid value.
func (c *call) logIgnored(names []string) {
	if len(names) == 0 {
		return
	}
	now := time.Now().UnixNano()
	last := c.lastIgnoredLog.Load()
	if now-last < int64(ignoredLogInterval) || !c.lastIgnoredLog.CompareAndSwap(last, now) {
		return
	}
	c.Logger.Info("ignored headers of a target that have no valid value", zap.String("id", c.request.ID),
		zap.String("target", c.targetID), zap.Strings("headers", names))
}

// logMessage returns separate messages for successful and failed requests, so
// that log sampling under load drops successful ones first.
func logMessage(code string) string {
	if code == outcomeOK {
		return "request"
	}
	return "request failed"
}

// admissionFields returns the log fields of admission, with the version and age
// of the state that it used.
func (c *call) admissionFields() []zap.Field {
	var fields []zap.Field
	if c.state.Table != nil {
		fields = append(fields, zap.Uint64("document", c.state.Table.Document.Version),
			zap.Duration("confirmed_age", c.BootClock()-c.state.Confirmed))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if !c.deadline.IsZero() {
		fields = append(fields, zap.Duration("limit", c.deadline.Sub(c.started)))
	}
	if c.workspace != nil {
		fields = append(fields, zap.String("workspace", c.workspace.Name))
	}
	return fields
}

// unansweredFields returns the log fields of an attempt that ended without a first byte:
// how long it waited, and what the target was believed to be when it was chosen and when
// the attempt ended.
func unansweredFields(choice *placement.Choice) []zap.Field {
	u := choice.Unanswered
	return []zap.Field{
		zap.Stringer("unanswered", u.Cause), zap.Duration("waited", u.Waited), zap.Duration("expected_wait", choice.Expected),
		zap.Bool("certain", choice.Certain), zap.Object("believed", beliefFields(choice.Belief)), zap.Object("believed_at_end", beliefFields(u.Belief)),
	}
}

// beliefFields writes a placement.Belief to the log.
type beliefFields placement.Belief

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b beliefFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddDuration("wait", b.Wait)
	e.AddFloat64("failure_rate", b.FailureRate)
	e.AddFloat64("slowdown", b.Slowdown)
	e.AddBool("ejected", b.Ejected)
	e.AddInt("unanswered", b.Unanswered)
	e.AddDuration("oldest", b.Oldest)
	return nil
}

// placementFields returns the log fields of placement: the last target that was
// chosen, and what placement assumed about it.
func (c *call) placementFields() []zap.Field {
	fields := []zap.Field{zap.String("target", c.targetID), zap.Int("sends", c.attempts), zap.Int("runs", c.possibleRuns)}
	if c.choice != nil && c.choice.Unanswered != nil {
		fields = append(fields, unansweredFields(c.choice)...)
	}
	if c.choice == nil || c.request.PromptTokens == 0 {
		return fields
	}
	fields = append(fields, zap.Int("prompt", c.request.PromptTokens), zap.Int("cached", c.choice.CachedTokens),
		zap.Bool("home", c.choice.Home), zap.Duration("expected", c.choice.Expected))
	if c.choice.FetchFrom != nil {
		fields = append(fields, zap.String("fetched_from", c.choice.FetchFrom.ID))
	}
	return fields
}
