package ratelimit

import (
	"math"
	"sync"
	"time"
)

// Rate shares are the second way to limit a workspace to its rate. A
// ShareAllocator on the leader of the control log gives every VM a fraction of
// the rate and burst, and tells it what the other VMs have spent recently.
//
// While all VMs together stay well below the limit of a window, a VM admits any
// request: one request can be as large as a VM's fraction of the burst, so
// splitting a small rate would refuse requests that are within it. Close to the
// limit, each VM runs a token bucket with its fraction. Fractions never add up
// to more than 1, so a leader change needs no pause. A VM must stop admitting
// requests ShareLease after its last confirmed report. The allocator gives its
// fraction to other VMs only after ShareReclaim.
const (
	// ShareLease is how long a VM may use a fraction after its report.
	ShareLease = 4500 * time.Millisecond
	// ShareReclaim is how long after its last report a VM loses its fraction.
	// It exceeds ShareLease by more than clocks drift in that time.
	ShareReclaim = 5 * time.Second
	// evenFraction is the part of a rate that is divided evenly, so that a VM
	// without recent demand can admit its first requests.
	evenFraction = 0.2
	// startupFraction is what a VM gets while a new allocator does not yet know
	// what all other VMs use. It is small compared with the tolerated
	// overshoot.
	startupFraction = 0.02
	// demandHalfLife is the half-life of the demand estimate of a VM.
	demandHalfLife = 2 * time.Second
	// lookAhead is how far ahead the spending of other VMs is estimated. It
	// covers what they admit while a request is in flight.
	lookAhead = 150 * time.Millisecond
	// minDemandInterval is the shortest interval over which demand is measured.
	minDemandInterval = 200 * time.Millisecond
	// warmupTime is how long after the start of an allocator the demand that VMs
	// report counts as incomplete.
	warmupTime = 2 * time.Second
	// warmupGrowthFactor limits the spending of other VMs assumed during the
	// warm-up, as a multiple of the spending rate under the previous leader.
	warmupGrowthFactor = 2
	// unknownSpendingFraction is the fraction of a window's limit that all VMs
	// together may admit while their total spending is unknown.
	unknownSpendingFraction = 0.05
	// softLimitFraction is the fraction of a window's limit below which a VM
	// admits requests regardless of its share. The rest covers what VMs spend
	// between two reports.
	softLimitFraction = 0.82
	// maxGrantAge is how old the allocator's response may be for the total
	// spending to count as known. It exceeds the duration of a leader change.
	maxGrantAge = 3 * time.Second
	// unconfirmedLimitFraction is the fraction of a window's limit that all VMs together
	// may reach with what none of them has reported. Each VM may admit an equal part of
	// the room below it between two grants, and goes on with its share then.
	unconfirmedLimitFraction = 0.95
	// unconfirmedRequests is the number of requests that a VM may admit after a grant
	// whatever their size.
	unconfirmedRequests = 3
	// hardLimitFraction is the fraction of a window's limit above which no
	// request is admitted.
	hardLimitFraction = 0.86
	// RecordInterval is the interval at which the leader records what
	// workspaces have spent, for the next leader. VMs that all ask for a
	// multiple of the rate spend less in this time than the margin above
	// softLimitFraction.
	RecordInterval = 200 * time.Millisecond
	// maxUnreportedFraction is the fraction of a window's limit that all VMs
	// together may admit before a report is due. earlyReportGap, multiplied by the
	// number of VMs, is the shortest time between a report and an early one.
	maxUnreportedFraction = 0.03
	earlyReportGap        = 4 * time.Millisecond
	// minRetryWait is the shortest time after which a retry is useful.
	minRetryWait = 20 * time.Millisecond
	// windowSlots is the number of slots in which the spending of a window is
	// counted, including the slot that is still being filled.
	windowSlots = 16
)

// ShareReport is the report of a VM on one workspace.
type ShareReport struct {
	// Held is the fraction that the VM uses.
	Held float64 `json:"held"`
	// Demand is the number of tokens per second that callers ask for.
	Demand float64 `json:"demand"`
	Spending
	// Confirmed is the part of the spending that the VM's last answered report had. A new
	// leader knows it from the record of the one before.
	Confirmed Confirmed `json:"confirmed"`
}

