package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// shareFleet simulates an allocator and VMs that lose responses, restart and are
// partitioned.
type shareFleet struct {
	random    *rand.Rand
	now       time.Duration
	allocator *ShareAllocator
	vms       []*shareVM
	// admitted lists the admitted charges in order of time.
	admitted []shareCharge
	// refunds lists the charges that are refunded at refundAt. Charges of the time
	// before holdUntil are refunded, since their requests do not run.
	refunds             []shareRefund
	holdUntil, refundAt time.Duration
	// requests and refused count the requests at VMs whose lease is valid.
	requests, refused int
}

// shareRefund is a charge that is refunded by shares.
type shareRefund struct {
	shareCharge
	shares *ShareLimiter
}

type shareCharge struct {
	at     time.Duration
	tokens float64
}

type shareVM struct {
	name             string
	incarnation      int64
	shares           *ShareLimiter
	lastResponse     time.Duration
	partitionedUntil time.Duration
	weight           float64
}

const (
	testRate  = 100_000.0
	testBurst = 100_000.0
	testStep  = 50 * time.Millisecond
)

// testOvershoot is the tolerance of the deployments.
var testOvershoot = Overshoot{Window: 8 * time.Second, Fraction: 0.1, Tokens: 72_000}

// shareSeeds returns the first forty seeds and those that have failed: 58, 144,
// 148, 220, 231, 265, 340 and 395 exceeded the limit when a burst began
// abruptly, or when a VM was lost between two reports.
func shareSeeds() []uint64 {
	seeds := []uint64{58, 144, 148, 220, 231, 265, 340, 395}
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	return seeds
}

func newShareFleet(seed uint64, vms int) *shareFleet {
	f := &shareFleet{random: rand.New(rand.NewPCG(seed, 1)), allocator: NewShareAllocator(-time.Hour, testOvershoot.Window, nil)}
	for i := range vms {
		shares := NewShareLimiter(testOvershoot)
		f.vms = append(f.vms, &shareVM{
			name: fmt.Sprint("vm", i), shares: shares, weight: f.random.Float64() + 0.1,
		})
	}
	return f
}

func (f *shareFleet) report(v *shareVM) {
	reports := v.shares.Report(f.now, []string{"w"})
	granted := f.allocator.Report(f.now, v.name, v.incarnation, reports)
	if f.random.Float64() < 0.05 {
		return
	}
	v.shares.ApplyGrants(f.now, f.now, len(f.vms), granted, func(string) (float64, float64) { return testRate, testBurst })
	v.lastResponse = f.now
}

func (f *shareFleet) step(demand float64) {
	f.now += testStep
	f.refundHeld()
	for _, v := range f.vms {
		switch {
		case f.random.Float64() < 0.0005:
			v.shares, v.lastResponse = NewShareLimiter(testOvershoot), f.now-time.Hour
			v.incarnation++
		case f.random.Float64() < 0.001:
			v.partitionedUntil = f.now + time.Duration(f.random.IntN(8000))*time.Millisecond
		}
		if f.now >= v.partitionedUntil && f.random.Float64() < 0.2 {
			f.report(v)
		}
		f.arrive(v, demand)
	}
}

func (f *shareFleet) arrive(v *shareVM, demand float64) {
	const mean = 5000.0
	perStep := demand * v.weight / mean * testStep.Seconds()
	for perStep > 0 {
		if f.random.Float64() >= perStep {
			return
		}
		perStep--
		tokens := mean * (0.2 + 1.6*f.random.Float64())
		if f.now-v.lastResponse > ShareLease {
			continue
		}
		f.requests++
		if _, ok := v.shares.Admit(f.now, "w", testRate, testBurst, tokens); !ok {
			f.refused++
		} else {
			f.recordAdmitted(v, shareCharge{f.now, tokens})
		}
	}
}

// hold lets the requests that are admitted from now on wait at targets, which turn all of
// them away later.
func (f *shareFleet) hold() {
	f.holdUntil = f.now + time.Duration(f.random.IntN(6000))*time.Millisecond
	f.refundAt = f.holdUntil + time.Duration(f.random.IntN(4000))*time.Millisecond
}

func (f *shareFleet) recordAdmitted(v *shareVM, charge shareCharge) {
	if f.now < f.holdUntil {
		f.refunds = append(f.refunds, shareRefund{charge, v.shares})
		return
	}
	f.admitted = append(f.admitted, charge)
}

// refundHeld refunds the charges of the requests that were held, once these are turned away.
func (f *shareFleet) refundHeld() {
	if f.now < f.refundAt {
		return
	}
	for _, r := range f.refunds {
		r.shares.Refund(f.now, r.at, "w", r.tokens)
	}
	f.refunds = nil
}

