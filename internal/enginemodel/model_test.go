package enginemodel

import (
	"reflect"
	"testing"
	"time"
)

// measure runs a policy of Policies with the seeds of docs/MEASUREMENTS.md and
// pools the samples, because the p99 of a small workspace in a single run is
// determined by 3 requests.
func measure(c Config, policy int) Summary {
	const seeds = 5
	pooled := Run(c, Policies[policy])
	for c.Seed = 2; c.Seed <= seeds; c.Seed++ {
		pooled.Merge(Run(c, Policies[policy]))
	}
	return pooled.Summarize()
}

// Guards the goals of section 4 of the design page for both large groups: with
// cold starts, lost events and shifts of the hot set, and under worse
// conditions than in the deployments.
func TestGoals(t *testing.T) {
	deployments := Deployments(1)
	for _, test := range []struct {
		name   string
		config Config
		change func(*Config)
	}{
		{"Verband", deployments[0], func(*Config) {}},
		{"Zielnik", deployments[1], func(*Config) {}},
		{"20% events lost", deployments[0], func(c *Config) { c.EventLoss = 0.2 }},
		{"load 1 s late", deployments[0], func(c *Config) { c.LoadLag = time.Second }},
		{"shift every 15 s", deployments[0], func(c *Config) { c.Workload.HotSetLifetime = 15 * time.Second }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.change(&test.config)
			checkGoals(t, measure(test.config, 1), measure(test.config, 3), measure(test.config, 4))
		})
	}
}

func checkGoals(t *testing.T, least, oracle, ours Summary) {
	if ours.HitRate < 0.95*oracle.HitRate {
		t.Errorf("hit rate %.3f, want at least 95%% of the oracle's %.3f", ours.HitRate, oracle.HitRate)
	}
	if 2*ours.P99 > least.P99 || float64(ours.P99) > 1.2*float64(oracle.P99) {
		t.Errorf("p99 %v, want at most half of least outstanding's %v and 1.2 times the oracle's %v", ours.P99, least.P99, oracle.P99)
	}
	if ours.RecomputedFraction >= 0.05 {
		t.Errorf("recomputed fraction of the prompt tokens %.3f, want below 0.05", ours.RecomputedFraction)
	}
	if ours.WorstWorkspaceRatio > 1.15 {
		t.Errorf("p99 of the worst workspace is %.3f times the median, want at most 1.15", ours.WorstWorkspaceRatio)
	}
	if ours.Refused > 0 {
		t.Errorf("refused fraction %.3f, want 0", ours.Refused)
	}
}

// Guards against results that differ between runs with the same seed, which
// would make the results page not reproducible.
func TestRepeatable(t *testing.T) {
	c := Deployments(3)[2]
	if a, b := Run(c, Policies[4]).Summarize(), Run(c, Policies[4]).Summarize(); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed gave %+v and %+v", a, b)
	}
}