// Confirmed is spending that a leader knows.
type Confirmed struct {
	// Spent was admitted within the window, Recent within its later half.
	Spent  float64 `json:"spent,omitempty"`
	Recent float64 `json:"recent,omitempty"`
}

// ShareGrant is the allocator's response for one workspace.
type ShareGrant struct {
	// Fraction is the part of rate and burst that the VM may use.
	Fraction float64 `json:"fraction"`
	// SpentByOthers is what the other VMs have spent within the last window,
	// DemandOfOthers the number of tokens per second that callers ask them for.
	SpentByOthers  float64 `json:"others"`
	DemandOfOthers float64 `json:"others_demand"`
	// WarmingUp is set while the allocator is new and does not know the demand
	// at all VMs. PreviousRate is then what was spent per second under the
	// previous leader.
	WarmingUp    bool    `json:"fresh,omitempty"`
	PreviousRate float64 `json:"before_rate,omitempty"`
}

// Overshoot is the tolerated excess over rate x window + burst within any
// window.
type Overshoot struct {
	Window time.Duration
	// Fraction is relative to that sum, Tokens is absolute.
	Fraction float64
	Tokens   float64
}

// ShareLimiter admits the requests of one VM by its rate shares. It is safe for
// concurrent use.
type ShareLimiter struct {
	overshoot Overshoot

	mu sync.Mutex
	// vms is the number of VMs that share the absolute overshoot.
	vms      int
	accounts map[string]*shareAccount
	// lastReport is when the last report was taken.
	lastReport time.Duration
	// reportDue has a value when the next report should be sent at once.
	reportDue chan struct{}
}

type shareAccount struct {
	grant         ShareGrant
	grantSent     time.Duration
	level         float64
	lastRefill    time.Duration
	demand        float64
	demandUpdated time.Duration
	hasGrant      bool
	// spentSinceGrant is what was admitted after the latest grant.
	spentSinceGrant float64
	// admittedSinceGrant is the number of requests in spentSinceGrant.
	admittedSinceGrant int
	// demandSinceReport is the number of tokens asked for after lastReport,
	// spentSinceReport those admitted.
	demandSinceReport float64
	spentSinceReport  float64
	lastReport        time.Duration
	spentBySlot       [windowSlots]float64
	currentSlot       int64
	// reported is where the latest report ended, and confirmed where the latest answered one
	// did.
	reported, confirmed spendingMark
}

// spendingMark is a point in the spending of a VM.
type spendingMark struct {
	slot int64
	// spent is what had been admitted in the slot.
	spent float64
}

// NewShareLimiter returns the limiter of a VM that has no fraction yet.
func NewShareLimiter(overshoot Overshoot) *ShareLimiter {
	return &ShareLimiter{overshoot: overshoot, vms: 1, accounts: make(map[string]*shareAccount), reportDue: make(chan struct{}, 1)}
}

func (s *ShareLimiter) account(workspace string, now time.Duration) *shareAccount {
	a := s.accounts[workspace]
	if a == nil {
		a = &shareAccount{lastRefill: now, demandUpdated: now}
		s.accounts[workspace] = a
	}
	return a
}

// Admit charges tokens, or returns the time after which a retry is useful.
func (s *ShareLimiter) Admit(now time.Duration, workspace string, rate, burst, tokens float64) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(workspace, now)
	if wait, ok := s.admits(now, a, rate, burst, tokens); !ok {
		return wait, false
	}
	a.level -= tokens
	a.recordSpent(now, s.overshoot.Window, tokens)
	s.signalReport(now, a, rate, burst)
	return 0, true
}

// Peek returns what Admit would return now. It changes nothing.
func (s *ShareLimiter) Peek(now time.Duration, workspace string, rate, burst, tokens float64) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := shareAccount{lastRefill: now, demandUpdated: now}
	if known := s.accounts[workspace]; known != nil {
		a = *known
	}
	return s.admits(now, &a, rate, burst, tokens)
}

