package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/fleet"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// frontExpiry is the time since its last report after which a front no longer counts.
	// It equals the time after which it leaves the list of fronts.
	frontExpiry = 5 * time.Second
	// reportTimeout is the age of the confirmation of a front's state, as known from its
	// reports, after which it is not known what the front has in flight: from an age of
	// exposure.MaxConfirmedAge it sends all requests to the old version. The difference
	// covers the time for which a member holds the report.
	reportTimeout = 1200 * time.Millisecond
	// stoppedFraction is the fraction of the fronts that have stopped on their own from which
	// the step is committed again after resumeDelay, so that they send requests again.
	// Without that, the failures look like a short fault of one target to the analysis, which
	// gets no further evidence.
	stoppedFraction = 0.25
	resumeDelay     = time.Second
	// earlyAge is the time for which samples of a rollout are kept whose analysis has not begun,
	// and maxEarly limits their number, to some MB. An analysis begins within rolloutInterval after the
	// leader has applied the order; fronts learn of it from members that may be ahead.
	earlyAge = time.Second
	maxEarly = 4096
)

// rolloutEvidence is what a leader knows of the rollouts from the reports of the fronts. A
// new leader begins without samples.
type rolloutEvidence struct {
	mu        sync.Mutex
	limits    canary.Limits
	electedAt time.Duration
	// expectedFronts is the number of fronts that the previous leader has recorded with the
	// rollout of each service. It counts until frontExpiry after electedAt, because fronts
	// that are cut off do not report to the new leader.
	expectedFronts map[string]int
	services       map[string]*rolloutAnalysis
	fronts         map[string]*frontProgress
	// prunedAt is when fronts that do not report any more were last removed from fronts.
	prunedAt time.Duration
	// early are samples of rollouts whose analysis has not begun, in the order of arrival.
	// Their fronts do not report them again.
	early []earlyReport
}

// earlyReport is what one report holds of a rollout whose analysis has not begun.
type earlyReport struct {
	at      time.Duration
	service string
	order   uint64
	samples []canary.Sample
}

// rolloutAnalysis is the analysis of a running rollout.
type rolloutAnalysis struct {
	order    uint64
	began    time.Duration
	analysis *canary.Analysis
	// stoppedAt is when enough fronts had stopped on their own; 0 if they have not.
	stoppedAt time.Duration
}

// frontProgress is the last report of a front.
type frontProgress struct {
	incarnation int64
	// sequence is the number of the latest samples.
	sequence uint64
	at       time.Duration
	// confirmed is when the state of the front was confirmed, by its last report.
	confirmed time.Duration
	services  map[string]frontRollout
}

type frontRollout struct {
	order, revision uint64
	inFlight        int
	// stopped is set if the front sends all requests to the old version on its own.
	stopped bool
}

func newRolloutEvidence(now time.Duration, limits canary.Limits, rollouts map[string]fleet.Rollout) *rolloutEvidence {
	expected := make(map[string]int)
	for service := range rollouts {
		expected[service] = rollouts[service].Fronts
	}
	return &rolloutEvidence{
		limits: limits, electedAt: now, expectedFronts: expected,
		services: make(map[string]*rolloutAnalysis), fronts: make(map[string]*frontProgress),
	}
}

// record applies the report of a front. Samples that were reported before are not counted
// again.
func (e *rolloutEvidence) record(now time.Duration, report *followv1.FrontReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.prunedAt >= frontExpiry {
		// Fronts report also while no rollout is running.
		e.prune(now)
	}
	f := e.fronts[report.GetVm()]
	if f == nil || f.incarnation != report.GetIncarnation() {
		f = &frontProgress{incarnation: report.GetIncarnation()}
		e.fronts[report.GetVm()] = f
	}
	f.at, f.confirmed = now, now-fromMilliseconds(report.GetConfirmedAgeMs())
	f.services = nil
	counted := report.GetSamplesSequence() <= f.sequence
	f.sequence = max(f.sequence, report.GetSamplesSequence())
	for _, r := range report.GetRollouts() {
		if f.services == nil {
			f.services = make(map[string]frontRollout, len(report.GetRollouts()))
		}
		f.services[r.GetService()] = frontRollout{r.GetOrder(), r.GetRevision(), int(r.GetBaselineInFlight()), r.GetStopped()}
		a := e.services[r.GetService()]
		var samples []canary.Sample
		if !counted {
			samples = decodeSamples(r.GetSamples())
		}
		switch {
		case a != nil && a.order == r.GetOrder():
			a.analysis.Add(now-a.began, samples)
		case (a == nil || a.order < r.GetOrder()) && len(samples) > 0:
			e.keepEarly(earlyReport{now, r.GetService(), r.GetOrder(), samples})
		}
	}
}

// keepEarly keeps the samples of a rollout whose analysis has not begun.
func (e *rolloutEvidence) keepEarly(r earlyReport) {
	e.dropEarly(r.at)
	kept := len(r.samples)
	for i := range e.early {
		kept += len(e.early[i].samples)
	}
	if kept <= maxEarly {
		e.early = append(e.early, r)
	}
}

// dropEarly drops early samples of rollouts whose analysis does not begin.
func (e *rolloutEvidence) dropEarly(now time.Duration) {
	e.early = slices.DeleteFunc(e.early, func(r earlyReport) bool { return now-r.at > earlyAge })
}

