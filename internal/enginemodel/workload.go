package enginemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cuminwing/cuminwing/internal/prefix"
)

// Workload describes prompts with nested prefixes: the instructions of a
// workspace, one of its templates, one of the documents of the template, and a
// question that only this prompt has.
type Workload struct {
	// RequestsPerSecond is the mean rate over all workspaces.
	RequestsPerSecond float64
	// Shares lists the fraction of the arrivals that each workspace has.
	Shares []float64
	// Templates is the number of hot templates of a workspace, and Documents
	// the number of hot documents of a template.
	Templates, Documents int
	// Skew is the Zipf exponent of the popularity of templates and documents.
	Skew float64
	// RootBlocks, TemplateBlocks and DocumentBlocks are the mean lengths of the
	// workspace's instructions, a template and a document.
	RootBlocks, TemplateBlocks, DocumentBlocks int
	// HotSetLifetime is how long a workspace keeps its hot set.
	HotSetLifetime time.Duration
	// OneOff is the fraction of prompts that share only the instructions with
	// others.
	OneOff float64
	// Burst is the fraction of arrivals that consist of 3 to 6 simultaneous
	// requests for one document.
	Burst float64
	// OutputTokens is the mean length of a response.
	OutputTokens int
}

type generator struct {
	Workload
	rng             *rand.Rand
	config          Config
	templateWeights []float64
	documentWeights []float64
	oneOffPrompts   uint64
}

// generate returns all requests of a run in order of arrival.
func (w Workload) generate(c Config) []*request {
	g := &generator{Workload: w, rng: rand.New(rand.NewPCG(c.Seed, 2)), config: c}
	g.templateWeights = cumulativeWeights(w.Templates, w.Skew)
	g.documentWeights = cumulativeWeights(w.Documents, w.Skew)
	// A burst has 4.5 requests on average.
	arrivals := w.RequestsPerSecond / (1 + 3.5*w.Burst)
	var all []*request
	for at := time.Duration(0); at < c.Duration; {
		at += time.Duration(g.rng.ExpFloat64() / arrivals * float64(time.Second))
		all = append(all, g.requestsAt(at)...)
	}
	return all
}

func (g *generator) requestsAt(at time.Duration) []*request {
	workspace := sampleShare(g.rng, g.Shares)
	chain := g.chain(workspace, at)
	count := 1
	if g.rng.Float64() < g.Burst {
		count = 3 + g.rng.IntN(4)
	}
	requests := make([]*request, count)
	for i := range requests {
		const maxQuestionTokens = 900
		requests[i] = &request{
			workspace: workspace, vm: g.rng.IntN(g.config.VMs), chain: chain, arrived: at,
			promptTokens: len(chain)*g.config.BlockTokens + 100 + g.rng.IntN(maxQuestionTokens-100),
			outputTokens: 1 + int(g.rng.ExpFloat64()*float64(g.OutputTokens)),
		}
	}
	return requests
}

// chain returns the block hashes of one prompt. All templates and documents of
// a workspace change with the epoch; the epochs of different workspaces start
// at different times.
func (g *generator) chain(workspace int, at time.Duration) []prefix.Hash {
	offset := time.Duration(workspace) * g.HotSetLifetime / time.Duration(len(g.Shares))
	epoch := uint64((at + offset) / g.HotSetLifetime)
	id := uint64(workspace + 1)
	chain := extendChain(nil, id, g.RootBlocks)
	if g.rng.Float64() < g.OneOff {
		g.oneOffPrompts++
		return extendChain(chain, 1<<40+g.oneOffPrompts, g.DocumentBlocks)
	}
	template := uint64(sampleIndex(g.rng, g.templateWeights))
	document := uint64(sampleIndex(g.rng, g.documentWeights))
	id = id<<32 | epoch<<16 | template<<8
	chain = extendChain(chain, id, g.TemplateBlocks)
	// Lengths range from half to one and a half times the mean.
	length := g.DocumentBlocks/2 + int((id+document*7919)%uint64(g.DocumentBlocks+1))
	return extendChain(chain, id|1<<60|document, length)
}

func extendChain(chain []prefix.Hash, id uint64, blocks int) []prefix.Hash {
	previous := id
	if len(chain) > 0 {
		previous ^= uint64(chain[len(chain)-1])
	}
	for range blocks {
		previous = mix64(previous + 0x9e3779b97f4a7c15)
		chain = append(chain, prefix.Hash(previous))
	}
	return chain
}

func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// cumulativeWeights returns the running sums of the weights i^-skew of items 1
// to n.
func cumulativeWeights(n int, skew float64) []float64 {
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return sums
}

func sampleIndex(rng *rand.Rand, sums []float64) int {
	x := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return len(sums) - 1
}

func sampleShare(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
