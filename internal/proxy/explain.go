package proxy

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// ExplainRequest is a request whose placement is to be explained. It is not sent.
type ExplainRequest struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Workspace is the name of the workspace; empty for a request without a key.
	Workspace string `json:"workspace,omitempty"`
	// Parts are the parts of the prompt. The last one belongs to this request only.
	Parts []PromptPart `json:"parts,omitempty"`
	// PromptTokens and OutputTokens are the stated size; not stated if both are 0.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Priority replaces the priority of the workspace, if it is set.
	Priority *int `json:"priority,omitempty"`
	// Limit is the largest number of candidates and of excluded targets in the answer; 0 stands
	// for defaultExplained.
	Limit int `json:"limit,omitempty"`
}

// defaultExplained is the number of targets that are explained unless a number is asked for.
const defaultExplained = 20

// PlacementReport tells where a request would go now, and why.
type PlacementReport struct {
	// VM and Zone are those of the front.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Document is the version of the document in force, and StateAge the time since a quorum
	// confirmed the state of the front, in milliseconds.
	Document uint64  `json:"document"`
	StateAge float64 `json:"state_age_ms"`
	Route    string  `json:"route,omitempty"`
	// Isolated is set if the workspace shares cached parts with no other one.
	Isolated bool `json:"isolated,omitempty"`
	// Refusal is how the request would be refused before its placement; nil if it would not.
	Refusal *ReportedRefusal `json:"refusal,omitempty"`
	// NotChecked lists what could refuse the request as well.
	NotChecked []string `json:"not_checked"`
	// Services are the services of the route, each with the placement there.
	Services []ServicePlacement `json:"services"`
}

