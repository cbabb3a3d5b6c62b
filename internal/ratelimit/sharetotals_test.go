package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// reportAll sends one report of each VM on each workspace and advances the time by
// a poll interval.
func reportAll(d *ShareAllocator, now time.Duration, vms, workspaces int) time.Duration {
	for vm := range vms {
		reports := make(map[string]ShareReport, workspaces)
		for w := range workspaces {
			reports[fmt.Sprint("w", w)] = ShareReport{Held: 0.5 / float64(vms), Demand: 10, Spending: Spending{Spent: 80, Recent: 40}}
		}
		d.Report(now, fmt.Sprint("vm", vm), 1, reports)
	}
	return now + 500*time.Millisecond
}

// Guards against a leader whose work for one report grows with the number of VMs:
// at 300 VMs the reports alone took more processor time than the VM had.
func TestWorkForOneReportDoesNotGrowWithVMs(t *testing.T) {
	const workspaces, rounds = 40, 20
	for _, vms := range []int{8, 80, 300} {
		d := NewShareAllocator(0, testOvershoot.Window, nil)
		now := reportAll(d, 0, vms, workspaces)
		before := d.EntriesRead()
		for range rounds {
			now = reportAll(d, now, vms, workspaces)
		}
		// A report is removed and added once, and recomputing the totals reads
		// each report once in as many reports as there are VMs.
		perReport := float64(d.EntriesRead()-before) / float64(vms*rounds)
		if perReport > 3*workspaces {
			t.Errorf("%d VMs: %.0f entries read for each report of %d", vms, perReport, workspaces)
		}
	}
}

// sumReports returns the totals of a workspace as sums over all reports.
func sumReports(d *ShareAllocator, workspace string) shareTotals {
	var t shareTotals
	for _, h := range d.vms {
		r := h.reports[workspace]
		t.spending = t.spending.plus(r.Spending)
		t.demand += r.Demand
		t.demandTime += r.Demand * (h.lastReport - d.started).Seconds()
		t.held += max(h.granted[workspace], r.Held)
	}
	for _, h := range d.departed {
		t.departed = t.departed.plus(h.reports[workspace].Spending)
	}
	return t
}

// Guards against totals that drift from the reports while VMs restart, stop
// reporting and return: too large fractions would exceed the rate.
func TestTotalsMatchTheReportsOfAllVMs(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		d := NewShareAllocator(0, testOvershoot.Window, map[string]Spending{"w0": {Spent: 1000, Recent: 500}})
		now := time.Duration(0)
		for range 3000 {
			now += time.Duration(random.IntN(40)) * time.Millisecond
			reports := make(map[string]ShareReport)
			for w := range 3 {
				if random.Float64() < 0.7 {
					reports[fmt.Sprint("w", w)] = ShareReport{
						Held: random.Float64() * 0.1, Demand: random.Float64() * 1e5,
						Spending: Spending{Spent: random.Float64() * 1e6, Recent: random.Float64() * 1e5},
					}
				}
			}
			vm := random.IntN(30)
			if vm < 10 && now%(20*time.Second) < 8*time.Second {
				continue
			}
			d.Report(now, fmt.Sprint("vm", vm), int64(now/(7*time.Second)), reports)
		}
		for w := range 3 {
			workspace := fmt.Sprint("w", w)
			got, want := *d.totalsOf(workspace), sumReports(d, workspace)
			for name, pair := range map[string][2]float64{
				"spent": {got.spending.Spent, want.spending.Spent}, "recent": {got.spending.Recent, want.spending.Recent},
				"demand": {got.demand, want.demand}, "demand time": {got.demandTime, want.demandTime},
				"held": {got.held, want.held}, "departed": {got.departed.Spent, want.departed.Spent},
			} {
				if math.Abs(pair[0]-pair[1]) > 1e-6*math.Max(math.Abs(pair[1]), 1) {
					t.Errorf("seed %d, %s, %s: total %v, sum of the reports %v", seed, workspace, name, pair[0], pair[1])
				}
			}
		}
	}
}

