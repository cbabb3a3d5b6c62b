package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pollingFleet plays VMs whose reports reach the allocator as late as held polls
// deliver them: half a second old, and half a second after the one before. Each
// request costs one token.
type pollingFleet struct {
	random    *rand.Rand
	overshoot Overshoot
	rate      float64
	burst     float64
	now       time.Duration
	allocator *ShareAllocator
	record    map[string]SpendingRecord
	vms       []*pollingVM
	// admitted lists the times of the admitted requests.
	admitted          []time.Duration
	requests, refused int
	// coreLost is set while no call reaches the leader, and recordStalled while its records
	// are not committed.
	coreLost, recordStalled bool
}

type pollingVM struct {
	name        string
	incarnation int64
	shares      *ShareLimiter
	pending     map[string]ShareReport
	taken       time.Duration
	served      bool
	// dueAt is when an early report arrives; 0 if none is on its way.
	dueAt time.Duration
}

// earlyReportDelay is the time from the signal to the arrival of an early report.
const earlyReportDelay = 80 * time.Millisecond

const (
	pollHold    = 500 * time.Millisecond
	pollingStep = 10 * time.Millisecond
)

func newPollingFleet(seed uint64, vms int) *pollingFleet {
	f := &pollingFleet{
		random: rand.New(rand.NewPCG(seed, 3)), rate: 10, burst: 10,
		overshoot: Overshoot{Window: 8 * time.Second, Fraction: 0.1, Tokens: 10},
		allocator: NewShareAllocator(-time.Hour, 8*time.Second, nil),
	}
	for i := range vms {
		f.vms = append(f.vms, &pollingVM{name: fmt.Sprint("vm", i), shares: NewShareLimiter(f.overshoot), taken: -time.Duration(f.random.Int64N(int64(pollHold)))})
	}
	return f
}

func (f *pollingFleet) limits(string) (rate, burst float64, ok bool) { return f.rate, f.burst, true }

func (f *pollingFleet) rates(string) (rate, burst float64) { return f.rate, f.burst }

func (f *pollingFleet) limit() float64 { return f.overshoot.windowLimit(f.rate, f.burst) }

// poll delivers the report of a VM and takes the next one.
func (f *pollingFleet) poll(v *pollingVM) {
	granted := f.allocator.Report(f.now, v.name, v.incarnation, v.pending)
	usage, warmingUp := f.allocator.Usage(f.now)
	grant := usage["w"].Grant(v.pending["w"], granted["w"].Fraction, warmingUp)
	v.shares.ApplyGrants(f.now, v.taken, len(f.vms), map[string]ShareGrant{"w": grant}, f.rates)
	v.served = true
	v.pending, v.taken = v.shares.ReportActive(f.now, []string{"w"}), f.now
}

// pollEarly sends an early report if one is due.
func (f *pollingFleet) pollEarly(v *pollingVM) {
	select {
	case <-v.shares.ReportDue():
		v.pending, v.taken = v.shares.ReportActive(f.now, []string{"w"}), f.now
		v.dueAt = f.now + earlyReportDelay
	default:
	}
	if v.dueAt > 0 && f.now >= v.dueAt {
		v.dueAt = 0
		f.poll(v)
	}
}

// step advances the time. perSecond is the number of requests of all callers.
func (f *pollingFleet) step(perSecond float64) {
	f.now += pollingStep
	if f.now%RecordInterval == 0 && !f.coreLost && !f.recordStalled {
		f.record = f.allocator.Record(f.now)
	}
	for _, v := range f.vms {
		if !f.coreLost {
			f.pollEarly(v)
		}
		if f.now-v.taken >= pollHold && !f.coreLost {
			f.poll(v)
		}
		if v.served && f.random.Float64() < perSecond/float64(len(f.vms))*pollingStep.Seconds() {
			f.request(v)
		}
	}
}

func (f *pollingFleet) request(v *pollingVM) {
	f.requests++
	if _, ok := v.shares.Admit(f.now, "w", f.rate, f.burst, 1); !ok {
		f.refused++
		return
	}
	f.admitted = append(f.admitted, f.now)
}