// addEarly passes the early samples of a rollout to its analysis. It is called after the first
// decision, from which the analysis knows the committed share.
func (e *rolloutEvidence) addEarly(elapsed time.Duration, service string, a *rolloutAnalysis) {
	e.early = slices.DeleteFunc(e.early, func(r earlyReport) bool {
		if r.service != service || r.order != a.order {
			return false
		}
		a.analysis.Add(elapsed, r.samples)
		return true
	})
}

// track begins the analysis of a running rollout, and ends those of rollouts that are not
// running any more. elapsed is the time since the order.
func (e *rolloutEvidence) track(now time.Duration, running map[string]fleet.Rollout, elapsed func(service string) time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for service := range e.services {
		if r, ok := running[service]; !ok || r.Order != e.services[service].order {
			delete(e.services, service)
		}
	}
	for service := range running {
		r := running[service]
		if e.services[service] == nil {
			analysis := canary.NewAnalysis(canary.Order{Service: service, Version: r.Version, Duration: r.Duration()}, e.limits)
			analysis.Resume(time.Duration(r.GrownMS) * time.Millisecond)
			e.services[service] = &rolloutAnalysis{order: r.Order, began: now - elapsed(service), analysis: analysis}
		}
	}
	e.prune(now)
}

// prune forgets the fronts that do not report any more, and old early samples.
func (e *rolloutEvidence) prune(now time.Duration) {
	e.prunedAt = now
	e.dropEarly(now)
	maps.DeleteFunc(e.fronts, func(_ string, f *frontProgress) bool { return now-f.at > frontExpiry })
}

// decide returns the step that has to be in force for a rollout, the time since its order, and
// whether the step has to be committed.
func (e *rolloutEvidence) decide(now time.Duration, service string, r *fleet.Rollout, registry *fleet.State) (step canary.Step, elapsed time.Duration, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.services[service]
	current := canary.Step{Phase: canary.Running, Share: r.Share, TargetShare: r.TargetShare, Reason: r.Reason}
	if a == nil || a.order != r.Order {
		return current, 0, false
	}
	elapsed = now - a.began
	step = a.analysis.Decide(elapsed, current, e.fleet(now, service, r, registry))
	e.addEarly(elapsed, service, a)
	if step.Phase == canary.Running && elapsed >= r.Duration() {
		step = canary.Step{Phase: canary.RolledBack, Reason: "the deadline has passed"}
	}
	if step.Phase != canary.Running || step.Share != r.Share || step.TargetShare != r.TargetShare {
		return step, elapsed, true
	}
	step.Reason = "fronts have stopped on their own; compared again"
	return step, elapsed, e.resumes(now, a, service, r)
}

// resumes reports whether fronts that have stopped on their own have to send requests to the
// new version again.
func (e *rolloutEvidence) resumes(now time.Duration, a *rolloutAnalysis, service string, r *fleet.Rollout) bool {
	stopped := 0
	for _, f := range e.fronts {
		if s := f.services[service]; s.order == r.Order && s.revision == r.Revision && s.stopped {
			stopped++
		}
	}
	switch {
	case stopped == 0 || float64(stopped) < stoppedFraction*float64(len(e.fronts)):
		a.stoppedAt = 0
	case a.stoppedAt == 0:
		a.stoppedAt = now
	}
	return a.stoppedAt > 0 && now-a.stoppedAt >= resumeDelay
}

// fleet returns what is known of both versions besides the samples.
func (e *rolloutEvidence) fleet(now time.Duration, service string, r *fleet.Rollout, registry *fleet.State) canary.Fleet {
	var result canary.Fleet
	for _, t := range registry.Targets {
		if t.Service != service || t.Draining {
			continue
		}
		switch r.Membership(t.Software) {
		case fleet.BaselineTarget:
			result.BaselineTargets++
		case fleet.CanaryTarget:
			result.CanaryTargets++
		}
	}
	for _, f := range e.fronts {
		if now-f.at > frontExpiry {
			continue
		}
		result.Fronts++
		s := f.services[service]
		if s.order != r.Order {
			s = frontRollout{}
		}
		result.BaselineInFlight += s.inFlight
		if r.Share < 1 || s.revision < r.FullSince || s.stopped || now-f.confirmed > reportTimeout {
			result.UnreportedFronts++
		}
	}
	if missing := e.expectedFronts[service] - result.Fronts; missing > 0 && now-e.electedAt < frontExpiry {
		result.Fronts += missing
		result.UnreportedFronts += missing
	}
	return result
}

// frontCount returns the number of fronts that are recorded with the rollout of a service.
func (e *rolloutEvidence) frontCount(now time.Duration, service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.electedAt < frontExpiry {
		return max(len(e.fronts), e.expectedFronts[service])
	}
	return len(e.fronts)
}

// growth returns the time since the order at which further new targets last began to receive
// requests; 0 if that is not known.
func (e *rolloutEvidence) growth(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.services[service]; a != nil {
		return a.analysis.Growth()
	}
	return 0
}

// evidence returns the evidence of a rollout for logs and metrics.
func (e *rolloutEvidence) evidence(service string) canary.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.services[service]; a != nil {
		return a.analysis.Evidence()
	}
	return nil
}
