package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// admit decodes the request and checks that it is allowed.
func (c *call) admit() *refusal {
	var err error
	if c.request, err = c.Codec.DecodeRequest(c.r.Header); err != nil {
		c.reason = err.Error()
		return &errMalformedHeaders
	}
	if c.Memory.full() && headerLines(c.r.Header) > ordinaryHeaders || !c.reserveParts() {
		return &errNoMemory
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
	if refused := c.renewKey(); refused != nil {
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

// headerLines returns the number of lines that a header has, of which several can have the
// same name.
func headerLines(header http.Header) (lines int) {
	for _, values := range header {
		lines += len(values)
	}
	return lines
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

// renewKey checks the key by the state in force after a body has been read. Its caller
// decides how long that takes, and a key that was withdrawn meanwhile must run nothing.
func (c *call) renewKey() *refusal {
	state := c.State()
	if !c.bodyEnded || c.workspace == nil || state.Table == nil {
		return nil
	}
	c.state = state
	return c.authenticate()
}

// keyWithdrawn reports whether the document in force no longer has the key of an admitted
// request.
func (c *call) keyWithdrawn() bool {
	table := c.State().Table
	return c.workspace != nil && !c.route.Open && table != nil && table.Owner(c.request.APIKey) == nil
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

// callerLimit returns how long the caller waits for its response.
func (c *call) callerLimit() time.Duration {
	if c.request.Timeout > 0 {
		return c.request.Timeout
	}
	return defaultTimeout
}

func (c *call) setDeadline() {
	c.deadline = c.started.Add(min(c.callerLimit(), c.route.Timeout))
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
		c.Memory.releaseBody(reserved)
		return c.endUnread()
	}
	if err != nil {
		c.reason = err.Error()
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large) || errors.Is(err, errBodyOverLimit):
			return &errBodyTooLarge
		case errors.Is(err, ErrMemoryInUse):
			return &errNoMemory
		}
		return &errIncompleteBody
	}
	c.body, c.bodyEnded = body, true
	c.reservedBytes += reserved
	return nil
}

// reserveParts reserves the memory of a long list of prompt parts. It reports false if there
// is none.
func (c *call) reserveParts() bool {
	n := int64(len(c.request.Parts)-unaccountedParts) * partBytes
	if n <= 0 {
		return true
	}
	if !c.Memory.reserveBody(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// buildPlacementRequest sets what placement needs to know about the request.
func (c *call) buildPlacementRequest() {
	stream := c.route.Kind == gatewayconfig.RunStream
	c.placementRequest = placement.Request{
		Service: c.service, Class: c.route.Name, Priority: c.priority(), PeerPriority: c.lowestPeerPriority(), Stream: stream, OutputTokens: c.request.OutputTokens,
	}
	if stream {
		c.placementRequest.MaxPause = c.route.MaxPause
	}
	service := c.state.Table.Service(c.service)
	if !c.route.Cached || service == nil || service.Engine == nil {
		return
	}
	c.setCacheScope(c.state.Table.CacheScope(c.workspace))
	c.requestBackup(service.Engine)
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
	cost := c.quotaCost()
	now := c.BootClock()
	wait, ok := c.Quota.Admit(now, c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	if !ok && wait <= maxQuotaWait && c.sleep(wait) {
		now = c.BootClock()
		wait, ok = c.Quota.Admit(now, c.workspace.Name, c.workspace.Rate, c.workspace.Burst, cost)
	}
	if !ok {
		return &refusal{errQuota.status, errQuota.code, wait}
	}
	c.chargedCost, c.chargedAt = cost, now
	return nil
}

// quotaCost returns the cost of the request in the unit of the quota of its workspace.
func (c *call) quotaCost() float64 {
	switch {
	case !c.workspace.TokenUnit:
		return 1
	case c.request.HasTokenCounts:
		return float64(c.request.PromptTokens + c.request.OutputTokens)
	}
	return c.workspace.PlainTokens
}

func (c *call) refundQuota() {
	if c.chargedCost > 0 && c.possibleRuns == 0 {
		c.Quota.Refund(c.BootClock(), c.chargedAt, c.workspace.Name, c.chargedCost)
	}
	c.chargedCost = 0
}

// routeLevels is the number of priorities of routes that are told apart among workspaces of the
// same priority.
const routeLevels = 3

// priority returns the priority with which targets serve the request; 0 is the highest. That of
// the workspace takes precedence. Among requests of equal workspaces the route decides, so that
// short urgent requests do not wait behind long ones.
func (c *call) priority() int {
	return routeLevels*c.workspacePriority() + min(max(c.route.Priority, 0), routeLevels-1)
}

// lowestPeerPriority returns the lowest priority of requests of workspaces of the same priority.
func (c *call) lowestPeerPriority() int { return routeLevels*c.workspacePriority() + routeLevels - 1 }

func (c *call) workspacePriority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}
