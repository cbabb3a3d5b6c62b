package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// Handler serves the requests of callers.
type Handler struct {
	Codec  Codec
	State  func() State
	Placer Placer
	Quota  Quota
	Budget *Budget
	Pool   *targetconn.Pool
	Logger *zap.Logger
	// Boot is the clock that does not stop during a suspension.
	Boot func() time.Duration
	// KeysValid is how long after the confirmation of the state keys are
	// taken; 0 is forever.
	KeysValid time.Duration
	// StateSoon reports whether a state that can be used is expected within
	// about the time of an election.
	StateSoon func() bool
	// Stopping reports whether callers have to go to other VMs.
	Stopping func() bool
	// Observe counts the outcome of a request.
	Observe func(kind gateway.RunKind, code string, took time.Duration)
}

// Limits of what callers wait for.
const (
	// maxQuotaWait is how long a request waits for its quota rather than being
	// refused; it is below half of the shortest objective.
	maxQuotaWait = 120 * time.Millisecond
	// maxStateWait is how long a request waits at a front that has just started
	// or lost the core: about an election. It waits for statePart of its own
	// limit at most. statePoll is the time between two looks.
	maxStateWait      = 1200 * time.Millisecond
	stateWaitDivisor  = 4
	statePollInterval = 20 * time.Millisecond
	// maxAttempts bounds the targets that one request is offered to.
	maxAttempts = 4
	// defaultTimeout applies to callers that state no deadline.
	defaultTimeout = time.Minute
	// defaultMaxBodyBytes applies to documents without a limit.
	defaultMaxBodyBytes = 8 << 20
	// deadlineMargin is taken off the deadline that a target is told.
	deadlineMargin = 5 * time.Millisecond
)

// call is one request on its way.
type call struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	request   Request
	state     State
	route     *gateway.Route
	workspace *gateway.Workspace
	service   string
	body      []byte
	started   time.Time
	// deadline is when the caller or the route gives up.
	deadline         time.Time
	placementRequest placement.Request
	chargedCost      float64

	// attempts counts the targets that the request was offered to, runs those
	// that may have run it.
	attempts     int
	possibleRuns int
	// delivered tells how far the answer to the caller is.
	headersSent bool
	lastEventID int64
	// failedResponse is the answer of a target that failed, passed on at the end if
	// nothing better comes.
	failedResponse *bufferedResponse
	targetID       string
	reason         string
	firstByteAfter time.Duration
	// choice is the latest choice of a target.
	choice *placement.Choice
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Handler: h, w: w, r: r, started: time.Now(), state: h.State(), lastEventID: -1}
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	refused := c.admit()
	if refused == nil {
		refused = c.run()
	}
	code := "ok"
	if refused != nil {
		code = refused.code
		c.refuse(refused)
	}
	c.finish(code)
}

func (c *call) refuse(f *refusal) {
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		c.refundQuota()
	}
	if f.status == 0 {
		return
	}
	f.write(c.w, c.request.ID)
}

func (c *call) refundQuota() {
	if c.chargedCost > 0 && c.possibleRuns == 0 {
		c.Quota.Refund(c.workspace.Name, c.chargedCost)
	}
	c.chargedCost = 0
}

// admit decodes the request and checks what it may do.
func (c *call) admit() *refusal {
	var err error
	if c.request, err = c.Codec.Request(c.r.Header); err != nil {
		c.reason = err.Error()
		return &errMalformedHeaders
	}
	if c.state.Table == nil || c.stateExpired() {
		c.awaitState()
	}
	if c.state.Table == nil {
		return &errNoConfiguration
	}
	c.route = c.state.Table.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return &errNoRoute
	}
	if f := c.authenticate(); f != nil {
		return f
	}
	c.setDeadline()
	if f := c.readBody(); f != nil {
		return f
	}
	c.service = c.route.Pick(rand.Float64())
	c.Budget.RecordRequest(c.service, c.started)
	c.buildPlacementRequest()
	return c.chargeQuota()
}

// awaitState waits for the core while it is expected back. A caller mostly has
// one more attempt only, which a refusal would use up.
func (c *call) awaitState() {
	wait := maxStateWait
	if c.request.Limit > 0 {
		wait = min(wait, c.request.Limit/stateWaitDivisor)
	}
	for until := c.started.Add(wait); time.Now().Before(until) && c.StateSoon(); {
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
	if c.route.Open && c.request.Key == "" {
		return nil
	}
	c.workspace = c.state.Table.Owner(c.request.Key)
	if c.workspace == nil {
		if c.route.Open {
			return nil
		}
		if c.stateExpired() {
			return &errKeysNotConfirmed
		}
		return &errUnknownKey
	}
	if c.stateExpired() {
		return &errKeysNotConfirmed
	}
	return nil
}

// stateExpired reports whether the knowledge of keys is too old: a key that was
// withdrawn must stop working also on a VM that is cut off.
func (c *call) stateExpired() bool {
	return c.KeysValid > 0 && c.Boot()-c.state.Confirmed > c.KeysValid
}

func (c *call) setDeadline() {
	limit := c.request.Limit
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
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err != nil {
		c.reason = err.Error()
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return &errBodyTooLarge
		}
		return &errIncompleteBody
	}
	c.body = body
	return nil
}