// Guards against fractions that add up to more than the rate at a fleet size where
// each VM holds a small one.
func TestFractionsOfManyVMsNeverExceedTheRate(t *testing.T) {
	const vms = 300
	random := rand.New(rand.NewPCG(1, 1))
	d := NewShareAllocator(-time.Hour, testOvershoot.Window, nil)
	held := make([]float64, vms)
	now := time.Duration(0)
	for range 40 * vms {
		now += 2 * time.Millisecond
		i := random.IntN(vms)
		g := d.Report(now, fmt.Sprint("vm", i), 1, map[string]ShareReport{"w": {Held: held[i], Demand: random.ExpFloat64() * 1000}})
		held[i] = g["w"].Fraction
		sum := 0.0
		for _, h := range held {
			sum += h
		}
		if sum > 1+1e-9 {
			t.Fatalf("fractions add up to %v", sum)
		}
	}
}

// Guards against a VM that keeps a fraction of a rate that it no longer reports:
// the allocator gives that fraction to others.
func TestIdleWorkspaceGivesUpItsFraction(t *testing.T) {
	s := NewShareLimiter(testOvershoot)
	rates := func(string) (float64, float64) { return testRate, testBurst }
	s.ApplyGrants(0, 0, 2, map[string]ShareGrant{"w": {Fraction: 0.5}, "idle": {Fraction: 0.5}}, rates)
	s.Admit(time.Second, "w", testRate, testBurst, 1000)
	reports := s.ReportActive(2*time.Second, []string{"w", "idle"})
	if _, ok := reports["idle"]; ok || len(reports) != 1 {
		t.Fatalf("reports are %v, want one on the active workspace", reports)
	}
	if held := s.Report(2*time.Second, []string{"idle"})["idle"].Held; held != 0 {
		t.Errorf("the idle workspace holds the fraction %v", held)
	}
	if held := reports["w"].Held; held != 0.5 {
		t.Errorf("the active workspace holds the fraction %v, want 0.5", held)
	}
}

// Guards against grants that differ from those of the allocator when a VM derives
// them from the usage of all VMs and its fraction.
func TestGrantFromUsageMatchesTheAllocator(t *testing.T) {
	now := time.Minute
	d := NewShareAllocator(0, testOvershoot.Window, nil)
	d.Report(now, "a", 1, map[string]ShareReport{"w": {Held: 0.2, Demand: 300, Spending: Spending{Spent: 4000}}})
	now += 400 * time.Millisecond
	own := ShareReport{Held: 0.1, Demand: 100, Spending: Spending{Spent: 1000}}
	want := d.Report(now, "b", 1, map[string]ShareReport{"w": own})["w"]
	usage, warmingUp := d.Usage(now)
	got := usage["w"].Grant(own, want.Fraction, warmingUp)
	if math.Abs(got.SpentByOthers-want.SpentByOthers) > 1e-6 || math.Abs(got.DemandOfOthers-want.DemandOfOthers) > 1e-6 || got.Fraction != want.Fraction {
		t.Errorf("derived grant is %+v, the allocator's %+v", got, want)
	}
}

// BenchmarkShareReport measures one report at the sizes of small and large fleets.
func BenchmarkShareReport(b *testing.B) {
	for _, vms := range []int{8, 80, 300} {
		b.Run(fmt.Sprint(vms, "VMs"), func(b *testing.B) {
			d := NewShareAllocator(0, testOvershoot.Window, nil)
			now := reportAll(d, 0, vms, 40)
			reports := make(map[string]ShareReport, 40)
			for w := range 40 {
				reports[fmt.Sprint("w", w)] = ShareReport{Held: 0.5 / float64(vms), Demand: 10}
			}
			b.ReportAllocs()
			for i := range b.N {
				d.Report(now, fmt.Sprint("vm", i%vms), 1, reports)
			}
		})
	}
}
