package enginemodel

import "time"

// Deployments returns the engine groups of the two modelled deployments: the
// large group of each, and a small group. All of them have cold starts, lost
// events and shifts of the hot set.
func Deployments(seed uint64) []Config {
	large := Config{
		Seed: seed, VMs: 9, Slots: 32, CacheBlocks: 60, BlockTokens: 1000,
		PrefillTokensPerSecond: 20000, TokenInterval: 20 * time.Millisecond,
		Duration: 320 * time.Second, Warmup: 20 * time.Second,
		Restart:      time.Second,
		Crashes:      []Crash{{At: 90 * time.Second, Engines: 1}, {At: 200 * time.Second, Engines: 2}},
		LoadInterval: time.Second, LoadLag: 200 * time.Millisecond,
		EventLag: 100 * time.Millisecond, EventLoss: 0.01, PublishLag: 3 * time.Millisecond,
	}
	large.Workload = Workload{
		Shares: []float64{0.35, 0.25, 0.18, 0.12, 0.1}, Templates: 6, Documents: 20, Skew: 1.1,
		RootBlocks: 2, TemplateBlocks: 4, DocumentBlocks: 8, HotSetLifetime: 60 * time.Second,
		OneOff: 0.05, Burst: 0.15, OutputTokens: 100,
	}
	small := large
	small.Engines, small.CacheBlocks = 3, 45
	small.Crashes = []Crash{{At: 90 * time.Second, Engines: 1}}
	small.Workload.RootBlocks, small.Workload.TemplateBlocks, small.Workload.DocumentBlocks = 1, 1, 2
	small.Workload.RequestsPerSecond = 10
	verband, zielnik := large, large
	verband.Name, verband.Engines = "Verband, 9 engines", 9
	verband.Workload.RequestsPerSecond = 11
	zielnik.Name, zielnik.Engines = "Zielnik, 18 engines", 18
	zielnik.Workload.RequestsPerSecond = 22
	small.Name = "small group, 3 engines"
	return []Config{verband, zielnik, small}
}