// buildPlacementRequest says what placement has to know.
func (c *call) buildPlacementRequest() {
	c.placementRequest = placement.Request{Service: c.service}
	service := c.state.Table.Service(c.service)
	if !c.route.Cached || service == nil || service.Engine == nil {
		return
	}
	scope := c.cacheScope()
	for _, part := range c.request.Parts {
		key := xxhash.Sum64String(scope + "\x00" + part.Name)
		c.placementRequest.Parts = append(c.placementRequest.Parts, placement.Part{ID: key, Tokens: part.Tokens})
	}
	if len(c.placementRequest.Parts) > 0 {
		c.placementRequest.UniqueParts = 1
	}
	for _, model := range service.Engine.Models {
		c.placementRequest.Weights = max(c.placementRequest.Weights, c.state.Weights[model])
	}
}

// cacheScope separates the cached parts of isolated workspaces from all others.
func (c *call) cacheScope() string {
	if c.workspace != nil && c.workspace.Isolated {
		return "isolated-" + c.workspace.Name
	}
	return "shared"
}

// chargeQuota takes the request's cost from the quota of its workspace.
func (c *call) chargeQuota() *refusal {
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return nil
	}
	cost := 1.0
	if c.workspace.TokenUnit {
		cost = c.workspace.PlainTokens
		if c.request.Sized {
			cost = float64(c.request.PromptTokens + c.request.OutputTokens)
		}
	}
	wait, ok := c.Quota.Admit(c.Boot(), c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	if !ok && wait <= maxQuotaWait && c.sleep(wait) {
		wait, ok = c.Quota.Admit(c.Boot(), c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	}
	if !ok {
		return &refusal{http.StatusTooManyRequests, "quota", wait}
	}
	c.chargedCost = cost
	return nil
}

// sleep waits and reports false if the caller has left.
func (c *call) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// run offers the request to targets until one has answered it.
func (c *call) run() *refusal {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	for {
		choice, known := c.Placer.Choose(c.placementRequest)
		if choice == nil {
			c.addReason(fmt.Sprintf("none of %d targets of %s is usable", known, c.service))
			return c.endWithoutTarget()
		}
		if c.attempts > 0 && !c.Budget.TakeRetry(c.service, time.Now(), c.state.Fronts) {
			c.Placer.Done(choice, placement.Canceled)
			c.addReason("retry budget spent")
			return c.endWithoutTarget()
		}
		c.attempts++
		c.targetID = choice.Target.ID
		c.choice = choice
		result := c.send(ctx, choice)
		c.Placer.Done(choice, result.placement())
		if done, f := c.afterAttempt(result); done {
			return f
		}
		c.Logger.Info("sent again", zap.String("id", c.request.ID), zap.String("target", c.targetID),
			zap.String("result", result.String()), zap.String("reason", c.reason), zap.Int64("last_event", c.lastEventID))
		if result != resultOtherWeights {
			c.placementRequest.Exclude = append(c.placementRequest.Exclude, choice.Target.ID)
		}
	}
}

// addReason adds a reason to the line of the request.
func (c *call) addReason(reason string) {
	if c.reason != "" {
		c.reason += "; "
	}
	c.reason += reason
}

// afterAttempt says whether the request is finished after a send.
func (c *call) afterAttempt(result result) (bool, *refusal) {
	if result == resultDelivered {
		return true, nil
	}
	if c.r.Context().Err() != nil {
		return true, &errCallerLeft
	}
	if result.mayHaveRun() {
		c.possibleRuns++
	}
	if !time.Now().Before(c.deadline) {
		return true, c.endFailed(&errTimeout)
	}
	if result.mayHaveRun() && (!c.route.Retryable() || c.possibleRuns >= c.route.MaxAttempts) {
		return true, c.endFailed(&errTargetFailed)
	}
	if c.attempts >= maxAttempts {
		return true, c.endWithoutTarget()
	}
	return false, nil
}

// endWithoutTarget is the end of a request that no further target can take.
func (c *call) endWithoutTarget() *refusal {
	switch {
	case c.headersSent || c.possibleRuns > 0:
		return c.endFailed(&errTargetFailed)
	case c.attempts > 0:
		return &errTargetsFull
	}
	return &errNoTarget
}

// endFailed finishes a request that may have run: with the answer of the target that
// failed it, or by breaking off what the caller has got in part.
func (c *call) endFailed(f *refusal) *refusal {
	switch {
	case c.headersSent:
		return &errAborted
	case c.failedResponse != nil:
		c.failedResponse.write(c)
		return nil
	case c.possibleRuns == 0:
		return &errTargetsFull
	}
	return f
}