// admits returns whether an account admits tokens that are asked for, or the time after which a
// retry is useful.
func (s *ShareLimiter) admits(now time.Duration, a *shareAccount, rate, burst, tokens float64) (wait time.Duration, ok bool) {
	a.recordDemand(now, tokens)
	a.refill(now, rate, burst)
	// Spending from before the window must not limit requests any more.
	a.level = max(a.level, -a.spentInWindow(now, s.overshoot.Window))
	allowance := s.overshoot.Tokens / 2 / float64(s.vms)
	used, known := s.usedFraction(now, a, rate, burst)
	belowSoftLimit := known && used+tokens/s.overshoot.windowLimit(rate, burst) <= softLimitFraction &&
		s.isConfirmed(now, a, rate, burst, tokens)
	if !known {
		belowSoftLimit = a.spentInWindow(now, s.overshoot.Window) <= unknownSpendingFraction*s.overshoot.windowLimit(rate, burst)/float64(s.vms)
	}
	if !belowSoftLimit && (a.level <= -allowance || known && used > hardLimitFraction) {
		return max(a.refillWait(rate, allowance), s.windowWait(used)), false
	}
	return 0, true
}

// signalReport signals that a report is due if much was admitted since the last one.
// What no VM has reported is forgotten when all processes are killed. With many VMs
// early reports would be too many, so each may send one only at long intervals.
func (s *ShareLimiter) signalReport(now time.Duration, a *shareAccount, rate, burst float64) {
	limit := maxUnreportedFraction * s.overshoot.windowLimit(rate, burst) / float64(s.vms)
	if a.spentSinceReport < limit || now-s.lastReport < time.Duration(s.vms)*earlyReportGap {
		return
	}
	select {
	case s.reportDue <- struct{}{}:
	default:
	}
}

// ReportDue returns a channel that has a value when the next report should be sent
// at once.
func (s *ShareLimiter) ReportDue() <-chan struct{} { return s.reportDue }

// refillWait returns the time until the bucket admits another request.
func (a *shareAccount) refillWait(rate, allowance float64) time.Duration {
	perSecond := rate * a.grant.Fraction
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(max(-a.level-allowance, 0)/perSecond*float64(time.Second)) + minRetryWait
}

// windowWait returns the time until so much spending has left the window that
// requests are admitted again, assuming that it was spread evenly.
func (s *ShareLimiter) windowWait(used float64) time.Duration {
	if used <= hardLimitFraction {
		return 0
	}
	return time.Duration((used - softLimitFraction) / used * float64(s.overshoot.Window))
}

// windowLimit returns what all VMs together may spend within a window.
func (o Overshoot) windowLimit(rate, burst float64) float64 {
	return (rate*o.Window.Seconds()+burst)*(1+o.Fraction) + o.Tokens
}

// usedFraction returns the fraction of the window's limit that all VMs together
// have spent. known is false if that is unknown.
func (s *ShareLimiter) usedFraction(now time.Duration, a *shareAccount, rate, burst float64) (fraction float64, known bool) {
	if !a.hasGrant || now-a.grantSent > maxGrantAge || s.overshoot.Window <= 0 {
		return 0, false
	}
	growth := a.grant.DemandOfOthers * (now - a.grantSent + lookAhead).Seconds()
	if a.grant.WarmingUp {
		growthOfOthers := warmupGrowthFactor * a.grant.PreviousRate * (now - a.grantSent + lookAhead).Seconds()
		growth = max(growth, min(a.spentSinceGrant*float64(s.vms-1), growthOfOthers))
	}
	spent := a.spentInWindow(now, s.overshoot.Window) + a.grant.SpentByOthers + growth
	return spent / s.overshoot.windowLimit(rate, burst), true
}