// killAll kills all processes. The next leader knows only the last record.
func (f *pollingFleet) killAll(down time.Duration) {
	f.now += down - down%pollingStep
	f.coreLost, f.recordStalled = false, false
	f.allocator = NewShareAllocator(f.now, f.overshoot.Window, f.overshoot.AddUnrecorded(f.record, f.limits))
	for _, v := range f.vms {
		*v = pollingVM{name: v.name, incarnation: v.incarnation + 1, shares: NewShareLimiter(f.overshoot), taken: f.now - pollHold + time.Duration(f.random.IntN(100))*time.Millisecond}
	}
}

// largestWindow returns the largest number of requests admitted within any window.
func (f *pollingFleet) largestWindow() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for f.admitted[first] <= at-f.overshoot.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against spending that is forgotten when all processes are killed: what VMs
// admitted after they took their last reports, and what was reported after the last
// record. In the soak test, 111 to 118 requests ran where 109 are tolerated.
func TestUnreportedSpendingCountsAfterRestartOfAll(t *testing.T) {
	for seed := range uint64(300) {
		f := newPollingFleet(seed, 4)
		idle := time.Duration(2+f.random.IntN(12)) * time.Second
		for f.now < idle {
			f.step(2)
		}
		burst := f.now + time.Duration(f.random.IntN(4000))*time.Millisecond
		for f.now < burst {
			f.step(5 * f.rate)
		}
		f.killAll(time.Duration(600+f.random.IntN(1200)) * time.Millisecond)
		for end := f.now + 12*time.Second; f.now < end; {
			f.step(5 * f.rate)
		}
		if got := f.largestWindow(); float64(got) > f.limit() {
			t.Errorf("seed %d: %d requests admitted within %v, limit %v", seed, got, f.overshoot.Window, f.limit())
		}
	}
}

// Guards against refusals of workspaces within their rates after a restart, because
// too much unrecorded spending is assumed.
func TestUnrecordedSpendingLeavesRoomForWorkspacesWithinTheirRates(t *testing.T) {
	requests, refused := 0, 0
	for seed := range uint64(50) {
		f := newPollingFleet(seed, 4)
		for f.now < 20*time.Second {
			f.step(0.6 * f.rate)
		}
		f.killAll(800 * time.Millisecond)
		f.requests, f.refused = 0, 0
		for end := f.now + 10*time.Second; f.now < end; {
			f.step(0.6 * f.rate)
		}
		requests, refused = requests+f.requests, refused+f.refused
	}
	if requests < 1000 || refused*50 > requests {
		t.Errorf("%d of %d requests within the rate were refused after a restart", refused, requests)
	}
}

// Guards against spending that is forgotten when all processes are killed twice in short
// succession: what the first leader recorded has to outlive the second one.
func TestSpendingCountsAfterTwoRestartsOfAll(t *testing.T) {
	for seed := range uint64(300) {
		f := newPollingFleet(seed, 4)
		for f.now < 12*time.Second {
			f.step(0.5)
		}
		for end := f.now + time.Duration(1500+f.random.IntN(1000))*time.Millisecond; f.now < end; {
			f.step(5 * f.rate)
		}
		f.killAll(time.Duration(300+f.random.IntN(600)) * time.Millisecond)
		for end := f.now + time.Duration(300+f.random.IntN(1500))*time.Millisecond; f.now < end; {
			f.step(0.5)
		}
		f.killAll(time.Duration(300+f.random.IntN(600)) * time.Millisecond)
		for end := f.now + 12*time.Second; f.now < end; {
			f.step(5 * f.rate)
		}
		if got := f.largestWindow(); float64(got) > f.limit() {
			t.Errorf("seed %d: %d requests admitted within %v, limit %v", seed, got, f.overshoot.Window, f.limit())
		}
	}
}

