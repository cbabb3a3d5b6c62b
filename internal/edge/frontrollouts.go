package edge

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/exposure"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/placement"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// rolloutPlacer implements proxy.Placer. While a rollout of a service is running, it offers
// each attempt of a request to one version, and reports how the attempts end. Retries and
// resumed streams are attempts like any other. Without rollouts it only passes calls on.
type rolloutPlacer struct {
	*placement.Placer
	gate     *exposure.Gate
	reporter *exposure.Reporter
	logger   *zap.Logger
	// confirmed returns when a quorum last confirmed the state of the front.
	confirmed func() time.Duration
	clock     func() time.Duration
	// count counts requests by version.
	count func(name string)

	// active is set while rollouts are running, known once a service has or had one.
	active, known atomic.Bool
	// steps is held while a step takes effect, so that no request is decided by one step
	// and placed by another. It also guards services, those with a rollout of any phase.
	steps    sync.RWMutex
	services map[string]bool
	// rules are the running rollouts by service. They are used by the task that follows
	// the core only.
	rules map[string]exposure.Rule

	mu sync.Mutex
	// attempts are the attempts in progress that a rollout counts. Each is changed by the
	// goroutine that makes the attempt only.
	attempts map[*placement.Choice]*countedAttempt
}

// countedAttempt is an attempt whose result is reported.
type countedAttempt struct {
	ticket         exposure.Ticket
	service, class string
	sentAt         time.Duration
	// stream is set if the time to the first event counts, and not that to the head.
	stream bool
	// firstByte is the time to the head of the response, if answered is set. counted is set
	// once the time to the first byte is reported.
	firstByte time.Duration
	answered  bool
	counted   bool
}

func newRolloutPlacer(p *placement.Placer, logger *zap.Logger) *rolloutPlacer {
	return &rolloutPlacer{
		Placer: p, gate: exposure.NewGate(rand.Float64), reporter: exposure.NewReporter(), logger: logger, clock: boottime.Now,
		attempts: make(map[*placement.Choice]*countedAttempt),
	}
}

// cohorts maps the cohorts of the analysis to those of placement.
var cohorts = [...]placement.Cohort{canary.Baseline: placement.BaselineCohort, canary.Canary: placement.CanaryCohort}

// Choose implements proxy.Placer.
func (p *rolloutPlacer) Choose(req placement.Request) (*placement.Choice, int) {
	if !p.active.Load() {
		return p.Placer.Choose(req)
	}
	p.steps.RLock()
	defer p.steps.RUnlock()
	ticket, running := p.gate.Offer(p.clock(), p.confirmed(), req.Service, req.Class)
	if !running {
		return p.Placer.Choose(req)
	}
	req.Cohort = cohorts[ticket.Cohort]
	req.OnlyReachable = ticket.Cohort == canary.Canary
	choice, total := p.Placer.Choose(req)
	// A refused choice is a usable target that overload control does not accept. Once all
	// requests go to the new version, the old one must not get the request instead, as its
	// targets are about to stop. Before, it may be able to serve it.
	if ticket.Cohort == canary.Canary && (choice == nil || choice.Refused && !ticket.All()) {
		ticket = p.gate.Decline(ticket)
		req.Cohort, req.OnlyReachable = placement.BaselineCohort, false
		choice, total = p.Placer.Choose(req)
	}
	if choice == nil || choice.Refused {
		p.gate.Cancel(ticket)
		return choice, total
	}
	p.begin(&req, choice, ticket)
	return choice, total
}

// Explain returns where Choose would place a request now. It changes nothing.
func (p *rolloutPlacer) Explain(req placement.Request) *placement.Explanation {
	p.steps.RLock()
	defer p.steps.RUnlock()
	cohort, running := p.gate.Peek(p.clock(), p.confirmed(), req.Service, req.Class)
	if !p.active.Load() || !running {
		return p.Placer.Explain(req)
	}
	req.Cohort, req.OnlyReachable = cohorts[cohort], cohort == canary.Canary
	e := p.Placer.Explain(req)
	if e.Chosen == "" && cohort == canary.Canary {
		req.Cohort, req.OnlyReachable = placement.BaselineCohort, false
		return p.Placer.Explain(req)
	}
	return e
}

