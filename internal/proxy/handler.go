package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// Handler serves the requests of callers.
type Handler struct {
	Codec  Codec
	State  func() State
	Placer Placer
	// Quarantine is nil if no requests are kept away from engines.
	Quarantine Quarantine
	Quota      Quota
	Budget     *Budget
	Pool       *targetconn.Pool
	// Memory limits the memory for bodies of requests and responses.
	Memory *MemoryBudget
	Logger *zap.Logger
	// BootClock returns the time of a clock that continues during a suspension.
	BootClock func() time.Duration
	// KeyLease is how long keys are accepted after the state was last
	// confirmed; 0 means without limit.
	KeyLease time.Duration
	// DenialLease is how long after the last confirmation of the state a request may
	// be rejected because the state has no such route or key; 0 means without limit.
	// Later the route or key may have been added, and the change be in force.
	DenialLease time.Duration
	// StateExpected reports whether a usable state is expected within about the
	// duration of an election.
	StateExpected func() bool
	Shutdown      Shutdown
	// Observe records the outcome and duration of a request.
	Observe func(kind gatewayconfig.RunKind, code string, took time.Duration)

	// lastIgnoredLog is when ignored headers of a target were logged last, in Unix
	// nanoseconds.
	lastIgnoredLog atomic.Int64
}

// Limits on the time and resources of a request.
const (
	// maxQuotaWait is the longest time that a request waits for its quota; a
	// request that would have to wait longer is rejected at once. It is less
	// than half of the shortest latency objective.
	maxQuotaWait = 120 * time.Millisecond
	// maxStateWait is the longest time that a request waits at a front that has
	// just started or lost its connection to the core: about the duration of an
	// election. A request waits at most 1/stateWaitDivisor of its own timeout.
	// statePollInterval is the time between two checks of the state.
	maxStateWait      = 1200 * time.Millisecond
	stateWaitDivisor  = 4
	statePollInterval = 20 * time.Millisecond
	// maxRetrySpread limits the random time that is added to the time after which a
	// target accepts requests again.
	maxRetrySpread = 2 * time.Second
	// maxAttempts limits the attempts of one request, including those that did
	// not run it.
	maxAttempts = 4
	// defaultTimeout applies to requests that state no deadline.
	defaultTimeout = time.Minute
	// defaultMaxBodyBytes applies if the configuration document sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// deadlineMargin is subtracted from the time left when the target is told
	// its deadline.
	deadlineMargin = 5 * time.Millisecond
)

// call is one request in progress.
type call struct {
	*Handler
	w http.ResponseWriter
	r *http.Request
	// ctx is done once the caller has disconnected or this VM ends.
	ctx       context.Context
	request   Request
	state     State
	route     *gatewayconfig.Route
	workspace *gatewayconfig.Workspace
	service   string
	body      []byte
	started   time.Time
	// deadline is the earlier of the caller's deadline and the timeout of the
	// route.
	deadline         time.Time
	placementRequest placement.Request
	// scope is the scope of the cached parts of the prompt; empty for plain requests.
	scope       string
	chargedCost float64
	// reservedBytes is the part of the memory budget that the bodies take.
	reservedBytes int64

	// attempts counts the targets to which the request was offered,
	// possibleRuns those that may have run it.
	attempts     int
	possibleRuns int
	// bodyEnded is set once nothing more of the body is to be read.
	bodyEnded bool
	// headersSent is set once the caller has received the headers of a response.
	// lastEventID is the last event that the caller has received.
	headersSent bool
	lastEventID int64
	// unnumberedEvents is set once a stream has an event without an ID. Another engine
	// could repeat that event, so the stream cannot continue there.
	unnumberedEvents bool
	// failedResponse is the error response of a target, returned to the caller
	// if no later attempt succeeds.
	failedResponse *bufferedResponse
	// succeeded is set if the caller got a complete response with a 2xx status.
	succeeded      bool
	targetID       string
	reason         string
	firstByteAfter time.Duration
	// choice is the choice made for the latest attempt, sentAt when it was made on the
	// boot clock, and firstEventAt when its first event arrived.
	choice       *placement.Choice
	sentAt       time.Duration
	firstEventAt time.Time
	// writeTime is the time that writes to the caller took since firstEventAt.
	writeTime time.Duration
	// endKnown is set if the latest response is known to be complete. A stream without a
	// length is not: it ends with its connection, which a crash ends as well.
	endKnown bool
	// cleared is set once the latest attempt has shown that the request does not crash
	// targets.
	cleared bool
	// key identifies the request and its repeats; empty until it is needed.
	key string
	// reserved is the choice for the next attempt, if one is made before the present one
	// is given up.
	reserved *placement.Choice
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Handler: h, w: w, r: r, started: time.Now(), state: h.State(), lastEventID: -1}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.Shutdown.Ended(), cancel)()
	c.ctx = ctx
	refused := c.serve()
	c.Memory.release(c.reservedBytes)
	code := outcomeOK
	if refused != nil {
		code = refused.code
		c.refuse(refused)
	}
	c.finish(code)
	c.discardBody()
}