// Guards against a VM that is the first to report to a new leader, and which takes the
// number of VMs that this leader knows for that of all VMs: if the leader fails at once and
// the record is behind, the VM spent what others had spent. In the soak test, 110 requests
// ran where 109 are tolerated.
func TestFirstVMAtANewLeaderDoesNotSpendForTheOthers(t *testing.T) {
	const vms = 3
	for seed := range uint64(100) {
		f := newPollingFleet(seed, vms)
		for f.now < 12*time.Second {
			f.step(0.5)
		}
		start := f.now
		for f.now < start+1800*time.Millisecond {
			f.step(3.5 * f.rate)
		}
		record := f.record
		for f.now < start+2500*time.Millisecond {
			f.step(3.5 * f.rate)
		}
		f.now += 1500 * time.Millisecond
		leader := NewShareAllocator(f.now, f.overshoot.Window, f.overshoot.AddUnrecorded(record, f.limits))
		// The leader fails before it answers the other VMs.
		v := f.vms[0]
		granted := leader.Report(f.now, v.name, v.incarnation, v.shares.ReportActive(f.now, []string{"w"}))
		_, warmingUp := leader.Usage(f.now)
		v.shares.ApplyGrants(f.now, f.now, SharingVMs(vms, leader.VMCount(), warmingUp), granted, f.rates)
		for end := f.now + 3*time.Second; f.now < end; f.now += pollingStep {
			for _, v := range f.vms {
				if f.random.Float64() < 3.5*f.rate/vms*pollingStep.Seconds() {
					f.request(v)
				}
			}
		}
		if got := f.largestWindow(); float64(got) > f.limit() {
			t.Errorf("seed %d: %d requests admitted within %v, limit %v", seed, got, f.overshoot.Window, f.limit())
		}
	}
}

// Guards against spending that is forgotten when all processes are killed while the record is
// behind: the core was lost before, or its disk was slow. In the soak test, 114 to 146 requests
// ran where 109 are tolerated.
func TestSpendingCountsIfTheRecordIsBehind(t *testing.T) {
	for _, c := range []struct {
		name                    string
		coreLost, recordStalled bool
	}{{"core lost", true, false}, {"record stalled", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(300) {
				f := newPollingFleet(seed, 3)
				for f.now < 10*time.Second {
					f.step(2)
				}
				for end := f.now + time.Duration(f.random.IntN(1500))*time.Millisecond; f.now < end; {
					f.step(5 * f.rate)
				}
				f.coreLost, f.recordStalled = c.coreLost, c.recordStalled
				for end := f.now + time.Duration(200+f.random.IntN(4000))*time.Millisecond; f.now < end; {
					f.step(5 * f.rate)
				}
				f.killAll(time.Duration(300+f.random.IntN(1200)) * time.Millisecond)
				for end := f.now + 12*time.Second; f.now < end; {
					f.step(5 * f.rate)
				}
				if got := f.largestWindow(); float64(got) > f.limit() {
					t.Errorf("seed %d: %d requests admitted within %v, limit %v", seed, got, f.overshoot.Window, f.limit())
				}
			}
		})
	}
}

// replaceLeader starts a leader that knows only the last record.
func (f *pollingFleet) replaceLeader() {
	f.coreLost, f.recordStalled = false, false
	f.allocator = NewShareAllocator(f.now, f.overshoot.Window, f.overshoot.AddUnrecorded(f.record, f.limits))
}

// Guards against a VM that reports to a new leader what it has admitted since its last report, and
// hides thereby what a lost VM has spent. In the soak test, seed 118, 116 requests ran where 109
// are tolerated: the core was lost for 2.3 s, and one of two VMs during that time.
func TestSpendingOfALostVMCountsAtANewLeader(t *testing.T) {
	const vms, lost = 3, 2
	for seed := range uint64(300) {
		f := newPollingFleet(seed, vms)
		for f.now < 10*time.Second {
			f.step(0.5)
		}
		for end := f.now + time.Duration(1000+f.random.IntN(1000))*time.Millisecond; f.now < end; {
			f.step(3.5 * f.rate)
		}
		f.coreLost = true
		for end := f.now + time.Duration(300+f.random.IntN(700))*time.Millisecond; f.now < end; {
			f.step(3.5 * f.rate)
		}
		v := f.vms[lost]
		f.vms = f.vms[:lost]
		for end := f.now + time.Duration(f.random.IntN(1500))*time.Millisecond; f.now < end; {
			f.step(3.5 * f.rate)
		}
		f.replaceLeader()
		for end := f.now + time.Duration(200+f.random.IntN(2000))*time.Millisecond; f.now < end; {
			f.step(3.5 * f.rate)
		}
		f.vms = append(f.vms, &pollingVM{name: v.name, incarnation: 1, shares: NewShareLimiter(f.overshoot), taken: f.now - pollHold})
		for end := f.now + 8*time.Second; f.now < end; {
			f.step(3.5 * f.rate)
		}
		if got := f.largestWindow(); float64(got) > f.limit() {
			t.Errorf("seed %d: %d requests admitted within %v, limit %v", seed, got, f.overshoot.Window, f.limit())
		}
	}
}
