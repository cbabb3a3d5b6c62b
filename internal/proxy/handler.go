package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/overload"
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
	// Overload decides which requests are refused because no target can begin them in
	// time; nil if none are.
	Overload *overload.Control
	Budget   *Budget
	Pool     *targetconn.Pool
	// Memory limits the memory for bodies of requests and responses.
	Memory *MemoryBudget
	// OfferPlace lets a new connection take the place of that of a request which has its
	// response, while the rest of its body is read. taken reports whether that has happened.
	// It may be nil.
	OfferPlace func(ctx context.Context) (taken func() bool)
	Logger     *zap.Logger
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
	// CountBackup counts what happens with backups of streams. It may be nil.
	CountBackup func(e BackupEvent)

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
	// minWriteTime is how long the write of a response may take if the caller's deadline is
	// nearer, so that one that comes at the deadline is still written.
	minWriteTime = time.Second
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
	scope string
	// chargedCost is what the quota was charged at chargedAt, on the BootClock.
	chargedCost float64
	chargedAt   time.Duration
	// reservedBytes is the part of the memory budget that the bodies take.
	reservedBytes int64

	// attempts counts the targets to which the request was offered,
	// possibleRuns those that may have run it.
	attempts     int
	possibleRuns int
	// retryTaken is set if the retry of the next attempt has been taken from the budget.
	retryTaken bool
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
	// verdict is the latest decision about the expected time to the first byte.
	verdict overload.Verdict
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Handler: h, w: w, r: r, started: time.Now(), state: h.State(), lastEventID: -1}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.Shutdown.Ended(), cancel)()
	c.ctx = ctx
	refused := c.serve()
	c.Memory.releaseBody(c.reservedBytes)
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

// run makes attempts at one target after another until the request is finished.
func (c *call) run() *refusal {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	defer c.releaseReserved()
	for {
		if c.comesTooLate() {
			return c.endStopped()
		}
		if c.attempts > 0 && c.keyWithdrawn() {
			return c.endWithdrawn()
		}
		if refused := c.quarantined(); refused != nil {
			if c.awaitVerdict(refused) {
				continue
			}
			return c.endQuarantined(refused)
		}
		if c.outOfPatience() {
			c.addReason("the request waited here until its caller leaves")
			return &errOverloaded
		}
		choice := c.choose()
		switch {
		case choice == nil:
			return c.endWithoutTarget()
		case choice.Refused:
			return c.endOverloaded(choice)
		}
		c.attempts++
		c.targetID = choice.Target.ID
		if choice.SendDelay > 0 {
			c.sleep(choice.SendDelay)
		}
		c.beginAttempt(choice)
		result := c.send(ctx, choice)
		c.Placer.Done(choice, result.placement())
		c.recordEvidence(result)
		c.recordContinuation(result)
		if done, refused := c.afterAttempt(result); done {
			return refused
		}
		c.Logger.Info("retrying request after failed attempt", zap.String("id", c.request.ID), zap.String("target", c.targetID),
			zap.String("result", result.String()), zap.String("reason", c.reason), zap.Int64("last_event", c.lastEventID),
			zap.Strings("parts", c.sharedParts()), c.backupField())
		if result != resultOtherWeights && result != resultWithdrawn {
			c.placementRequest.Exclude = append(c.placementRequest.Exclude, choice.Target.ID)
		}
	}
}

// awaitVerdict waits until a request that is suspected after an attempt is no longer held
// back. It reports false if the request is quarantined or ends before that, and for a run that
// would continue from its copy: it must not crash the engine with the copy as well.
func (c *call) awaitVerdict(refused *refusal) bool {
	continues := c.reserved != nil && c.reserved.FromCopy
	if c.attempts == 0 || continues || refused.code != errRequestSuspected.code || !time.Now().Add(refused.retryAfter).Before(c.deadline) {
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

// choose returns the choice of a target for the next attempt; nil if there is none. The
// choice is refused if the target is not expected to begin the request in time.
func (c *call) choose() *placement.Choice {
	if c.attempts > 0 {
		c.renewCacheScope()
	}
	if choice := c.reserved; choice != nil {
		c.reserved = nil
		return choice
	}
	request := c.placementRequest
	c.boundChoice(&request)
	choice, total := c.Placer.Choose(request)
	if choice == nil {
		c.addReason(fmt.Sprintf("no usable target among the %d of service %s", total, c.service))
		return nil
	}
	if choice.Refused {
		return choice
	}
	if c.attempts > 0 && !c.retryTaken && !c.Budget.TakeRetry(c.service, time.Now(), c.state.FrontCount) {
		c.Placer.Done(choice, placement.Unused)
		c.addReason("retry budget spent")
		return nil
	}
	c.retryTaken = false
	return choice
}

// releaseReserved releases the choice for an attempt that is not made.
func (c *call) releaseReserved() {
	if c.reserved != nil {
		c.Placer.Done(c.reserved, placement.Unused)
	}
}

// addReason appends a reason to the log entry of the request.
func (c *call) addReason(reason string) {
	if c.reason != "" {
		c.reason += "; "
	}
	c.reason += reason
}