// ReportedRefusal is an error response of this VM.
type ReportedRefusal struct {
	Status     int     `json:"status"`
	Code       string  `json:"code"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
	Reason     string  `json:"reason,omitempty"`
}

// ServicePlacement is the placement of a request that goes to a service.
type ServicePlacement struct {
	Service string `json:"service"`
	// Share is the share of the requests of the route that goes to the service.
	Share float64 `json:"share"`
	// Priority is the priority at the targets; 0 is the highest.
	Priority int `json:"priority"`
	// Weights is the version of the model weights that is asked for.
	Weights uint64 `json:"weights,omitempty"`
	*placement.Explanation
	// MoreCandidates and MoreExcluded are the numbers of those left out.
	MoreCandidates int `json:"more_candidates,omitempty"`
	MoreExcluded   int `json:"more_excluded,omitempty"`
}

// placementExplainer is a Placer that explains its choices.
type placementExplainer interface {
	Explain(req placement.Request) *placement.Explanation
}

// quotaPeeker is a Quota that tells what Admit would return.
type quotaPeeker interface {
	Peek(now time.Duration, workspace string, rate, burst, tokens float64) (wait time.Duration, ok bool)
}

var errNotExplained = errors.New("the placer explains no choices")

// Explain tells where a request would go now, and why. It sends, charges and counts nothing.
func (h *Handler) Explain(q ExplainRequest) (*PlacementReport, error) {
	placer, ok := h.Placer.(placementExplainer)
	if !ok {
		return nil, errNotExplained
	}
	if err := q.check(); err != nil {
		return nil, err
	}
	c := &call{Handler: h, started: time.Now(), state: h.State(), lastEventID: -1, key: "unknown"}
	c.request = Request{
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, HasTokenCounts: q.PromptTokens+q.OutputTokens > 0, Parts: q.Parts,
	}
	report := &PlacementReport{StateAge: ms(h.BootClock() - c.state.Confirmed), NotChecked: notChecked, Services: []ServicePlacement{}}
	if c.state.Table == nil {
		report.refuse(c, &errNoConfiguration)
		return report, nil
	}
	report.Document = c.state.Table.Document.Version
	if c.route = c.state.Table.Route(q.Host, q.Path); c.route == nil {
		report.refuse(c, c.deny(&errNoRoute))
		return report, nil
	}
	report.Route = c.route.Name
	c.workspace = c.state.Table.Workspace(q.Workspace)
	if q.Workspace != "" && c.workspace == nil {
		return nil, fmt.Errorf("the document has no workspace %q", q.Workspace)
	}
	if q.Priority != nil {
		if c.workspace == nil {
			return nil, errors.New("a priority needs a workspace, whose priority it replaces")
		}
		changed := *c.workspace
		changed.Priority, c.workspace = q.Priority, &changed
	}
	report.Isolated = c.workspace != nil && c.workspace.Isolated
	c.setDeadline()
	report.refuse(c, c.refusalBeforePlacement())
	limit := q.Limit
	if limit <= 0 {
		limit = defaultExplained
	}
	for service, share := range splitShares(c.route) {
		report.Services = append(report.Services, c.explainService(placer, service, share, limit))
	}
	return report, nil
}

// maxExplainedTokens limits each number of tokens, so that sums do not overflow.
const maxExplainedTokens = 1 << 30

// check returns an error if a number is out of range.
func (q *ExplainRequest) check() error {
	numbers := []int{q.PromptTokens, q.OutputTokens}
	for _, part := range q.Parts {
		numbers = append(numbers, part.Tokens)
	}
	if q.Priority != nil {
		numbers = append(numbers, *q.Priority)
	}
	for _, n := range numbers {
		if n < 0 || n > maxExplainedTokens {
			return fmt.Errorf("%d is out of range", n)
		}
	}
	return nil
}

// notChecked are the refusals that Explain does not ask for: they depend on what only the
// request has, or asking for them would change the state.
var notChecked = []string{
	"limits on the size of the header and the body", "quarantine by the key of the request, which covers its body",
	"overload control, which counts what it decides",
}

// refusalBeforePlacement returns how admit would refuse the request, as far as asking for it
// changes nothing.
func (c *call) refusalBeforePlacement() *refusal {
	switch {
	case len(c.request.Parts) > unaccountedParts && c.Memory.full():
		return &errNoMemory
	case (c.workspace != nil || !c.route.Open) && c.stateExpired():
		return &errKeysNotConfirmed
	case c.workspace == nil && !c.route.Open:
		c.reason = "the route needs the key of a workspace"
		return c.deny(&errUnknownKey)
	case c.comesTooLate():
		return &errStopping
	}
	if refused := c.quarantined(); refused != nil {
		return refused
	}
	quota, ok := c.Quota.(quotaPeeker)
	if !ok || c.workspace == nil || c.workspace.Rate <= 0 {
		return nil
	}
	wait, ok := quota.Peek(c.BootClock(), c.workspace.Name, c.workspace.Rate, c.workspace.Burst, c.quotaCost())
	if ok || wait <= maxQuotaWait {
		return nil
	}
	return &refusal{errQuota.status, errQuota.code, wait}
}

// refuse sets how the request would be refused.
func (r *PlacementReport) refuse(c *call, refused *refusal) {
	if refused != nil {
		r.Refusal = &ReportedRefusal{Status: refused.status, Code: refused.code, RetryAfter: ms(refused.retryAfter), Reason: c.reason}
	}
}

// explainService explains the placement of a request that goes to a service.
func (c *call) explainService(placer placementExplainer, service string, share float64, limit int) ServicePlacement {
	c.service = service
	c.buildPlacementRequest()
	request := c.placementRequest
	if c.Overload != nil {
		request.Bounds.First, request.Bounds.Wait = c.Overload.PeekBounds(c.overloadRequest())
	}
	p := ServicePlacement{Service: service, Share: share, Priority: request.Priority, Weights: request.Weights, Explanation: placer.Explain(request)}
	if more := len(p.Candidates) - limit; more > 0 {
		p.Candidates, p.MoreCandidates = p.Candidates[:limit], more
	}
	if more := len(p.Excluded) - limit; more > 0 {
		p.Excluded, p.MoreExcluded = p.Excluded[:limit], more
	}
	return p
}

// splitShares returns the services of a route that get requests, with their shares.
func splitShares(r *gatewayconfig.Route) func(yield func(string, float64) bool) {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	return func(yield func(string, float64) bool) {
		for _, s := range r.Split {
			if s.Weight > 0 && !yield(s.Service, s.Weight/total) {
				return
			}
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