// serve serves the request and returns its refusal, if any. The server would close the
// connection of the caller without an answer after a panic.
func (c *call) serve() (refused *refusal) {
	defer func() {
		if p := recover(); p != nil {
			c.Logger.Error("panic while serving a request", zap.String("id", c.request.ID), zap.Any("panic", p), zap.Stack("stack"))
			refused = &errInternal
		}
	}()
	if refused := c.admit(); refused != nil {
		return refused
	}
	return c.run()
}

func (c *call) refuse(refused *refusal) {
	if refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests {
		c.refundQuota()
	}
	if c.headersSent {
		// There is no place for an error response; finish aborts the connection.
		return
	}
	c.endConnection()
	if !c.bodyPending() {
		refused.write(c.w, c.request.ID)
		return
	}
	controller := http.NewResponseController(c.w)
	// Otherwise the server reads a part of the body before it sends the response.
	_ = controller.EnableFullDuplex()
	refused.write(c.w, c.request.ID)
	_ = controller.Flush()
}

// endConnection announces in the headers of the response that no further request may use
// the connection if this VM shuts down.
func (c *call) endConnection() {
	if c.Shutdown.Elapsed() > 0 {
		c.w.Header().Set("Connection", "close")
	}
}

func (c *call) refundQuota() {
	if c.chargedCost > 0 && c.possibleRuns == 0 {
		c.Quota.Refund(c.workspace.Name, c.chargedCost)
	}
	c.chargedCost = 0
}

// admit decodes the request and checks that it is allowed.
func (c *call) admit() *refusal {
	var err error
	if c.request, err = c.Codec.DecodeRequest(c.r.Header); err != nil {
		c.reason = err.Error()
		return &errMalformedHeaders
	}
	if c.state.Table == nil || c.stateExpired() {
		c.awaitState()
	}
	if c.state.Table == nil {
		return &errNoConfiguration
	}
	if c.headerBytes() > c.maxHeaderBytes() {
		return &errHeaderTooLarge
	}
	c.route = c.state.Table.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return c.deny(&errNoRoute)
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	c.setDeadline()
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.service = c.route.Pick(rand.Float64())
	if c.comesTooLate() {
		return &errStopping
	}
	if refused := c.quarantined(); refused != nil {
		return refused
	}
	c.Budget.RecordRequest(c.service, c.started)
	c.buildPlacementRequest()
	return c.chargeQuota()
}

// awaitState waits for a usable state while one is expected soon. Most callers
// retry only once, and a rejection would use up that retry.
func (c *call) awaitState() {
	wait := maxStateWait
	if c.request.Timeout > 0 {
		wait = min(wait, c.request.Timeout/stateWaitDivisor)
	}
	for until := c.started.Add(wait); time.Now().Before(until) && c.StateExpected(); {
		if !c.sleep(statePollInterval) {
			return
		}
		c.state = c.State()
		if c.state.Table != nil && !c.stateExpired() {
			return
		}
	}
}