// isConfirmed reports whether a VM may admit tokens although the other VMs may admit as much that
// it does not know of: demand can rise at all of them at the same moment. The first requests
// after a grant are always confirmed, because one can be larger than the part of a VM.
func (s *ShareLimiter) isConfirmed(now time.Duration, a *shareAccount, rate, burst, tokens float64) bool {
	limit := s.overshoot.windowLimit(rate, burst)
	confirmed := a.spentInWindow(now, s.overshoot.Window) - a.spentSinceGrant + a.grant.SpentByOthers
	room := unconfirmedLimitFraction*limit - confirmed
	return a.admittedSinceGrant < unconfirmedRequests || a.spentSinceGrant+tokens <= room/float64(s.vms)
}

// recordSpent counts admitted tokens in the current slot of the window.
func (a *shareAccount) recordSpent(now, window time.Duration, tokens float64) {
	a.advanceSlots(now, window)
	a.spentBySlot[a.currentSlot%windowSlots] += tokens
	a.spentSinceGrant += tokens
	a.admittedSinceGrant++
	a.spentSinceReport += tokens
}

// slotAt returns the number of the slot that t is in.
func slotAt(t, window time.Duration) int64 { return int64(t / (window / (windowSlots - 1))) }

func (a *shareAccount) advanceSlots(now, window time.Duration) {
	if window <= 0 {
		return
	}
	slot := slotAt(now, window)
	for ; a.currentSlot < slot; a.currentSlot++ {
		if slot-a.currentSlot > windowSlots {
			a.spentBySlot = [windowSlots]float64{}
			a.currentSlot = slot
			return
		}
		a.spentBySlot[(a.currentSlot+1)%windowSlots] = 0
	}
}

// spentInWindow returns an upper bound of what was admitted within the window.
func (a *shareAccount) spentInWindow(now, window time.Duration) float64 {
	a.advanceSlots(now, window)
	sum := 0.0
	for _, tokens := range a.spentBySlot {
		sum += tokens
	}
	return sum
}

// spending returns what was admitted within the window. Spent and Recent are upper bounds,
// FirstQuarter and ThirdQuarter lower bounds: with windowSlots-1 slots in a window, the
// slots of a quarter are at least as old as the end of that quarter wherever the current
// slot begins.
func (a *shareAccount) spending(now, window time.Duration) Spending {
	const halfSlots, quarterSlots = windowSlots / 2, windowSlots / 4
	return Spending{
		Spent: a.spentInWindow(now, window), Recent: a.spentInSlots(0, halfSlots),
		FirstQuarter: a.spentInSlots(3*quarterSlots+1, windowSlots-1), ThirdQuarter: a.spentInSlots(quarterSlots+1, halfSlots),
	}
}

// confirmedSpending returns what the latest answered report had of the present spending.
func (a *shareAccount) confirmedSpending() Confirmed {
	const halfSlots = windowSlots / 2
	return Confirmed{Spent: a.confirmedInSlots(windowSlots - 1), Recent: a.confirmedInSlots(halfSlots)}
}

// confirmedInSlots returns the confirmed spending in the slots up to the given age.
func (a *shareAccount) confirmedInSlots(last int64) float64 {
	age := a.currentSlot - a.confirmed.slot
	if age > last {
		return 0
	}
	sum := min(a.confirmed.spent, a.spentInSlots(age, age))
	return sum + a.spentInSlots(age+1, last)
}

// spentInSlots returns what was admitted in the slots from the first to the last of the
// given ages. The current slot has age 0. The caller must have advanced the slots.
func (a *shareAccount) spentInSlots(first, last int64) float64 {
	sum := 0.0
	for age := first; age <= last; age++ {
		sum += a.spentBySlot[(a.currentSlot-age+windowSlots)%windowSlots]
	}
	return sum
}

// Refund reverses the charge of a request that was admitted at the time charged and did
// not run. A charge that has left the window no longer limits requests, so that there is
// nothing to reverse.
func (s *ShareLimiter) Refund(now, charged time.Duration, workspace string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[workspace]
	if a == nil || s.overshoot.Window <= 0 {
		return
	}
	a.advanceSlots(now, s.overshoot.Window)
	slot := slotAt(charged, s.overshoot.Window)
	if a.currentSlot-slot >= windowSlots {
		return
	}
	a.level += tokens
	a.spentBySlot[slot%windowSlots] -= tokens
}