// MaySend implements proxy.Placer. The step may have changed since the choice: a request can
// wait for a target that is prefilling its parts, for a connection, or as a reserved retry.
func (p *rolloutPlacer) MaySend(c *placement.Choice) bool {
	if !p.known.Load() {
		return true
	}
	p.steps.RLock()
	defer p.steps.RUnlock()
	service, target, registered := p.Placer.CurrentTarget(c)
	switch {
	case !p.services[service]:
		return true
	case !registered || target.Excluded:
		return false
	case target.Cohort != placement.CanaryCohort:
		return true
	}
	a := p.attempt(c)
	return a != nil && p.gate.Permits(p.clock(), p.confirmed(), a.ticket)
}

// Continue implements proxy.Placer. Continued attempts count like any others: the engine with
// the copy gets the request only if its version may get one.
func (p *rolloutPlacer) Continue(first *placement.Choice, req placement.Request) *placement.Choice {
	if !p.active.Load() {
		return p.Placer.Continue(first, req)
	}
	p.steps.RLock()
	defer p.steps.RUnlock()
	ticket, running := p.gate.Offer(p.clock(), p.confirmed(), req.Service, req.Class)
	if !running {
		return p.Placer.Continue(first, req)
	}
	req.Cohort = cohorts[ticket.Cohort]
	choice := p.Placer.Continue(first, req)
	if choice == nil && ticket.Cohort == canary.Canary && !ticket.All() {
		ticket = p.gate.Decline(ticket)
		req.Cohort = placement.BaselineCohort
		choice = p.Placer.Continue(first, req)
	}
	if choice == nil {
		p.gate.Cancel(ticket)
		return nil
	}
	p.begin(&req, choice, ticket)
	return choice
}

// begin counts an attempt.
func (p *rolloutPlacer) begin(req *placement.Request, choice *placement.Choice, ticket exposure.Ticket) {
	a := &countedAttempt{
		ticket: ticket, service: req.Service, class: className(req.Class), sentAt: p.clock() + choice.SendDelay, stream: req.Stream,
	}
	choice.OnFirstEvent = func() { p.recordFirstByte(a, max(p.clock()-a.sentAt, 0)) }
	p.reporter.Sent(a.service, a.class, ticket)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[choice] = a
}

// attempt returns the attempt of a choice; nil if it is not counted.
func (p *rolloutPlacer) attempt(c *placement.Choice) *countedAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempts[c]
}

// recordFirstByte reports the time to the first byte of an attempt. It is called by the
// goroutine of the attempt only.
func (p *rolloutPlacer) recordFirstByte(a *countedAttempt, after time.Duration) {
	if !a.counted {
		a.counted = true
		p.reporter.FirstByte(a.service, a.class, a.ticket, after)
	}
}

// RecordFirstByte implements proxy.Placer.
func (p *rolloutPlacer) RecordFirstByte(c *placement.Choice) {
	if a := p.attempt(c); a != nil && !a.answered {
		a.answered, a.firstByte = true, max(p.clock()-a.sentAt, 0)
		if !a.stream {
			p.recordFirstByte(a, a.firstByte)
		}
	}
	p.Placer.RecordFirstByte(c)
}

// Done implements proxy.Placer.
func (p *rolloutPlacer) Done(c *placement.Choice, result placement.Result) {
	p.Placer.Done(c, result)
	a := p.attempt(c)
	if a == nil {
		return
	}
	p.mu.Lock()
	delete(p.attempts, c)
	p.mu.Unlock()
	p.recordEnd(c, a, result)
}

// recordEnd reports the end of an attempt.
func (p *rolloutPlacer) recordEnd(c *placement.Choice, a *countedAttempt, result placement.Result) {
	var o exposure.Outcome
	o.Interval, o.HasInterval = c.EventInterval()
	switch result {
	case placement.Completed:
	case placement.Failed, placement.Unreachable, placement.Silent:
		o.Failed = true
	case placement.Abandoned:
		// The deadline has passed or the caller has left. A target that has sent nothing
		// until then is too slow.
		o.Failed = !a.answered
	case placement.Unused:
		p.gate.Cancel(a.ticket)
		p.reporter.NotSent(a.service, a.class, a.ticket)
		return
	default:
		// The target has stated that it has not run the request.
		p.reporter.NotSent(a.service, a.class, a.ticket)
		return
	}
	if a.answered {
		p.recordFirstByte(a, a.firstByte)
	}
	p.count("rollout_" + a.ticket.Cohort.String() + "_requests")
	if o.Failed {
		p.count("rollout_" + a.ticket.Cohort.String() + "_failures")
	}
	p.reporter.Ended(a.service, a.class, a.ticket, o)
	if p.gate.Record(p.clock(), a.ticket, o.Failed) {
		p.logger.Warn("new version mostly fails; this front sends nothing to it until the next step", zap.String("service", a.service))
	}
}