func (c *call) authenticate() *refusal {
	if c.route.Open && c.request.APIKey == "" {
		return nil
	}
	c.workspace = c.state.Table.Owner(c.request.APIKey)
	if c.workspace == nil {
		if c.route.Open {
			return nil
		}
		if c.stateExpired() {
			return &errKeysNotConfirmed
		}
		return c.deny(&errUnknownKey)
	}
	if c.stateExpired() {
		return &errKeysNotConfirmed
	}
	return nil
}

// stateExpired reports whether the confirmation of the state is too old to
// accept keys. A withdrawn key must stop working also on a VM that has lost its
// connection to the core.
func (c *call) stateExpired() bool {
	return c.KeyLease > 0 && c.BootClock()-c.state.Confirmed > c.KeyLease
}

// deny returns the refusal of a request for which the state has no route or key. If the
// confirmation of the state is too old for that, the caller is told to retry.
func (c *call) deny(refused *refusal) *refusal {
	if c.DenialLease > 0 && c.BootClock()-c.state.Confirmed > c.DenialLease {
		c.reason = "the document has no such route or key, but is not confirmed: " + refused.code
		return &errDocumentNotConfirmed
	}
	return refused
}

func (c *call) setDeadline() {
	limit := c.request.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	c.deadline = c.started.Add(min(limit, c.route.Timeout))
}

func (c *call) readBody() *refusal {
	if c.r.ContentLength == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	limit := c.state.Table.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	endLimit := c.limitBodyRead(ctx)
	body, reserved, err := c.Memory.readBody(http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	if !endLimit() {
		// The body may be complete, but its connection can no longer be read.
		c.bodyEnded = true
		c.Memory.release(reserved)
		return c.endUnread()
	}
	if err != nil {
		c.reason = err.Error()
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large) || errors.Is(err, errBodyOverLimit):
			return &errBodyTooLarge
		case errors.Is(err, errMemoryInUse):
			return &errNoMemory
		}
		return &errIncompleteBody
	}
	c.body, c.reservedBytes, c.bodyEnded = body, reserved, true
	return nil
}

// buildPlacementRequest sets what placement needs to know about the request.
func (c *call) buildPlacementRequest() {
	c.placementRequest = placement.Request{Service: c.service}
	service := c.state.Table.Service(c.service)
	if !c.route.Cached || service == nil || service.Engine == nil {
		return
	}
	c.setCacheScope(c.state.Table.CacheScope(c.workspace))
	for _, model := range service.Engine.Models {
		c.placementRequest.Weights = max(c.placementRequest.Weights, c.state.Weights[model])
	}
}

// setCacheScope sets the scope within which the cached parts of the prompt are shared.
func (c *call) setCacheScope(scope string) {
	c.scope = scope
	c.placementRequest.Parts = nil
	for _, part := range c.request.Parts {
		key := xxhash.Sum64String(scope + "\x00" + part.Name)
		c.placementRequest.Parts = append(c.placementRequest.Parts, placement.Part{ID: key, Tokens: part.Tokens})
	}
	if len(c.placementRequest.Parts) > 0 {
		c.placementRequest.UniqueParts = 1
	}
}

// renewCacheScope sets the scope of the present document before another attempt. A
// workspace may have become isolated since the request arrived.
func (c *call) renewCacheScope() {
	table := c.State().Table
	if c.scope == "" || table == nil || table == c.state.Table {
		return
	}
	workspace := c.workspace
	if workspace != nil {
		workspace = table.Workspace(workspace.Name)
	}
	if scope := table.CacheScope(workspace); scope != c.scope {
		c.setCacheScope(scope)
	}
}