// largestWindow returns the largest number of tokens admitted within any
// window.
func (f *shareFleet) largestWindow(window time.Duration) float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, a := range f.admitted {
		sum += a.tokens
		for f.admitted[first].at <= a.at-window {
			sum -= f.admitted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// Guards against fractions that add up to more than the rate while VMs restart,
// are partitioned or lose responses. The bound is rate x window + burst, plus
// 10% and one request of debt for each VM.
func TestSharesLimitWorkspaceFarOverItsRate(t *testing.T) {
	window := testOvershoot.Window
	for _, seed := range shareSeeds() {
		f := newShareFleet(seed, 8)
		for range 1200 {
			f.step(4 * testRate / 8)
		}
		limit := (testRate*window.Seconds()+testBurst)*(1+testOvershoot.Fraction) + testOvershoot.Tokens
		if got := f.largestWindow(window); got > limit {
			t.Errorf("seed %d: %.0f tokens admitted in %v, limit %.0f", seed, got, window, limit)
		}
	}
}

// Guards against late refunds that make room in a later part of the window than the one
// that was charged. Requests that run must stay within the limit, whenever the others
// turn out not to run.
func TestSharesLimitWorkspaceWithLateRefunds(t *testing.T) {
	window := testOvershoot.Window
	for _, seed := range shareSeeds() {
		f := newShareFleet(seed, 8)
		for range 1200 {
			if f.now >= f.refundAt && f.random.Float64() < 0.01 {
				f.hold()
			}
			f.step(4 * testRate / 8)
		}
		limit := (testRate*window.Seconds()+testBurst)*(1+testOvershoot.Fraction) + testOvershoot.Tokens
		if got := f.largestWindow(window); got > limit {
			t.Errorf("seed %d: %.0f tokens ran in %v, limit %.0f", seed, got, window, limit)
		}
	}
}

// Guards against a refund that counts twice: once for the charge that leaves the window,
// and once more for the later part of the window to which it was credited.
func TestRefundCountsInThePartOfTheWindowThatWasCharged(t *testing.T) {
	// At chargeLeft the slot of the first charges has left the window of 8 s.
	const refundAfter, chargeLeft = 5 * time.Second, 8700 * time.Millisecond
	admitAll := func(s *ShareLimiter, now time.Duration) (tokens float64) {
		s.ApplyGrants(now, now, 1, map[string]ShareGrant{"w": {Fraction: 1}}, func(string) (float64, float64) { return testRate, testBurst })
		for {
			if _, ok := s.Admit(now, "w", testRate, testBurst, 5000); !ok {
				return tokens
			}
			tokens += 5000
		}
	}
	s := NewShareLimiter(testOvershoot)
	notRun := admitAll(s, 0)
	s.Report(refundAfter, []string{"w"})
	s.Refund(refundAfter, 0, "w", notRun)
	ran := admitAll(s, refundAfter)
	if ran < notRun {
		t.Errorf("%.0f tokens were admitted after a refund of %.0f", ran, notRun)
	}
	ran += admitAll(s, chargeLeft)
	if limit := testOvershoot.windowLimit(testRate, testBurst); ran > limit {
		t.Errorf("%.0f tokens ran in %v, limit %.0f", ran, chargeLeft-refundAfter, limit)
	}
}

// maxFrontWait is how long a front VM lets a request wait for tokens: a third
// of the shortest latency objective.
const maxFrontWait = 250 * time.Millisecond

// Guards against refusals for a workspace that stays within its rate while its
// requests arrive unevenly over the VMs.
func TestSharesFollowUnevenDemandWithinTheRate(t *testing.T) {
	f := newShareFleet(7, 8)
	requests, refused := 0, 0
	for i := range 2400 {
		f.now += testStep
		for j, v := range f.vms {
			if i%5 == j%5 {
				f.report(v)
			}
			// One VM gets half of the traffic. The total is half of the rate.
			perSecond := testRate / 2 / 14
			if j == 0 {
				perSecond = testRate / 4
			}
			if f.random.Float64() < perSecond/5000*testStep.Seconds() {
				requests++
				wait, ok := v.shares.Admit(f.now, "w", testRate, testBurst, 5000)
				if !ok && wait > maxFrontWait {
					refused++
				}
			}
		}
	}
	if requests < 500 || refused*100 > requests {
		t.Errorf("%d of %d requests within the rate were refused", refused, requests)
	}
}

// Guards against a new leader that allocates fractions that VMs still hold from
// the previous leader. Fractions must not add up to more than 1 plus
// startupFraction.
func TestNewLeaderKeepsFractionsInUse(t *testing.T) {
	now := time.Duration(0)
	allocator := NewShareAllocator(now, testOvershoot.Window, nil)
	held := map[string]float64{"a": 0.5, "b": 0.3}
	for step := range 100 {
		now = time.Duration(step) * testStep
		got := allocator.Report(now, "a", 1, map[string]ShareReport{"w": {Held: held["a"], Demand: 1}})
		held["a"] = got["w"].Fraction
		got = allocator.Report(now, "c", 1, map[string]ShareReport{"w": {Held: held["c"], Demand: 9}})
		held["c"] = got["w"].Fraction
		// b sends its first report late, but within its lease.
		if step == 60 {
			got = allocator.Report(now, "b", 1, map[string]ShareReport{"w": {Held: held["b"], Demand: 1}})
			held["b"] = got["w"].Fraction
		}
		if sum := held["a"] + held["b"] + held["c"]; sum > 1+startupFraction {
			t.Fatalf("step %d: fractions %v add up to %.3f", step, held, sum)
		}
	}
}

// Guards against refusals for a workspace whose requests are as large as its
// burst. It asks for half of its rate, and its requests reach 8 VMs at random.
func TestSmallWorkspaceWithLargeRequestsIsNotRefusedWithinItsRate(t *testing.T) {
	const rate, burst, mean = 33_000.0, 43_000.0, 9_000.0
	f := newShareFleet(11, 8)
	requests, refused := 0, 0
	// level is a token bucket that sees the requests of all VMs: a request that
	// it covers is within the rate.
	level := burst
	rates := func(string) (float64, float64) { return rate, burst }
	// A front accepts requests only after its first response from the allocator.
	for _, v := range f.vms {
		v.shares.ApplyGrants(f.now, f.now, len(f.vms), f.allocator.Report(f.now, v.name, 0, v.shares.Report(f.now, []string{"w"})), rates)
	}
	for i := range 9600 {
		f.now += testStep
		level = min(level+rate*testStep.Seconds(), burst)
		for j, v := range f.vms {
			if i%10 == j {
				granted := f.allocator.Report(f.now, v.name, 0, v.shares.Report(f.now, []string{"w"}))
				v.shares.ApplyGrants(f.now, f.now, len(f.vms), granted, rates)
			}
			if f.random.Float64() >= rate/2/8/mean*testStep.Seconds() {
				continue
			}
			tokens := mean * (0.3 + f.random.ExpFloat64()*0.7)
			if tokens > level {
				continue
			}
			level -= tokens
			requests++
			if wait, ok := v.shares.Admit(f.now, "w", rate, burst, tokens); !ok && wait > maxFrontWait {
				t.Logf("%v: %s refused a request of %.0f tokens, to be retried after %v", f.now, v.name, tokens, wait)
				refused++
			}
		}
	}
	if requests < 300 || refused*1000 > requests {
		t.Errorf("%d of %d requests within the rate were refused", refused, requests)
	}
}

// restartAll kills all VMs and the leader, and restarts them after down. The
// spending was recorded right before.
func (f *shareFleet) restartAll(down time.Duration) { f.restartWith(f.allocator.Totals(f.now), down) }

// restartWith is like restartAll, but the new leader reads the given record of
// the spending.
func (f *shareFleet) restartWith(record map[string]Spending, down time.Duration) {
	f.now += down
	f.allocator = NewShareAllocator(f.now, testOvershoot.Window, record)
	for _, v := range f.vms {
		v.shares, v.lastResponse = NewShareLimiter(testOvershoot), f.now-time.Hour
		v.incarnation++
		f.report(v)
	}
}

// Guards against a workspace far over its rate that spends its window twice
// when all processes are killed. The new leader reads the earlier spending from
// the control log.
func TestSharesLimitWorkspaceAfterRestartOfAll(t *testing.T) {
	for _, seed := range shareSeeds() {
		f := newShareFleet(seed, 8)
		for step := range 700 {
			f.step(4 * testRate / 8)
			if step == 300 {
				f.restartAll(800 * time.Millisecond)
			}
		}
		limit := (testRate*testOvershoot.Window.Seconds()+testBurst)*(1+testOvershoot.Fraction) + testOvershoot.Tokens
		if got := f.largestWindow(testOvershoot.Window); got > limit {
			t.Errorf("seed %d: %.0f tokens admitted in one window, limit %.0f", seed, got, limit)
		}
	}
}

// Guards against refusals after all processes were killed: 120 requests of
// workspaces within their rates were refused in the first second after a
// restart.
func TestWorkspaceWithinItsRateIsNotRefusedAfterARestartOfAll(t *testing.T) {
	f := newShareFleet(5, 8)
	for range 400 {
		f.step(testRate / 2 / 8)
	}
	f.restartAll(800 * time.Millisecond)
	f.refused, f.requests = 0, 0
	for range 100 {
		f.step(testRate / 2 / 8)
	}
	if f.requests < 20 || f.refused*20 > f.requests {
		t.Errorf("%d of %d requests within the rate were refused after the restart", f.refused, f.requests)
	}
}

// Guards against a workspace far over its rate that spends its window twice
// when all processes are killed right before the next record of its spending.
// In the soak test, 117 to 123 requests ran where 109 are tolerated.
func TestSharesLimitWorkspaceAfterRestartWithOldRecord(t *testing.T) {
	for _, seed := range shareSeeds() {
		f := newShareFleet(seed, 8)
		var record map[string]Spending
		kill := 300 + int(seed%20)
		for step := range 700 {
			if f.now%RecordInterval < testStep {
				record = f.allocator.Totals(f.now)
			}
			f.step(4 * testRate / 8)
			if step == kill {
				f.restartWith(record, 800*time.Millisecond)
			}
		}
		limit := (testRate*testOvershoot.Window.Seconds()+testBurst)*(1+testOvershoot.Fraction) + testOvershoot.Tokens
		if got := f.largestWindow(testOvershoot.Window); got > limit {
			t.Errorf("seed %d: %.0f tokens admitted in one window, limit %.0f", seed, got, limit)
		}
	}
}