func (a *shareAccount) recordDemand(now time.Duration, tokens float64) {
	a.demand = a.decayedDemand(now) + tokens
	a.demandUpdated = now
	a.demandSinceReport += tokens
}

// decayedDemand returns the decayed sum of the tokens that callers asked for.
func (a *shareAccount) decayedDemand(now time.Duration) float64 {
	return decayed(a.demand, now-a.demandUpdated)
}

// takeDemandRate returns the demand for a report and starts a new interval. It
// is the mean over the last seconds, or since the last report if that is
// higher, so that a burst is reported at once.
func (a *shareAccount) takeDemandRate(now time.Duration) float64 {
	mean := a.decayedDemand(now) / demandTimeConstant
	interval := max(now-a.lastReport, minDemandInterval).Seconds()
	latest := a.demandSinceReport / interval
	a.demandSinceReport, a.spentSinceReport, a.lastReport = 0, 0, now
	return max(mean, latest)
}

func (a *shareAccount) refill(now time.Duration, rate, burst float64) {
	elapsed := (now - a.lastRefill).Seconds()
	a.lastRefill = now
	a.level = min(a.level+rate*a.grant.Fraction*elapsed, burst*a.grant.Fraction)
}

// Report returns the report to the allocator. workspaces lists those that have a
// rate.
func (s *ShareLimiter) Report(now time.Duration, workspaces []string) map[string]ShareReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport = now
	select {
	case <-s.reportDue:
	default:
	}
	reports := make(map[string]ShareReport, len(workspaces))
	for _, name := range workspaces {
		a := s.account(name, now)
		reports[name] = ShareReport{
			Held: a.grant.Fraction, Demand: a.takeDemandRate(now),
			Spending: a.spending(now, s.overshoot.Window), Confirmed: a.confirmedSpending(),
		}
		a.reported = spendingMark{a.currentSlot, a.spentInSlots(0, 0)}
	}
	return reports
}

// minReportedDemand is the demand, in tokens per second, below which a workspace
// without spending counts as idle.
const minReportedDemand = 1.0

// ReportActive is like Report, but omits the idle workspaces and gives up the
// fractions of their rates. With many VMs, most workspaces are idle at most VMs.
func (s *ShareLimiter) ReportActive(now time.Duration, workspaces []string) map[string]ShareReport {
	reports := s.Report(now, workspaces)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range reports {
		if r.Demand < minReportedDemand && r.Spent <= 0 {
			delete(reports, name)
			s.accounts[name].grant.Fraction = 0
		}
	}
	return reports
}

// SharingVMs returns the number of VMs that share the rates. While the allocator is new it
// counts only the VMs that have reported to it, so the previous number holds if that is
// larger.
func SharingVMs(previous, reported int, warmingUp bool) int {
	if warmingUp {
		return max(previous, reported)
	}
	return reported
}

// ApplyGrants applies the allocator's response to the report that was sent at
// sent. rates returns the rate and burst at which the bucket of a workspace was
// filled so far. vms is the number of VMs that share the rates.
func (s *ShareLimiter) ApplyGrants(now, sent time.Duration, vms int, grants map[string]ShareGrant, rates func(workspace string) (rate, burst float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(vms, 1)
	for name, grant := range grants {
		a := s.account(name, now)
		rate, burst := rates(name)
		a.refill(now, rate, burst)
		if !a.hasGrant {
			// One token suffices to admit a first request at once; the bucket
			// fills from here.
			a.hasGrant = true
			a.level = max(a.level, 1)
		}
		a.grant, a.grantSent, a.confirmed = grant, sent, a.reported
		a.spentSinceGrant, a.admittedSinceGrant = 0, 0
		a.level = min(a.level, burst*grant.Fraction)
	}
}

// demandTimeConstant converts a decayed sum into a rate: it is the area under
// the decay curve, in seconds.
const demandTimeConstant = float64(demandHalfLife) / float64(time.Second) / math.Ln2

func decayed(value float64, age time.Duration) float64 {
	if value == 0 || age <= 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(demandHalfLife))
}