// chargeQuota charges the cost of the request to the quota of its workspace.
func (c *call) chargeQuota() *refusal {
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return nil
	}
	cost := 1.0
	if c.workspace.TokenUnit {
		cost = c.workspace.PlainTokens
		if c.request.HasTokenCounts {
			cost = float64(c.request.PromptTokens + c.request.OutputTokens)
		}
	}
	wait, ok := c.Quota.Admit(c.BootClock(), c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	if !ok && wait <= maxQuotaWait && c.sleep(wait) {
		wait, ok = c.Quota.Admit(c.BootClock(), c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	}
	if !ok {
		return &refusal{http.StatusTooManyRequests, "quota", wait}
	}
	c.chargedCost = cost
	return nil
}

// sleep waits for d. It reports false if the caller disconnects or this VM ends first.
func (c *call) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// run makes attempts at one target after another until the request is finished.
func (c *call) run() *refusal {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	defer c.releaseReserved()
	for {
		if c.comesTooLate() {
			return c.endStopped()
		}
		if refused := c.quarantined(); refused != nil {
			if c.awaitVerdict(refused) {
				continue
			}
			return c.endQuarantined(refused)
		}
		choice := c.choose()
		if choice == nil {
			return c.endWithoutTarget()
		}
		c.attempts++
		c.targetID = choice.Target.ID
		c.beginAttempt(choice)
		result := c.send(ctx, choice)
		c.Placer.Done(choice, result.placement())
		c.recordEvidence(result)
		if done, refused := c.afterAttempt(result); done {
			return refused
		}
		c.Logger.Info("retrying request after failed attempt", zap.String("id", c.request.ID), zap.String("target", c.targetID),
			zap.String("result", result.String()), zap.String("reason", c.reason), zap.Int64("last_event", c.lastEventID),
			zap.Strings("parts", c.sharedParts()))
		if result != resultOtherWeights {
			c.placementRequest.Exclude = append(c.placementRequest.Exclude, choice.Target.ID)
		}
	}
}

// awaitVerdict waits until a request that is suspected after an attempt is no longer held
// back. It reports false if the request is quarantined or ends before that.
func (c *call) awaitVerdict(refused *refusal) bool {
	if c.attempts == 0 || refused.code != errRequestSuspected.code || !time.Now().Add(refused.retryAfter).Before(c.deadline) {
		return false
	}
	return c.sleep(refused.retryAfter)
}

// beginAttempt records the start of an attempt.
func (c *call) beginAttempt(choice *placement.Choice) {
	c.choice, c.sentAt = choice, c.BootClock()
	c.firstEventAt, c.writeTime = time.Time{}, 0
	c.cleared, c.endKnown = false, false
}

// choose returns the choice of a target for the next attempt; nil if there is none.
func (c *call) choose() *placement.Choice {
	if c.attempts > 0 {
		c.renewCacheScope()
	}
	if choice := c.reserved; choice != nil {
		c.reserved = nil
		return choice
	}
	choice, total := c.Placer.Choose(c.placementRequest)
	if choice == nil {
		c.addReason(fmt.Sprintf("no usable target among the %d of service %s", total, c.service))
		return nil
	}
	if c.attempts > 0 && !c.Budget.TakeRetry(c.service, time.Now(), c.state.FrontCount) {
		c.Placer.Done(choice, placement.Canceled)
		c.addReason("retry budget spent")
		return nil
	}
	return choice
}

// releaseReserved releases the choice for an attempt that is not made.
func (c *call) releaseReserved() {
	if c.reserved != nil {
		c.Placer.Done(c.reserved, placement.Canceled)
	}
}

// addReason appends a reason to the log entry of the request.
func (c *call) addReason(reason string) {
	if c.reason != "" {
		c.reason += "; "
	}
	c.reason += reason
}

// afterAttempt reports whether the request is finished after an attempt, and
// with which refusal.
func (c *call) afterAttempt(result result) (bool, *refusal) {
	if result == resultDelivered {
		return true, nil
	}
	if c.r.Context().Err() != nil {
		return true, &errCallerDisconnected
	}
	if result.mayHaveRun() {
		c.possibleRuns++
	}
	if c.Shutdown.Ended().Err() != nil {
		return true, c.endStopped()
	}
	if !time.Now().Before(c.deadline) {
		return true, c.endFailed(&errTimeout)
	}
	if result.mayHaveRun() && (!c.route.Retryable() || c.unnumberedEvents || c.possibleRuns >= c.route.MaxAttempts) {
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
