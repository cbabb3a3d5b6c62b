package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// Request is one planned request.
type Request struct {
	// SendOffset is when to send the request, relative to the start of the
	// run.
	SendOffset time.Duration
	// Workspace and Model are indexes into the lists of the profile.
	Workspace int
	Model     int
	// Prompt is the text of the prompt.
	Prompt string
	// VMSelector is a random number that selects the VM, as a random load
	// balancer would.
	VMSelector uint64
}

// hotFraction is the fraction of the requests that always use the hot document.
// The others use a random document.
const hotFraction = 0.4

// Plan returns the requests of a profile over a duration, with exponentially
// distributed intervals. The same seed gives the same requests.
func Plan(p *Profile, seed uint64, duration time.Duration) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []Request
	at := time.Duration(0)
	for {
		gap := -math.Log(1-rng.Float64()) / p.RequestsPerSecond
		at += time.Duration(gap * float64(time.Second))
		if at >= duration {
			return out
		}
		out = append(out, planRequest(p, rng, at))
	}
}

func planRequest(p *Profile, rng *rand.Rand, at time.Duration) Request {
	r := Request{SendOffset: at, Workspace: pickWorkspace(p, rng), Model: pickModel(p, rng), VMSelector: rng.Uint64()}
	m := p.Models[r.Model]
	// The hot document changes abruptly after every hotShiftInterval.
	document := int(at/hotShiftInterval) % m.Documents
	if rng.Float64() >= hotFraction {
		document = rng.IntN(m.Documents)
	}
	r.Prompt = prompt(rng, p.Workspaces[r.Workspace].Name, m, document)
	return r
}

func pickWorkspace(p *Profile, rng *rand.Rand) int {
	return pickWeighted(rng, p.Workspaces, func(w Workspace) float64 { return w.RequestShare })
}

func pickModel(p *Profile, rng *rand.Rand) int {
	return pickWeighted(rng, p.Models, func(m Model) float64 { return m.RequestShare })
}

// pickWeighted returns the index of a random item, weighted by share.
func pickWeighted[T any](rng *rand.Rand, items []T, share func(T) float64) int {
	x := rng.Float64()
	for i, item := range items {
		if x -= share(item); x < 0 {
			return i
		}
	}
	return len(items) - 1
}