// apply puts the rollouts of a registry in force. update passes the targets to placement.
func (p *rolloutPlacer) apply(rollouts map[string]fleet.Rollout, update func()) {
	rules := make(map[string]exposure.Rule)
	services := make(map[string]bool, len(rollouts))
	for service := range rollouts {
		services[service] = true
		if r := rollouts[service]; r.Phase == fleet.RolloutRunning {
			rules[service] = exposure.Rule{Order: r.Order, Revision: r.Revision, Share: r.Share}
		}
	}
	p.steps.Lock()
	defer p.steps.Unlock()
	update()
	p.services = services
	p.known.Store(len(services) > 0)
	if len(rules) == 0 && len(p.rules) == 0 {
		return
	}
	p.gate.Update(rules)
	p.rules = rules
	p.active.Store(len(rules) > 0)
	if len(rules) == 0 {
		p.reporter.Discard()
	}
}

// addReport adds what the front sees of the running rollouts to its report. It returns the
// number of the samples.
func (p *rolloutPlacer) addReport(report *followv1.FrontReport) uint64 {
	if len(p.rules) == 0 {
		return 0
	}
	var reports []*followv1.RolloutReport
	for _, service := range slices.Sorted(maps.Keys(p.rules)) {
		rule := p.rules[service]
		reports = append(reports, &followv1.RolloutReport{
			Service: service, Order: rule.Order, Revision: rule.Revision,
			BaselineInFlight: uint32(p.Placer.InFlight(service, placement.BaselineCohort)), Stopped: p.gate.Stopped(service),
		})
	}
	batches, sequence := p.reporter.Report()
	for i := range batches {
		reports = encodeSamples(reports, &batches[i])
	}
	report.Rollouts, report.SamplesSequence = reports, sequence
	report.ConfirmedAgeMs = milliseconds(p.clock() - p.confirmed())
	return sequence
}

// logRollouts logs the steps that a new registry changes.
func (f *Front) logRollouts(next map[string]fleet.Rollout) {
	for service := range next {
		if r := next[service]; r.Revision != f.registry.Rollouts[service].Revision {
			f.logger.Info("rollout step in force", zap.String("service", service), zap.String("version", r.Version), zap.Stringer("phase", r.Phase),
				zap.Float64("share", r.Share), zap.Float64("target_share", r.TargetShare))
		}
	}
}

// selectedCanaries returns the IDs of the targets of new versions that get requests, for the
// services with a running rollout.
func selectedCanaries(registry *fleet.State) map[string]bool {
	selected := make(map[string]bool)
	for service := range registry.Rollouts {
		r := registry.Rollouts[service]
		if r.Phase != fleet.RolloutRunning {
			continue
		}
		var ids []string
		for id := range registry.Targets {
			if t := registry.Targets[id]; t.Service == service && !t.Draining && r.Membership(t.Software) == fleet.CanaryTarget {
				ids = append(ids, id)
			}
		}
		maps.Copy(selected, exposure.Selected(ids, r.TargetShare))
	}
	return selected
}

// applyRollout sets what a rollout changes for a target.
func applyRollout(p *placement.Target, t *fleet.Target, rollouts map[string]fleet.Rollout, selected map[string]bool) {
	r, ok := rollouts[t.Service]
	if !ok {
		return
	}
	member := r.Membership(t.Software)
	if !r.Serves(t.Software) {
		p.Exclude(placement.ExcludedVersion)
		// Targets of a version that has been replaced or rolled back are about to stop.
		p.Terminating = p.Terminating || member != fleet.WithheldTarget
		return
	}
	if r.Phase != fleet.RolloutRunning {
		return
	}
	p.Cohort = placement.BaselineCohort
	if member == fleet.CanaryTarget {
		p.Cohort = placement.CanaryCohort
		if !selected[t.ID] {
			p.Exclude(placement.ExcludedUnselected)
		}
	}
}
