package enginemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
)

// Workload describes prompts with nested prefixes: the instructions of a
// workspace, one of its templates, one of the documents of the template, and a
// question of its own.
type Workload struct {
	// RequestsPerSecond is the mean rate over all workspaces.
	RequestsPerSecond float64
	// Shares is the part of each workspace.
	Shares []float64
	// Templates and Documents count the hot prefixes of a workspace.
	Templates, Documents int
	// Skew is the exponent of the popularity of both.
	Skew float64
	// RootBlocks, TemplateBlocks and DocumentBlocks are mean lengths.
	RootBlocks, TemplateBlocks, DocumentBlocks int
	// Shift is how long a workspace keeps its hot set.
	Shift time.Duration
	// OneOff is the part of prompts that share only the instructions.
	OneOff float64
	// Burst is the part of arrivals that bring 3 to 6 requests for one
	// document at once.
	Burst float64
	// OutputTokens is the mean length of an answer.
	OutputTokens int
}

type generator struct {
	Workload
	rng      *rand.Rand
	config   Config
	template []float64
	document []float64
	unique   uint64
}

// generate returns all requests of a run in order of arrival.
func (w Workload) generate(c Config) []*request {
	g := &generator{Workload: w, rng: rand.New(rand.NewPCG(c.Seed, 2)), config: c}
	g.template = cumulative(w.Templates, w.Skew)
	g.document = cumulative(w.Documents, w.Skew)
	// A burst has 4.5 requests on average.
	arrivals := w.RequestsPerSecond / (1 + 3.5*w.Burst)
	var all []*request
	for at := time.Duration(0); at < c.Duration; {
		at += time.Duration(g.rng.ExpFloat64() / arrivals * float64(time.Second))
		all = append(all, g.arrival(at)...)
	}
	return all
}

func (g *generator) arrival(at time.Duration) []*request {
	workspace := pick(g.rng, g.Shares)
	chain := g.chain(workspace, at)
	count := 1
	if g.rng.Float64() < g.Burst {
		count = 3 + g.rng.IntN(4)
	}
	requests := make([]*request, count)
	for i := range requests {
		const longestQuestion = 900
		requests[i] = &request{
			workspace: workspace, vm: g.rng.IntN(g.config.VMs), chain: chain, arrived: at,
			tokens: len(chain)*g.config.BlockTokens + 100 + g.rng.IntN(longestQuestion-100),
			output: 1 + int(g.rng.ExpFloat64()*float64(g.OutputTokens)),
		}
	}
	return requests
}

// chain returns the blocks of one prompt. The epoch changes the templates and
// documents of a workspace all at once, at another time in each.
func (g *generator) chain(workspace int, at time.Duration) []prefix.Hash {
	offset := time.Duration(workspace) * g.Shift / time.Duration(len(g.Shares))
	epoch := uint64((at + offset) / g.Shift)
	id := uint64(workspace + 1)
	chain := extend(nil, id, g.RootBlocks)
	if g.rng.Float64() < g.OneOff {
		g.unique++
		return extend(chain, 1<<40+g.unique, g.DocumentBlocks)
	}
	template := uint64(draw(g.rng, g.template))
	document := uint64(draw(g.rng, g.document))
	id = id<<32 | epoch<<16 | template<<8
	chain = extend(chain, id, g.TemplateBlocks)
	// Documents have half to one and a half times the mean length.
	length := g.DocumentBlocks/2 + int((id+document*7919)%uint64(g.DocumentBlocks+1))
	return extend(chain, id|1<<60|document, length)
}

func extend(chain []prefix.Hash, id uint64, blocks int) []prefix.Hash {
	previous := id
	if len(chain) > 0 {
		previous ^= uint64(chain[len(chain)-1])
	}
	for range blocks {
		previous = scramble(previous + 0x9e3779b97f4a7c15)
		chain = append(chain, prefix.Hash(previous))
	}
	return chain
}

func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// cumulative returns the distribution in which item n has weight n^-skew.
func cumulative(n int, skew float64) []float64 {
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return sums
}

func draw(rng *rand.Rand, sums []float64) int {
	x := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return len(sums) - 1
}

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
